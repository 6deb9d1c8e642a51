#include <algorithm>
#include <iterator>

#include "internal/steps.h"
#include "scaleshed/serving/reducer.h"

namespace scaleshed::serving {
namespace internal {
namespace {

// A daemon from which no snapshot came for this long isn't live: clients don't
// get its address, and its active requests don't count. The time allows for one
// lost full snapshot.
constexpr Duration kDaemonLivenessTimeout = milliseconds(2000);
// Margin within the key freshness limit for the time from admitting a request
// to sending it to a backend server.
constexpr Duration kFreshnessMargin = milliseconds(200);

}  // namespace

bool IsLive(const State& state, const Member& member) {
  return state.now - member.received_at < kDaemonLivenessTimeout;
}

DaemonCount CountOf(const State& state) {
  DaemonCount count{.live = 1,
                    .listed = state.listed_peers.size(),
                    .entries = state.store.daemon_entries};
  for (const auto& [address, member] : state.members) {
    if (IsLive(state, member)) ++count.live;
  }
  return count;
}

std::size_t LiveDaemons(const State& state) {
  const DaemonCount count = CountOf(state);
  return std::max({count.live, count.listed + 1, count.entries});
}

std::vector<const ActiveRequest*> AllActiveRequests(const State& state) {
  std::vector<const ActiveRequest*> requests;
  for (const auto& [key, request] : state.requests) {
    if (CountsForPlacement(request))
      requests.push_back(&request.current.active_request);
  }
  for (const auto& [address, member] : state.members) {
    if (!IsLive(state, member)) continue;
    for (const ActiveRequest& it : member.snapshot.active_requests)
      requests.push_back(&it);
  }
  for (const auto& [key, it] : state.dispatch.remote_placements) {
    if (it.placement) requests.push_back(&it.active_request);
  }
  return requests;
}

void OnPeersListed(State& state, const PeersListed& event) {
  state.listed_peers.clear();
  for (const ListedPeer& it : event.peers) {
    state.listed_peers[it.peer_address] = it.data_centre;
  }
  state.listed_peers.erase(state.options.peer_address);
  state.peers_listed = true;
  UpdatePlacementMode(state);
  // Members that are neither live nor listed are erased, so that this daemon
  // stops sending snapshots to them.
  std::erase_if(state.members, [&](const auto& it) {
    return !IsLive(state, it.second) && !state.listed_peers.contains(it.first);
  });
  state.has_unpublished_changes = true;
}

void OnDaemonsCounted(State& state, const DaemonsCounted& event) {
  StoreFollowing& store = state.store;
  if (event.queried_at <= store.daemon_entries_at) return;
  store.daemon_entries = event.daemons;
  store.daemon_entries_at = event.queried_at;
  UpdatePlacementMode(state);
  state.slack_share.OnDaemonsCounted(event.queried_at);
}

bool IsFresh(const State& state) {
  return state.configuration.has_value() &&
         state.now - state.confirmed_at <
             state.options.key_freshness - kFreshnessMargin;
}

namespace {

void LogConfigurationKept(State& state, const ConfigurationStamp& seen) {
  const ConfigurationStamp known = StampOf(state);
  if (seen.version == known.version) return;
  Log(state, "configuration_kept",
      {{"version", std::to_string(known.version)},
       {"era", std::to_string(known.revision.epoch)},
       {"revision", std::to_string(known.revision.number)},
       {"seen_version", std::to_string(seen.version)},
       {"seen_era", std::to_string(seen.revision.epoch)},
       {"seen_revision", std::to_string(seen.revision.number)}});
}

void ApplyConfiguration(State& state, const ConfigurationReceived& event) {
  const Configuration& seen = event.configuration;
  state.configuration.emplace(seen);
  state.effects.emplace_back(ApplyLimits{.limits = seen.limits});
  Log(state, "configuration",
      {{"era", std::to_string(seen.revision.epoch)},
       {"revision", std::to_string(seen.revision.number)},
       {"version", std::to_string(seen.version)},
       {"routes", std::to_string(seen.routes.size())},
       {"accounts",
        seen.accounts ? std::to_string(seen.accounts->size()) : "none"},
       // A change from a watch comes without a freshness confirmation.
       {"proved_ms_ago", event.queried_at == Time{}
                             ? ""
                             : Millis(state.now - event.queried_at)}});
  state.has_unpublished_changes = true;
  UpdateAllowedRegions(state);
  ConfirmAwaited(state);
}

}  // namespace

void OnConfiguration(State& state, const ConfigurationReceived& event) {
  const ConfigurationStamp seen = event.configuration.stamp();
  // A change from a watch shows that the store responds, but confirms no
  // freshness.
  event.queried_at != Time{} ? RecordStoreReached(state)
                             : RecordStoreResponse(state);
  const bool is_newer = IsNewer(seen, StampOf(state));
  // An older configuration comes from a backup or from a read that took long.
  if (!is_newer && seen != state.store.epoch.stored_configuration)
    LogConfigurationKept(state, seen);
  // This precedes ApplyConfiguration() because the previously known
  // configuration shows whether this one was written after a restore.
  RecordStoredConfiguration(state, seen);
  if (is_newer) ApplyConfiguration(state, event);
  // The received configuration was the newest when the query was sent, so the
  // known one, which a watch may have replaced by a newer one since, is at
  // least as new.
  ConfirmByStore(state, seen.revision.epoch, event.queried_at);
}

void OnConfirmed(State& state, const ConfigurationConfirmed& event) {
  RecordStoreReached(state);
  // The confirmation may also say that the store holds no configuration yet.
  const StoreRevision known = StampOf(state).revision;
  if (known.epoch == event.revision.epoch && event.revision > known) return;
  ConfirmByStore(state, event.revision.epoch, event.queried_at);
}

}  // namespace internal

bool IsServing(const State& state) {
  return internal::IsFresh(state) && internal::IsConfigurationUsable(state) &&
         internal::AreBackendsUsable(state) && !state.stop_at;
}

bool TakesClients(const State& state) {
  return IsServing(state) && !state.withdrawn;
}

}  // namespace scaleshed::serving
