#include <algorithm>
#include <utility>

#include "internal/steps.h"
#include "scaleshed/serving/reducer.h"

namespace scaleshed::serving::internal {
namespace {

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kBadRequest = 400;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

// After a refusal that another daemon would not give: clients go there at once.
constexpr Duration kElsewhere = milliseconds(50);
// After one that all daemons would give now.
constexpr Duration kLater = milliseconds(300);
// A daemon that has just started has its first configuration and list within
// some 100 ms (1,500 routes on 20 Mbit/s: 80 to 230 ms). Clients that come
// before wait for so long: a refusal would cost them one of few tries, and the
// daemons that they turn to have often just started too.
constexpr Duration kEarlyWithin = milliseconds(400);
// More are refused at once: their bodies are kept in memory meanwhile.
constexpr std::size_t kMostEarly = 256;
// Streams that come so long after the request to stop could not end in time.
constexpr Duration kTakesStreams = milliseconds(2500);
// A request without a time limit gets its route's; without a route's, this.
constexpr Duration kDefaultDeadline = seconds(10);

int StatusOf(Refusal why, bool may_have_run) {
  switch (why) {
    case Refusal::kUnknownRoute:
      return kNotFound;
    case Refusal::kUnknownKey:
      return kUnauthorized;
    case Refusal::kInvalid:
    case Refusal::kQuarantined:
      return kBadRequest;
    case Refusal::kUnknown:
      return kBadGateway;
    case Refusal::kTimeLimit:
      return may_have_run ? kGatewayTimeout : kUnavailable;
    default:
      // 503 is a promise that nothing ran.
      return may_have_run ? kBadGateway : kUnavailable;
  }
}

// One of the route's services, by their weights.
std::string PickService(State& state, const Route& route) {
  std::int64_t all = 0;
  for (const ServiceShare& it : route.shares) all += it.weight;
  if (all <= 0) return route.shares.empty() ? "" : route.shares[0].service;
  auto draw = static_cast<std::int64_t>(state.random() %
                                        static_cast<std::uint64_t>(all));
  for (const ServiceShare& it : route.shares) {
    draw -= it.weight;
    if (draw < 0) return it.service;
  }
  return route.shares.back().service;
}

void RefuseAtOnce(State& state, const RequestArrived& event, Refusal why,
                  Duration retry_after) {
  Request request{.key = event.key, .facts = event.facts};
  request.arrived = state.now;
  RefuseRequest(state, request, why, retry_after);
}

// The account that the request's key belongs to; nothing if there is none.
const ClientAccount* AccountOf(const State& state, const RequestFacts& facts) {
  if (facts.keys.size() != 1) return nullptr;
  return state.configuration->FindAccount(facts.keys.front());
}

// When to come back after a refusal that is due to what this daemon knows.
Duration ElsewhereOrLater(const State& state) {
  const bool any = std::any_of(
      state.members.begin(), state.members.end(), [&](const auto& it) {
        return IsHeard(state, it.second) && it.second.snapshot.serving;
      });
  return any ? kElsewhere : kLater;
}

// Refuses what can't be taken whatever the load. True if it did.
bool RefusedByRule(State& state, const RequestArrived& event,
                   const Route*& route, const ClientAccount*& account) {
  if (!state.configuration) {
    RefuseAtOnce(state, event, Refusal::kNoConfiguration, kLater);
    return true;
  }
  const RequestFacts& facts = event.facts;
  route = state.configuration->FindRoute(facts.host, facts.path);
  const bool fresh = IsFresh(state);
  // What an old configuration knows, or doesn't, may be otherwise in the
  // newest.
  if (!KnowsConfiguration(state) || (route == nullptr && !fresh)) {
    RefuseAtOnce(state, event, Refusal::kNotFresh, ElsewhereOrLater(state));
    return true;
  }
  if (route == nullptr) {
    RefuseAtOnce(state, event, Refusal::kUnknownRoute, Duration::zero());
    return true;
  }
  // A backend server may have left since.
  if (!KnowsBackends(state)) {
    RefuseAtOnce(state, event, Refusal::kListNotFresh, ElsewhereOrLater(state));
    return true;
  }
  const bool keyed = !route->is_public &&
                     !state.configuration->configuration().accounts.empty();
  if (!keyed) return false;
  if (!fresh) {
    RefuseAtOnce(state, event, Refusal::kNotFresh, ElsewhereOrLater(state));
    return true;
  }
  account = AccountOf(state, facts);
  if (account == nullptr) {
    RefuseAtOnce(state, event, Refusal::kUnknownKey, Duration::zero());
    return true;
  }
  return false;
}

// Whether this daemon has yet to hear for the first time what is in force.
bool IsEarly(const State& state) {
  return IsYoung(state) && !state.stop_at && ProvedAt(state) == Time{};
}

void Take(State& state, const RequestArrived& event, Time arrived) {
  const Route* route = nullptr;
  const ClientAccount* account = nullptr;
  if (RefusedByRule(state, event, route, account)) return;
  if (state.stop_at && IsStream(route->kind) &&
      state.now - *state.stop_at > kTakesStreams) {
    RefuseAtOnce(state, event, Refusal::kStopping, kElsewhere);
    return;
  }
  Request request{.key = event.key, .facts = event.facts, .route = *route};
  request.service = PickService(state, *route);
  if (account != nullptr) request.account = account->name;
  if (request.facts.content != 0) {
    request.facts.content = HashBytes(request.account, request.facts.content);
  }
  request.arrived = arrived;
  request.due = arrived + route->objective;
  Duration limit = event.facts.deadline;
  if (limit <= Duration::zero()) limit = kDefaultDeadline;
  if (route->timeout > Duration::zero()) {
    limit = std::min(limit, route->timeout);
  }
  request.deadline = arrived + limit;
  request.last_event_id = event.facts.last_event_id;
  const Service* service = state.configuration->FindService(request.service);
  if (service != nullptr && service->engine) {
    request.read = ReadTime(*service->engine, event.facts.prompt_tokens);
  }
  CountRequest(state, request);
  Request& kept =
      state.requests.emplace(event.key, std::move(request)).first->second;
  TryStart(state, kept);
}

}  // namespace

void Admit(State& state, const RequestArrived& event) {
  state.effects.emplace_back(Count{Counter::kRequests});
  if (IsEarly(state) && state.early.size() < kMostEarly) {
    state.early.push_back({.request = event, .arrived = state.now});
    return;
  }
  Take(state, event, state.now);
}

void AdmitEarly(State& state) {
  const bool early = IsEarly(state);
  while (!state.early.empty()) {
    if (early && state.now < state.early.front().arrived + kEarlyWithin) return;
    const EarlyRequest it = std::move(state.early.front());
    state.early.pop_front();
    Log(state, "early",
        {{"request", it.request.facts.id},
         {"waited_ms", Millis(state.now - it.arrived)},
         {"known", early ? "false" : "true"}});
    Take(state, it.request, it.arrived);
  }
}

void OnClientGone(State& state, const ClientGone& event) {
  std::erase_if(state.early, [&](const EarlyRequest& it) {
    return it.request.key == event.key;
  });
  const auto it = state.requests.find(event.key);
  if (it == state.requests.end()) return;
  Request& request = it->second;
  state.effects.emplace_back(Count{Counter::kClientsGone});
  WithdrawPlace(state, request);
  Log(state, "client_gone",
      {{"request", request.facts.id},
       {"phase", std::string(NameIn(kPhaseNames, request.phase))},
       {"after_ms", Millis(state.now - request.arrived)}});
  DropAttempt(state, request, true);
  Forget(state, event.key);
}

void RefuseRequest(State& state, Request& request, Refusal why,
                   Duration retry_after) {
  WithdrawPlace(state, request);
  DropAttempt(state, request, true);
  const int status = StatusOf(why, request.may_have_run);
  if (request.begun) {
    state.effects.emplace_back(Count{Counter::kBroken});
    state.effects.emplace_back(BreakAnswer{.key = request.key});
  } else {
    state.effects.emplace_back(Count{Counter::kRefused});
    state.effects.emplace_back(Refuse{.key = request.key,
                                      .why = why,
                                      .status = status,
                                      .retry_after = status == kUnavailable
                                                         ? retry_after
                                                         : Duration::zero()});
  }
  Log(state, request.begun ? "broken" : "refused",
      {{"request", request.facts.id},
       {"content", ContentText(request.facts.content)},
       {"why", std::string(NameIn(kRefusalNames, why))},
       {"status", std::to_string(status)},
       {"route", request.route.name},
       {"account", request.account},
       {"after_ms", Millis(state.now - request.arrived)},
       {"runs", std::to_string(request.runs)},
       {"refusals", std::to_string(request.refusals)},
       {"may_have_run", request.may_have_run ? "true" : "false"},
       {"confirmed_ms_ago", Millis(state.now - state.confirmed_at)},
       {"listed_ms_ago",
        Millis(state.now - state.store.backends_confirmed_at)}});
  Forget(state, request.key);
}

void DropAttempt(State& state, Request& request, bool cancel) {
  ReleaseMemoryOf(state, request);
  if (request.attempt == 0) return;
  if (cancel) {
    state.effects.emplace_back(CancelAttempt{.attempt = request.attempt});
  }
  state.attempts.erase(request.attempt);
  request.attempt = 0;
  state.changed = true;
}

void Requeue(State& state, Request& request, Duration pause) {
  DropAttempt(state, request, false);
  request.phase = Phase::kWaiting;
  request.retry_at = state.now + pause;
}

void Forget(State& state, RequestKey key) {
  const auto it = state.requests.find(key);
  // Refused before it was taken.
  if (it == state.requests.end()) return;
  DropRepeat(state, it->second);
  state.requests.erase(it);
  state.changed = true;
}

}  // namespace scaleshed::serving::internal
