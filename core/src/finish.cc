#include <algorithm>

#include "internal/steps.h"

namespace scaleshed::internal {
namespace {

constexpr Duration kCancelRetry = milliseconds(250);
constexpr int kMostCancelDoublings = 4;

void Reply(State& state, RequestKey key, const Origin& origin,
           const Final& final, Effects& out) {
  std::visit(
      Overloaded{
          [&](const CallerOrigin&) {
            out.push_back(ReplyFinal{.key = key, .final = final});
          },
          [&](const PeerOrigin& it) {
            // Another incarnation has other keys.
            if (!state.membership.IsReachable(it.peer)) return;
            const Member* peer = state.membership.Find(it.peer.instance);
            out.push_back(SendPeer{
                .peer_address = peer->peer_address,
                .message = ForwardFinal{
                    .origin = it.peer, .origin_key = it.key, .final = final}});
          },
          [](const NoOrigin&) {},
      },
      origin);
}

Counter CounterOf(Outcome outcome) {
  switch (outcome) {
    case Outcome::kDone:
      return Counter::kDone;
    case Outcome::kFailed:
      return Counter::kFailed;
    case Outcome::kNotRun:
      return Counter::kNotRun;
    case Outcome::kUnknown:
      break;
  }
  return Counter::kUnknown;
}

void ReleaseLimit(State& state, const Request& request) {
  if (!request.limited) return;
  const auto it = state.limiters.find(request.spec.account);
  if (it != state.limiters.end()) it->second.Release(request.limited_tokens);
}

// Whether this daemon keeps the record of the request's id.
bool IsHome(const State& state, const Request& request) {
  if (request.spec.may_repeat()) return false;
  const auto id = ParseRequestId(request.spec.id);
  return id && id->home == state.options.self.incarnation;
}

void SendCancel(State& state, const Incarnation& holder, AttemptId attempt,
                PendingCancel& cancel, Effects& out) {
  const int doublings = std::min(cancel.tries, kMostCancelDoublings);
  cancel.next_try = state.now + kCancelRetry * (1 << doublings);
  ++cancel.tries;
  Add(out, Counter::kCancels);
  out.push_back(CancelAttempt{
      .holder = holder, .attempt = attempt, .backend = cancel.backend});
}

}  // namespace

void Finish(State& state, Request& request, const Final& final, Effects& out) {
  DropAttempts(state, request, out);
  state.queue.Remove(request.key);
  ReleaseLimit(state, request);
  const bool is_copy = request.phase == Phase::kAttached;
  if (IsHome(state, request) && !is_copy) {
    state.ids.Finish(request.spec.id, final);
  }
  Add(out, CounterOf(final.outcome));
  Reply(state, request.key, request.origin, final, out);
  out.push_back(ReleaseCall{.key = request.key});
  const std::vector<RequestKey> attached = std::move(request.attached);
  state.deadlines.erase({request.deadline, request.key});
  state.requests.erase(request.key);
  for (const RequestKey it : attached) {
    Request* copy = FindRequest(state, it);
    if (copy != nullptr) Finish(state, *copy, final, out);
  }
}

void GiveUp(State& state, Request& request, Reason reason, std::string message,
            Duration retry_after, Effects& out) {
  bool started = request.may_have_started || request.next_offset > 0;
  for (const Attempt& it : request.attempts) {
    started = started || it.stage == Attempt::Stage::kStreaming ||
              it.stage == Attempt::Stage::kCalling;
  }
  Outcome outcome = started ? Outcome::kFailed : Outcome::kNotRun;
  const bool elsewhere = request.phase == Phase::kForwarded ||
                         request.phase == Phase::kReadingIds ||
                         request.phase == Phase::kAttached;
  if (elsewhere || (started && !request.spec.may_repeat())) {
    outcome = Outcome::kUnknown;
  }
  Finish(state, request,
         Final{.outcome = outcome,
               .reason = reason,
               .message = std::move(message),
               .retry_after = retry_after,
               .tokens = request.next_offset},
         out);
}

void Refuse(State& state, RequestKey key, const Origin& origin,
            const Final& final, Effects& out) {
  Add(out, CounterOf(final.outcome));
  Reply(state, key, origin, final, out);
  out.push_back(ReleaseCall{.key = key});
}

void OnCallerGone(State& state, const CallerGone& event, Effects& out) {
  Request* request = FindRequest(state, event.key);
  if (request == nullptr) return;
  request->origin = NoOrigin{};
  // What may not be repeated goes on: its outcome has to be known when the
  // caller asks again with the same id.
  if (!request->spec.may_repeat()) return;
  GiveUp(state, *request, Reason::kCallerGone, "the caller went away", {}, out);
}

void ForgetAttempt(State& state, Request& request, AttemptId attempt) {
  const Attempt* it = FindAttempt(request, attempt);
  if (it == nullptr) return;
  if (Backend* backend = FindBackend(state, it->backend)) {
    backend->RemoveWork(attempt);
  }
  state.attempts.erase(attempt);
  std::erase_if(request.attempts,
                [&](const Attempt& n) { return n.id == attempt; });
}

void DropAttempts(State& state, Request& request, Effects& out) {
  const std::vector<Attempt> attempts = request.attempts;
  for (const Attempt& it : attempts) {
    request.may_have_started = request.may_have_started ||
                               it.stage == Attempt::Stage::kStreaming ||
                               it.stage == Attempt::Stage::kCalling;
    const bool asked =
        it.stage != Attempt::Stage::kHolding || it.renew_at != Time{};
    const bool has_memory = it.stage != Attempt::Stage::kCalling && asked;
    if (has_memory) {
      StartCancel(state, state.options.self.incarnation, it.id, it.backend,
                  out);
    }
    ForgetAttempt(state, request, it.id);
  }
}

void StartCancel(State& state, const Incarnation& holder, AttemptId attempt,
                 const std::string& backend, Effects& out) {
  PendingCancel cancel{.backend = backend};
  const Backend* it = FindBackend(state, backend);
  if (it != nullptr && it->report()) {
    cancel.backend_incarnation = it->report()->incarnation;
  }
  const auto [place, added] =
      state.cancels.try_emplace({holder, attempt}, std::move(cancel));
  if (added) SendCancel(state, holder, attempt, place->second, out);
}

void OnCancelAnswer(State& state, const CancelAnswer& event, Effects& /*out*/) {
  if (event.confirmed) state.cancels.erase({event.holder, event.attempt});
}

void RetryCancels(State& state, Effects& out) {
  for (auto it = state.cancels.begin(); it != state.cancels.end();) {
    PendingCancel& cancel = it->second;
    const Backend* backend = FindBackend(state, cancel.backend);
    const bool replaced =
        backend != nullptr && backend->report() &&
        cancel.backend_incarnation != 0 &&
        backend->report()->incarnation != cancel.backend_incarnation;
    if (backend == nullptr || replaced) {
      it = state.cancels.erase(it);
      continue;
    }
    if (state.now >= cancel.next_try) {
      SendCancel(state, it->first.first, it->first.second, cancel, out);
    }
    ++it;
  }
}

void ExpireRequests(State& state, Effects& out) {
  while (!state.deadlines.empty()) {
    const auto [deadline, key] = *state.deadlines.begin();
    if (deadline > state.now) return;
    Request* request = FindRequest(state, key);
    if (request == nullptr) {
      state.deadlines.erase(state.deadlines.begin());
      continue;
    }
    GiveUp(state, *request, Reason::kTimeLimit, "the time limit has passed", {},
           out);
  }
}

}  // namespace scaleshed::internal
