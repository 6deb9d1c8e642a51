#include <algorithm>

#include "internal/steps.h"

// Backend servers that are cold: for some time after a start they bear only a
// limited rate of requests. The warm-up granter meters each of them; no other
// daemon sends to one without its grant.
namespace scaleshed::serving::internal {
namespace {

// The entry of a server that has just become cold may still say that it is
// warm.
constexpr Duration kEntryDelay = seconds(1);
// Daemons learn within this time that a server isn't warm any more.
constexpr Duration kSpreadTime = seconds(1);
// Health checks of one server; at low rates fewer, so that they use at most
// kMaxCheckShare of what the server bears.
constexpr Duration kHealthCheckInterval = milliseconds(500);
constexpr double kMaxCheckShare = 0.25;

bool IsPresumed(WarmUpSource source) {
  return source == WarmUpSource::kReopened ||
         source == WarmUpSource::kRestarted;
}

const Service* ServiceOf(const State& state, const Backend& backend) {
  return state.configuration
             ? state.configuration->FindService(backend.server.service)
             : nullptr;
}

WarmUpRate RateOf(const State& state, const Backend& backend) {
  const double per_second = ServiceOf(state, backend)->warm_up.per_second;
  const double bound =
      per_second * state.options.warm_up_overage + state.options.warm_up_slack;
  return WarmUpRateFor(bound, per_second);
}

// The meter of a cold server at the warm-up granter.
WarmUpMeter& MeterOf(State& state, const Backend& backend) {
  WarmUpGranting& granting = state.warm_up_granting;
  const Time start = std::max({state.now, granting.granting_from,
                               state.warm_ups.at(backend.id).grants_from});
  const auto [it, is_new] =
      granting.meters.try_emplace(backend.id, WarmUpMeter(start));
  it->second.SetRate(state.now, RateOf(state, backend));
  return it->second;
}

void LogWarmUp(State& state, const Backend& backend, const WarmUp& warm_up) {
  Log(state, "warm_up",
      {{"backend", backend.server.id},
       {"service", backend.server.service},
       {"born", std::to_string(backend.server.start_unix_ms)},
       {"source", std::string(NameIn(kWarmUpSourceNames, warm_up.source))},
       {"for_ms", Millis(warm_up.until - state.now)}});
}

// Applies that the server says itself that it is warm.
void EndWarmUp(State& state, const Backend& backend, WarmUpSource source) {
  const auto found = state.warm_ups.find(backend.id);
  if (found == state.warm_ups.end()) return;
  WarmUp& warm_up = found->second;
  const bool was_cold = warm_up.until > state.now;
  if (source == WarmUpSource::kHealth)
    warm_up.presumed_until = std::max(warm_up.presumed_until, warm_up.until);
  warm_up.until = std::min(warm_up.until, state.now);
  warm_up.source = source;
  if (was_cold) LogWarmUp(state, backend, warm_up);
}

}  // namespace

void RecordWarmUp(State& state, const Backend& backend, Duration left,
                  WarmUpSource source) {
  if (left <= Duration::zero()) return;
  WarmUp& warm_up = state.warm_ups[backend.id];
  const bool was_cold = warm_up.until > state.now;
  const bool is_news = !was_cold || warm_up.source != source;
  const Time known_until = warm_up.until;
  const Time until = state.now + left;
  warm_up.until = IsPresumed(source) ? std::max(warm_up.until, until) : until;
  warm_up.source = source;
  warm_up.learned_at = state.now;
  // Other daemons may presume a longer warm-up than the health check showed.
  warm_up.presumed_until = source == WarmUpSource::kHealth
                               ? std::max(warm_up.presumed_until, known_until)
                               : Time{};
  // A reopened server got nothing while it was evacuated.
  if (!was_cold) {
    // A meter of an earlier warm-up would grant before `grants_from`.
    state.warm_up_granting.meters.erase(backend.id);
    warm_up.grants_from =
        source == WarmUpSource::kReopened ? state.now : state.now + kSpreadTime;
  }
  if (is_news) LogWarmUp(state, backend, warm_up);
}

void ApplyEntryWarmUp(State& state, const Backend& backend, bool is_new) {
  const Duration left = backend.server.warm_up_left;
  if (left > Duration::zero()) {
    RecordWarmUp(state, backend, left, WarmUpSource::kEntry);
    if (is_new) state.warm_ups[backend.id].grants_from = state.now;
    return;
  }
  const auto found = state.warm_ups.find(backend.id);
  if (found == state.warm_ups.end()) return;
  const bool may_be_outdated =
      found->second.source != WarmUpSource::kEntry &&
      state.now - found->second.learned_at < kEntryDelay;
  if (!may_be_outdated) EndWarmUp(state, backend, WarmUpSource::kEntry);
}

void RecordRestart(State& state, const Backend& backend) {
  const Service* service = ServiceOf(state, backend);
  if (service == nullptr) return;
  RecordWarmUp(state, backend, service->warm_up.duration,
               WarmUpSource::kRestarted);
}

void DropWarmUps(State& state) {
  if (state.warm_ups.empty()) return;
  std::set<BackendId> listed;
  for (const auto& [name, backend] : state.backends) {
    if (state.warm_ups.contains(backend.id)) listed.insert(backend.id);
  }
  std::erase_if(state.warm_ups, [&](const auto& it) {
    const auto& [id, warm_up] = it;
    return !listed.contains(id) ||
           std::max(warm_up.until, warm_up.presumed_until) <= state.now;
  });
  std::erase_if(state.warm_up_granting.meters, [&](const auto& it) {
    return !state.warm_ups.contains(it.first);
  });
}

bool AnyCold(const State& state, const std::string& service) {
  if (state.warm_ups.empty()) return false;
  return std::any_of(
      state.backends.begin(), state.backends.end(), [&](const auto& it) {
        return it.second.server.service == service && IsCold(state, it.second);
      });
}

bool AnyCold(const State& state) {
  if (state.warm_ups.empty()) return false;
  return std::any_of(state.backends.begin(), state.backends.end(),
                     [&](const auto& it) { return IsCold(state, it.second); });
}

WarmUpChoice ChooseByWarmUp(State& state, const PlacementDemand& demand,
                            const std::vector<const Backend*>& open) {
  WarmUpChoice choice;
  const bool grants = GrantsWarmUps(state);
  double tokens = 0;
  for (const Backend* it : open) {
    if (!IsCold(state, *it)) {
      choice.warm.push_back(it);
    } else if (grants && MeterOf(state, *it).HasToken(state.now)) {
      choice.granted.push_back(it);
      tokens += MeterOf(state, *it).TokensAt(state.now);
    }
  }
  // Tokens go first to the requests that already wait for them.
  const std::size_t ahead = AheadOf(state, demand, Shortage::kWarmUp);
  if (static_cast<double>(ahead) + 1 > tokens) choice.granted.clear();
  return choice;
}

PlacementDecision WaitForWarmUp(State& state, const PlacementDemand& demand,
                                const std::vector<const Backend*>& open) {
  TokenSupply supply{.shortage = Shortage::kWarmUp,
                     .next_token = Duration::max()};
  const bool holds = HoldsWarmUpLease(state);
  for (const Backend* it : open) {
    if (!IsCold(state, *it)) continue;
    ++supply.servers;
    const WarmUpRate rate = RateOf(state, *it);
    supply.per_second += rate.per_second;
    const Duration next_token =
        holds ? MeterOf(state, *it).TimeUntilToken(state.now)
              : TimeUntilGranting(state);
    supply.next_token = std::min(supply.next_token, next_token);
  }
  return WaitForToken(state, demand, supply);
}

std::vector<BackendId> TakeWarmUpGrants(State& state,
                                        const Placement& placement) {
  std::vector<BackendId> grants;
  if (state.warm_ups.empty() || !GrantsWarmUps(state)) return grants;
  for (const BackendId id : BackendsOf(placement)) {
    const auto found = state.warm_ups.find(id);
    const Backend* backend = FindBackend(state, id);
    if (found == state.warm_ups.end() || backend == nullptr) continue;
    grants.push_back(id);
    if (!IsCold(state, *backend)) continue;
    MeterOf(state, *backend).TakeToken(state.now);
    state.effects.emplace_back(IncrementCounter{Counter::kWarmUpGrants});
  }
  return grants;
}

bool HasWarmUpGrant(const State& state, const Request& request,
                    const Backend& backend) {
  const auto& grants = request.warm_up_grants;
  const bool is_granted =
      std::find(grants.begin(), grants.end(), backend.id) != grants.end();
  // The granter may know of a warm-up that this daemon doesn't know of yet.
  if (is_granted) return state.now < request.warm_up_grants_until;
  return !IsCold(state, backend);
}

std::vector<BackendId> UngrantedServersAt(State& state,
                                          const PlacementResponse& response) {
  std::vector<BackendId> ungranted;
  if (state.warm_ups.empty()) return ungranted;
  for (const BackendId id : BackendsOf(response.placement)) {
    const Backend* backend = FindBackend(state, id);
    const auto& grants = response.warm_up_grants;
    const bool is_granted =
        std::find(grants.begin(), grants.end(), id) != grants.end();
    if (backend != nullptr && IsCold(state, *backend) && !is_granted)
      ungranted.push_back(id);
  }
  return ungranted;
}

void CheckColdHealth(State& state) {
  if (state.warm_ups.empty() || !GrantsWarmUps(state)) return;
  for (const auto& [name, backend] : state.backends) {
    if (!IsCold(state, backend)) continue;
    // The bucket fills from here on, not only from the first request.
    WarmUpMeter& meter = MeterOf(state, backend);
    WarmUp& warm_up = state.warm_ups.at(backend.id);
    const Service* service = ServiceOf(state, backend);
    const double rate = RateOf(state, backend).per_second;
    if (!IsPresumed(warm_up.source) || service->health_path.empty() ||
        rate <= 0 || FindSendBlock(state, backend, {.has_warm_up_grant = true}))
      continue;
    const std::chrono::duration<double> slowest(1 / (rate * kMaxCheckShare));
    const Duration interval = std::max(
        kHealthCheckInterval, std::chrono::duration_cast<Duration>(slowest));
    if (state.now - warm_up.checked_at < interval || !meter.HasToken(state.now))
      continue;
    warm_up.checked_at = state.now;
    meter.TakeToken(state.now);
    state.effects.emplace_back(CheckHealth{.backend = backend.id,
                                           .address = backend.server.address,
                                           .path = service->health_path});
  }
}

void OnHealthChecked(State& state, const HealthChecked& event) {
  const Backend* backend = FindBackend(state, event.backend);
  if (backend == nullptr) return;
  if (!event.warm_up_left) {
    state.effects.emplace_back(IncrementCounter{Counter::kWarmUpsUnreadable});
    Log(state, "warm_up_unreadable",
        {{"backend", backend->server.id}, {"why", event.fault}});
    return;
  }
  if (*event.warm_up_left > Duration::zero()) {
    RecordWarmUp(state, *backend, *event.warm_up_left, WarmUpSource::kHealth);
  } else {
    EndWarmUp(state, *backend, WarmUpSource::kHealth);
  }
}

}  // namespace scaleshed::serving::internal
