#include <algorithm>
#include <iterator>

#include "internal/steps.h"
#include "scaleshed/serving/reducer.h"

namespace scaleshed::serving {
namespace internal {
namespace {

// A daemon that has been silent so long is not named to clients, and what it
// had is forgotten. Longer than two whole snapshots that are lost in a row.
constexpr Duration kSilence = milliseconds(2000);
// What is needed to take a request and get it to a backend server is done well
// within this part of the bound for keys.
constexpr Duration kFreshnessMargin = milliseconds(200);

}  // namespace

bool IsHeard(const State& state, const Member& member) {
  return state.now - member.heard < kSilence;
}

DaemonCount CountOf(const State& state) {
  DaemonCount count{.heard = 1,
                    .listed = state.listed_peers.size(),
                    .entries = state.store.entries};
  for (const auto& [address, member] : state.members) {
    if (IsHeard(state, member)) ++count.heard;
  }
  return count;
}

std::size_t LiveDaemons(const State& state) {
  const DaemonCount count = CountOf(state);
  return std::max({count.heard, count.listed + 1, count.entries});
}

std::vector<const Work*> AllWorks(const State& state) {
  std::vector<const Work*> works;
  for (const auto& [key, request] : state.requests) {
    if (request.phase != Phase::kWaiting) works.push_back(&request.work);
  }
  for (const auto& [address, member] : state.members) {
    if (!IsHeard(state, member)) continue;
    for (const Work& it : member.snapshot.works) works.push_back(&it);
  }
  for (const auto& [key, it] : state.dispatch.asked) {
    if (it.placed) works.push_back(&it.work);
  }
  return works;
}

void OnPeersListed(State& state, const PeersListed& event) {
  state.listed_peers.clear();
  for (const ListedPeer& it : event.peers) {
    state.listed_peers[it.peer_address] = it.data_centre;
  }
  state.listed_peers.erase(state.options.peer_address);
  state.peers_listed = true;
  CountDaemons(state);
  // Those that went long ago are not written to for ever.
  std::erase_if(state.members, [&](const auto& it) {
    return !IsHeard(state, it.second) && !state.listed_peers.contains(it.first);
  });
  state.changed = true;
}

void OnDaemonsCounted(State& state, const DaemonsCounted& event) {
  StoreFollowing& store = state.store;
  if (event.asked <= store.entries_at) return;
  store.entries = event.daemons;
  store.entries_at = event.asked;
  CountDaemons(state);
  state.slack.DaemonsCounted(event.asked);
}

bool IsFresh(const State& state) {
  return state.configuration.has_value() &&
         state.now - state.confirmed_at <
             state.options.key_freshness - kFreshnessMargin;
}

namespace {

void LogKept(State& state, const ConfigurationStamp& seen) {
  const ConfigurationStamp known = StampOf(state);
  if (seen.version == known.version) return;
  Log(state, "configuration_kept",
      {{"version", std::to_string(known.version)},
       {"era", std::to_string(known.revision.era)},
       {"revision", std::to_string(known.revision.number)},
       {"seen_version", std::to_string(seen.version)},
       {"seen_era", std::to_string(seen.revision.era)},
       {"seen_revision", std::to_string(seen.revision.number)}});
}

void TakeConfiguration(State& state, const ConfigurationSeen& event) {
  const Configuration& seen = event.configuration;
  state.configuration.emplace(seen);
  state.effects.emplace_back(ApplyLimits{.limits = seen.limits});
  Log(state, "configuration",
      {{"era", std::to_string(seen.revision.era)},
       {"revision", std::to_string(seen.revision.number)},
       {"version", std::to_string(seen.version)},
       {"routes", std::to_string(seen.routes.size())},
       {"accounts", std::to_string(seen.accounts.size())},
       // A watch brings a change without proof that it is the newest.
       {"proved_ms_ago",
        event.asked == Time{} ? "" : Millis(state.now - event.asked)}});
  state.changed = true;
  TakeAwaited(state);
}

}  // namespace

void OnConfiguration(State& state, const ConfigurationSeen& event) {
  const ConfigurationStamp seen = event.configuration.stamp();
  // A watch says that the store is there, and proves nothing.
  event.asked != Time{} ? NoteStoreReached(state) : NoteStoreHeard(state);
  const bool is_newer = IsNewer(seen, StampOf(state));
  // A copy's, or read late.
  if (!is_newer && seen != state.store.era.stored) LogKept(state, seen);
  // Before it is taken: what was known tells whether it was written since a
  // restore.
  NoteStored(state, seen);
  if (is_newer) TakeConfiguration(state, event);
  // It was the newest when the question was put: what is known is at least as
  // new, also where a watch has told of a newer one since.
  ProveByStore(state, seen.revision.era, event.asked);
}

void OnConfirmed(State& state, const ConfigurationConfirmed& event) {
  NoteStoreReached(state);
  // That there is none yet is known too.
  const StoreRevision known = StampOf(state).revision;
  if (known.era == event.revision.era && event.revision > known) return;
  ProveByStore(state, event.revision.era, event.asked);
}

}  // namespace internal

bool IsServing(const State& state) {
  return internal::IsFresh(state) && internal::KnowsConfiguration(state) &&
         internal::KnowsBackends(state) && !state.stop_at;
}

LookUpAnswer LookUp(const State& state) {
  // Short, so that a daemon that is gone is soon forgotten; some clients keep
  // an answer for three times as long, which a planned stop waits for.
  constexpr Duration kKeep = seconds(2);
  LookUpAnswer answer{.addresses = internal::AddressesFor(state),
                      .keep = kKeep};
  if (!answer.addresses.empty()) return answer;
  // Nobody is known to serve: any may come back first.
  answer.addresses.push_back(state.options.instance);
  for (const auto& [address, member] : state.members) {
    answer.addresses.push_back(member.snapshot.instance);
  }
  return answer;
}

}  // namespace scaleshed::serving
