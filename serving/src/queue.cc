#include <algorithm>

#include "internal/durations.h"
#include "internal/steps.h"
#include "scaleshed/serving/reducer.h"

namespace scaleshed::serving::internal {
namespace {

// A prompt gives way to those that came later by what reading it takes: what
// is earned for a prompt grows more slowly than its reading, so short ones
// first earns most for the engines' time. One that has missed its objective
// earns about a quarter, and gives way by so many times as much.
constexpr int kLateFactor = 10;
// Part of the time of the engines that long prompts get that is spent reading:
// the rest goes to passes that write, and parts that wait for the slowest.
constexpr double kReadingPart = 0.85;
// A client may be asked to come back within this part of its time that is left;
// it does not wait longer.
constexpr double kMostRetryPart = 0.33;
constexpr Duration kLeastRetryAfter = milliseconds(200);

// Waits for its turn, engines or one engine's memory. One that needs the memory
// of several together lets others go on meanwhile; measured, letting all go on
// that wait for memory starved them.
bool IsInLine(const Request& request, const std::string& service) {
  return request.phase == Phase::kWaiting && request.service == service &&
         request.read > kShortRead && request.waits_for != Shortage::kTickets;
}

}  // namespace

Time TurnOf(const State& state, Time arrived, Time due, Duration read) {
  return arrived + read * (state.now > due ? kLateFactor : 1);
}

Time TurnOf(const State& state, const Demand& demand) {
  return TurnOf(state, demand.arrived, demand.due, demand.read);
}

Time TurnOf(const State& state, const Request& request) {
  return TurnOf(state, request.arrived, request.due, request.read);
}

Time TurnOf(const State& state, const AskedPlace& asked) {
  return TurnOf(state, asked.question.arrived, asked.question.due, asked.read);
}

bool AwaitsStart(const Request& request) {
  return request.phase == Phase::kWaiting &&
         request.waits_for == Shortage::kLimit;
}

std::vector<Waiting> WaitingOf(const State& state) {
  std::vector<Waiting> waiting;
  for (const auto& [key, it] : state.requests) {
    if (!IsInLine(it, it.service) && !AwaitsStart(it)) continue;
    waiting.push_back({.id = it.key,
                       .service = it.service,
                       .turn = TurnOf(state, it),
                       .read = it.read,
                       .for_start = AwaitsStart(it)});
  }
  return waiting;
}

Outlook OutlookOf(const State& state, const Demand& demand,
                  const EngineTiming& timing, std::size_t engines) {
  const Time turn = TurnOf(state, demand);
  Outlook outlook;
  Duration before{};
  const auto add = [&](Time other, Duration read) {
    if (other >= turn) return;
    ++outlook.ahead;
    before += read;
  };
  // A prompt's own turn is not before itself.
  for (const auto& [key, it] : state.requests) {
    if (IsInLine(it, demand.service)) add(TurnOf(state, it), it.read);
  }
  for (const auto& [key, it] : state.dispatch.asked) {
    const bool in_line = !it.placed && it.read > kShortRead &&
                         it.waits_for != Shortage::kTickets &&
                         it.question.service == demand.service;
    if (in_line) add(TurnOf(state, it), it.read);
  }
  for (const auto& [address, member] : state.members) {
    if (!IsHeard(state, member)) continue;
    for (const Waiting& it : member.snapshot.waiting) {
      const bool in_line = it.read > kShortRead;
      if (in_line && it.service == demand.service) add(it.turn, it.read);
    }
  }
  std::size_t short_prompts = 0;
  for (const Work* it : AllWorks(state)) {
    // Plain requests have no prompt.
    if (it->prompt_tokens == 0) continue;
    const Duration read = ReadTime(timing, it->prompt_tokens);
    if (read <= kShortRead) ++short_prompts;
    if (it->writing || read <= kShortRead) continue;
    const auto parts = static_cast<Duration::rep>(it->helpers.size() + 1);
    const Duration gone = (state.now - it->started) * parts;
    before += std::max(read - gone, Duration::zero());
  }
  const double capacity = kReadingPart * static_cast<double>(EnginesForLong(
                                             timing, engines, short_prompts));
  const auto spread = [&](Duration work) { return PartOf(work, 1 / capacity); };
  outlook.start = spread(before);
  outlook.first_token = outlook.start + spread(demand.read);
  return outlook;
}

Duration RetryAfterOf(const State& state, const Demand& demand,
                      Duration expected) {
  const Duration most = PartOf(demand.deadline - state.now, kMostRetryPart);
  return std::clamp(expected, kLeastRetryAfter,
                    std::max(most, kLeastRetryAfter));
}

std::optional<GivenUp> GivesUp(State& state, const Demand& demand,
                               const Outlook& outlook) {
  const Time expected = state.now + outlook.first_token;
  if (expected <= demand.deadline) return std::nullopt;
  Log(state, "gives_up",
      {{"request", demand.id},
       {"prompt", std::to_string(demand.prompt_tokens)},
       {"ahead", std::to_string(outlook.ahead)},
       {"expected_start_ms", Millis(outlook.start)},
       {"expected_first_ms", Millis(outlook.first_token)},
       {"waited_ms", Millis(state.now - demand.arrived)}});
  return GivenUp{.retry_after = RetryAfterOf(state, demand, outlook.start)};
}

}  // namespace scaleshed::serving::internal
