#include <algorithm>
#include <utility>

#include "internal/durations.h"
#include "internal/steps.h"
#include "scaleshed/serving/reducer.h"

namespace scaleshed::serving::internal {
namespace {

// A stream counts as stalled, and is resumed at another backend server, if no
// event arrives for kStallTimeoutInEventGaps times the route's greatest allowed
// event gap, or kMinStallTimeout if that is longer: the requests of a dead
// backend server stand still for that long in the worst case.
constexpr int kStallTimeoutInEventGaps = 5;
constexpr Duration kMinStallTimeout = milliseconds(1000);
// After twice the expected time plus this, a request without any part of a
// response counts for the network path: by whether its connection stands.
constexpr Duration kSilenceGrace = milliseconds(400);
// How long after the deadline a running request still waits for the backend
// server's own response to the timeout.
constexpr Duration kResponseGracePeriod = milliseconds(100);

constexpr int kFirstServerError = 500;

bool StatusMeansNotRun(int status) {
  // These statuses tell the client that the request didn't run.
  return status == 408 || status == 421 || status == 429 || status == 503;
}

void FinishRequest(State& state, Request& request) {
  Log(state, "answered",
      {{"request", request.metadata.id},
       {"route", request.route.name},
       {"account", request.account},
       {"backend", request.current.backend_name},
       {"runs", std::to_string(request.possible_runs)},
       {"prompt", std::to_string(request.metadata.prompt_tokens)},
       {"helpers",
        std::to_string(request.current.active_request.helpers.size())},
       {"waited_ms", Millis(request.current.sent_at - request.arrived)},
       {"expected_ms", Millis(request.current.expected_time_to_first_token)},
       {"first_ms", Millis(request.time_to_first_token)},
       {"pause_ms", Millis(request.longest_event_gap)},
       {"after_ms", Millis(state.now - request.arrived)}},
      /*routine=*/request.possible_runs == 1 && request.declined_sends == 0);
  state.effects.emplace_back(IncrementCounter{Counter::kDelivered});
  EndAttempt(state, request, false);
  EraseRequest(state, request.key);
}

void ObserveFirstResponse(State& state, const Request& request) {
  state.effects.emplace_back(
      ObserveLatency{.account = request.account,
                     .route = request.route.name,
                     .elapsed = state.now - request.arrived});
}

void RetryNow(State& state, Request& request) {
  request.excluded.insert(request.current.backend);
  EndAttempt(state, request, true);
  request.phase = Phase::kWaiting;
  request.retry_at = state.now;
  if (request.response_started)
    state.effects.emplace_back(IncrementCounter{Counter::kResumed});
  TryStart(state, request);
}

void OnFailureResponse(State& state, Request& request,
                       const AttemptAnswered& event) {
  RecordFailedResponse(state, request.current.backend);
  request.may_have_run = true;
  const bool may_retry = event.status >= kFirstServerError &&
                         ReserveRerun(state, request) == RetryDenial::kNothing;
  if (may_retry) {
    RetryNow(state, request);
    return;
  }
  // A status that means not run would tell the client what the backend server
  // hasn't said; a response that has started can't become another one; and an
  // attempt that stalls may still succeed.
  const bool is_deliverable = !StatusMeansNotRun(event.status) &&
                              !request.response_started &&
                              request.stalled.empty();
  if (!is_deliverable) {
    RefuseRequest(state, request, Refusal::kUnknown, {});
    return;
  }
  state.effects.emplace_back(
      DeliverAnswer{.key = request.key, .attempt = event.attempt});
  Log(state, "delivered_failure",
      {{"request", request.metadata.id},
       {"status", std::to_string(event.status)},
       {"backend", request.current.backend_name},
       {"runs", std::to_string(request.possible_runs)}});
  FinishRequest(state, request);
}

void OnSuccess(State& state, Request& request, const AttemptAnswered& event) {
  ClearAfterSuccess(state, request);
  ClearPartsAfterSuccess(state, request);
  RecordSuccess(state, request.current.backend);
  if (!IsStream(request.route.kind)) {
    ObserveFirstResponse(state, request);
    state.effects.emplace_back(
        DeliverAnswer{.key = request.key, .attempt = event.attempt});
  } else {
    if (!request.response_started) {
      state.effects.emplace_back(
          BeginStream{.key = request.key, .attempt = event.attempt});
    }
    state.effects.emplace_back(EndStream{.key = request.key});
  }
  FinishRequest(state, request);
}

void RecordRefusingAddress(State& state, const Request& request,
                           const std::string& address) {
  for (auto& [name, backend] : state.backends) {
    if (backend.server.address == address) {
      CheckLiveness(state, request, request.current, backend.id);
      RecordFailure(state, backend.id, "at_fault");
      return;
    }
  }
}

// Records that an attempt has failed without any part of a response.
void RecordNoResponse(State& state, const Attempt& attempt) {
  if (!attempt.answered) RecordMissed(state, attempt.backend, attempt.sent_at);
}

void LogLost(State& state, const Request& request, const Attempt& attempt,
             const std::string& reason, RetryDenial denial) {
  Log(state, "lost",
      {{"request", request.metadata.id},
       {"attempt", std::to_string(attempt.id)},
       {"content", FingerprintText(request.metadata.fingerprint)},
       {"parts", PartsText(request.metadata)},
       {"backend", attempt.backend_name},
       {"why", reason},
       {"begun", request.response_started ? "true" : "false"},
       {"stands", attempt.stands ? "true" : "false"},
       {"silent_ms", Millis(state.now - attempt.backend_alive_at)},
       {"last_event", request.last_event_id},
       {"no_repeat_for", std::string(NameIn(kRetryDenialNames, denial))}});
}

void LogDeclined(State& state, const Request& request, const Attempt& attempt,
                 const AttemptAnswered& event) {
  Log(state, "declined",
      {{"request", request.metadata.id},
       {"attempt", std::to_string(event.attempt)},
       {"backend", attempt.backend_name},
       {"status", std::to_string(event.status)},
       {"kind", std::string(NameIn(kAnswerKindNames, event.kind))},
       {"at_fault", event.refusing_address}});
}

// Records that the server of the attempt declined it, and which is at fault.
void RecordDeclined(State& state, const Request& request,
                    const Attempt& attempt, const AttemptAnswered& event) {
  if (event.kind == AnswerKind::kReplaced) {
    RecordBackendGone(state, attempt.backend, "address_taken");
  } else {
    RecordRefusingAddress(state, request, event.refusing_address);
  }
  LogDeclined(state, request, attempt, event);
}

// Whether the answer to a stalled attempt is to be delivered to the client.
bool IsFinal(const Request& request, const AttemptAnswered& event) {
  if (event.kind == AnswerKind::kSuccess) return true;
  return event.kind == AnswerKind::kFailure &&
         event.status < kFirstServerError && !StatusMeansNotRun(event.status) &&
         !request.response_started;
}

// Processes the answer to a stalled attempt that serves nobody: its hedge goes
// on.
void OnStalledAnswered(State& state, Request& request,
                       const AttemptAnswered& event) {
  const Attempt& attempt = AttemptOf(request, event.attempt);
  if (event.kind == AnswerKind::kFailure) {
    request.may_have_run = true;
    RecordFailedResponse(state, attempt.backend);
    LogLost(state, request, attempt, std::to_string(event.status),
            RetryDenial::kNothing);
  } else {
    --request.possible_runs;
    ++request.declined_sends;
    RecordDeclined(state, request, attempt, event);
  }
  DropStalled(state, request, event.attempt);
}

}  // namespace

Request* RequestOf(State& state, AttemptId attempt) {
  const auto found = state.attempts.find(attempt);
  if (found == state.attempts.end()) return nullptr;
  return &state.requests.at(found->second);
}

bool IsAtBackend(const Request& request) {
  return request.phase == Phase::kReserving || request.phase == Phase::kRunning;
}

void RecordSilence(State& state, const Attempt& attempt) {
  if (attempt.answered) return;
  if (attempt.connecting) {
    RecordMissed(state, attempt.backend, attempt.sent_at);
  } else {
    RecordSilent(state, attempt.backend, attempt.sent_at);
  }
}

bool CountsForPlacement(const Request& request) {
  const bool holds_up_probation =
      IsStream(request.route.kind) && IsStalled(request.current);
  return IsAtBackend(request) && !holds_up_probation;
}

void HandleLostAttempt(State& state, Request& request,
                       const std::string& reason) {
  request.may_have_run = true;
  CheckLivenessOfAll(state, request, request.current);
  const RetryDenial denial = ReserveRerun(state, request);
  LogLost(state, request, request.current, reason, denial);
  if (denial == RetryDenial::kNothing) {
    RetryNow(state, request);
    return;
  }
  RefuseRequest(state, request, Refusal::kUnknown, {});
}

void HandleDeclinedAttempt(State& state, Request& request) {
  --request.possible_runs;
  ++request.declined_sends;
  if (ReserveRetry(state, request) == RetryDenial::kNothing) {
    RetryNow(state, request);
    return;
  }
  RefuseRequest(state, request, Refusal::kNotRun, kRetryAfterDeclined);
}

void RecordResponse(State& state, const Request& request, Attempt& attempt) {
  if (std::exchange(attempt.answered, true)) return;
  if (!attempt.relay.empty()) RecordRelayAnswered(state, request.service);
  RecordAnswered(state, attempt.backend, attempt.sent_at);
}

void OnStreamEvent(State& state, const StreamEvent& event) {
  Request* request = RequestOf(state, event.attempt);
  if (request == nullptr) return;
  ResumeStalled(state, *request, event.attempt);
  EndStalled(state, *request);
  RecordResponse(state, *request, request->current);
  if (!request->current.active_request.decoding) {
    ++request->delivered_sends;
    request->time_to_first_token = state.now - request->current.sent_at;
    request->current.active_request.decoding = true;
    request->current.first_event_at = state.now;
    state.has_unpublished_changes = true;
    RecordSuccess(state, request->current.backend);
  }
  if (!request->response_started) {
    request->response_started = true;
    ObserveFirstResponse(state, *request);
    state.effects.emplace_back(
        BeginStream{.key = request->key, .attempt = event.attempt});
  }
  if (request->last_event_at != Time{}) {
    request->longest_event_gap = std::max(request->longest_event_gap,
                                          state.now - request->last_event_at);
  }
  RecordAlive(state, request->current.backend);
  request->last_event_at = state.now;
  ClearPartsOnProgress(state, *request);
  request->current.backend_alive_at = state.now;
  if (IsStalled(request->current)) {
    request->current.hedge_due = Time{};
    state.has_unpublished_changes = true;
  }
  if (!event.id.empty()) request->last_event_id = event.id;
  state.effects.emplace_back(
      ForwardEvent{.key = request->key, .bytes = event.bytes});
  request->current.progress_deadline =
      state.now +
      std::max(kStallTimeoutInEventGaps * request->route.max_event_gap,
               kMinStallTimeout);
}

void OnAnswered(State& state, const AttemptAnswered& event) {
  Request* request = RequestOf(state, event.attempt);
  if (request == nullptr) return;
  Attempt& attempt = AttemptOf(*request, event.attempt);
  attempt.stands = false;
  RecordResponse(state, *request, attempt);
  ++request->delivered_sends;
  const bool is_stalled = event.attempt != request->current.id;
  if (is_stalled && !IsFinal(*request, event)) {
    OnStalledAnswered(state, *request, event);
    return;
  }
  ResumeStalled(state, *request, event.attempt);
  switch (event.kind) {
    case AnswerKind::kSuccess:
      OnSuccess(state, *request, event);
      return;
    case AnswerKind::kFailure:
      OnFailureResponse(state, *request, event);
      return;
    case AnswerKind::kReplaced:
    case AnswerKind::kNotRun:
      RecordDeclined(state, *request, request->current, event);
      HandleDeclinedAttempt(state, *request);
      return;
  }
}

void OnConnecting(State& state, const AttemptConnecting& event) {
  Request* request = RequestOf(state, event.attempt);
  if (request == nullptr || request->phase != Phase::kRunning) return;
  if (event.attempt != request->current.id) return;
  request->current.connecting = true;
  if (CancelIfEvacuated(state, *request)) return;
  RecordMissed(state, request->current.backend, request->current.sent_at);
  if (!IsPathDoubtful(state, request->service)) {
    if (HasMissed(state, request->service, request->current.backend))
      ProbePathNow(state, request->service);
    return;
  }
  // No byte has left, so that another daemon may send the request. Without one
  // more send it is left to this connection, which may still come about.
  if (ReserveRetry(state, *request) != RetryDenial::kNothing) return;
  --request->possible_runs;
  ++request->declined_sends;
  Log(state, "not_sent",
      {{"request", request->metadata.id},
       {"backend", request->current.backend_name},
       {"why", "connecting"}});
  RetryNow(state, *request);
}

void OnConnected(State& state, const AttemptConnected& event) {
  Request* request = RequestOf(state, event.attempt);
  if (request == nullptr) return;
  Attempt& attempt = AttemptOf(*request, event.attempt);
  attempt.connecting = false;
  RecordConnected(state, attempt.backend, attempt.sent_at);
}

void OnFailed(State& state, const AttemptFailed& event) {
  Request* request = RequestOf(state, event.attempt);
  if (request == nullptr) return;
  Attempt& attempt = AttemptOf(*request, event.attempt);
  attempt.stands = false;
  if (!attempt.relay.empty() && !attempt.answered)
    RecordRelayFailure(state, *request, attempt.relay);
  if (event.has_bytes) {
    RecordAnswered(state, attempt.backend, attempt.sent_at);
  } else {
    RecordNoResponse(state, attempt);
  }
  RecordFailure(state, attempt.backend, event.detail);
  if (event.attempt != request->current.id) {
    request->may_have_run = true;
    CheckLivenessOfAll(state, *request, attempt);
    LogLost(state, *request, attempt, event.detail, RetryDenial::kNothing);
    DropStalled(state, *request, event.attempt);
    return;
  }
  if (event.error == AttemptError::kNotSent) {
    Log(state, "not_sent",
        {{"request", request->metadata.id},
         {"backend", attempt.backend_name},
         {"why", event.detail}});
    HandleDeclinedAttempt(state, *request);
    return;
  }
  ++request->delivered_sends;
  HandleLostAttempt(state, *request, event.detail);
}

// If a reservation at the incarnation were renewed, the next incarnation, which
// doesn't know it, would reserve memory for it.
void ForgetReservationsAt(Attempt& attempt, BackendId incarnation) {
  const auto& helpers = attempt.active_request.helpers;
  for (std::size_t i = 0; i < attempt.memory_reservations.size(); ++i) {
    if (helpers[i] == incarnation)
      attempt.memory_reservations[i].reservation_id.clear();
  }
}

void FailAttemptsAt(State& state, BackendId incarnation) {
  EndIncarnation(state, incarnation);
  // The listing of the new incarnation may have taken this long to arrive, so
  // requests sent since then may be running at the new incarnation.
  const Time sent_before = state.now - state.options.propagation_limit;
  std::vector<RequestKey> lost;
  for (auto& [key, request] : state.requests) {
    ForgetReservationsAt(request.current, incarnation);
    for (Attempt& it : request.stalled) ForgetReservationsAt(it, incarnation);
    const auto& helpers = request.current.active_request.helpers;
    const bool is_helper =
        std::find(helpers.begin(), helpers.end(), incarnation) != helpers.end();
    const bool is_assigned =
        request.current.id != 0 && request.current.backend == incarnation;
    if (request.phase == Phase::kReserving && (is_assigned || is_helper)) {
      lost.push_back(key);
      continue;
    }
    // A request that must not run again is left to its connection: if it were
    // failed by mistake, it would be aborted while it runs, and nothing would
    // be gained.
    const bool may_retry = MayRunAgain(request.route.kind) &&
                           request.current.backend_alive_at < sent_before;
    if (request.phase == Phase::kRunning && is_assigned && may_retry)
      lost.push_back(key);
  }
  for (const RequestKey key : lost) {
    Request& request = state.requests.at(key);
    if (request.phase == Phase::kReserving) {
      Requeue(state, request, Duration::zero());
      continue;
    }
    HedgeAttempt(state, request, "started_again");
  }
}

void ExpireAttempts(State& state) {
  std::vector<RequestKey> keys;
  for (const auto& [key, request] : state.requests) keys.push_back(key);
  for (const RequestKey key : keys) {
    const auto it = state.requests.find(key);
    if (it == state.requests.end()) continue;
    Request& request = it->second;
    const bool running =
        request.phase == Phase::kRelayed ||
        (request.phase == Phase::kRunning && !request.current.connecting);
    const bool may_answer = running || !request.stalled.empty();
    const Duration grace = may_answer ? kResponseGracePeriod : Duration::zero();
    if (state.now >= request.deadline + grace) {
      request.may_have_run = request.may_have_run || may_answer;
      EndWithRefusal(state, request, Refusal::kTimeLimit, kRetryAfterDeclined);
      continue;
    }
    if (request.phase == Phase::kReserving &&
        state.now >= request.current.progress_deadline) {
      Requeue(state, request, Duration::zero());
      continue;
    }
    RenewReservations(state, request);
    const Duration silence_limit =
        2 * request.current.expected_time_to_first_token + kSilenceGrace;
    if (request.phase == Phase::kRunning &&
        state.now >= request.current.sent_at + silence_limit) {
      RecordSilence(state, request.current);
    }
    if (IsHedgeDue(state, request)) {
      HedgeAttempt(state, request,
                   IsRelayGone(state, request) ? "relay_gone" : "silent");
    }
  }
}

}  // namespace scaleshed::serving::internal
