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

std::uint64_t RevisionOf(const State& state) {
  return state.configuration ? state.configuration->configuration().revision
                             : 0;
}

bool IsFresh(const State& state) {
  return state.configuration.has_value() &&
         state.now - state.confirmed_at <
             state.options.key_freshness - kFreshnessMargin;
}

void OnConfiguration(State& state, const ConfigurationSeen& event) {
  const std::uint64_t known = RevisionOf(state);
  // A watch says that the store is there, and proves nothing.
  event.asked != Time{} ? NoteStoreReached(state) : NoteStoreHeard(state);
  // It was the newest when the question was put: what is known is at least as
  // new, also where a watch has told of a newer one since.
  ConfirmConfiguration(state, event.asked);
  if (event.configuration.revision <= known) {
    const Configuration& kept = state.configuration->configuration();
    if (event.configuration.version != kept.version) {
      Log(state, "configuration_kept",
          {{"revision", std::to_string(known)},
           {"version", std::to_string(kept.version)},
           {"seen_revision", std::to_string(event.configuration.revision)},
           {"seen_version", std::to_string(event.configuration.version)}});
    }
    return;
  }
  state.configuration.emplace(event.configuration);
  state.effects.emplace_back(ApplyLimits{.limits = event.configuration.limits});
  Log(state, "configuration",
      {{"revision", std::to_string(event.configuration.revision)},
       {"version", std::to_string(event.configuration.version)},
       {"routes", std::to_string(event.configuration.routes.size())},
       {"accounts", std::to_string(event.configuration.accounts.size())},
       // A watch brings a change without proof that it is the newest.
       {"proved_ms_ago",
        event.asked == Time{} ? "" : Millis(state.now - event.asked)}});
  state.changed = true;
  TakeAwaited(state);
}

void OnConfirmed(State& state, const ConfigurationConfirmed& event) {
  NoteStoreReached(state);
  // That there is none yet is known too.
  if (event.revision > RevisionOf(state)) return;
  ConfirmConfiguration(state, event.asked);
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
