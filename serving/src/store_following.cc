#include <algorithm>
#include <utility>

#include "internal/durations.h"
#include "internal/steps.h"
#include "scaleshed/serving/reducer.h"

namespace scaleshed::serving::internal {
namespace {

// The daemons of a data centre that poll the store for all of its daemons: two,
// so that the others still receive relays when one crashes, hangs or is cut
// off.
constexpr std::size_t kPollersPerDataCentre = 2;
// The interval between polls of the lead poller, as a share of the propagation
// limit.
constexpr double kPollIntervalShare = 0.45;
// The share of the propagation limit after the last freshness confirmation at
// which the second poller queries the store because the lead poller's relay is
// missing. It covers a poll interval and the time between two full snapshots to
// a poller: a relayed confirmation may have to count as that old.
constexpr double kSecondPollerShare = 0.63;
// The share of the propagation limit after the last freshness confirmation at
// which any other daemon queries the store itself. It exceeds a poll interval
// plus the time between two full snapshots to a poller, as a relayed
// confirmation may have to count as that old, and leaves time for a query and
// its response.
constexpr double kOwnQueryShare = 0.74;
// The largest addition to kOwnQueryShare. It is fixed for each daemon by a hash
// of its address, so that daemons that lost their pollers don't all query at
// the same moment.
constexpr double kOwnQueryJitterShare = 0.1;
// The largest delay, as a share of the propagation limit, before a daemon reads
// a new configuration that it has learnt of; the delay is random.
constexpr double kReadDelayShare = 0.15;
// The shortest interval between two reads of a configuration, as a share of the
// propagation limit, however many changes there are.
constexpr double kMinReadIntervalShare = 0.25;
// The share of the propagation limit for which a daemon's entries may differ
// from a poller's before the daemon lists the store. It exceeds the time that
// relays take to arrive.
constexpr double kDigestMismatchShare = 0.35;
// How long a daemon whose store query failed doesn't poll for others, unless a
// query succeeds earlier.
constexpr Duration kUnreachableTime = seconds(5);
// The backoff after a failed store query. It doubles with each further failure;
// half of it is random.
constexpr Duration kInitialBackoff = milliseconds(100);
constexpr int kMaxBackoffDoublings = 4;
// The backoff grows with the number of daemons in a data centre beyond this
// one, so that many daemons that lost the store send no more queries together
// than a few do: the first one that gets a response relays it to the others.
// Without this, 59 daemons a data centre sent 245 queries a second together.
constexpr std::size_t kUnscaledBackoffDaemons = 8;
constexpr Duration kMaxBackoff = seconds(4);
// The interval between full lists of the store. A list removes daemons that
// ended without a notice.
constexpr Duration kListInterval = seconds(60);
// The shortest interval between relays of changes, so that changes that arrive
// together are relayed together.
constexpr Duration kRelayBatchInterval = milliseconds(10);
// Limits the changes and the crash records of one message; each takes about
// 100 bytes.
constexpr std::size_t kMaxChangesPerRelay = 64;
// How long the send times of this daemon's snapshots are kept: longer than a
// relay whose confirmation is still usable can be in transit.
constexpr Duration kSentSnapshotRetention = seconds(6);
// The shortest interval between two recorded send times.
constexpr Duration kSentSnapshotResolution = milliseconds(20);

Duration PollInterval(const State& state) {
  return FractionOf(state.options.propagation_limit, kPollIntervalShare);
}

// Returns the pollers of this data centre as far as this daemon can tell. The
// daemons agree on them without messages, as all rank the same members.
std::vector<std::string> SelectPollers(const State& state) {
  const std::string& data_centre = state.options.data_centre;
  auto pollers = StrongestOf(
      state, data_centre, ReachesStore(state), [&](const Member& it) {
        return it.snapshot.polls_store &&
               it.snapshot.data_centre == data_centre && IsLive(state, it);
      });
  pollers.resize(std::min(kPollersPerDataCentre, pollers.size()));
  return pollers;
}

StoreDigest DigestOf(const State& state) {
  StoreDigest digest{.configuration = StampOf(state),
                     .crashes = state.quarantine.digest(),
                     .part_crashes = state.part_quarantine.digest(),
                     .evacuations = EvacuationDigest(state)};
  for (const auto& [id, backend] : state.backends) {
    if (!backend.gone_at) digest.backends ^= backend.entry_hash;
  }
  return digest;
}

Time OwnQueryDue(const State& state) {
  const double jitter =
      static_cast<double>(HashBytes(state.options.peer_address) % 1000) / 1000;
  const Duration limit =
      FractionOf(state.options.propagation_limit,
                 kOwnQueryShare + kOwnQueryJitterShare * jitter);
  // A daemon that has started waits as long for its first confirmation.
  const Time confirmed_at = StoreConfirmedAt(state);
  const Time since =
      confirmed_at == Time{} ? state.store.role_since : confirmed_at;
  return std::max(state.store.poll_due, since + limit);
}

Time QueryDue(const State& state) {
  const StoreFollowing& store = state.store;
  if (!store.watching) return OwnQueryDue(state);
  if (store.is_lead_poller) return store.poll_due;
  const Duration limit =
      FractionOf(state.options.propagation_limit, kSecondPollerShare);
  return std::max(store.poll_due, StoreConfirmedAt(state) + limit);
}

bool HasUnrelayedChanges(const State& state) {
  const StoreFollowing& store = state.store;
  return StampOf(state) != store.relayed_configuration ||
         std::any_of(store.crashes.begin(), store.crashes.end(),
                     [](const ObservedCrashes& it) { return !it.relayed; }) ||
         std::any_of(store.changes.begin(), store.changes.end(),
                     [](const ObservedChange& it) { return !it.relayed; }) ||
         std::any_of(state.evacuations.begin(), state.evacuations.end(),
                     [](const auto& it) { return it.second.unrelayed; });
}

bool HasUnrelayedConfirmation(const State& state) {
  return StoreConfirmedAt(state) > state.store.relayed_confirmation;
}

void UpdateRole(State& state) {
  const auto pollers = SelectPollers(state);
  const std::string& own = state.options.peer_address;
  state.store.pollers = {pollers.begin(), pollers.end()};
  state.store.is_lead_poller = !pollers.empty() && pollers.front() == own;
  const bool is_poller = state.store.pollers.contains(own);
  if (is_poller == state.store.watching) return;
  state.store.watching = is_poller;
  state.effects.emplace_back(WatchStore{.enabled = is_poller});
  Log(state, "store_role",
      {{"asks", is_poller ? "true" : "false"},
       {"data_centre", state.options.data_centre},
       {"proved_ms_ago", Millis(state.now - StoreConfirmedAt(state))}});
}

void SendQuery(State& state) {
  StoreFollowing& store = state.store;
  if (!store.watching) {
    Log(state, "asks_for_itself",
        {{"proved_ms_ago", Millis(state.now - StoreConfirmedAt(state))},
         {"failures", std::to_string(store.consecutive_failures)}});
  }
  store.poll_due = state.now + PollInterval(state);
  RecordStoreQuery(state);
  // A poll can't tell whether a restored store holds this request.
  if (IsAnyEvacuationUnlocated(state)) store.list_due = state.now;
  PollStore query{.configuration = StoredRevision(state),
                  .backends = {},
                  .evacuations = EvacuationsToConfirm(state)};
  for (const auto& [id, backend] : state.backends) {
    if (backend.gone_at) continue;
    query.backends.emplace_back(id, backend.server.revision);
  }
  state.effects.emplace_back(std::move(query));
}

// Returns the peer to read the configuration `stamp` from: a random daemon of
// this data centre that has published that it has it, so that the daemons that
// have it share the reads of those that don't; if there is none, the daemon
// that first reported the configuration.
std::string PickSourcePeer(State& state, const ConfigurationStamp& stamp) {
  std::vector<const std::string*> holders;
  for (const auto& [address, member] : state.members) {
    const LoadSnapshot& snapshot = member.snapshot;
    const bool has_configuration =
        !IsNewer(stamp, snapshot.configuration) && snapshot.serving &&
        snapshot.data_centre == state.options.data_centre;
    if (has_configuration && IsLive(state, member)) holders.push_back(&address);
  }
  if (holders.empty()) return state.store.read_from;
  return *holders[state.random() % holders.size()];
}

void ReadIfDue(State& state) {
  StoreFollowing& store = state.store;
  if (store.read_due && *store.read_due <= state.now) {
    store.read_due.reset();
    store.read_at = state.now;
    ReadConfiguration read{
        .wanted = store.read_wanted,
        .source_peer = PickSourcePeer(state, store.read_wanted)};
    Log(state, "reads_configuration",
        {{"version", std::to_string(read.wanted.version)},
         {"era", std::to_string(read.wanted.revision.epoch)},
         {"revision", std::to_string(read.wanted.revision.number)},
         {"from", read.source_peer}});
    state.effects.emplace_back(std::move(read));
  }
  const bool differs = store.list_due && *store.list_due <= state.now;
  if (!differs && state.now < store.listed_at + kListInterval) return;
  store.list_due.reset();
  store.listed_at = state.now + RandomDuration(state, kListInterval / 4);
  RecordStoreQuery(state);
  Log(state, "lists_store", {{"why", differs ? "differs" : "usual"}});
  state.effects.emplace_back(ListStore{});
}

std::vector<BackendChange> ChangesToRelay(const State& state, bool all) {
  std::vector<BackendChange> changes;
  for (auto it = state.store.changes.rbegin(); it != state.store.changes.rend();
       ++it) {
    if (changes.size() == kMaxChangesPerRelay) break;
    if (all || !it->relayed) changes.push_back(it->change);
  }
  std::reverse(changes.begin(), changes.end());
  return changes;
}

std::vector<StoredCrashes> CrashesToRelay(const State& state, bool all) {
  std::vector<StoredCrashes> crashes;
  for (const ObservedCrashes& it : state.store.crashes) {
    if (all || !it.relayed) crashes.push_back(it.crashes);
  }
  // Only the newest are relayed; a list of the store brings the rest.
  const std::size_t n = std::min(crashes.size(), kMaxChangesPerRelay);
  return {crashes.end() - static_cast<std::ptrdiff_t>(n), crashes.end()};
}

void Relay(State& state) {
  StoreFollowing& store = state.store;
  const bool confirms = HasUnrelayedConfirmation(state);
  if (!confirms && state.now - store.relayed_at < kRelayBatchInterval) return;
  StoreRelay relay{.peer_address = state.options.peer_address,
                   .epoch = store.epoch.number,
                   .digest = DigestOf(state),
                   .changes = ChangesToRelay(state, confirms),
                   .crashes = CrashesToRelay(state, confirms),
                   .evacuations = KnownEvacuations(state),
                   .complete_up_to = store.complete_up_to,
                   .backends_age = {},
                   .configuration_age = {},
                   .daemons = 0,
                   .daemons_age = {}};
  if (confirms && store.backends_confirmed_at != Time{}) {
    relay.backends_age = state.now - store.backends_confirmed_at;
  }
  const bool is_reconciled =
      store.epoch.reconciled && !AwaitsConfigurationRewrite(state);
  if (confirms && is_reconciled && state.confirmed_at != Time{}) {
    relay.configuration_age = state.now - state.confirmed_at;
  }
  if (confirms && store.daemon_entries_at != Time{}) {
    relay.daemons = store.daemon_entries;
    relay.daemons_age = state.now - store.daemon_entries_at;
  }
  RelayStoreState effect;
  for (const auto& [address, member] : state.members) {
    const bool is_local =
        member.snapshot.data_centre == state.options.data_centre;
    if (!is_local || !IsLive(state, member)) continue;
    relay.heard_incarnation = member.snapshot.incarnation;
    relay.heard_sequence = member.snapshot.sequence;
    effect.messages.emplace_back(address, relay);
  }
  store.relayed_at = state.now;
  store.relayed_confirmation = StoreConfirmedAt(state);
  store.relayed_configuration = StampOf(state);
  for (ObservedChange& it : store.changes) it.relayed = true;
  for (ObservedCrashes& it : store.crashes) it.relayed = true;
  for (auto& [data_centre, it] : state.evacuations) it.unrelayed = false;
  if (!effect.messages.empty()) state.effects.emplace_back(std::move(effect));
}

void DropExpired(State& state) {
  StoreFollowing& store = state.store;
  const Time relayed_since = state.now - state.options.propagation_limit;
  while (!store.changes.empty() &&
         store.changes.front().observed_at < relayed_since) {
    store.changes.pop_front();
  }
  while (!store.crashes.empty() &&
         store.crashes.front().observed_at < relayed_since) {
    store.crashes.pop_front();
  }
  // No change of an entry is in transit for longer than the list interval.
  std::erase_if(store.tombstones, [&](const auto& it) {
    return it.second.observed_at < state.now - kListInterval;
  });
}

// Returns when this daemon sent its snapshot with that number, or a slightly
// earlier time; nothing if that is no longer recorded.
std::optional<Time> SentAt(const State& state, std::uint64_t incarnation,
                           std::uint64_t sequence) {
  if (incarnation != state.options.incarnation) return std::nullopt;
  std::optional<Time> at;
  for (const auto& [number, time] : state.store.sent_snapshots) {
    if (number > sequence) break;
    at = time;
  }
  return at;
}

// Moves the revisions known here to the store's epoch, as the poller knows the
// same entries in that epoch.
void AdoptEpoch(State& state) {
  const std::uint64_t epoch = state.store.epoch.number;
  if (std::exchange(state.store.epoch.revisions_epoch, epoch) == epoch) return;
  for (auto& [id, backend] : state.backends) {
    // An entry that the backup lacks has no revision in this epoch.
    if (!backend.gone_at) backend.server.revision.epoch = epoch;
  }
  state.quarantine.AdoptEpoch(epoch);
  state.part_quarantine.AdoptEpoch(epoch);
}

// Applies the freshness confirmation of a relay. It confirms what the poller
// and this daemon both know.
void ApplyConfirmation(State& state, const StoreRelay& relay, Time sent_at) {
  StoreFollowing& store = state.store;
  const StoreDigest own = DigestOf(state);
  ApplyRelayedConfirmation(state, relay, sent_at);
  if (!relay.backends_age) return;
  const bool same_evacuations = IsEvacuationDigestEqual(state, relay.digest);
  // A list wouldn't make a daemon whose version doesn't know evacuations
  // confirm them.
  if (!same_evacuations && !relay.digest.evacuations) return;
  const bool same_backends =
      relay.digest.backends == own.backends && same_evacuations;
  if (same_backends) {
    ConfirmBackends(state, sent_at - *relay.backends_age);
    // Otherwise the poller may lack evacuations.
    if (relay.digest.evacuations)
      RecordCompleteUpTo(state, relay.complete_up_to);
  }
  const bool same_crashes = relay.digest.crashes == own.crashes &&
                            relay.digest.part_crashes.value_or(
                                *own.part_crashes) == *own.part_crashes;
  if (same_backends && same_crashes) {
    store.list_due.reset();
    AdoptEpoch(state);
  } else if (!store.list_due) {
    store.list_due = state.now + FractionOf(state.options.propagation_limit,
                                            kDigestMismatchShare);
  }
}

}  // namespace

void ScheduleConfigurationRead(State& state, const ConfigurationStamp& stamp,
                               const std::string& source) {
  StoreFollowing& store = state.store;
  if (!IsNewer(stamp, StampOf(state))) return;
  if (IsNewer(stamp, store.read_wanted)) {
    store.read_from = source;
    store.read_wanted = stamp;
  }
  if (store.read_due) return;
  const Duration limit = state.options.propagation_limit;
  store.read_due = std::max(
      state.now + RandomDuration(state, FractionOf(limit, kReadDelayShare)),
      store.read_at + FractionOf(limit, kMinReadIntervalShare));
}

bool ReachesStore(const State& state) {
  if (state.stop_at) return false;
  return state.store.consecutive_failures == 0 ||
         state.now - state.store.unreachable_at > kUnreachableTime;
}

void UpdateStoreRoles(State& state) {
  if (state.store.has_role) UpdateRole(state);
  UpdatePlacementDuties(state);
}

void FollowStore(State& state) {
  StoreFollowing& store = state.store;
  if (!store.started) {
    // The daemon receives snapshots of the other daemons for one poll interval
    // before it determines the pollers.
    store.started = true;
    store.poll_due = state.now + PollInterval(state);
    store.listed_at = state.now;
    return;
  }
  if (!store.has_role) {
    if (state.now < store.poll_due) return;
    store.has_role = true;
    store.role_since = state.now;
    UpdateStoreRoles(state);
  }
  if (QueryDue(state) <= state.now) SendQuery(state);
  ReadIfDue(state);
  if (store.watching &&
      (HasUnrelayedConfirmation(state) || HasUnrelayedChanges(state)))
    Relay(state);
  WriteReconciledEpochIfDue(state);
  DropExpired(state);
}

Time NextStoreWake(const State& state) {
  const StoreFollowing& store = state.store;
  if (!store.started) return state.now;
  if (!store.has_role) return store.poll_due;
  Time due = std::max(QueryDue(state), state.ticked_at);
  if (store.read_due) due = std::min(due, *store.read_due);
  if (store.watching && HasUnrelayedConfirmation(state)) due = state.now;
  if (store.watching && HasUnrelayedChanges(state)) {
    due = std::min(due, store.relayed_at + kRelayBatchInterval);
  }
  return due;
}

void RecordStoreReached(State& state) {
  state.store.consecutive_failures = 0;
  RecordStoreResponse(state);
}

void OnBackendsConfirmed(State& state, const BackendsConfirmed& event) {
  RecordStoreReached(state);
  if (event.epoch != state.store.epoch.number) return;
  ConfirmBackends(state, event.queried_at);
}

void OnStoreUnreachable(State& state) {
  StoreFollowing& store = state.store;
  store.unreachable_at = state.now;
  const int doublings =
      std::min(store.consecutive_failures++, kMaxBackoffDoublings);
  const auto live_peers = std::count_if(
      state.members.begin(), state.members.end(), [&](const auto& it) {
        return it.second.snapshot.data_centre == state.options.data_centre &&
               IsLive(state, it.second);
      });
  const double factor =
      std::max(1.0, static_cast<double>(live_peers + 1) /
                        static_cast<double>(kUnscaledBackoffDaemons));
  const Duration max_backoff = std::min(
      FractionOf(kInitialBackoff * (1 << doublings), factor), kMaxBackoff);
  store.poll_due =
      state.now + max_backoff / 2 + RandomDuration(state, max_backoff / 2);
}

void OnStoreRelay(State& state, const StoreRelay& relay) {
  ObserveEpoch(state, relay.epoch, relay.peer_address);
  ApplyPeerEvacuations(state, relay.evacuations, relay.peer_address);
  for (const BackendChange& it : relay.changes) {
    if (it.server) {
      OnListed(state, *it.server);
    } else {
      OnUnlisted(state,
                 {.id = it.id, .certain = it.certain, .revision = it.revision});
    }
  }
  for (const StoredCrashes& it : relay.crashes) OnCrashesStored(state, it);
  ScheduleConfigurationRead(state, relay.digest.configuration,
                            relay.peer_address);
  if (!relay.backends_age && !relay.configuration_age) return;
  // A confirmation from another epoch confirms nothing: that history is lost.
  if (relay.epoch != state.store.epoch.number) return;
  if (relay.backends_age) RecordPeerStoreResponse(state, *relay.backends_age);
  // The relay was sent after the snapshot of ours that it names; our own clock
  // gives the time of that snapshot, and so the earliest time of the relay.
  const auto sent_at =
      SentAt(state, relay.heard_incarnation, relay.heard_sequence);
  if (!sent_at) return;
  ApplyConfirmation(state, relay, *sent_at);
  if (relay.daemons_age) {
    OnDaemonsCounted(state, {.daemons = relay.daemons,
                             .queried_at = *sent_at - *relay.daemons_age});
  }
}

void RecordChange(State& state, BackendChange change) {
  // Only pollers relay changes.
  if (!state.store.watching) return;
  state.store.changes.push_back(
      {.change = std::move(change), .observed_at = state.now});
}

void RecordTombstone(State& state, const std::string& id,
                     const StoreRevision& revision) {
  if (revision.number == 0) return;
  Tombstone& entry = state.store.tombstones[id];
  const auto known = state.backends.find(id);
  if (known != state.backends.end())
    entry.start_unix_ms = known->second.server.start_unix_ms;
  entry.revision = std::max(entry.revision, revision);
  entry.observed_at = state.now;
}

void RecordCompleteUpTo(State& state, const StoreRevision& revision) {
  state.store.complete_up_to = std::max(state.store.complete_up_to, revision);
  RecordFirstRevisionNumber(state, revision);
}

bool HasTombstoneSince(const State& state, const std::string& id,
                       const StoreRevision& revision) {
  const bool known = state.backends.contains(id);
  if (!known && revision < state.store.complete_up_to) return true;
  const auto it = state.store.tombstones.find(id);
  return it != state.store.tombstones.end() && revision < it->second.revision;
}

void RecordSnapshotSent(State& state) {
  auto& sent = state.store.sent_snapshots;
  if (!sent.empty() && state.now - sent.back().second < kSentSnapshotResolution)
    return;
  sent.emplace_back(state.snapshot_sequence, state.now);
  while (sent.front().second < state.now - kSentSnapshotRetention)
    sent.pop_front();
}

}  // namespace scaleshed::serving::internal
