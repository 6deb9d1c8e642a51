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

Time TurnOf(const State& state, const Request& request) {
  const bool late = state.now > request.due;
  return request.arrived + request.read * (late ? kLateFactor : 1);
}

std::vector<Waiting> WaitingOf(const State& state) {
  std::vector<Waiting> waiting;
  for (const auto& [key, it] : state.requests) {
    if (!IsInLine(it, it.service)) continue;
    waiting.push_back({.id = it.key,
                       .service = it.service,
                       .turn = TurnOf(state, it),
                       .read = it.read});
  }
  return waiting;
}

Outlook OutlookOf(const State& state, const Request& request,
                  const EngineTiming& timing, std::size_t engines) {
  const Time turn = TurnOf(state, request);
  Outlook outlook;
  Duration before{};
  const auto add = [&](Time other, Duration read) {
    if (other >= turn) return;
    ++outlook.ahead;
    before += read;
  };
  for (const auto& [key, it] : state.requests) {
    if (key != request.key && IsInLine(it, request.service)) {
      add(TurnOf(state, it), it.read);
    }
  }
  for (const auto& [address, member] : state.members) {
    if (!IsHeard(state, member)) continue;
    for (const Waiting& it : member.snapshot.waiting) {
      if (it.service == request.service) add(it.turn, it.read);
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
  outlook.first_token = outlook.start + spread(request.read);
  return outlook;
}

bool GivesUp(State& state, Request& request, const Outlook& outlook) {
  const Time expected = state.now + outlook.first_token;
  const Duration waited = state.now - request.arrived;
  if (expected <= request.deadline) return false;
  const Duration left = request.deadline - state.now;
  const Duration most = PartOf(left, kMostRetryPart);
  const Duration again = std::clamp(outlook.start, kLeastRetryAfter,
                                    std::max(most, kLeastRetryAfter));
  Log(state, "gives_up",
      {{"request", request.facts.id},
       {"prompt", std::to_string(request.facts.prompt_tokens)},
       {"ahead", std::to_string(outlook.ahead)},
       {"expected_start_ms", Millis(outlook.start)},
       {"expected_first_ms", Millis(outlook.first_token)},
       {"waited_ms", Millis(waited)}});
  RefuseRequest(state, request, Refusal::kOverload, again);
  return true;
}

}  // namespace scaleshed::serving::internal
