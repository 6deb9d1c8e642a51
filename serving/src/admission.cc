#include <algorithm>
#include <utility>
#include <variant>

#include "internal/steps.h"
#include "scaleshed/serving/reducer.h"

namespace scaleshed::serving::internal {
namespace {

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kBadRequest = 400;
constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;

// Retry-After of a refusal if another daemon serves: the client is to go there
// immediately.
constexpr Duration kRetryAfterOtherDaemonServes = milliseconds(50);
// Retry-After of a refusal that all daemons would give now.
constexpr Duration kRetryAfterNoDaemonServes = milliseconds(300);
// How long an early request waits for the first configuration and backend list,
// which arrive some 100 ms after the start (80 to 230 ms for 1,500 routes at
// 20 Mbit/s). A refusal would cost the client one of its few tries, and the
// daemon that it tries next has often just started too.
constexpr Duration kEarlyRequestTimeout = milliseconds(400);
// Further early requests are refused immediately, since their bodies are kept
// in memory while they wait.
constexpr std::size_t kMaxEarlyRequests = 256;
// Streams that arrive later than this after the request to stop are refused:
// they couldn't end before the daemon exits.
constexpr Duration kStreamAdmissionTimeWhileStopping = milliseconds(2500);
// Timeout of a request without one of its own. The route's timeout, if shorter,
// takes precedence.
constexpr Duration kDefaultTimeout = seconds(10);

int StatusOf(Refusal reason, bool may_have_run) {
  switch (reason) {
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
      return may_have_run ? kGatewayTimeout : kServiceUnavailable;
    default:
      // Status 503 promises the client that the request didn't run.
      return may_have_run ? kBadGateway : kServiceUnavailable;
  }
}

// Picks one of the route's services at random, in proportion to their weights;
// an empty name, which no backend server has, if no service has a weight.
std::string PickService(State& state, const Route& route) {
  std::int64_t total_weight = 0;
  for (const ServiceShare& it : route.shares) total_weight += it.weight;
  if (total_weight <= 0) return "";
  auto point = static_cast<std::int64_t>(
      state.random() % static_cast<std::uint64_t>(total_weight));
  for (const ServiceShare& it : route.shares) {
    point -= it.weight;
    if (point < 0) return it.service;
  }
  return "";
}

void RefuseImmediately(State& state, const RequestArrived& event,
                       Refusal reason, Duration retry_after) {
  Request request{.key = event.key, .metadata = event.metadata};
  request.arrived = state.now;
  RefuseRequest(state, request, reason, retry_after);
}

// Returns the client account that the request's key belongs to, or nullptr if
// the request doesn't have exactly one key or no account has this key.
const ClientAccount* AccountOf(const State& state,
                               const RequestMetadata& metadata) {
  if (metadata.keys.size() != 1) return nullptr;
  return state.configuration->FindAccount(metadata.keys.front());
}

// Retry-After of a refusal that is due to outdated state of this daemon.
Duration RetryAfterForStaleState(const State& state) {
  const bool other_serves = std::any_of(
      state.members.begin(), state.members.end(), [&](const auto& it) {
        return IsLive(state, it.second) && it.second.snapshot.serving;
      });
  return other_serves ? kRetryAfterOtherDaemonServes
                      : kRetryAfterNoDaemonServes;
}

// Why a request can't be served whatever the load, and the Retry-After.
struct Obstacle {
  Refusal reason = Refusal::kNoConfiguration;
  Duration retry_after{};
};

// What a request is served by; the account is nullptr where none is needed.
struct Admission {
  const Route* route = nullptr;
  const ClientAccount* account = nullptr;
};

// Looks for state that is missing or outdated, an unknown route, an unknown
// key.
std::variant<Admission, Obstacle> CheckServable(
    const State& state, const RequestMetadata& metadata) {
  if (!state.configuration) {
    return Obstacle{.reason = Refusal::kNoConfiguration,
                    .retry_after = kRetryAfterNoDaemonServes};
  }
  const Route* route =
      state.configuration->FindRoute(metadata.host, metadata.path);
  const bool fresh = IsFresh(state);
  // The newest configuration may have another route, or one where this
  // configuration has none.
  if (!IsConfigurationUsable(state) || (route == nullptr && !fresh)) {
    return Obstacle{.reason = Refusal::kConfigurationStale,
                    .retry_after = RetryAfterForStaleState(state)};
  }
  if (route == nullptr) return Obstacle{.reason = Refusal::kUnknownRoute};
  // A listed backend server may be gone by now.
  if (!AreBackendsUsable(state)) {
    return Obstacle{.reason = Refusal::kBackendListStale,
                    .retry_after = RetryAfterForStaleState(state)};
  }
  const bool needs_key =
      !route->is_public && state.configuration->configuration().accounts;
  if (!needs_key) return Admission{.route = route};
  if (!fresh) {
    return Obstacle{.reason = Refusal::kConfigurationStale,
                    .retry_after = RetryAfterForStaleState(state)};
  }
  const ClientAccount* account = AccountOf(state, metadata);
  if (account == nullptr) return Obstacle{.reason = Refusal::kUnknownKey};
  return Admission{.route = route, .account = account};
}

// Whether this daemon has just started and its state has not yet been confirmed
// as the store's newest.
bool AwaitsFirstConfiguration(const State& state) {
  return IsWarmingUp(state) && !state.stop_at &&
         StoreConfirmedAt(state) == Time{};
}

void AcceptRequest(State& state, const RequestArrived& event, Time arrived) {
  // The process may end before the request does.
  if (state.exited) {
    RefuseImmediately(state, event, Refusal::kStopping,
                      kRetryAfterOtherDaemonServes);
    return;
  }
  const bool over_relay_limit =
      !event.metadata.relayed_by.empty() && IsOverRelayLimit(state);
  if (over_relay_limit) {
    RefuseImmediately(state, event, Refusal::kRelayLimit,
                      kRetryAfterNoDaemonServes);
    return;
  }
  const auto checked = CheckServable(state, event.metadata);
  if (const auto* obstacle = std::get_if<Obstacle>(&checked)) {
    RefuseImmediately(state, event, obstacle->reason, obstacle->retry_after);
    return;
  }
  // What was missing has come since the request's head was looked at.
  if (event.body_omitted) {
    RefuseImmediately(state, event, Refusal::kConfigurationStale,
                      kRetryAfterOtherDaemonServes);
    return;
  }
  const auto& [route, account] = std::get<Admission>(checked);
  if (state.stop_at && IsStream(route->kind) &&
      state.now - *state.stop_at > kStreamAdmissionTimeWhileStopping) {
    RefuseImmediately(state, event, Refusal::kStopping,
                      kRetryAfterOtherDaemonServes);
    return;
  }
  Request request{
      .key = event.key, .metadata = event.metadata, .route = *route};
  request.service = PickService(state, *route);
  if (account != nullptr) request.account = account->name;
  request.allowed_regions = AllowedRegionsOf(*route, account);
  // The origin may know another configuration or other regions.
  if (!event.metadata.relayed_by.empty() &&
      !IsRegionAllowed(request.allowed_regions, OwnRegion(state))) {
    RefuseImmediately(state, event, Refusal::kNoHome,
                      kRetryAfterOtherDaemonServes);
    return;
  }
  if (request.metadata.fingerprint != 0) {
    request.metadata.fingerprint =
        HashBytes(request.account, request.metadata.fingerprint);
  }
  for (PromptPart& it : request.metadata.shared_parts) {
    it.fingerprint = HashBytes(request.account, it.fingerprint);
  }
  request.arrived = arrived;
  request.due = arrived + route->objective;
  Duration timeout = event.metadata.deadline;
  if (timeout <= Duration::zero()) timeout = kDefaultTimeout;
  if (route->timeout > Duration::zero()) {
    timeout = std::min(timeout, route->timeout);
  }
  request.deadline = arrived + timeout;
  request.last_event_id = event.metadata.last_event_id;
  const Service* service = state.configuration->FindService(request.service);
  if (service != nullptr && service->engine) {
    request.prefill_time =
        PrefillTime(*service->engine, event.metadata.prompt_tokens);
  }
  if (request.metadata.relayed_by.empty()) {
    CountRequest(state, request);
  } else {
    // The origin counts the request, and reruns it.
    request.route.max_sends = 1;
    state.effects.emplace_back(IncrementCounter{Counter::kRelayedForOthers});
    Log(state, "relay_accepted",
        {{"request", request.metadata.id},
         {"from", request.metadata.relayed_by},
         {"route", request.route.name}});
  }
  Request& accepted =
      state.requests.emplace(event.key, std::move(request)).first->second;
  TryStart(state, accepted);
}

}  // namespace

void AdmitRequest(State& state, const RequestArrived& event) {
  state.effects.emplace_back(IncrementCounter{Counter::kRequests});
  if (AwaitsFirstConfiguration(state) && !event.body_omitted &&
      state.early_requests.size() < kMaxEarlyRequests) {
    state.early_requests.push_back({.request = event, .arrived = state.now});
    return;
  }
  AcceptRequest(state, event, state.now);
}

void AdmitEarlyRequests(State& state) {
  const bool early = AwaitsFirstConfiguration(state);
  while (!state.early_requests.empty()) {
    if (early &&
        state.now < state.early_requests.front().arrived + kEarlyRequestTimeout)
      return;
    const EarlyRequest it = std::move(state.early_requests.front());
    state.early_requests.pop_front();
    Log(state, "early",
        {{"request", it.request.metadata.id},
         {"waited_ms", Millis(state.now - it.arrived)},
         {"known", early ? "false" : "true"}});
    AcceptRequest(state, it.request, it.arrived);
  }
}

void OnClientGone(State& state, const ClientDisconnected& event) {
  std::erase_if(state.early_requests, [&](const EarlyRequest& it) {
    return it.request.key == event.key;
  });
  const auto it = state.requests.find(event.key);
  if (it == state.requests.end()) return;
  Request& request = it->second;
  state.effects.emplace_back(IncrementCounter{Counter::kClientsDisconnected});
  WithdrawPlacement(state, request);
  Log(state, "client_gone",
      {{"request", request.metadata.id},
       {"phase", std::string(NameIn(kPhaseNames, request.phase))},
       {"after_ms", Millis(state.now - request.arrived)}});
  EndAttempt(state, request, true);
  EraseRequest(state, event.key);
}

void RefuseRequest(State& state, Request& request, Refusal reason,
                   Duration retry_after) {
  if (ReturnToStalled(state, request, reason)) return;
  EndWithRefusal(state, request, reason, retry_after);
}

void EndWithRefusal(State& state, Request& request, Refusal reason,
                    Duration retry_after) {
  const bool stands = !request.stalled.empty() ||
                      (request.current.id != 0 && request.current.stands);
  WithdrawPlacement(state, request);
  EndAttempt(state, request, true);
  const int status = StatusOf(reason, request.may_have_run);
  if (request.response_started) {
    state.effects.emplace_back(IncrementCounter{Counter::kAbortedResponses});
    state.effects.emplace_back(AbortResponse{.key = request.key});
  } else {
    state.effects.emplace_back(IncrementCounter{Counter::kRefused});
    state.effects.emplace_back(Refuse{
        .key = request.key,
        .reason = reason,
        .status = status,
        .retry_after =
            status == kServiceUnavailable ? retry_after : Duration::zero()});
  }
  Log(state, request.response_started ? "broken" : "refused",
      {{"request", request.metadata.id},
       {"content", FingerprintText(request.metadata.fingerprint)},
       {"parts", PartsText(request.metadata)},
       {"why", std::string(NameIn(kRefusalNames, reason))},
       {"status", std::to_string(status)},
       {"route", request.route.name},
       {"account", request.account},
       {"after_ms", Millis(state.now - request.arrived)},
       {"runs", std::to_string(request.possible_runs)},
       {"refusals", std::to_string(request.declined_sends)},
       {"may_have_run", request.may_have_run ? "true" : "false"},
       {"stands", stands ? "true" : "false"},
       {"confirmed_ms_ago", Millis(state.now - state.confirmed_at)},
       {"listed_ms_ago",
        Millis(state.now - state.store.backends_confirmed_at)}});
  EraseRequest(state, request.key);
}

void EndAttempt(State& state, Request& request, bool cancel) {
  ReleaseReservations(state, request.current);
  if (request.current.id == 0) return;
  if (cancel) {
    state.effects.emplace_back(CancelAttempt{.attempt = request.current.id});
  }
  state.attempts.erase(request.current.id);
  request.current.id = 0;
  state.has_unpublished_changes = true;
}

void Requeue(State& state, Request& request, Duration delay) {
  EndAttempt(state, request, false);
  request.phase = Phase::kWaiting;
  request.retry_at = state.now + delay;
}

void EraseRequest(State& state, RequestKey key) {
  const auto it = state.requests.find(key);
  // Requests that are refused on arrival are never stored.
  if (it == state.requests.end()) return;
  ReleaseRetry(state, it->second);
  EndStalled(state, it->second);
  state.requests.erase(it);
  state.has_unpublished_changes = true;
}

}  // namespace scaleshed::serving::internal

namespace scaleshed::serving {

bool MayBeServed(const State& state, const RequestMetadata& metadata) {
  if (internal::AwaitsFirstConfiguration(state)) return true;
  return std::holds_alternative<internal::Admission>(
      internal::CheckServable(state, metadata));
}

}  // namespace scaleshed::serving
