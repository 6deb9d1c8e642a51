#include <algorithm>

#include "internal/steps.h"
#include "scaleshed/serving/reducer.h"

namespace scaleshed::serving::internal {
namespace {

// A retry isn't sent if less time than this remains before the deadline.
constexpr Duration kMinTimeForRetry = milliseconds(50);

RetryBudget& BudgetOf(State& state, const Request& request) {
  return state.retry_budgets
      .try_emplace(request.service, RetryBudget(state.options.retry_budget))
      .first->second;
}

void LogRetry(State& state, const Request& request, const std::string& step,
              bool allowed) {
  const DaemonCount count = CountOf(state);
  const RetryUsage usage =
      BudgetOf(state, request)
          .Usage(state.now, state.slack_share.FractionAt(state.now));
  Log(state, "repeat",
      {{"request", request.metadata.id},
       {"service", request.service},
       {"step", step},
       {"allowed", allowed ? "true" : "false"},
       {"requests", std::to_string(usage.requests)},
       {"repeats", std::to_string(usage.retries)},
       {"planned", std::to_string(usage.reserved)},
       {"room", std::to_string(static_cast<std::int64_t>(usage.available))},
       {"share", std::string(NameIn(kShareStateNames,
                                    state.slack_share.StateAt(state.now)))},
       {"daemons", std::to_string(state.slack_share.daemons())},
       {"daemons_heard", std::to_string(count.live)},
       {"daemons_listed", std::to_string(count.listed)},
       {"daemons_entries", std::to_string(count.entries)},
       {"counted_ms_ago", Millis(state.now - state.store.daemon_entries_at)}});
}

}  // namespace

void CountRequest(State& state, const Request& request) {
  BudgetOf(state, request).CountRequest(state.now);
}

RetryDenial ReserveRetry(State& state, Request& request) {
  if (state.now + kMinTimeForRetry >= request.deadline)
    return RetryDenial::kTime;
  if (request.delivered_sends == 0) return RetryDenial::kNothing;
  const bool allowed =
      BudgetOf(state, request)
          .ReserveRetry(state.now, state.slack_share.FractionAt(state.now));
  request.retry_reserved = allowed;
  LogRetry(state, request, "plan", allowed);
  if (allowed) return RetryDenial::kNothing;
  state.effects.emplace_back(IncrementCounter{Counter::kRetriesDenied});
  return RetryDenial::kBudget;
}

RetryDenial ReserveRerun(State& state, Request& request) {
  if (!MayRunAgain(request.route.kind)) return RetryDenial::kKind;
  if (request.possible_runs >= std::max(request.route.max_sends, 1)) {
    return RetryDenial::kRuns;
  }
  return ReserveRetry(state, request);
}

bool CommitRetry(State& state, Request& request) {
  if (!std::exchange(request.retry_reserved, false)) return true;
  const bool allowed =
      BudgetOf(state, request)
          .CommitRetry(state.now, state.slack_share.FractionAt(state.now));
  if (!allowed) LogRetry(state, request, "send", allowed);
  state.effects.emplace_back(
      IncrementCounter{allowed ? Counter::kRetries : Counter::kRetriesDenied});
  return allowed;
}

void ReleaseRetry(State& state, Request& request) {
  if (!std::exchange(request.retry_reserved, false)) return;
  BudgetOf(state, request).ReleaseRetry();
}

}  // namespace scaleshed::serving::internal
