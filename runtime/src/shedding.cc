#include "internal/shedding.h"

#include <tuple>

namespace scaleshed::internal {
namespace {

// Bytes a second. At this rate a body of several megabytes takes longer than
// clients wait for an answer.
constexpr double kSlowRate = 256 * 1024;
// A head is small: at this rate it takes a second.
constexpr double kSlowHeadRate = 16 * 1024;

using Loads = std::vector<ConnectionLoad>;

bool IsReading(const ConnectionLoad& load) {
  return load.reads_head || load.reads_body;
}

bool IsSlow(const std::optional<double>& rate, double slow) {
  return rate && *rate < slow;
}

// Of two requests with a rate, whether the first one comes more slowly.
bool ComesSlower(const ConnectionLoad& a, const ConnectionLoad& b) {
  return *a.request_rate < *b.request_rate;
}

bool HasMoreUnsent(const ConnectionLoad& a, const ConnectionLoad& b) {
  return a.unsent_bytes > b.unsent_bytes;
}

// Of the candidates, the one that goes before all others.
template <typename IsCandidate, typename GoesBefore>
std::optional<ShedChoice> Choose(const Loads& loads, ShedReason reason,
                                 IsCandidate is_candidate,
                                 GoesBefore goes_before) {
  std::optional<std::size_t> first;
  for (std::size_t i = 0; i < loads.size(); ++i) {
    if (!is_candidate(loads[i])) continue;
    if (!first || goes_before(loads[i], loads[*first])) first = i;
  }
  if (!first) return std::nullopt;
  return ShedChoice{.index = *first, .reason = reason};
}

// `spared`: bytes that any connection may hold.
std::optional<ShedChoice> ChooseReadAhead(const Loads& loads,
                                          std::uint64_t spared) {
  return Choose(
      loads, ShedReason::kReadAhead,
      [&](const auto& it) { return it.read_ahead_bytes > spared; },
      [](const auto& a, const auto& b) {
        return a.read_ahead_bytes > b.read_ahead_bytes;
      });
}

std::optional<ShedChoice> ChooseSlowRequest(const Loads& loads,
                                            std::uint64_t spared) {
  return Choose(
      loads, ShedReason::kSlowRequest,
      [&](const auto& it) {
        return IsReading(it) && it.request_bytes > spared &&
               IsSlow(it.request_rate, kSlowRate);
      },
      ComesSlower);
}

std::optional<ShedChoice> ChooseNewestRequest(const Loads& loads,
                                              std::uint64_t spared) {
  return Choose(
      loads, ShedReason::kNewestRequest,
      [&](const auto& it) {
        return IsReading(it) && it.request_bytes > spared;
      },
      [](const auto& a, const auto& b) { return a.since > b.since; });
}

std::optional<ShedChoice> ChooseUnreadAnswer(const Loads& loads,
                                             std::uint64_t spared,
                                             bool only_slow) {
  return Choose(
      loads, ShedReason::kUnreadAnswer,
      [&](const auto& it) {
        return it.unsent_bytes > spared &&
               (!only_slow || IsSlow(it.answer_rate, kSlowRate));
      },
      HasMoreUnsent);
}

}  // namespace

std::optional<ShedChoice> ChooseForMemory(const Loads& loads, bool only_large) {
  const std::uint64_t spared = only_large ? ConnectionBudget::kSmallBytes : 0;
  auto choice = ChooseReadAhead(loads, spared);
  if (!choice) choice = ChooseSlowRequest(loads, spared);
  if (!choice) choice = ChooseUnreadAnswer(loads, spared, /*only_slow=*/true);
  if (!choice) choice = ChooseNewestRequest(loads, spared);
  if (!choice) choice = ChooseUnreadAnswer(loads, spared, /*only_slow=*/false);
  return choice;
}

std::optional<ShedChoice> ChooseForConnection(const Loads& loads) {
  // First those that end anyway, then those whose client never asked anything,
  // then the one that has been at rest for longest.
  const auto order = [](const ConnectionLoad& it) {
    return std::make_tuple(!it.lingering, it.served, it.since);
  };
  const auto idle = Choose(
      loads, ShedReason::kIdle,
      [](const auto& it) {
        return it.lingering || it.stage == ConnectionStage::kIdle;
      },
      [&](const auto& a, const auto& b) { return order(a) < order(b); });
  if (idle) return idle;
  return Choose(
      loads, ShedReason::kSlowConnection,
      [](const auto& it) {
        const double slow = it.reads_head ? kSlowHeadRate : kSlowRate;
        return IsReading(it) && IsSlow(it.request_rate, slow);
      },
      ComesSlower);
}

}  // namespace scaleshed::internal
