#include <algorithm>
#include <utility>

#include "internal/steps.h"
#include "scaleshed/serving/reducer.h"

namespace scaleshed::serving::internal {
namespace {

// Each live daemon gets full snapshots at this interval, so short that this
// daemon stays live there if one is lost. The send times differ between
// recipients, since 75 full snapshots at once would occupy a link of 20 Mbit/s
// for 15 ms.
constexpr Duration kFullSnapshotInterval = milliseconds(800);
// The interval is longer for daemons that aren't live.
constexpr Duration kSilentPeerSnapshotInterval = seconds(2);
// A daemon that has just started sends its first full snapshots after a random
// delay of at most this. The delay is short because the daemons agree on
// placers and store pollers by the snapshots that they receive.
constexpr Duration kFirstSnapshotMaxDelay = milliseconds(150);
// Store pollers get full snapshots more often, since a confirmation that a
// poller relays counts from this daemon's last snapshot that it received.
constexpr Duration kPollerSnapshotInterval = milliseconds(400);
// Interval of snapshots without a change while a request waits. The other
// daemons order their own waiting requests by this daemon's.
constexpr Duration kWaitingHeartbeatInterval = milliseconds(100);

bool IsAnyRequestWaiting(const State& state) {
  return std::any_of(
      state.requests.begin(), state.requests.end(),
      [](const auto& it) { return it.second.phase == Phase::kWaiting; });
}

// Returns a snapshot without active requests, with the next sequence number.
LoadSnapshot MakeOwnSnapshot(State& state, bool incremental) {
  LoadSnapshot snapshot{.instance = state.options.instance,
                        .peer_address = state.options.peer_address,
                        .data_centre = state.options.data_centre,
                        .incarnation = state.options.incarnation,
                        .sequence = ++state.snapshot_sequence,
                        .serving = IsServing(state),
                        .polls_store = ReachesStore(state),
                        .is_hub = state.dispatch.is_hub,
                        .places = PlacesForOthers(state),
                        .relays = true,
                        .withdrawn = state.withdrawn,
                        .grants_warm_ups = HoldsWarmUpLease(state),
                        .capacity = state.options.capacity,
                        .configuration = StampOf(state),
                        .epoch = state.store.epoch.number,
                        .reconciling_for = ReconcilingFor(state)};
  snapshot.crashes =
      state.quarantine.RecentCrashes(state.now, /*latest=*/incremental);
  const auto part_crashes =
      state.part_quarantine.RecentCrashes(state.now, /*latest=*/incremental);
  snapshot.crashes.insert(snapshot.crashes.end(), part_crashes.begin(),
                          part_crashes.end());
  snapshot.crash_checks = FingerprintsUnderCheck(state);
  snapshot.part_checks = PartsUnderCheck(state);
  snapshot.limits =
      RateLimitsToPublish(state, /*only_unpublished=*/incremental);
  snapshot.leaving = LeavingToPublish(state, /*only_unpublished=*/incremental);
  snapshot.evacuations =
      EvacuationsToPublish(state, /*only_unpublished=*/incremental);
  if (!incremental ||
      state.published_doubtful_services != state.doubtful_services) {
    snapshot.paths = PathsToPublish(state);
  }
  // With placers, the queue is known only to the placer.
  if (state.dispatch.place_locally) snapshot.waiting = WaitingOf(state);
  for (const auto& [name, backend] : state.backends) {
    const bool failed = backend.suspect_until > state.now;
    const bool is_path_fault =
        failed && IsPathInQuestion(state, backend.server.service);
    if (backend.avoided_until() > state.now && !is_path_fault) {
      snapshot.suspicions.push_back({.backend = backend.id,
                                     .until = backend.avoided_until(),
                                     .failed = failed});
    }
  }
  return snapshot;
}

PublishedHeader HeaderOf(const LoadSnapshot& snapshot) {
  return {.serving = snapshot.serving,
          .polls_store = snapshot.polls_store,
          .is_hub = snapshot.is_hub,
          .places = snapshot.places,
          .withdrawn = snapshot.withdrawn,
          .grants_warm_ups = snapshot.grants_warm_ups,
          .configuration = snapshot.configuration,
          .epoch = snapshot.epoch,
          .reconciled = snapshot.reconciling_for == Duration::zero()};
}

// Adds the active requests that changed or finished since the last call to
// `snapshot`, and records them as published.
void AddRequestChanges(State& state, LoadSnapshot& snapshot) {
  snapshot.incremental = true;
  for (const auto& [key, request] : state.requests) {
    if (!CountsForPlacement(request)) continue;
    const auto published =
        state.published_requests.find(request.current.active_request.id);
    if (published != state.published_requests.end() &&
        published->second == request.current.active_request) {
      continue;
    }
    snapshot.active_requests.push_back(request.current.active_request);
    state.published_requests[request.current.active_request.id] =
        request.current.active_request;
  }
  std::erase_if(state.published_requests, [&](const auto& it) {
    const auto found = state.requests.find(it.first);
    const bool finished =
        found == state.requests.end() || !CountsForPlacement(found->second);
    if (finished) snapshot.finished_ids.push_back(it.first);
    return finished;
  });
}

// Returns the interval between two full snapshots to a daemon.
Duration FullSnapshotInterval(const State& state,
                              const std::string& peer_address) {
  // A hub gets no heartbeats from daemons of other data centres, so it can't
  // tell which of them are live.
  if (!SendsUsHeartbeats(state, peer_address)) return kFullSnapshotInterval;
  const auto member = state.members.find(peer_address);
  if (member == state.members.end() || !IsLive(state, member->second)) {
    return kSilentPeerSnapshotInterval;
  }
  return state.store.pollers.contains(peer_address) ? kPollerSnapshotInterval
                                                    : kFullSnapshotInterval;
}

// Returns the delay until the next full snapshot to a daemon, or with `first`
// until the first one.
Duration NextFullSnapshotDelay(State& state, const std::string& peer,
                               bool first) {
  if (first)
    return RandomDuration(state, IsWarmingUp(state) ? kFirstSnapshotMaxDelay
                                                    : kFullSnapshotInterval);
  const Duration interval = FullSnapshotInterval(state, peer);
  // The first snapshots leave close together; a random delay spreads the next
  // ones.
  return IsWarmingUp(state) ? RandomDuration(state, interval) : interval;
}

// Applies an incremental snapshot to the last known state of its sender.
void MergeIncremental(const LoadSnapshot& update, LoadSnapshot& known) {
  LoadSnapshot merged = update;
  merged.incremental = false;
  merged.instance = known.instance;
  merged.data_centre = known.data_centre;
  merged.capacity = known.capacity;
  if (update.paths.empty()) merged.paths = std::move(known.paths);
  merged.finished_ids.clear();
  merged.active_requests = std::move(known.active_requests);
  std::erase_if(merged.active_requests, [&](const ActiveRequest& it) {
    const auto same = [&](const ActiveRequest& other) {
      return other.id == it.id;
    };
    return std::find(update.finished_ids.begin(), update.finished_ids.end(),
                     it.id) != update.finished_ids.end() ||
           std::any_of(update.active_requests.begin(),
                       update.active_requests.end(), same);
  });
  merged.active_requests.insert(merged.active_requests.end(),
                                update.active_requests.begin(),
                                update.active_requests.end());
  known = std::move(merged);
}

}  // namespace

void OnSnapshot(State& state, const SnapshotReceived& event) {
  const LoadSnapshot& snapshot = event.snapshot;
  if (snapshot.peer_address == state.options.peer_address) return;
  // Crashes, restores and evacuations are applied even from a snapshot that is
  // late or can't be merged.
  ApplyCrashes(state, snapshot.crashes);
  ApplyPeerRestore(state, snapshot);
  ApplyPeerEvacuations(state, snapshot.evacuations, snapshot.peer_address);
  const auto known = state.members.find(snapshot.peer_address);
  const bool same_incarnation =
      known != state.members.end() &&
      known->second.snapshot.incarnation == snapshot.incarnation;
  // An incremental snapshot is useless without a full one of the same
  // incarnation.
  if (snapshot.incremental && !same_incarnation) return;
  Member& member = state.members[snapshot.peer_address];
  const LoadSnapshot& last = member.snapshot;
  const bool newer = snapshot.incarnation > last.incarnation ||
                     (same_incarnation && snapshot.sequence > last.sequence);
  if (!newer) return;
  if (!IsLive(state, member) || last.serving != snapshot.serving ||
      last.withdrawn != snapshot.withdrawn) {
    Log(state, "member",
        {{"peer", snapshot.peer_address},
         {"serving", snapshot.serving ? "true" : "false"},
         {"withdrawn", snapshot.withdrawn ? "true" : "false"},
         {"life", std::to_string(snapshot.incarnation)}});
  }
  // A daemon that begins to place for others hasn't received the active
  // requests that were published before.
  const bool begins_placing =
      snapshot.places && !(same_incarnation && last.places);
  // A daemon that has just started sends no placement request before it knows
  // the placers, and confirms no freshness before it knows of restores.
  const bool just_started = !same_incarnation && (state.dispatch.is_hub ||
                                                  state.dispatch.place_locally);
  if (begins_placing || just_started)
    state.full_snapshot_due[snapshot.peer_address] = state.now;
  for (const ServerLimit& it : snapshot.limits) {
    ApplyRateLimit(state, it, /*received_directly=*/false);
  }
  for (const BackendId it : snapshot.leaving) {
    ApplyLeaving(state, it, /*request=*/"", /*received_directly=*/false);
  }
  if (!snapshot.incremental || !snapshot.paths.empty())
    member.paths_received_at = state.now;
  const std::vector<ActiveRequest> none;
  RecordPeerStarts(state, snapshot,
                   same_incarnation ? last.active_requests : none);
  if (snapshot.incremental) {
    MergeIncremental(snapshot, member.snapshot);
  } else {
    member.snapshot = snapshot;
  }
  member.received_at = state.now;
  ApplyFirstConfirmation(state);
  for (const Suspicion& it : snapshot.suspicions) ApplySuspicion(state, it);
  if (!ReceivesAllActiveRequests(state)) {
    // This daemon doesn't receive the ends of these active requests.
    member.snapshot.active_requests.clear();
    return;
  }
  DropPublishedPlacements(state, snapshot);
  StartWaitingRequests(state);
}

void PublishIncrementalSnapshot(State& state) {
  const bool heartbeat_due =
      state.dispatch.place_locally &&
      state.now - state.published_at >= kWaitingHeartbeatInterval &&
      IsAnyRequestWaiting(state);
  if (!state.has_unpublished_changes && !heartbeat_due) return;
  state.has_unpublished_changes = false;
  state.published_at = state.now;
  PublishSnapshot effect{
      .to = {}, .snapshot = MakeOwnSnapshot(state, /*incremental=*/true)};
  AddRequestChanges(state, effect.snapshot);
  const PublishedHeader header = HeaderOf(effect.snapshot);
  const bool crashes_changed =
      std::exchange(state.has_unpublished_crashes, false);
  const bool paths_changed =
      std::exchange(state.published_doubtful_services,
                    state.doubtful_services) != state.doubtful_services;
  const bool to_heartbeat_recipients =
      std::exchange(state.published_header, header) != header ||
      crashes_changed || paths_changed || !effect.snapshot.evacuations.empty();
  const bool suspicions_changed =
      std::exchange(state.published_suspicions, effect.snapshot.suspicions) !=
      effect.snapshot.suspicions;
  const bool crash_checks_changed =
      std::exchange(state.published_crash_checks,
                    effect.snapshot.crash_checks) !=
          effect.snapshot.crash_checks ||
      state.published_part_checks != effect.snapshot.part_checks;
  state.published_part_checks = effect.snapshot.part_checks;
  const bool anything_changed =
      to_heartbeat_recipients || suspicions_changed || crash_checks_changed ||
      !effect.snapshot.limits.empty() || !effect.snapshot.leaving.empty() ||
      !effect.snapshot.active_requests.empty() ||
      !effect.snapshot.finished_ids.empty();
  if (!anything_changed && !state.dispatch.place_locally) return;
  for (const auto& [address, member] : state.members) {
    const bool receives = to_heartbeat_recipients
                              ? ReceivesHeartbeats(state, address)
                              : ReceivesActiveRequests(state, address);
    if (receives && IsLive(state, member)) effect.to.push_back(address);
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
  PublishSnapshot header_only;
  PublishSnapshot with_requests;
  for (const std::string& it : peers) {
    Time& due = state.full_snapshot_due[it];
    if (due > state.now) continue;
    // A random first delay makes the send times differ from then on.
    const bool is_first = due == Time{};
    due = state.now + NextFullSnapshotDelay(state, it, is_first);
    (ReceivesActiveRequests(state, it) ? with_requests : header_only)
        .to.push_back(it);
  }
  if (header_only.to.empty() && with_requests.to.empty()) return;
  header_only.snapshot = MakeOwnSnapshot(state, /*incremental=*/false);
  with_requests.snapshot = header_only.snapshot;
  // A placer gets a rate limit when the server advertises it, and again after a
  // placement that didn't count it, so full snapshots need not repeat it.
  if (!state.dispatch.place_locally) with_requests.snapshot.limits.clear();
  // Only recipients of active requests use rate limits and leaving servers.
  header_only.snapshot.limits.clear();
  header_only.snapshot.leaving.clear();
  for (const auto& [key, request] : state.requests) {
    if (CountsForPlacement(request)) {
      with_requests.snapshot.active_requests.push_back(
          request.current.active_request);
    }
  }
  RecordSnapshotSent(state);
  for (PublishSnapshot* it : {&with_requests, &header_only}) {
    if (!it->to.empty()) state.effects.emplace_back(std::move(*it));
  }
}

}  // namespace scaleshed::serving::internal
