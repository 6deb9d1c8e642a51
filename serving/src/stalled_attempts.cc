#include <algorithm>
#include <utility>

#include "internal/steps.h"

// Attempts that stall: the backend server, or the daemon that the request was
// relayed to, has sent nothing for too long while the connection stands. Such a
// server may be dead or only slow, so that the request is hedged by another
// attempt, and whichever goes on first serves the client.
namespace scaleshed::serving::internal {
namespace {

// Interval of the tries to hedge an attempt that goes on stalling.
constexpr Duration kHedgeRetryInterval = seconds(1);

// Records what a stall shows of the server and of the path to it.
void RecordStall(State& state, Request& request) {
  const Attempt& attempt = request.current;
  ++request.delivered_sends;
  state.effects.emplace_back(IncrementCounter{Counter::kStalledAttempts});
  RecordSilence(state, attempt);
  RecordFailure(state, attempt.backend, "silent");
  CheckLivenessOfAll(state, request, attempt);
}

// Keeps the current attempt beside the next one.
void SetAside(State& state, Request& request) {
  Attempt& attempt = request.current;
  request.excluded.insert(attempt.backend);
  if (!attempt.relay.empty()) request.tried_relays.insert(attempt.relay);
  request.stalled.push_back(std::exchange(attempt, {}));
  request.phase = Phase::kWaiting;
  request.retry_at = state.now;
  state.has_unpublished_changes = true;
}

std::vector<Attempt>::iterator FindStalled(Request& request, AttemptId id) {
  return std::find_if(request.stalled.begin(), request.stalled.end(),
                      [&](const Attempt& it) { return it.id == id; });
}

// Puts a stalled attempt in the place of its hedge, which is cancelled.
void MakeCurrent(State& state, Request& request, AttemptId id,
                 const std::string& reason) {
  WithdrawPlacement(state, request);
  // A late response to the withdrawn placement request is none to the next one.
  ++request.attempt_number;
  if (request.current.connecting) --request.possible_runs;
  EndAttempt(state, request, true);
  ReleaseRetry(state, request);
  const auto it = FindStalled(request, id);
  request.current = std::move(*it);
  request.stalled.erase(it);
  request.phase =
      request.current.relay.empty() ? Phase::kRunning : Phase::kRelayed;
  request.placer.clear();
  state.has_unpublished_changes = true;
  state.effects.emplace_back(IncrementCounter{Counter::kHedgesLeft});
  Log(state, "goes_on",
      {{"request", request.metadata.id},
       {"attempt", std::to_string(id)},
       {"backend", request.current.backend_name},
       {"why", reason}});
}

}  // namespace

bool IsStalled(const Attempt& attempt) { return attempt.hedge_due != Time{}; }

bool IsHedgeDue(const State& state, const Request& request) {
  const Attempt& attempt = request.current;
  const bool runs = request.phase == Phase::kRelayed ||
                    (request.phase == Phase::kRunning && !attempt.connecting);
  if (!runs || !MayRunAgain(request.route.kind)) return false;
  if (state.now < attempt.hedge_due) return false;
  return state.now >= attempt.progress_deadline || IsRelayGone(state, request);
}

void HedgeAttempt(State& state, Request& request, const std::string& reason) {
  const bool is_first = !IsStalled(request.current);
  request.current.hedge_due = state.now + kHedgeRetryInterval;
  if (is_first) {
    RecordStall(state, request);
    state.has_unpublished_changes = true;
  }
  const RetryDenial denial = ReserveRerun(state, request);
  const bool is_hedged = denial == RetryDenial::kNothing;
  if (is_first || is_hedged) {
    const Attempt& attempt = request.current;
    Log(state, "stalled",
        {{"request", request.metadata.id},
         {"attempt", std::to_string(attempt.id)},
         {"backend", attempt.backend_name},
         {"why", reason},
         {"begun", request.response_started ? "true" : "false"},
         {"silent_ms", Millis(state.now - attempt.backend_alive_at)},
         {"no_repeat_for", std::string(NameIn(kRetryDenialNames, denial))}});
  }
  if (!is_hedged) return;
  state.effects.emplace_back(IncrementCounter{Counter::kHedges});
  if (request.response_started)
    state.effects.emplace_back(IncrementCounter{Counter::kResumed});
  SetAside(state, request);
  TryStart(state, request);
}

Attempt& AttemptOf(Request& request, AttemptId id) {
  return request.current.id == id ? request.current : *FindStalled(request, id);
}

void ResumeStalled(State& state, Request& request, AttemptId id) {
  if (request.current.id == id) return;
  MakeCurrent(state, request, id, "progress");
  RecordSuccess(state, request.current.backend);
}

bool ReturnToStalled(State& state, Request& request, Refusal reason) {
  if (request.stalled.empty()) return false;
  MakeCurrent(state, request, request.stalled.back().id,
              std::string(NameIn(kRefusalNames, reason)));
  request.current.hedge_due = state.now + kHedgeRetryInterval;
  return true;
}

void EndStalled(State& state, Request& request) {
  for (Attempt& it : request.stalled) {
    ReleaseReservations(state, it);
    state.effects.emplace_back(CancelAttempt{.attempt = it.id});
    state.attempts.erase(it.id);
  }
  request.stalled.clear();
}

void DropStalled(State& state, Request& request, AttemptId id) {
  const auto it = FindStalled(request, id);
  ReleaseReservations(state, *it);
  state.attempts.erase(id);
  request.stalled.erase(it);
}

}  // namespace scaleshed::serving::internal
