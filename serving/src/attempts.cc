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
  constexpr int kFirstServerError = 500;
  const bool may_retry = event.status >= kFirstServerError &&
                         ReserveRerun(state, request) == RetryDenial::kNothing;
  if (may_retry) {
    RetryNow(state, request);
    return;
  }
  if (StatusMeansNotRun(event.status)) {
    // The status would tell the client that the request didn't run, which the
    // backend server hasn't said.
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
      CheckLiveness(state, request, backend.id);
      RecordFailure(state, backend.id, "at_fault");
      return;
    }
  }
}

// Records that an attempt has failed without any part of a response.
void RecordNoResponse(State& state, const Request& request) {
  if (!request.current.answered)
    RecordMissed(state, request.current.backend, request.current.sent_at);
}

// Records what an attempt shows of the path that has waited too long for any
// part of a response. A server that takes connections and is slow is reached.
void RecordSilence(State& state, const Request& request) {
  if (request.current.answered) return;
  if (request.current.connecting) {
    RecordMissed(state, request.current.backend, request.current.sent_at);
  } else {
    RecordSilent(state, request.current.backend, request.current.sent_at);
  }
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

void HandleLostAttempt(State& state, Request& request,
                       const std::string& reason) {
  request.may_have_run = true;
  CheckLiveness(state, request, request.current.backend);
  for (const BackendId it : request.current.active_request.helpers)
    CheckLiveness(state, request, it);
  const RetryDenial denial = ReserveRerun(state, request);
  Log(state, "lost",
      {{"request", request.metadata.id},
       {"attempt", std::to_string(request.current.id)},
       {"content", FingerprintText(request.metadata.fingerprint)},
       {"parts", PartsText(request.metadata)},
       {"backend", request.current.backend_name},
       {"why", reason},
       {"begun", request.response_started ? "true" : "false"},
       {"stands", request.current.stands ? "true" : "false"},
       {"silent_ms", Millis(state.now - request.current.backend_alive_at)},
       {"last_event", request.last_event_id},
       {"no_repeat_for", std::string(NameIn(kRetryDenialNames, denial))}});
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

void RecordResponse(State& state, Request& request) {
  if (std::exchange(request.current.answered, true)) return;
  if (request.phase == Phase::kRelayed)
    RecordRelayAnswered(state, request.service);
  RecordAnswered(state, request.current.backend, request.current.sent_at);
}

void OnStreamEvent(State& state, const StreamEvent& event) {
  Request* request = RequestOf(state, event.attempt);
  if (request == nullptr) return;
  RecordResponse(state, *request);
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
  request->current.stands = false;
  RecordResponse(state, *request);
  ++request->delivered_sends;
  switch (event.kind) {
    case AnswerKind::kSuccess:
      OnSuccess(state, *request, event);
      return;
    case AnswerKind::kFailure:
      OnFailureResponse(state, *request, event);
      return;
    case AnswerKind::kReplaced:
      RecordBackendGone(state, request->current.backend, "address_taken");
      break;
    case AnswerKind::kNotRun:
      RecordRefusingAddress(state, *request, event.refusing_address);
      break;
  }
  Log(state, "declined",
      {{"request", request->metadata.id},
       {"attempt", std::to_string(event.attempt)},
       {"backend", request->current.backend_name},
       {"status", std::to_string(event.status)},
       {"kind", std::string(NameIn(kAnswerKindNames, event.kind))},
       {"at_fault", event.refusing_address}});
  HandleDeclinedAttempt(state, *request);
}

void OnConnecting(State& state, const AttemptConnecting& event) {
  Request* request = RequestOf(state, event.attempt);
  if (request == nullptr || request->phase != Phase::kRunning) return;
  request->current.connecting = true;
  if (CancelIfEvacuated(state, *request)) return;
  RecordMissed(state, request->current.backend, request->current.sent_at);
  if (!IsPathDoubtful(state, request->service)) {
    if (HasMissed(state, request->service, request->current.backend))
      ProbePathNow(state, request->service);
    return;
  }
  // No byte has left, so that another daemon may send the request.
  Log(state, "not_sent",
      {{"request", request->metadata.id},
       {"backend", request->current.backend_name},
       {"why", "connecting"}});
  HandleDeclinedAttempt(state, *request);
}

void OnConnected(State& state, const AttemptConnected& event) {
  Request* request = RequestOf(state, event.attempt);
  if (request == nullptr) return;
  request->current.connecting = false;
  RecordConnected(state, request->current.backend, request->current.sent_at);
}

void OnFailed(State& state, const AttemptFailed& event) {
  Request* request = RequestOf(state, event.attempt);
  if (request == nullptr) return;
  request->current.stands = false;
  if (request->phase == Phase::kRelayed && !request->current.answered)
    RecordRelayFailure(state, *request);
  if (event.has_bytes) {
    RecordAnswered(state, request->current.backend, request->current.sent_at);
  } else {
    RecordNoResponse(state, *request);
  }
  RecordFailure(state, request->current.backend, event.detail);
  if (event.error == AttemptError::kNotSent) {
    Log(state, "not_sent",
        {{"request", request->metadata.id},
         {"backend", request->current.backend_name},
         {"why", event.detail}});
    HandleDeclinedAttempt(state, *request);
    return;
  }
  ++request->delivered_sends;
  HandleLostAttempt(state, *request, event.detail);
}

void FailAttemptsAt(State& state, BackendId incarnation) {
  EndIncarnation(state, incarnation);
  // The listing of the new incarnation may have taken this long to arrive, so
  // requests sent since then may be running at the new incarnation.
  const Time sent_before = state.now - state.options.propagation_limit;
  std::vector<RequestKey> lost;
  for (auto& [key, request] : state.requests) {
    const auto& helpers = request.current.active_request.helpers;
    for (std::size_t i = 0; i < request.current.memory_reservations.size();
         ++i) {
      // If the reservation were renewed, the new incarnation, which doesn't
      // know it, would reserve memory for it.
      if (helpers[i] == incarnation)
        request.current.memory_reservations[i].reservation_id.clear();
    }
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
    ++request.delivered_sends;
    HandleLostAttempt(state, request, "started_again");
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
    const Duration grace = running ? kResponseGracePeriod : Duration::zero();
    if (state.now >= request.deadline + grace) {
      request.may_have_run = request.may_have_run || running;
      RefuseRequest(state, request, Refusal::kTimeLimit, kRetryAfterDeclined);
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
      RecordSilence(state, request);
    }
    const bool stalled = state.now >= request.current.progress_deadline ||
                         IsRelayGone(state, request);
    if (running && MayRunAgain(request.route.kind) && stalled) {
      ++request.delivered_sends;
      RecordSilence(state, request);
      RecordFailure(state, request.current.backend, "silent");
      HandleLostAttempt(state, request, "silent");
    }
  }
}

}  // namespace scaleshed::serving::internal
