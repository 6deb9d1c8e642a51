#include <algorithm>
#include <utility>

#include "internal/steps.h"
#include "scaleshed/serving/reducer.h"

namespace scaleshed::serving::internal {
namespace {

// Each daemon gets a whole snapshot so often: two that are lost in a row don't
// make a living daemon silent. Those that are not heard, more
// rarely. Moments differ from daemon to daemon: 75 whole snapshots at once
// would keep a link of 20 Mbit/s from requests for 15 ms.
constexpr Duration kWholeEvery = milliseconds(800);
constexpr Duration kWholeToSilent = seconds(2);
// A daemon that has just started says so within this, at a moment that is
// drawn: who places and who asks the store is agreed by what is heard.
constexpr Duration kFirstWhole = milliseconds(150);
// What an asker proves counts from the last snapshot of ours that it has heard.
constexpr Duration kWholeToAsker = milliseconds(400);
// Changes are told at once; while something waits this often without one, as
// others order theirs by it.
constexpr Duration kBusyHeartbeat = milliseconds(100);

bool AnyWaits(const State& state) {
  return std::any_of(
      state.requests.begin(), state.requests.end(),
      [](const auto& it) { return it.second.phase == Phase::kWaiting; });
}

// All but the works.
LoadSnapshot OwnSnapshot(State& state, bool partial) {
  LoadSnapshot snapshot{.instance = state.options.instance,
                        .peer_address = state.options.peer_address,
                        .data_centre = state.options.data_centre,
                        .incarnation = state.options.incarnation,
                        .sequence = ++state.snapshot_sequence,
                        .serving = IsServing(state),
                        .polls_store = ReachesStore(state),
                        .is_hub = state.dispatch.is_hub,
                        .places = PlacesForOthers(state),
                        .capacity = state.options.capacity,
                        .configuration = StampOf(state),
                        .epoch = state.store.epoch.number,
                        .reconciling_for = ReconcilingFor(state)};
  snapshot.crashes =
      state.quarantine.RecentCrashes(state.now, /*latest=*/partial);
  snapshot.crash_checks = FingerprintsUnderCheck(state);
  snapshot.limits = RateLimitsToPublish(state, /*news=*/partial);
  snapshot.leaving = LeavingToPublish(state, /*news=*/partial);
  // A placer's line is its own.
  if (state.dispatch.place_locally) snapshot.waiting = WaitingOf(state);
  for (const auto& [name, backend] : state.backends) {
    if (backend.avoided_until() > state.now) {
      snapshot.suspicions.push_back(
          {.backend = backend.id,
           .until = backend.avoided_until(),
           .failed = backend.suspect_until > state.now});
    }
  }
  return snapshot;
}

PublishedHeader HeaderOf(const LoadSnapshot& snapshot) {
  return {.serving = snapshot.serving,
          .polls_store = snapshot.polls_store,
          .is_hub = snapshot.is_hub,
          .places = snapshot.places,
          .configuration = snapshot.configuration,
          .epoch = snapshot.epoch,
          .reconciled = snapshot.reconciling_for == Duration::zero()};
}

// Notes what the others are told, and puts what is new of it into `snapshot`.
void TellWorks(State& state, LoadSnapshot& snapshot) {
  snapshot.incremental = true;
  for (const auto& [key, request] : state.requests) {
    if (request.phase == Phase::kWaiting) continue;
    const auto told = state.published_requests.find(request.active_request.id);
    if (told != state.published_requests.end() &&
        told->second == request.active_request) {
      continue;
    }
    snapshot.active_requests.push_back(request.active_request);
    state.published_requests[request.active_request.id] =
        request.active_request;
  }
  std::erase_if(state.published_requests, [&](const auto& it) {
    const auto found = state.requests.find(it.first);
    const bool over =
        found == state.requests.end() || found->second.phase == Phase::kWaiting;
    if (over) snapshot.finished_ids.push_back(it.first);
    return over;
  });
}

// Between two whole snapshots to that daemon.
Duration WholePause(const State& state, const std::string& peer_address) {
  // Those of other data centres don't tell a hub that they live.
  if (!SendsUsHeartbeats(state, peer_address)) return kWholeEvery;
  const auto member = state.members.find(peer_address);
  if (member == state.members.end() || !IsLive(state, member->second)) {
    return kWholeToSilent;
  }
  return state.store.pollers.contains(peer_address) ? kWholeToAsker
                                                    : kWholeEvery;
}

// Until the next whole snapshot to that daemon; `first`: to tell it the first.
Duration NextPause(State& state, const std::string& peer, bool first) {
  if (first)
    return RandomDuration(state,
                          IsWarmingUp(state) ? kFirstWhole : kWholeEvery);
  const Duration pause = WholePause(state, peer);
  // After first ones that were told close together the moments differ again.
  return IsWarmingUp(state) ? RandomDuration(state, pause) : pause;
}

void Apply(const LoadSnapshot& partial, LoadSnapshot& known) {
  LoadSnapshot next = partial;
  next.incremental = false;
  next.instance = known.instance;
  next.data_centre = known.data_centre;
  next.capacity = known.capacity;
  next.finished_ids.clear();
  next.active_requests = std::move(known.active_requests);
  std::erase_if(next.active_requests, [&](const ActiveRequest& it) {
    const auto same = [&](const ActiveRequest& other) {
      return other.id == it.id;
    };
    return std::find(partial.finished_ids.begin(), partial.finished_ids.end(),
                     it.id) != partial.finished_ids.end() ||
           std::any_of(partial.active_requests.begin(),
                       partial.active_requests.end(), same);
  });
  next.active_requests.insert(next.active_requests.end(),
                              partial.active_requests.begin(),
                              partial.active_requests.end());
  known = std::move(next);
}

}  // namespace

void OnSnapshot(State& state, const SnapshotReceived& event) {
  const LoadSnapshot& snapshot = event.snapshot;
  if (snapshot.peer_address == state.options.peer_address) return;
  // These hold whatever else it says, and however late.
  ApplyCrashes(state, snapshot.crashes);
  ApplyPeerRestore(state, snapshot);
  const auto known = state.members.find(snapshot.peer_address);
  const bool same_life =
      known != state.members.end() &&
      known->second.snapshot.incarnation == snapshot.incarnation;
  // A part of nothing says too little.
  if (snapshot.incremental && !same_life) return;
  Member& member = state.members[snapshot.peer_address];
  const LoadSnapshot& last = member.snapshot;
  const bool newer = snapshot.incarnation > last.incarnation ||
                     (same_life && snapshot.sequence > last.sequence);
  if (!newer) return;
  if (!IsLive(state, member) || last.serving != snapshot.serving) {
    Log(state, "member",
        {{"peer", snapshot.peer_address},
         {"serving", snapshot.serving ? "true" : "false"},
         {"life", std::to_string(snapshot.incarnation)}});
  }
  // One that begins to place knows nothing of what was told to others.
  const bool begins = snapshot.places && !(same_life && last.places);
  // One that has just started asks nobody before it hears who places, and
  // proves nothing before it hears of restores.
  const bool starts =
      !same_life && (state.dispatch.is_hub || state.dispatch.place_locally);
  if (begins || starts)
    state.full_snapshot_due[snapshot.peer_address] = state.now;
  for (const ServerLimit& it : snapshot.limits) {
    ApplyRateLimit(state, it, /*own=*/false);
  }
  for (const BackendId it : snapshot.leaving) {
    ApplyLeaving(state, it, /*request=*/"", /*own=*/false);
  }
  const std::vector<ActiveRequest> none;
  RecordPeerStarts(state, snapshot, same_life ? last.active_requests : none);
  if (snapshot.incremental) {
    Apply(snapshot, member.snapshot);
  } else {
    member.snapshot = snapshot;
  }
  member.received_at = state.now;
  ApplyFirstConfirmation(state);
  for (const Suspicion& it : snapshot.suspicions) ApplySuspicion(state, it);
  if (!ReceivesAllActiveRequests(state)) {
    // Nobody tells it when these end.
    member.snapshot.active_requests.clear();
    return;
  }
  DropPublishedPlacements(state, snapshot);
  StartWaitingRequests(state);
}

void PublishIncrementalSnapshot(State& state) {
  const bool heartbeat = state.dispatch.place_locally &&
                         state.now - state.published_at >= kBusyHeartbeat &&
                         AnyWaits(state);
  if (!state.has_unpublished_changes && !heartbeat) return;
  state.has_unpublished_changes = false;
  state.published_at = state.now;
  PublishSnapshot effect{.to = {},
                         .snapshot = OwnSnapshot(state, /*partial=*/true)};
  TellWorks(state, effect.snapshot);
  const PublishedHeader header = HeaderOf(effect.snapshot);
  const bool news_of_endings =
      std::exchange(state.has_unpublished_crashes, false);
  const bool all_hear =
      std::exchange(state.published_header, header) != header ||
      news_of_endings;
  const bool suspects =
      std::exchange(state.published_suspicions, effect.snapshot.suspicions) !=
      effect.snapshot.suspicions;
  const bool asks = std::exchange(state.published_crash_checks,
                                  effect.snapshot.crash_checks) !=
                    effect.snapshot.crash_checks;
  const bool news = all_hear || suspects || asks ||
                    !effect.snapshot.limits.empty() ||
                    !effect.snapshot.leaving.empty() ||
                    !effect.snapshot.active_requests.empty() ||
                    !effect.snapshot.finished_ids.empty();
  if (!news && !state.dispatch.place_locally) return;
  for (const auto& [address, member] : state.members) {
    const bool hears = all_hear ? ReceivesHeartbeats(state, address)
                                : ReceivesActiveRequests(state, address);
    if (hears && IsLive(state, member)) effect.to.push_back(address);
  }
  RecordSnapshotSent(state);
  if (!effect.to.empty()) state.effects.emplace_back(std::move(effect));
}

void PublishFullSnapshots(State& state) {
  std::set<std::string> peers;
  for (const auto& [address, data_centre] : state.listed_peers) {
    if (ReceivesHeartbeats(state, address)) peers.insert(address);
  }
  for (const auto& [address, member] : state.members) {
    if (ReceivesHeartbeats(state, address)) peers.insert(address);
  }
  std::erase_if(state.full_snapshot_due,
                [&](const auto& it) { return !peers.contains(it.first); });
  PublishSnapshot effect;
  PublishSnapshot with_works;
  for (const std::string& it : peers) {
    Time& due = state.full_snapshot_due[it];
    if (due > state.now) continue;
    // The first pause is drawn, so that the moments differ from then on.
    const bool first = due == Time{};
    due = state.now + NextPause(state, it, first);
    (ReceivesActiveRequests(state, it) ? with_works : effect).to.push_back(it);
  }
  if (effect.to.empty() && with_works.to.empty()) return;
  effect.snapshot = OwnSnapshot(state, /*partial=*/false);
  with_works.snapshot = effect.snapshot;
  // A placer is told of a limit when it is named, and again where it places as
  // if it didn't know.
  if (!state.dispatch.place_locally) with_works.snapshot.limits.clear();
  // Only those that hear of works go by these.
  effect.snapshot.limits.clear();
  effect.snapshot.leaving.clear();
  for (const auto& [key, request] : state.requests) {
    if (request.phase != Phase::kWaiting) {
      with_works.snapshot.active_requests.push_back(request.active_request);
    }
  }
  RecordSnapshotSent(state);
  for (PublishSnapshot* it : {&with_works, &effect}) {
    if (!it->to.empty()) state.effects.emplace_back(std::move(*it));
  }
}

}  // namespace scaleshed::serving::internal
