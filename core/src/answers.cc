#include <algorithm>

#include "internal/steps.h"

namespace scaleshed::internal {
namespace {

bool SurelyNotStarted(AttemptError error) {
  return error == AttemptError::kNotSent || error == AttemptError::kRefused ||
         error == AttemptError::kLeaving;
}

// Tokens follow each other within tens of milliseconds; a stream that is silent
// for this long is lost, even if its connection stands.
constexpr Duration kMostTokenGap = seconds(3);

// A request that failed this often is given up.
constexpr int kMostTries = 5;

// Tells the origin of one more token.
void PassOn(Request& request, const State& state, const std::string& text,
            Effects& out) {
  const std::int64_t offset = request.next_offset;
  std::visit(
      Overloaded{
          [&](const CallerOrigin&) {
            out.push_back(
                ReplyChunk{.key = request.key, .offset = offset, .text = text});
          },
          [&](const PeerOrigin& it) {
            // Another incarnation has other keys.
            if (!state.membership.IsReachable(it.peer)) return;
            const Member* peer = state.membership.Find(it.peer.instance);
            out.push_back(SendPeer{.peer_address = peer->peer_address,
                                   .message = ForwardChunk{.origin = it.peer,
                                                           .origin_key = it.key,
                                                           .offset = offset,
                                                           .text = text}});
          },
          [](const NoOrigin&) {},
      },
      request.origin);
}

// Tries a request again elsewhere, as far as the budget goes.
void Retry(State& state, Request& request, Duration retry_after, Effects& out) {
  ++request.failures;
  if (request.failures >= kMostTries || !state.retries.TryTake()) {
    Add(out, Counter::kRetriesDenied);
    GiveUp(state, request, Reason::kBackendFailed,
           "the backend servers fail, and the tries or the retry budget are "
           "spent",
           seconds(1), out);
    return;
  }
  Add(out, Counter::kRetries);
  if (request.model_call() == nullptr) {
    DispatchService(state, request, out);
    return;
  }
  const Duration backoff = Backoff(request.failures, state.random);
  Enqueue(state, request, std::max(backoff, retry_after));
}

// At most half of a pool is ejected: when most of it fails, the fault is likely
// to be elsewhere, and the rest could not carry the load.
bool MayEject(const State& state, const Backend& backend) {
  const Pool& pool = state.pools.at(backend.instance().service);
  const auto ejected = std::count_if(
      pool.begin(), pool.end(),
      [&](const auto& it) { return it.second.IsEjected(state.now); });
  return static_cast<std::size_t>(ejected) * 2 + 2 <= pool.size();
}

void NoteFailure(State& state, const std::string& name, AttemptError error,
                 Effects& out) {
  Backend* backend = FindBackend(state, name);
  if (backend == nullptr) return;
  if (error == AttemptError::kLeaving) backend->SetLeaving();
  const bool unreachable = error == AttemptError::kNotSent;
  const bool is_fault = unreachable || error == AttemptError::kCut;
  if (!is_fault || !backend->Failed(unreachable)) return;
  if (backend->IsEjected(state.now) || !MayEject(state, *backend)) return;
  backend->Eject(state.now);
  Add(out, Counter::kEjections);
  out.push_back(LogChange{.what = "backend_ejected",
                          .subject = name,
                          .detail = "failures in a row"});
}

// A stream that was cut while its engine lives goes on from where it stopped.
bool TryResume(State& state, Request& request, Attempt& attempt, Effects& out) {
  const Backend* backend = FindBackend(state, attempt.backend);
  const bool resumable = attempt.stage == Attempt::Stage::kStreaming &&
                         !attempt.resumed && backend != nullptr &&
                         backend->HasWork(attempt.id);
  if (!resumable) return false;
  attempt.resumed = true;
  if (request.next_offset > 0) attempt.progress_by = state.now + kMostTokenGap;
  const std::int64_t offset = attempt.rank == 0 ? request.next_offset : 0;
  out.push_back(ResumeStream{
      .attempt = attempt.id, .engine = attempt.backend, .offset = offset});
  return true;
}

// A full engine's refusal is no fault, costs no budget and is only waited out.
void WaitForRoom(State& state, Request& request, Duration retry_after) {
  constexpr Duration kLongestWait = milliseconds(500);
  constexpr int kMostSteps = 4;
  ++request.refusals;
  const Duration backoff =
      Backoff(std::min(request.refusals, kMostSteps), state.random);
  Enqueue(state, request,
          std::min(std::max(backoff, retry_after), kLongestWait));
}

}  // namespace

void OnStreamFrame(State& state, const StreamFrame& event, Effects& out) {
  Request* request = RequestOf(state, event.attempt);
  if (request == nullptr) {
    Add(out, Counter::kLateFrames);
    return;
  }
  Attempt* attempt = FindAttempt(*request, event.attempt);
  const bool counts = attempt != nullptr && attempt->rank == 0 &&
                      attempt->stage == Attempt::Stage::kStreaming;
  if (!counts || event.offset < request->next_offset) {
    Add(out, Counter::kLateFrames);
    return;
  }
  if (event.offset > request->next_offset) {
    // A frame is missing; the stream is read again from where it broke.
    OnAttemptFailed(state,
                    AttemptFailed{.attempt = event.attempt,
                                  .error = AttemptError::kCut,
                                  .retry_after = {},
                                  .detail = "missing frame"},
                    out);
    return;
  }
  const std::uint64_t guard = ChainChecksum(request->guard, event.text);
  if (guard != event.checksum) {
    // A token of another answer; its own will come, or will be missed.
    Add(out, Counter::kLateFrames);
    return;
  }
  if (Backend* backend = FindBackend(state, attempt->backend)) {
    backend->FirstToken(event.attempt);
    backend->Succeeded();
  }
  if (request->next_offset == 0) {
    out.push_back(
        ObserveFirstToken{.account = request->spec.account,
                          .priority = request->priority,
                          .prompt_tokens = request->model_call()->prompt_tokens,
                          .elapsed = state.now - request->arrived});
  }
  attempt->progress_by = state.now + kMostTokenGap;
  PassOn(*request, state, event.text, out);
  request->checksum = ChainChecksum(request->checksum, event.text);
  request->guard = guard;
  ++request->next_offset;
}

void OnStreamEnd(State& state, const StreamEnd& event, Effects& out) {
  Request* request = RequestOf(state, event.attempt);
  if (request == nullptr) return;
  const Attempt* attempt = FindAttempt(*request, event.attempt);
  if (attempt == nullptr || attempt->rank != 0) return;
  if (event.tokens > request->next_offset) {
    OnAttemptFailed(state,
                    AttemptFailed{.attempt = event.attempt,
                                  .error = AttemptError::kCut,
                                  .retry_after = {},
                                  .detail = "missing frames before the end"},
                    out);
    return;
  }
  const bool whole =
      event.tokens == request->next_offset && event.checksum == request->guard;
  // An ended stream holds nothing at its engine any more.
  ForgetAttempt(state, *request, event.attempt);
  request->may_have_started = true;
  if (!whole) {
    GiveUp(state, *request, Reason::kBackendFailed,
           "the answer's count or checksum does not match", Duration::zero(),
           out);
    return;
  }
  Finish(state, *request,
         Final{.outcome = Outcome::kDone,
               .message = {},
               .tokens = request->next_offset,
               .checksum = request->checksum},
         out);
}

void OnServiceAnswer(State& state, const ServiceAnswer& event, Effects& out) {
  Request* request = RequestOf(state, event.attempt);
  if (request == nullptr) return;
  const Attempt* attempt = FindAttempt(*request, event.attempt);
  if (Backend* backend = FindBackend(state, attempt->backend)) {
    backend->Succeeded();
  }
  ForgetAttempt(state, *request, event.attempt);
  request->may_have_started = true;
  Finish(state, *request,
         Final{.outcome = Outcome::kDone,
               .message = {},
               .status = event.status,
               .content_type = event.content_type,
               .body = event.body},
         out);
}

void OnAttemptFailed(State& state, const AttemptFailed& event, Effects& out) {
  Request* request = RequestOf(state, event.attempt);
  if (request == nullptr) return;
  Attempt* attempt = FindAttempt(*request, event.attempt);
  const std::string backend = attempt->backend;
  NoteFailure(state, backend, event.error, out);
  if (event.error == AttemptError::kCut && request->spec.may_repeat() &&
      TryResume(state, *request, *attempt, out)) {
    return;
  }
  // A resumed stream that its engine does not know any more had started.
  const bool started = !SurelyNotStarted(event.error) || attempt->resumed;
  if (started && attempt->stage != Attempt::Stage::kHolding &&
      attempt->stage != Attempt::Stage::kHeld) {
    request->may_have_started = true;
  }
  if (!started) ForgetAttempt(state, *request, event.attempt);
  // The rest of a group is of no use without this one.
  DropAttempts(state, *request, out);
  request->avoid = backend;
  if (event.error == AttemptError::kRejected) {
    GiveUp(state, *request, Reason::kBackendFailed, event.detail, {}, out);
    return;
  }
  if (event.error == AttemptError::kTimeLimit) {
    GiveUp(state, *request, Reason::kTimeLimit, "the time limit has passed", {},
           out);
    return;
  }
  if (request->may_have_started && !request->spec.may_repeat()) {
    GiveUp(state, *request, Reason::kBackendFailed,
           "the backend server's answer was lost", {}, out);
    return;
  }
  const bool is_model_call = request->model_call() != nullptr;
  if (event.error == AttemptError::kLeaving && !is_model_call) {
    // No fault, and it will not be chosen again.
    DispatchService(state, *request, out);
  } else if (SurelyNotStarted(event.error) && is_model_call &&
             event.error != AttemptError::kNotSent) {
    WaitForRoom(state, *request, event.retry_after);
  } else {
    Retry(state, *request, event.retry_after, out);
  }
}

void ExpireProgress(State& state, Effects& out) {
  std::vector<AttemptId> lost;
  for (auto& [key, request] : state.requests) {
    for (Attempt& it : request.attempts) {
      if (it.rank != 0 || it.progress_by > state.now) continue;
      // Its engine does not move it; connecting again would not help.
      it.resumed = true;
      lost.push_back(it.id);
    }
  }
  std::sort(lost.begin(), lost.end());
  for (const AttemptId it : lost) {
    OnAttemptFailed(state,
                    AttemptFailed{.attempt = it,
                                  .error = AttemptError::kCut,
                                  .retry_after = {},
                                  .detail = "no progress"},
                    out);
  }
}

void FailAttemptsAt(State& state, const std::string& backend, Effects& out) {
  std::vector<AttemptId> lost;
  for (const auto& [key, request] : state.requests) {
    for (const Attempt& it : request.attempts) {
      if (it.backend == backend) lost.push_back(it.id);
    }
  }
  std::sort(lost.begin(), lost.end());
  for (const AttemptId it : lost) {
    Request* request = RequestOf(state, it);
    if (request == nullptr) continue;
    FindAttempt(*request, it)->resumed = true;
    OnAttemptFailed(state,
                    AttemptFailed{.attempt = it,
                                  .error = AttemptError::kCut,
                                  .retry_after = {},
                                  .detail = "the backend server was replaced"},
                    out);
  }
}

}  // namespace scaleshed::internal
