#include <algorithm>
#include <utility>

#include "internal/durations.h"
#include "internal/steps.h"
#include "scaleshed/serving/reducer.h"

namespace scaleshed::serving::internal {
namespace {

// Daemons of a data centre that put the questions for all of it. Two, so that
// the others hear on when one dies, freezes or is cut off.
constexpr std::size_t kPollersPerDataCentre = 2;
// Parts of the time within which news have to be in force. Askers ask so often,
constexpr double kPollIntervalShare = 0.45;
// the second one when it has missed the first one's word: a round and the time
// between two whole snapshots to an asker, which is how old a relayed proof may
// have to be taken for,
constexpr double kSecondPollerShare = 0.63;
// and a daemon asks for itself when what it heard is older: later than a round
// and the time between two whole snapshots to an asker, which is how old a
// relayed proof may have to be taken for; early enough for a question and its
// answer.
constexpr double kOwnQueryShare = 0.74;
// Drawn once for each daemon, so that those who lost their askers don't ask at
// the same moment.
constexpr double kOwnQueryJitterShare = 0.1;
// A new configuration is read by each daemon within this part of that time
// after it heard of it, at a moment that is drawn,
constexpr double kReadDelayShare = 0.15;
// and not more often than this, whatever the number of changes.
constexpr double kMinReadIntervalShare = 0.25;
// Entries that differ from an asker's for longer than relays are underway.
constexpr double kDigestMismatchShare = 0.35;
// A daemon whose question failed does not ask for others for so long, unless
// one succeeds before.
constexpr Duration kUnreachableTime = seconds(5);
// After failed questions; doubled for each, half of it drawn.
constexpr Duration kInitialBackoff = milliseconds(100);
constexpr int kMaxBackoffDoublings = 4;
// Many that lost the store together ask no more often together than a few do:
// the first one that is answered tells the others of its data centre. At 59 a
// data centre all asked 245 times a second.
constexpr std::size_t kUnscaledBackoffDaemons = 8;
constexpr Duration kMaxBackoff = seconds(4);
// Daemons that went while nobody told are forgotten by a list of all, so often.
constexpr Duration kListInterval = seconds(60);
// Changes that come together are told together.
constexpr Duration kRelayBatchInterval = milliseconds(10);
constexpr std::size_t kMaxChangesPerRelay =
    64;  // in one message, of about 100 bytes
// Longer than any relay is on its way that still proves something.
constexpr Duration kSentSnapshotRetention = seconds(6);
constexpr Duration kSentSnapshotResolution = milliseconds(20);

Duration PollInterval(const State& state) {
  return FractionOf(state.options.propagation_limit, kPollIntervalShare);
}

// The daemons of this data centre that ask, as far as this one can tell: they
// agree on them without a word.
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
                     .crashes = state.quarantine.digest()};
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
  // After its start a daemon waits as long for a first proof.
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
                     [](const ObservedChange& it) { return !it.relayed; });
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
  PollStore query{.configuration = StoredRevision(state), .backends = {}};
  for (const auto& [id, backend] : state.backends) {
    if (backend.gone_at) continue;
    query.backends.emplace_back(id, backend.server.revision);
  }
  state.effects.emplace_back(std::move(query));
}

// A daemon of this data centre that has told that it has that revision; drawn,
// so that each that has got it takes a share of those that lack it; else who
// told of it.
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
  // The newest; a list brings the rest.
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
  // News of an entry are not on their way for longer than a list is apart.
  std::erase_if(store.tombstones, [&](const auto& it) {
    return it.second.observed_at < state.now - kListInterval;
  });
}

// When this daemon's snapshot of that number left, or a little earlier; nothing
// where that is not remembered.
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

// The asker knows just as much of this era: so do the revisions here.
void AdoptEpoch(State& state) {
  const std::uint64_t epoch = state.store.epoch.number;
  if (std::exchange(state.store.epoch.revisions_epoch, epoch) == epoch) return;
  for (auto& [id, backend] : state.backends) {
    // One that the copy lacks has no revision there.
    if (!backend.gone_at) backend.server.revision.epoch = epoch;
  }
  state.quarantine.AdoptEpoch(epoch);
}

// What is proved by an asker that knows just as much.
void ApplyConfirmation(State& state, const StoreRelay& relay, Time sent_at) {
  StoreFollowing& store = state.store;
  const StoreDigest own = DigestOf(state);
  ApplyRelayedConfirmation(state, relay, sent_at);
  if (!relay.backends_age) return;
  const bool same_backends = relay.digest.backends == own.backends;
  if (same_backends) {
    ConfirmBackends(state, sent_at - *relay.backends_age);
    RecordCompleteUpTo(state, relay.complete_up_to);
  }
  if (same_backends && relay.digest.crashes == own.crashes) {
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
    // Who else is there is heard before it is decided who asks.
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
  // What was proved of a history that is lost proves nothing.
  if (relay.epoch != state.store.epoch.number) return;
  if (relay.backends_age) RecordPeerStoreResponse(state, *relay.backends_age);
  // It was sent after that snapshot of ours had left, on our clock.
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
  // Those who listen have nobody to tell.
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
