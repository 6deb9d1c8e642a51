#include <algorithm>

#include "internal/durations.h"
#include "internal/steps.h"
#include "scaleshed/serving/reducer.h"

namespace scaleshed::serving::internal {
namespace {

// A prompt lets others pass that arrive up to its own prefill time later: the
// value of a response to its client grows more slowly than the prefill time of
// its prompt, so short prompts first yield the most for the engines' time. Late
// prompts have a lower priority: one that has missed its objective is worth
// about a quarter of one served in time, and lets others pass for this multiple
// of its prefill time.
constexpr int kLateQueueKeyFactor = 10;
// The share of their time that the engines for long prompts spend on prefill.
// The rest goes to decoding, and to parts that wait for the slowest one.
constexpr double kPrefillShare = 0.85;
// The longest Retry-After, as a share of the time until the client's deadline.
// A client doesn't wait longer.
constexpr double kMaxRetryAfterShare = 0.33;
constexpr Duration kMinRetryAfter = milliseconds(200);

// Whether a long prompt waits for its queue position, for engines or for the
// memory of one engine, so that later prompts stay behind it. Others may pass a
// prompt that waits for the combined memory of several engines. Letting them
// pass every prompt that waits for memory starved such prompts.
bool HoldsQueuePosition(const Request& request, const std::string& service) {
  return request.phase == Phase::kWaiting && request.service == service &&
         request.prefill_time > kShortPromptPrefillLimit &&
         request.waits_for != Shortage::kCombinedMemory;
}

}  // namespace

Time QueueKeyOf(const State& state, Time arrived, Time due,
                Duration prefill_time) {
  return arrived + prefill_time * (state.now > due ? kLateQueueKeyFactor : 1);
}

Time QueueKeyOf(const State& state, const PlacementDemand& demand) {
  return QueueKeyOf(state, demand.arrived, demand.due, demand.prefill_time);
}

Time QueueKeyOf(const State& state, const Request& request) {
  return QueueKeyOf(state, request.arrived, request.due, request.prefill_time);
}

Time QueueKeyOf(const State& state, const RemotePlacement& placement) {
  return QueueKeyOf(state, placement.request.arrived, placement.request.due,
                    placement.prefill_time);
}

bool AwaitsRateLimit(const Request& request) {
  return request.phase == Phase::kWaiting &&
         request.waits_for == Shortage::kRateLimit;
}

std::vector<WaitingRequest> WaitingOf(const State& state) {
  std::vector<WaitingRequest> waiting;
  for (const auto& [key, it] : state.requests) {
    if (!HoldsQueuePosition(it, it.service) && !AwaitsRateLimit(it)) continue;
    waiting.push_back({.id = it.key,
                       .service = it.service,
                       .queue_key = QueueKeyOf(state, it),
                       .prefill_time = it.prefill_time,
                       .awaits_rate_limit = AwaitsRateLimit(it)});
  }
  return waiting;
}

QueueEstimate EstimateQueue(const State& state, const PlacementDemand& demand,
                            const EngineTiming& timing, std::size_t engines) {
  const Time queue_key = QueueKeyOf(state, demand);
  QueueEstimate estimate;
  Duration prefill_ahead{};
  const auto add_if_ahead = [&](Time other_key, Duration prefill_time) {
    if (other_key >= queue_key) return;
    ++estimate.ahead;
    prefill_ahead += prefill_time;
  };
  // The prompt itself isn't counted, as its key isn't lower than its own.
  for (const auto& [key, it] : state.requests) {
    if (HoldsQueuePosition(it, demand.service))
      add_if_ahead(QueueKeyOf(state, it), it.prefill_time);
  }
  for (const auto& [key, it] : state.dispatch.remote_placements) {
    const bool holds_position = !it.placement &&
                                it.prefill_time > kShortPromptPrefillLimit &&
                                it.waits_for != Shortage::kCombinedMemory &&
                                it.request.service == demand.service;
    if (holds_position) add_if_ahead(QueueKeyOf(state, it), it.prefill_time);
  }
  for (const auto& [address, member] : state.members) {
    if (!IsLive(state, member)) continue;
    for (const WaitingRequest& it : member.snapshot.waiting) {
      const bool holds_position = it.prefill_time > kShortPromptPrefillLimit;
      if (holds_position && it.service == demand.service)
        add_if_ahead(it.queue_key, it.prefill_time);
    }
  }
  std::size_t short_prompts = 0;
  for (const ActiveRequest* it : AllActiveRequests(state)) {
    // Requests to a plain service (one without model engines) have no prompt to
    // prefill.
    if (it->prompt_tokens == 0) continue;
    const Duration prefill_time = PrefillTime(timing, it->prompt_tokens);
    if (prefill_time <= kShortPromptPrefillLimit) ++short_prompts;
    if (it->decoding || prefill_time <= kShortPromptPrefillLimit) continue;
    const auto parts = static_cast<Duration::rep>(it->helpers.size() + 1);
    const Duration done = (state.now - it->started_at) * parts;
    prefill_ahead += std::max(prefill_time - done, Duration::zero());
  }
  const double capacity =
      kPrefillShare * static_cast<double>(EnginesForLongPrompts(timing, engines,
                                                                short_prompts));
  const auto time_for = [&](Duration prefill_time) {
    return FractionOf(prefill_time, 1 / capacity);
  };
  estimate.start = time_for(prefill_ahead);
  estimate.first_token = estimate.start + time_for(demand.prefill_time);
  return estimate;
}

Duration RetryAfterOf(const State& state, const PlacementDemand& demand,
                      Duration expected) {
  const Duration max_retry_after =
      FractionOf(demand.deadline - state.now, kMaxRetryAfterShare);
  return std::clamp(expected, kMinRetryAfter,
                    std::max(max_retry_after, kMinRetryAfter));
}

std::optional<DeadlineUnreachable> CheckDeadline(
    State& state, const PlacementDemand& demand,
    const QueueEstimate& estimate) {
  const Time expected = state.now + estimate.first_token;
  if (expected <= demand.deadline) return std::nullopt;
  Log(state, "gives_up",
      {{"request", demand.id},
       {"prompt", std::to_string(demand.prompt_tokens)},
       {"ahead", std::to_string(estimate.ahead)},
       {"expected_start_ms", Millis(estimate.start)},
       {"expected_first_ms", Millis(estimate.first_token)},
       {"waited_ms", Millis(state.now - demand.arrived)}});
  return DeadlineUnreachable{.retry_after =
                                 RetryAfterOf(state, demand, estimate.start)};
}

}  // namespace scaleshed::serving::internal
