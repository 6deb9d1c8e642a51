#include <algorithm>
#include <utility>

#include "internal/steps.h"
#include "scaleshed/serving/reducer.h"

// Handles restores of the store from a backup. The owners of acknowledged
// entries that the restore lost write them again; until then this daemon serves
// by what it and the other daemons knew before, and accepts little of the
// backup as confirmation.
namespace scaleshed::serving {
namespace internal {
namespace {

// The time after a restore in which the owners of entries can write them again:
// backend servers do so with their second lease renewal at the latest. What the
// store holds after this time is taken as current.
constexpr Duration kReconciliationTime = milliseconds(2500);
// The time after a restore for which a restored entry of a server that was
// known to be deleted is ignored. The entry of a server that no longer runs
// expires within three lease renewal intervals.
constexpr Duration kRestoredTombstoneTime = seconds(5);
// A starting daemon waits for a snapshot from this number of other daemons
// before it accepts the store alone as confirmation of its configuration: they
// may know of a restore, unless they have just started too.
constexpr std::size_t kMinPeersToConfirm = 4;
// Bounds of that wait for a daemon that receives snapshots from fewer daemons,
// or from none: entries of daemons outlast their processes, and a backup may
// lack the entries of running daemons.
constexpr Duration kMaxWaitWithFewPeers = milliseconds(400);
constexpr Duration kMaxWaitWithoutPeers = seconds(1);

// The maximum random delay before a lead poller records in the store that the
// epoch is reconciled. It is long enough that the first of the data centres'
// lead pollers to write usually spares the others the write.
constexpr Duration kMaxRecordDelay = seconds(1);
// The record is written again after this time if it hasn't been observed.
constexpr Duration kRecordRetryInterval = seconds(4);

// Returns whether this daemon's configuration was never confirmed.
bool IsStarting(const State& state) { return state.confirmed_at == Time{}; }

// Returns the stamp of the newest configuration that this daemon has or knows
// to exist.
ConfigurationStamp NewestStamp(const State& state) {
  const ConfigurationStamp& wanted = state.store.read_wanted;
  return IsNewer(wanted, StampOf(state)) ? wanted : StampOf(state);
}

// Returns whether this daemon has snapshots of enough other daemons, or has
// waited long enough for them, to know of a restore that one of them noticed.
bool HasHeardFromPeers(const State& state) {
  // A store that reports no epoch is not known to have been restored.
  if (state.store.epoch.number == 0 || !IsStarting(state)) return true;
  // The store reports the recorded reconciled epoch with its list of peers.
  if (!state.peers_listed) return false;
  const auto live_peers = static_cast<std::size_t>(
      std::count_if(state.members.begin(), state.members.end(),
                    [&](const auto& it) { return IsLive(state, it.second); }));
  const Duration waited = state.now - state.started_at;
  if (live_peers == 0) return waited >= kMaxWaitWithoutPeers;
  const bool has_enough_peers =
      live_peers >= std::min(state.listed_peers.size(), kMinPeersToConfirm);
  return has_enough_peers || waited >= kMaxWaitWithFewPeers;
}

void MarkReconciled(State& state, const std::string& reason) {
  StoreEpoch& epoch = state.store.epoch;
  if (std::exchange(epoch.reconciled, true)) return;
  state.has_unpublished_changes = true;
  epoch.record_due = state.now + RandomDuration(state, kMaxRecordDelay);
  // A store query can confirm the configuration from now on.
  state.store.poll_due = state.now;
  Log(state, "store_settled",
      {{"era", std::to_string(epoch.number)}, {"why", reason}});
}

// Makes a starting daemon treat the epoch as restored: other daemons know of
// the restore, or no daemon was running to notice it.
void AdoptRestore(State& state, Duration reconciling_for) {
  StoreEpoch& epoch = state.store.epoch;
  epoch.restored_at = epoch.restored_at.value_or(state.now);
  epoch.reconciled = false;
  epoch.reconciled_at =
      std::max(epoch.reconciled_at, state.now + reconciling_for);
}

// Returns whether the operators wrote the stored configuration after the
// restore, so that it is their newest.
bool IsRewritten(const State& state, const ConfigurationStamp& stored) {
  const StoreEpoch& epoch = state.store.epoch;
  const StoreRevision& stored_revision = stored.revision;
  const ConfigurationStamp known = StampOf(state);
  const bool has_moved = known.version == stored.version &&
                         known.revision.epoch + 1 == stored_revision.epoch &&
                         known.revision.number != stored_revision.number;
  const bool is_later = epoch.first_revision_number != 0 &&
                        stored_revision.number > epoch.first_revision_number;
  const bool has_changed =
      epoch.stored_configuration.revision.number != 0 &&
      stored_revision.number > epoch.stored_configuration.revision.number;
  return has_moved || is_later || has_changed;
}

}  // namespace

ConfigurationStamp StampOf(const State& state) {
  return state.configuration ? state.configuration->configuration().stamp()
                             : ConfigurationStamp{};
}

void ObserveEpoch(State& state, std::uint64_t number,
                  const std::string& source) {
  StoreEpoch& epoch = state.store.epoch;
  if (number <= epoch.number) return;
  if (!IsPlausibleEpoch(epoch.number, number)) {
    Log(state, "era_refused",
        {{"era", std::to_string(number)},
         {"known", std::to_string(epoch.number)},
         {"told_by", source}},
        /*routine=*/true);
    return;
  }
  const bool first = !std::exchange(epoch.known, true);
  const std::uint64_t previous = std::exchange(epoch.number, number);
  epoch.recorded_reconciled = 0;
  epoch.record_due = state.now + RandomDuration(state, kMaxRecordDelay);
  if (first) return;
  epoch.restored_at = state.now;
  epoch.first_revision_number = 0;
  epoch.stored_configuration = {};
  epoch.reconciled = false;
  epoch.reconciled_at = state.now + kReconciliationTime;
  state.has_unpublished_changes = true;
  state.store.poll_due = state.now;
  Log(state, "store_restored",
      {{"era", std::to_string(number)},
       {"era_before", std::to_string(previous)},
       {"told_by", source},
       {"version", std::to_string(StampOf(state).version)},
       {"backends", std::to_string(state.backends.size())},
       {"contents", std::to_string(state.quarantine.size())},
       {"parts", std::to_string(state.part_quarantine.size())}});
  state.effects.emplace_back(RewriteOwnEntry{});
  // The other daemons learn of the restore from relays.
  if (state.store.watching) state.effects.emplace_back(ListStore{});
}

void OnReconciledEpoch(State& state, std::uint64_t recorded) {
  StoreEpoch& epoch = state.store.epoch;
  epoch.recorded_reconciled = recorded;
  const bool unnoticed = recorded != 0 && recorded < epoch.number;
  if (!unnoticed || !IsStarting(state) || epoch.restored_at) return;
  Log(state, "store_restored",
      {{"era", std::to_string(epoch.number)},
       {"era_before", std::to_string(recorded)},
       {"told_by", "store"}});
  AdoptRestore(state, kReconciliationTime);
}

void WriteReconciledEpochIfDue(State& state) {
  StoreEpoch& epoch = state.store.epoch;
  const bool is_reconciled = epoch.reconciled && !IsStarting(state) &&
                             !AwaitsConfigurationRewrite(state);
  const bool is_unrecorded =
      is_reconciled && epoch.recorded_reconciled < epoch.number;
  if (!is_unrecorded || !state.store.is_lead_poller ||
      state.now < epoch.record_due)
    return;
  epoch.record_due = state.now + kRecordRetryInterval;
  Log(state, "notes_settled_era",
      {{"era", std::to_string(epoch.number)},
       {"noted", std::to_string(epoch.recorded_reconciled)}});
  state.effects.emplace_back(WriteReconciledEpoch{.epoch = epoch.number});
}

bool IsJustRestored(const State& state) {
  const auto& restored = state.store.epoch.restored_at;
  return restored && state.now < *restored + kReconciliationTime;
}

Time RestoreEnd(const State& state) {
  return state.store.epoch.restored_at.value_or(Time{}) + kReconciliationTime;
}

void RecordFirstRevisionNumber(State& state, const StoreRevision& at) {
  StoreEpoch& epoch = state.store.epoch;
  if (at.epoch != epoch.number || epoch.first_revision_number != 0) return;
  epoch.first_revision_number = at.number;
}

void RecordStoredConfiguration(State& state, const ConfigurationStamp& stored) {
  StoreEpoch& epoch = state.store.epoch;
  if (stored.revision.epoch != epoch.number) return;
  if (!epoch.reconciled && IsRewritten(state, stored))
    MarkReconciled(state, "written");
  if (stored.revision > epoch.stored_configuration.revision)
    epoch.stored_configuration = stored;
}

void ConfirmByStore(State& state, std::uint64_t number, Time queried_at) {
  StoreEpoch& epoch = state.store.epoch;
  if (number != epoch.number || queried_at == Time{}) return;
  if (!epoch.reconciled && state.now >= epoch.reconciled_at)
    MarkReconciled(state, "time");
  if (!epoch.reconciled || AwaitsConfigurationRewrite(state)) return;
  if (!HasHeardFromPeers(state)) {
    epoch.first_confirmation = queried_at;
    return;
  }
  ConfirmConfiguration(state, queried_at);
}

void ApplyFirstConfirmation(State& state) {
  StoreEpoch& epoch = state.store.epoch;
  if (!epoch.first_confirmation || !HasHeardFromPeers(state)) return;
  const Time queried_at =
      *std::exchange(epoch.first_confirmation, std::nullopt);
  ConfirmByStore(state, epoch.number, queried_at);
}

void ApplyPeerRestore(State& state, const LoadSnapshot& snapshot) {
  ObserveEpoch(state, snapshot.epoch, snapshot.peer_address);
  StoreEpoch& epoch = state.store.epoch;
  // A starting daemon can't learn of the restore otherwise.
  const bool is_starting = IsStarting(state) && snapshot.epoch == epoch.number;
  if (is_starting && snapshot.reconciling_for > Duration::zero()) {
    AdoptRestore(state, snapshot.reconciling_for);
  }
  // The store has lost this configuration: only daemons have it.
  const bool is_lost = snapshot.configuration.revision.epoch < epoch.number;
  if (is_lost)
    ScheduleConfigurationRead(state, snapshot.configuration,
                              snapshot.peer_address);
}

void ApplyRelayedConfirmation(State& state, const StoreRelay& relay,
                              Time sent) {
  if (!relay.configuration_age) return;
  const Time queried_at = sent - *relay.configuration_age;
  if (IsNewer(relay.digest.configuration, StampOf(state))) {
    AwaitConfiguration(state, relay.digest.configuration, queried_at);
    return;
  }
  // The configuration known here is at least as new as the one that was
  // confirmed as the newest at that time.
  MarkReconciled(state, "relay");
  ConfirmConfiguration(state, queried_at);
}

Duration ReconcilingFor(const State& state) {
  const StoreEpoch& epoch = state.store.epoch;
  if (epoch.reconciled) return Duration::zero();
  return std::max(epoch.reconciled_at - state.now, Duration::zero());
}

StoreRevision StoredRevision(const State& state) {
  const StoreRevision known = StampOf(state).revision;
  const StoreEpoch& epoch = state.store.epoch;
  return known.epoch == epoch.number ? known
                                     : epoch.stored_configuration.revision;
}

bool IsRestoredTombstone(const State& state, const BackendServer& server) {
  const StoreEpoch& epoch = state.store.epoch;
  const auto tombstone = state.store.tombstones.find(server.id);
  return tombstone != state.store.tombstones.end() && epoch.restored_at &&
         tombstone->second.revision.epoch < server.revision.epoch &&
         server.start_unix_ms <= tombstone->second.start_unix_ms &&
         (epoch.first_revision_number == 0 ||
          server.revision.number <= epoch.first_revision_number) &&
         state.now < *epoch.restored_at + kRestoredTombstoneTime;
}

Time RestoredTombstoneEnd(const State& state) {
  return state.store.epoch.restored_at.value_or(Time{}) +
         kRestoredTombstoneTime;
}

}  // namespace internal

bool AwaitsConfigurationRewrite(const State& state) {
  const ConfigurationStamp newest = internal::NewestStamp(state);
  return newest.revision.number != 0 &&
         newest.revision.epoch < state.store.epoch.number;
}

}  // namespace scaleshed::serving
