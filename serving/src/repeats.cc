#include <algorithm>

#include "internal/steps.h"
#include "scaleshed/serving/reducer.h"

namespace scaleshed::serving::internal {
namespace {

// A send after one that may have run needs at least so much time.
constexpr Duration kLeastTimeLeft = milliseconds(50);

RepeatBudget& BudgetOf(State& state, const Request& request) {
  return state.budgets
      .try_emplace(request.service, RepeatBudget(state.options.repeats))
      .first->second;
}

void LogRepeat(State& state, const Request& request, const std::string& step,
               bool allowed) {
  const DaemonCount count = CountOf(state);
  const RepeatAccount account =
      BudgetOf(state, request)
          .Account(state.now, state.slack.PartAt(state.now));
  Log(state, "repeat",
      {{"request", request.facts.id},
       {"service", request.service},
       {"step", step},
       {"allowed", allowed ? "true" : "false"},
       {"requests", std::to_string(account.requests)},
       {"repeats", std::to_string(account.repeats)},
       {"planned", std::to_string(account.planned)},
       {"room", std::to_string(static_cast<std::int64_t>(account.room))},
       {"share",
        std::string(NameIn(kShareStateNames, state.slack.StateAt(state.now)))},
       {"daemons", std::to_string(state.slack.daemons())},
       {"daemons_heard", std::to_string(count.heard)},
       {"daemons_listed", std::to_string(count.listed)},
       {"daemons_entries", std::to_string(count.entries)},
       {"counted_ms_ago", Millis(state.now - state.store.entries_at)}});
}

}  // namespace

void CountRequest(State& state, const Request& request) {
  BudgetOf(state, request).CountRequest(state.now);
}

NoRepeat ForbidsRepeat(State& state, Request& request) {
  if (state.now + kLeastTimeLeft >= request.deadline) return NoRepeat::kTime;
  if (request.arrivals == 0) return NoRepeat::kNothing;
  const bool allowed =
      BudgetOf(state, request).Plan(state.now, state.slack.PartAt(state.now));
  request.repeat_planned = allowed;
  LogRepeat(state, request, "plan", allowed);
  if (allowed) return NoRepeat::kNothing;
  state.effects.emplace_back(Count{Counter::kRepeatsDenied});
  return NoRepeat::kBudget;
}

NoRepeat ForbidsRerun(State& state, Request& request) {
  if (!MayRunAgain(request.route.kind)) return NoRepeat::kKind;
  if (request.runs >= std::max(request.route.max_sends, 1)) {
    return NoRepeat::kRuns;
  }
  return ForbidsRepeat(state, request);
}

bool TakeRepeat(State& state, Request& request) {
  if (!std::exchange(request.repeat_planned, false)) return true;
  const bool sends =
      BudgetOf(state, request).Send(state.now, state.slack.PartAt(state.now));
  if (!sends) LogRepeat(state, request, "send", sends);
  state.effects.emplace_back(
      Count{sends ? Counter::kRepeats : Counter::kRepeatsDenied});
  return sends;
}

void DropRepeat(State& state, Request& request) {
  if (!std::exchange(request.repeat_planned, false)) return;
  BudgetOf(state, request).Drop();
}

}  // namespace scaleshed::serving::internal
