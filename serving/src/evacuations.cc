#include <algorithm>
#include <utility>

#include "internal/steps.h"
#include "scaleshed/serving/reducer.h"

// Evacuations of data centres. The operators request and withdraw them in the
// store; each daemon follows these requests like entries of backend servers,
// and the newest revision counts, whoever reports it.
namespace scaleshed::serving {
namespace internal {
namespace {

// For this long after a withdrawal, relays and snapshots report it to daemons
// that may have missed it.
constexpr Duration kWithdrawalPublishTime = seconds(60);
// How long a withdrawal is remembered, so that a late report of the request
// doesn't bring it back: longer than any daemon publishes it.
constexpr Duration kWithdrawalRetention = 2 * kWithdrawalPublishTime;
constexpr Duration kRetryAfterEvacuated = milliseconds(200);

// Whether what the restored store lacks is no longer expected to be written
// again.
bool IsRestoreSettled(const State& state) {
  return state.store.epoch.reconciled && !IsJustRestored(state);
}

bool IsNews(const State& state, const StoredEvacuation& told) {
  const auto it = state.evacuations.find(told.data_centre);
  if (it == state.evacuations.end()) return true;
  const KnownEvacuation& known = it->second;
  if (told.revision != known.revision) return told.revision > known.revision;
  // A list showed that the request was gone by then.
  return known.in_force && !told.in_force;
}

std::set<BackendId> ServersIn(const State& state,
                              const std::string& data_centre) {
  std::set<BackendId> servers;
  for (const auto& [name, backend] : state.backends) {
    if (backend.server.data_centre == data_centre) servers.insert(backend.id);
  }
  return servers;
}

std::set<BackendId> EvacuatedServers(const State& state) {
  std::set<BackendId> servers;
  for (const auto& [name, backend] : state.backends) {
    if (IsEvacuated(state, backend.server.data_centre))
      servers.insert(backend.id);
  }
  return servers;
}

// Returns those of the attempt's servers that are evacuated.
std::vector<BackendId> EvacuatedServersOf(State& state,
                                          const Request& request) {
  std::vector<BackendId> servers = request.current.active_request.helpers;
  servers.push_back(request.current.backend);
  std::erase_if(servers, [&](BackendId it) {
    const Backend* backend = FindBackend(state, it);
    return backend == nullptr ||
           !IsEvacuated(state, backend->server.data_centre);
  });
  return servers;
}

// Returns those of the attempt's servers that are in `servers`.
std::vector<BackendId> UsedAmong(const Request& request,
                                 const std::set<BackendId>& servers) {
  std::vector<BackendId> used;
  if (request.current.id == 0 || !IsAtBackend(request)) return used;
  if (servers.contains(request.current.backend))
    used.push_back(request.current.backend);
  for (const BackendId it : request.current.active_request.helpers) {
    if (servers.contains(it)) used.push_back(it);
  }
  return used;
}

// Whether an attempt of the request runs at one of these servers.
bool RunsAmong(const Request& request, const std::set<BackendId>& servers) {
  if (request.phase == Phase::kRunning && !UsedAmong(request, servers).empty())
    return true;
  return std::any_of(
      request.stalled.begin(), request.stalled.end(), [&](const Attempt& it) {
        const auto& helpers = it.active_request.helpers;
        return servers.contains(it.backend) ||
               std::any_of(
                   helpers.begin(), helpers.end(),
                   [&](BackendId helper) { return servers.contains(helper); });
      });
}

std::size_t CountRunningAt(const State& state,
                           const std::set<BackendId>& servers) {
  return static_cast<std::size_t>(std::count_if(
      state.requests.begin(), state.requests.end(),
      [&](const auto& it) { return RunsAmong(it.second, servers); }));
}

void LogEvacuation(State& state, const std::string& data_centre,
                   const std::string& what, const StoreRevision& revision,
                   const std::string& told_by) {
  const auto servers = ServersIn(state, data_centre);
  Log(state, "evacuation",
      {{"data_centre", data_centre},
       {"what", what},
       {"era", std::to_string(revision.epoch)},
       {"revision", std::to_string(revision.number)},
       {"told_by", told_by},
       {"listed_ms_ago", Millis(state.now - state.store.backends_confirmed_at)},
       {"backends", std::to_string(servers.size())},
       {"requests", std::to_string(CountRunningAt(state, servers))}});
}

void LogMoved(State& state, const Request& request, const std::string& step) {
  Log(state, "moved",
      {{"request", request.metadata.id},
       {"backend", request.current.backend_name},
       {"why", "evacuated"},
       {"step", step}});
}

// Decides all waiting requests anew. A placer's response is still awaited,
// unless no server is left that it could name.
void DecideWaitingAgain(State& state) {
  for (auto& [key, request] : state.requests) {
    if (request.phase != Phase::kWaiting) continue;
    const bool awaits_placer =
        !request.placer.empty() && !request.placer_responded;
    if (!awaits_placer || !HasOpenBackend(state, request))
      request.retry_at = state.now;
  }
  for (auto& [key, it] : state.dispatch.remote_placements) {
    if (!it.placement) it.retry_at = state.now;
  }
  StartWaitingRequests(state);
}

// Takes back what was placed at the data centre's servers and not sent yet.
void TakeBackUnsent(State& state, const std::string& data_centre) {
  const auto servers = ServersIn(state, data_centre);
  std::vector<RequestKey> keys;
  for (const auto& [key, request] : state.requests) {
    if (!UsedAmong(request, servers).empty()) keys.push_back(key);
  }
  for (const RequestKey key : keys) {
    const auto it = state.requests.find(key);
    if (it == state.requests.end()) continue;
    if (it->second.phase == Phase::kReserving) {
      ReturnIfEvacuated(state, it->second, Duration::zero());
    } else if (it->second.current.connecting) {
      CancelIfEvacuated(state, it->second);
    }
  }
}

Duration WarmUpDuration(const State& state, const Backend& backend) {
  if (!state.configuration) return Duration::zero();
  const Service* service =
      state.configuration->FindService(backend.server.service);
  return service == nullptr ? Duration::zero() : service->warm_up.duration;
}

void Apply(State& state, const StoredEvacuation& told,
           const std::string& told_by) {
  KnownEvacuation& known = state.evacuations[told.data_centre];
  const bool was_in_force = known.in_force;
  known.in_force = told.in_force;
  known.revision = told.revision;
  known.observed_at = state.now;
  known.missing_at.reset();
  known.unpublished = true;
  known.unrelayed = true;
  state.has_unpublished_changes = true;
  if (told.in_force) {
    if (was_in_force) return;
    known.draining = true;
    LogEvacuation(state, told.data_centre, "requested", told.revision, told_by);
    TakeBackUnsent(state, told.data_centre);
    DecideWaitingAgain(state);
    return;
  }
  // A daemon that missed the request treats the data centre as reopened too.
  known.draining = false;
  known.withdrawn_at = state.now - told.age;
  LogEvacuation(state, told.data_centre, "withdrawn", told.revision, told_by);
  for (const auto& [name, backend] : state.backends) {
    if (backend.server.data_centre == told.data_centre)
      WarmUpIfReopened(state, backend);
  }
  DecideWaitingAgain(state);
}

// The store was restored from a backup that lacks the request.
void KeepInForce(State& state, const std::string& data_centre,
                 const StoreRevision& missing_at) {
  KnownEvacuation& known = state.evacuations.at(data_centre);
  if (!std::exchange(known.missing_at, missing_at)) {
    LogEvacuation(state, data_centre, "kept", missing_at, "");
  }
}

void ApplyAbsence(State& state, const std::string& data_centre,
                  const StoreRevision& listed) {
  const KnownEvacuation& known = state.evacuations.at(data_centre);
  if (!known.in_force || listed < known.revision) return;
  const bool is_lost = known.revision.epoch != listed.epoch;
  if (is_lost && !IsRestoreSettled(state)) {
    KeepInForce(state, data_centre, listed);
    return;
  }
  Apply(state, {.data_centre = data_centre, .revision = listed}, "store");
}

// `told_by` is the store, whose response may be late, or a daemon.
void ApplyIfNews(State& state, const StoredEvacuation& told,
                 const std::string& told_by) {
  const bool is_valid = !told.data_centre.empty() && told.revision.number != 0;
  if (!is_valid || !IsNews(state, told)) return;
  // If this daemon knows the data centre as open, although the request is older
  // than all that is known of the store, it was withdrawn, or lost in a
  // restore.
  const StoreRevision complete = state.store.complete_up_to;
  const auto known = state.evacuations.find(told.data_centre);
  const bool is_open =
      known == state.evacuations.end() || !known->second.in_force;
  const bool is_gone = told.in_force && told.revision < complete && is_open;
  const bool is_lost = told.revision.epoch != complete.epoch;
  if (is_gone && (!is_lost || IsRestoreSettled(state))) return;
  Apply(state, told, told_by);
  if (is_gone) KeepInForce(state, told.data_centre, complete);
}

std::vector<std::string> KnownDataCentres(const State& state) {
  std::vector<std::string> names;
  for (const auto& [data_centre, known] : state.evacuations)
    names.push_back(data_centre);
  return names;
}

bool IsPublished(const State& state, const KnownEvacuation& known) {
  return known.in_force ||
         state.now - known.withdrawn_at < kWithdrawalPublishTime;
}

StoredEvacuation ToPublish(const State& state, const std::string& data_centre,
                           const KnownEvacuation& known) {
  return {.data_centre = data_centre,
          .in_force = known.in_force,
          .revision = known.revision,
          .age = state.now -
                 (known.in_force ? known.observed_at : known.withdrawn_at)};
}

void LogIfDrained(State& state, const std::string& data_centre,
                  KnownEvacuation& known) {
  if (!known.draining) return;
  if (CountRunningAt(state, ServersIn(state, data_centre)) > 0) return;
  known.draining = false;
  Log(state, "evacuation_drained",
      {{"data_centre", data_centre},
       {"after_ms", Millis(state.now - known.observed_at)}});
}

}  // namespace

void OnEvacuationStored(State& state, const StoredEvacuation& stored) {
  ApplyIfNews(state, stored, "store");
}

void OnAllEvacuationsListed(State& state, const AllEvacuationsListed& event) {
  std::set<std::string> listed;
  for (const StoredEvacuation& it : event.evacuations) {
    listed.insert(it.data_centre);
    OnEvacuationStored(state, it);
  }
  for (const std::string& it : KnownDataCentres(state)) {
    if (!listed.contains(it)) ApplyAbsence(state, it, event.revision);
  }
}

void OnEvacuationKeyUnreadable(State& state,
                               const EvacuationKeyUnreadable& event) {
  state.effects.emplace_back(
      IncrementCounter{Counter::kEvacuationKeysUnreadable});
  Log(state, "evacuation_unreadable",
      {{"key", event.key}, {"fault", event.error}});
}

void ApplyPeerEvacuations(State& state,
                          const std::vector<StoredEvacuation>& evacuations,
                          const std::string& peer) {
  for (const StoredEvacuation& it : evacuations) {
    if (it.revision.epoch <= state.store.epoch.number)
      ApplyIfNews(state, it, peer);
  }
}

void UpdateEvacuations(State& state) {
  if (state.evacuations.empty()) return;
  for (const std::string& it : KnownDataCentres(state)) {
    KnownEvacuation& known = state.evacuations.at(it);
    if (known.missing_at && IsRestoreSettled(state)) {
      Apply(state, {.data_centre = it, .revision = *known.missing_at}, "store");
    }
    LogIfDrained(state, it, known);
  }
  std::erase_if(state.evacuations, [&](const auto& it) {
    return !it.second.in_force &&
           state.now - it.second.withdrawn_at > kWithdrawalRetention;
  });
}

std::vector<StoredEvacuation> KnownEvacuations(const State& state) {
  std::vector<StoredEvacuation> evacuations;
  for (const auto& [data_centre, known] : state.evacuations) {
    if (IsPublished(state, known))
      evacuations.push_back(ToPublish(state, data_centre, known));
  }
  return evacuations;
}

std::vector<StoredEvacuation> EvacuationsToPublish(State& state,
                                                   bool only_unpublished) {
  if (!only_unpublished) return KnownEvacuations(state);
  std::vector<StoredEvacuation> evacuations;
  for (auto& [data_centre, known] : state.evacuations) {
    const bool changed = std::exchange(known.unpublished, false);
    if (changed && IsPublished(state, known))
      evacuations.push_back(ToPublish(state, data_centre, known));
  }
  return evacuations;
}

std::uint64_t EvacuationDigest(const State& state) {
  std::uint64_t digest = 0;
  for (const auto& [data_centre, known] : state.evacuations) {
    // After a restore the store may hold the same request in a later epoch.
    if (known.in_force) digest ^= HashBytes(data_centre, known.revision.number);
  }
  return digest;
}

bool IsEvacuationDigestEqual(const State& state, const StoreDigest& digest) {
  if (digest.evacuations) return *digest.evacuations == EvacuationDigest(state);
  return !state.options.bounds_evacuations && state.evacuations.empty();
}

std::vector<std::pair<std::string, StoreRevision>> EvacuationsToConfirm(
    const State& state) {
  if (!state.options.bounds_evacuations) return {};
  std::map<std::string, StoreRevision> wanted;
  for (const auto& [id, backend] : state.backends) {
    const bool is_known =
        !backend.gone_at && !backend.server.data_centre.empty();
    if (is_known) wanted.try_emplace(backend.server.data_centre);
  }
  for (const auto& [data_centre, known] : state.evacuations) {
    const bool is_stored =
        known.in_force && known.revision.epoch == state.store.epoch.number;
    wanted[data_centre] = is_stored ? known.revision : StoreRevision{};
  }
  return {wanted.begin(), wanted.end()};
}

bool IsAnyEvacuationUnlocated(const State& state) {
  return std::any_of(state.evacuations.begin(), state.evacuations.end(),
                     [&](const auto& it) {
                       const KnownEvacuation& known = it.second;
                       return known.in_force && !known.missing_at &&
                              known.revision.epoch < state.store.epoch.number;
                     });
}

bool ReturnIfEvacuated(State& state, Request& request, Duration delay) {
  if (state.evacuations.empty()) return false;
  const auto servers = EvacuatedServersOf(state, request);
  if (servers.empty()) return false;
  request.excluded.insert(servers.begin(), servers.end());
  LogMoved(state, request, "placed");
  Requeue(state, request, delay);
  return true;
}

bool CancelIfEvacuated(State& state, Request& request) {
  if (state.evacuations.empty()) return false;
  const auto servers = EvacuatedServersOf(state, request);
  if (servers.empty()) return false;
  request.excluded.insert(servers.begin(), servers.end());
  LogMoved(state, request, "connecting");
  HandleDeclinedAttempt(state, request);
  return true;
}

bool RefuseIfAllEvacuated(State& state, Request& request) {
  if (state.evacuations.empty()) return false;
  if (HasOpenBackend(state, request)) return false;
  if (RefusalWithoutServer(state, request.service, request.allowed_regions) !=
      Refusal::kEvacuated) {
    return false;
  }
  RefuseRequest(state, request, Refusal::kEvacuated, kRetryAfterEvacuated);
  return true;
}

bool IsAnyEvacuated(const State& state, const std::string& service) {
  return !state.evacuations.empty() &&
         std::any_of(state.backends.begin(), state.backends.end(),
                     [&](const auto& it) {
                       const BackendServer& server = it.second.server;
                       return server.service == service &&
                              IsEvacuated(state, server.data_centre);
                     });
}

bool MayProbe(const State& state, const Backend& backend,
              const Request* ended) {
  if (!IsEvacuated(state, backend.server.data_centre)) return true;
  return std::any_of(
      state.requests.begin(), state.requests.end(), [&](const auto& it) {
        const Request& request = it.second;
        return &request != ended && RunsAmong(request, {backend.id});
      });
}

void WarmUpIfReopened(State& state, const Backend& backend) {
  const auto it = state.evacuations.find(backend.server.data_centre);
  if (it == state.evacuations.end() || it->second.in_force) return;
  const Time warm_at = it->second.withdrawn_at + WarmUpDuration(state, backend);
  RecordWarmUp(state, backend, warm_at - state.now, WarmUpSource::kReopened);
}

}  // namespace internal

EvacuationCounts CountEvacuations(const State& state) {
  const auto in_force =
      std::count_if(state.evacuations.begin(), state.evacuations.end(),
                    [](const auto& it) { return it.second.in_force; });
  if (in_force == 0) return {};
  const auto servers = internal::EvacuatedServers(state);
  return {.data_centres = static_cast<std::size_t>(in_force),
          .backends = servers.size(),
          .requests = internal::CountRunningAt(state, servers)};
}

}  // namespace scaleshed::serving
