#include <algorithm>
#include <iterator>

#include "internal/steps.h"
#include "scaleshed/serving/reducer.h"

namespace scaleshed::serving {
namespace internal {
namespace {

// A daemon that has been silent so long is not named to clients, and what it
// had is forgotten. Longer than two whole snapshots that are lost in a row.
constexpr Duration kLivenessTimeout = milliseconds(2000);
// What is needed to take a request and get it to a backend server is done well
// within this part of the bound for keys.
constexpr Duration kFreshnessMargin = milliseconds(200);

}  // namespace

bool IsLive(const State& state, const Member& member) {
  return state.now - member.received_at < kLivenessTimeout;
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
    if (request.phase != Phase::kWaiting)
      requests.push_back(&request.active_request);
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
  // Those that went long ago are not written to for ever.
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
       {"accounts", std::to_string(seen.accounts.size())},
       // A watch brings a change without proof that it is the newest.
       {"proved_ms_ago", event.queried_at == Time{}
                             ? ""
                             : Millis(state.now - event.queried_at)}});
  state.has_unpublished_changes = true;
  ConfirmAwaited(state);
}

}  // namespace

void OnConfiguration(State& state, const ConfigurationReceived& event) {
  const ConfigurationStamp seen = event.configuration.stamp();
  // A watch says that the store is there, and proves nothing.
  event.queried_at != Time{} ? RecordStoreReached(state)
                             : RecordStoreResponse(state);
  const bool is_newer = IsNewer(seen, StampOf(state));
  // A copy's, or read late.
  if (!is_newer && seen != state.store.epoch.stored_configuration)
    LogConfigurationKept(state, seen);
  // Before it is taken: what was known tells whether it was written since a
  // restore.
  RecordStoredConfiguration(state, seen);
  if (is_newer) ApplyConfiguration(state, event);
  // It was the newest when the question was put: what is known is at least as
  // new, also where a watch has told of a newer one since.
  ConfirmByStore(state, seen.revision.epoch, event.queried_at);
}

void OnConfirmed(State& state, const ConfigurationConfirmed& event) {
  RecordStoreReached(state);
  // That there is none yet is known too.
  const StoreRevision known = StampOf(state).revision;
  if (known.epoch == event.revision.epoch && event.revision > known) return;
  ConfirmByStore(state, event.revision.epoch, event.queried_at);
}

}  // namespace internal

bool IsServing(const State& state) {
  return internal::IsFresh(state) && internal::IsConfigurationUsable(state) &&
         internal::AreBackendsUsable(state) && !state.stop_at;
}

ClientAddresses LookUpClientAddresses(const State& state) {
  // Short, so that a daemon that is gone is soon forgotten; some clients keep
  // an answer for three times as long, which a planned stop waits for.
  constexpr Duration kTimeToLive = seconds(2);
  ClientAddresses result{.addresses = internal::AddressesFor(state),
                         .time_to_live = kTimeToLive};
  if (!result.addresses.empty()) return result;
  // Nobody is known to serve: any may come back first.
  result.addresses.push_back(state.options.instance);
  for (const auto& [address, member] : state.members) {
    result.addresses.push_back(member.snapshot.instance);
  }
  return result;
}

}  // namespace scaleshed::serving
