#include <algorithm>

#include "internal/steps.h"

namespace scaleshed::internal {
namespace {

// A daemon whose share is used up asks for more after this time.
constexpr Duration kSoonestDemand = milliseconds(50);

Final Refusal(Reason reason, std::string message, Duration retry_after = {}) {
  return Final{.outcome = Outcome::kNotRun,
               .reason = reason,
               .message = std::move(message),
               .retry_after = retry_after};
}

Final Unknown(Reason reason, std::string message) {
  return Final{.outcome = Outcome::kUnknown,
               .reason = reason,
               .message = std::move(message)};
}

std::int64_t LimitedTokens(const CallSpec& spec) {
  const auto* call = std::get_if<ModelCall>(&spec.call);
  return call == nullptr ? 0 : TokensNeeded(*call);
}

std::optional<Final> CheckModelCall(const State& state,
                                    const AccountTemplate& account,
                                    const ModelCall& call) {
  const auto model = state.configuration.fleet.models.find(call.model);
  if (model == state.configuration.fleet.models.end()) {
    return Refusal(Reason::kInvalidRequest,
                   "unknown model '" + call.model + "'");
  }
  if (!account.models.contains(call.model)) {
    return Refusal(Reason::kNotAllowed, "account '" + account.name +
                                            "' may not use model '" +
                                            call.model + "'");
  }
  if (!call.adapter.empty() && !account.adapters.contains(call.adapter)) {
    return Refusal(Reason::kNotAllowed, "account '" + account.name +
                                            "' may not use adapter '" +
                                            call.adapter + "'");
  }
  if (call.prompt_tokens > model->second.max_prompt_tokens) {
    return Refusal(Reason::kTooLong,
                   "the prompt has " + std::to_string(call.prompt_tokens) +
                       " tokens; the model takes at most " +
                       std::to_string(model->second.max_prompt_tokens));
  }
  return std::nullopt;
}

std::optional<Final> CheckServiceCall(const State& state,
                                      const AccountTemplate& account,
                                      const ServiceCall& call) {
  if (!state.configuration.fleet.services.contains(call.service)) {
    return Refusal(Reason::kInvalidRequest,
                   "unknown service '" + call.service + "'");
  }
  if (!account.services.contains(call.service)) {
    return Refusal(Reason::kNotAllowed, "account '" + account.name +
                                            "' may not use service '" +
                                            call.service + "'");
  }
  return std::nullopt;
}

// How long a request of `priority` would wait before its own prefill.
Duration ExpectedWait(const State& state, Priority priority,
                      const PlacementQuery& query) {
  if (query.engines.empty()) return Duration::zero();
  Duration least = Duration::max();
  for (const Backend* it : query.engines) {
    least = std::min(least, it->Backlog(state.now, query.priority));
  }
  const auto engines = static_cast<std::int64_t>(query.engines.size());
  return least + state.queue.WorkBefore(priority, query.priority) / engines;
}

// The part of its time limit that a request of a class may spend waiting. The
// lower the class, the earlier it is refused under overload.
double WaitShare(Priority priority) {
  switch (priority) {
    case Priority::kInteractive:
      return 0.8;
    case Priority::kStandard:
      return 0.4;
    case Priority::kBatch:
      break;
  }
  return 0.2;
}

// Refuses what can't be done in time, after making room by ending requests of
// lower classes that wait.
std::optional<Final> CheckLoad(State& state, const Request& request,
                               const ModelCall& call, Effects& out) {
  const PlacementQuery query =
      MakeQuery(state, call, request.priority, nullptr);
  if (query.engines.empty()) {
    return Refusal(Reason::kNoBackend,
                   "no engine of model '" + call.model + "' takes work now",
                   seconds(1));
  }
  const int group = SmallestGroup(call, query.engines.front()->MemoryTokens());
  if (static_cast<std::size_t>(group) > query.engines.size()) {
    return Refusal(Reason::kNoBackend,
                   "the prompt needs " + std::to_string(group) +
                       " engines at once; " +
                       std::to_string(query.engines.size()) + " take work now",
                   seconds(1));
  }
  const Duration own =
      PrefillTime(*query.model, call.prompt_tokens, 0) / group +
      DecodeTime(*query.model, call.max_tokens);
  if (own > request.spec.time_limit) {
    return Refusal(Reason::kTimeLimit, "the call needs about " +
                                           std::to_string(own.count() / 1000) +
                                           " ms, more than its time limit");
  }
  const auto allowed = Duration(static_cast<std::int64_t>(
      static_cast<double>((request.spec.time_limit - own).count()) *
      WaitShare(request.priority)));
  Duration wait = ExpectedWait(state, request.priority, query);
  while (wait > allowed) {
    const auto lowest = state.queue.LowestBelow(request.priority);
    if (!lowest) {
      return Refusal(Reason::kOverload, "the fleet is overloaded",
                     std::max<Duration>(wait - allowed, milliseconds(100)));
    }
    GiveUp(state, state.requests.at(*lowest), Reason::kOverload,
           "ended in favour of a higher class", wait, out);
    const Duration after = ExpectedWait(state, request.priority, query);
    // Work of lower classes is not in this wait; ending one of them is enough.
    if (after >= wait) break;
    wait = after;
  }
  return std::nullopt;
}

Request& AddRequest(State& state, RequestKey key, CallSpec spec, Origin origin,
                    Phase phase) {
  Request request{.key = key,
                  .spec = std::move(spec),
                  .origin = std::move(origin),
                  .phase = phase,
                  .arrived = state.now};
  request.deadline = state.now + request.spec.time_limit;
  request.guard = HashBytes(ToString(state.options.self.incarnation), key);
  state.deadlines.emplace(request.deadline, key);
  return state.requests.emplace(key, std::move(request)).first->second;
}

// Admits a call that this daemon is to run.
void Admit(State& state, RequestKey key, const CallSpec& spec,
           const Origin& origin, Effects& out) {
  Request& request = AddRequest(state, key, spec, origin, Phase::kQueued);
  if (state.stop == StopPhase::kClosed || state.stop == StopPhase::kStopped) {
    Finish(state, request,
           Refusal(Reason::kStopping, "this instance is stopping",
                   milliseconds(1)),
           out);
    return;
  }
  if (auto refused = CheckAllowed(state, spec)) {
    Finish(state, request, *refused, out);
    return;
  }
  const AccountTemplate& account =
      state.configuration.accounts.at(spec.account);
  request.priority = account.priority;
  const std::int64_t tokens = LimitedTokens(spec);
  if (auto wait = LimiterOf(state, account).Admit(tokens, state.now)) {
    // Unless the share is as large as it can get, the owner is asked soon.
    state.next_allowance =
        std::min(state.next_allowance, state.now + kSoonestDemand);
    Finish(state, request,
           Refusal(Reason::kLimit,
                   "account '" + spec.account + "' is at its limit", *wait),
           out);
    return;
  }
  request.limited = true;
  request.limited_tokens = tokens;
  const ModelCall* call = request.model_call();
  if (call != nullptr) {
    if (auto refused = CheckLoad(state, request, *call, out)) {
      Finish(state, request, *refused, out);
      return;
    }
  }
  Add(out, Counter::kAdmitted);
  state.retries.FirstTry();
  if (call == nullptr) {
    DispatchService(state, request, out);
    return;
  }
  Enqueue(state, request, Duration::zero());
  Pump(state, out);
}

// Runs a call that may not be repeated at its home, which is this daemon, at
// most once.
void AdmitOnce(State& state, RequestKey key, const CallSpec& spec,
               const RequestId& id, const Origin& origin, Effects& out) {
  const auto standing = state.ids.Find(spec.id, id.block, CurrentBlock(state));
  std::visit(Overloaded{
                 [&](const IdLedger::New&) {
                   state.ids.Begin(spec.id, id.block, key);
                   Admit(state, key, spec, origin, out);
                 },
                 [&](const IdLedger::InFlight& it) {
                   Add(out, Counter::kDuplicates);
                   AddRequest(state, key, spec, origin, Phase::kAttached);
                   state.requests.at(it.key).attached.push_back(key);
                 },
                 [&](const IdLedger::Finished& it) {
                   Add(out, Counter::kDuplicates);
                   Refuse(state, key, origin, *it.final, out);
                 },
                 [&](const IdLedger::Expired&) {
                   Refuse(state, key, origin,
                          Unknown(Reason::kIdExpired,
                                  "the id is too old, or from the future"),
                          out);
                 },
             },
             standing);
}

// Passes a call to its home, or says at once that nobody can know.
void SendHome(State& state, const Submit& event, const RequestId& id,
              Effects& out) {
  Request& request = AddRequest(state, event.key, event.spec, CallerOrigin{},
                                Phase::kForwarded);
  request.home = id.home;
  const Member* home = state.membership.Find(id.home.instance);
  if (state.membership.IsReachable(id.home)) {
    Add(out, Counter::kForwarded);
    out.push_back(SendPeer{
        .peer_address = home->peer_address,
        .message = ForwardCall{.origin_key = event.key,
                               .origin = state.options.self.incarnation,
                               .spec = event.spec,
                               .time_left = event.spec.time_limit,
                               .body = {}},
        .body_of = event.key});
    return;
  }
  ReadIdsOfHome(state, request, out);
}

}  // namespace

std::optional<Final> CheckAllowed(const State& state, const CallSpec& spec) {
  if (!state.ready) {
    return Refusal(Reason::kNotReady, "this instance is not ready yet",
                   milliseconds(500));
  }
  const auto it = state.configuration.accounts.find(spec.account);
  if (it == state.configuration.accounts.end()) {
    return Refusal(Reason::kUnknownAccount,
                   "unknown client account '" + spec.account + "'");
  }
  return std::visit(Overloaded{
                        [&](const ModelCall& call) {
                          return CheckModelCall(state, it->second, call);
                        },
                        [&](const ServiceCall& call) {
                          return CheckServiceCall(state, it->second, call);
                        },
                    },
                    spec.call);
}

void OnSubmit(State& state, const Submit& event, Effects& out) {
  if (event.spec.may_repeat()) {
    Admit(state, event.key, event.spec, CallerOrigin{}, out);
    return;
  }
  const auto id = ParseRequestId(event.spec.id);
  if (!id) {
    Refuse(state, event.key, CallerOrigin{},
           Refusal(Reason::kInvalidRequest,
                   "the request id must be the id_prefix of a look-up and 1 to "
                   "64 printable characters more"),
           out);
    return;
  }
  if (id->home == state.options.self.incarnation) {
    AdmitOnce(state, event.key, event.spec, *id, CallerOrigin{}, out);
    return;
  }
  SendHome(state, event, *id, out);
}

void ReadIdsOfHome(State& state, Request& request, Effects& out) {
  const bool asked = std::any_of(
      state.requests.begin(), state.requests.end(), [&](const auto& it) {
        return it.second.phase == Phase::kReadingIds &&
               it.second.home == request.home;
      });
  // A home that was stopped by plan has left what it finished.
  request.phase = Phase::kReadingIds;
  if (!asked) out.push_back(ReadFinishedIds{.home = request.home});
}

void OnForwardCall(State& state, RequestKey key, const ForwardCall& message,
                   Effects& out) {
  const PeerOrigin origin{.peer = message.origin, .key = message.origin_key};
  const auto id = ParseRequestId(message.spec.id);
  if (!id || id->home != state.options.self.incarnation) {
    Refuse(state, key, origin,
           Unknown(Reason::kHomeGone, "the id belongs to another incarnation"),
           out);
    return;
  }
  CallSpec spec = message.spec;
  spec.time_limit = message.time_left;
  AdmitOnce(state, key, spec, *id, origin, out);
}

void OnFinishedIdsRead(State& state, const FinishedIdsRead& event,
                       Effects& out) {
  std::vector<RequestKey> waiting;
  for (const auto& [key, request] : state.requests) {
    if (request.phase == Phase::kReadingIds && request.home == event.home) {
      waiting.push_back(key);
    }
  }
  std::sort(waiting.begin(), waiting.end());
  for (const RequestKey key : waiting) {
    Request& request = state.requests.at(key);
    if (!event.readable || !event.ids) {
      Finish(state, request,
             Unknown(Reason::kHomeGone,
                     "the instance that may have run this call is gone"),
             out);
      continue;
    }
    const auto it = event.ids->find(request.spec.id);
    // The list was left after its home took nothing more: an id that is not on
    // it has not run and never will.
    Final final = it == event.ids->end()
                      ? Refusal(Reason::kHomeGone,
                                "the instance of this id has stopped; look up "
                                "an address and use a new id",
                                milliseconds(1))
                      : Final{.outcome = it->second,
                              .reason = Reason::kHomeGone,
                              .message =
                                  "ended before its instance stopped; "
                                  "the answer is no longer kept"};
    Finish(state, request, final, out);
  }
}

}  // namespace scaleshed::internal
