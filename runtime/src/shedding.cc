#include "internal/shedding.h"

#include <tuple>

namespace scaleshed::internal {
namespace {

// Bytes a second. At this rate a body of several megabytes takes longer than
// clients wait for an answer.
constexpr double kSlowRate = 256 * 1024;
// A head is small: at this rate it takes a second.
constexpr double kSlowHeadRate = 16 * 1024;

bool IsReading(const ConnectionLoad& load) {
  return load.reads_head || load.reads_body;
}

bool IsSlow(const std::optional<double>& rate, double slow) {
  return rate && *rate < slow;
}

// The index of the load that is a candidate and has the least key.
template <typename IsCandidate, typename Key>
std::optional<std::size_t> Least(const std::vector<ConnectionLoad>& loads,
                                 IsCandidate is_candidate, Key key) {
  std::optional<std::size_t> least;
  for (std::size_t i = 0; i < loads.size(); ++i) {
    if (!is_candidate(loads[i])) continue;
    if (!least || key(loads[i]) < key(loads[*least])) least = i;
  }
  return least;
}

std::optional<ShedChoice> Choice(std::optional<std::size_t> index,
                                 ShedReason reason) {
  if (!index) return std::nullopt;
  return ShedChoice{.index = *index, .reason = reason};
}

}  // namespace

std::optional<ShedChoice> ChooseForMemory(
    const std::vector<ConnectionLoad>& loads, bool only_large) {
  const std::uint64_t spared = only_large ? ConnectionBudget::kSmallBytes : 0;
  const auto most_read_ahead = Least(
      loads, [&](const auto& it) { return it.read_ahead_bytes > spared; },
      [](const auto& it) { return ~it.read_ahead_bytes; });
  if (most_read_ahead) return Choice(most_read_ahead, ShedReason::kReadAhead);
  const auto reads = [&](const ConnectionLoad& it) {
    return IsReading(it) && it.request_bytes > spared;
  };
  const auto slowest = Least(
      loads,
      [&](const auto& it) {
        return reads(it) && IsSlow(it.request_rate, kSlowRate);
      },
      [](const auto& it) { return *it.request_rate; });
  if (slowest) return Choice(slowest, ShedReason::kSlowRequest);
  const auto unread = Least(
      loads,
      [&](const auto& it) {
        return it.unsent_bytes > spared && IsSlow(it.answer_rate, kSlowRate);
      },
      [](const auto& it) { return ~it.unsent_bytes; });
  if (unread) return Choice(unread, ShedReason::kUnreadAnswer);
  const auto newest = Least(loads, reads, [](const auto& it) {
    return -it.since.time_since_epoch();
  });
  if (newest) return Choice(newest, ShedReason::kNewestRequest);
  return Choice(
      Least(
          loads, [&](const auto& it) { return it.unsent_bytes > spared; },
          [](const auto& it) { return ~it.unsent_bytes; }),
      ShedReason::kUnreadAnswer);
}

std::optional<ShedChoice> ChooseForConnection(
    const std::vector<ConnectionLoad>& loads) {
  // First those that end anyway, then those whose client never asked anything.
  const auto idle = Least(
      loads,
      [](const auto& it) {
        return it.lingering || it.stage == ConnectionStage::kIdle;
      },
      [](const auto& it) {
        return std::make_tuple(!it.lingering, it.served, it.since);
      });
  if (idle) return Choice(idle, ShedReason::kIdle);
  return Choice(Least(
                    loads,
                    [](const auto& it) {
                      const bool is_head = it.stage == ConnectionStage::kHead;
                      return IsReading(it) &&
                             IsSlow(it.request_rate,
                                    is_head ? kSlowHeadRate : kSlowRate);
                    },
                    [](const auto& it) { return *it.request_rate; }),
                ShedReason::kSlowConnection);
}

}  // namespace scaleshed::internal
