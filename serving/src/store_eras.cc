#include <algorithm>
#include <utility>

#include "internal/steps.h"
#include "scaleshed/serving/reducer.h"

// The store may come back from an older copy. What was acknowledged and lost is
// written again by whom it belongs to; until then this daemon goes by what it
// and the others knew, and takes little of the copy for proof.
namespace scaleshed::serving {
namespace internal {
namespace {

// Whoever wrote to the store has the time to write it again: entries of backend
// servers come with the second heartbeat at the latest. What the copy holds
// after that is taken for what was there last.
constexpr Duration kReconciliationTime = milliseconds(2500);
// An entry of a backend server that has gone lapses within three heartbeats.
constexpr Duration kRestoredTombstoneTime = seconds(5);
// A daemon that starts waits for a word of so many others before the store
// alone proves its configuration: they may know of a restore, unless they have
// just started too.
constexpr std::size_t kSufficientPeers = 4;
// No longer than that where it hears some, or nobody: entries outlast daemons,
// and a copy may lack those of daemons that live.
constexpr Duration kMaxWaitWithFewPeers = milliseconds(400);
constexpr Duration kMaxWaitWithoutPeers = seconds(1);

// One of the daemons that lead their data centres' questions notes that an era
// is settled; the others see it by then.
constexpr Duration kMaxRecordDelay = seconds(1);
// Unless the note is seen, it is written again.
constexpr Duration kRecordRetryInterval = seconds(4);

// Nothing has proved its configuration yet.
bool IsStarting(const State& state) { return state.confirmed_at == Time{}; }

// The newest that this daemon has or has heard of.
ConfigurationStamp NewestStamp(const State& state) {
  const ConfigurationStamp& wanted = state.store.read_wanted;
  return IsNewer(wanted, StampOf(state)) ? wanted : StampOf(state);
}

bool HasHeardFromPeers(const State& state) {
  // A store that tells no era is not known to have been restored.
  if (state.store.epoch.number == 0 || !IsStarting(state)) return true;
  // With the peers the store told which era was settled last.
  if (!state.peers_listed) return false;
  const auto live_peers = static_cast<std::size_t>(
      std::count_if(state.members.begin(), state.members.end(),
                    [&](const auto& it) { return IsLive(state, it.second); }));
  const Duration waited = state.now - state.started_at;
  if (live_peers == 0) return waited >= kMaxWaitWithoutPeers;
  const bool has_enough_peers =
      live_peers >= std::min(state.listed_peers.size(), kSufficientPeers);
  return has_enough_peers || waited >= kMaxWaitWithFewPeers;
}

void MarkReconciled(State& state, const std::string& reason) {
  StoreEpoch& epoch = state.store.epoch;
  if (std::exchange(epoch.reconciled, true)) return;
  state.has_unpublished_changes = true;
  epoch.record_due = state.now + RandomDuration(state, kMaxRecordDelay);
  // Now a question can prove the configuration.
  state.store.poll_due = state.now;
  Log(state, "store_settled",
      {{"era", std::to_string(epoch.number)}, {"why", reason}});
}

// A daemon that starts hears of a restore that the others know, or that none of
// them was there to notice.
void AdoptRestore(State& state, Duration reconciling_for) {
  StoreEpoch& epoch = state.store.epoch;
  epoch.restored_at = epoch.restored_at.value_or(state.now);
  epoch.reconciled = false;
  epoch.reconciled_at =
      std::max(epoch.reconciled_at, state.now + reconciling_for);
}

// The operators wrote it since the restore, so that it is their newest.
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
       {"contents", std::to_string(state.quarantine.size())}});
  state.effects.emplace_back(RewriteOwnEntry{});
  // The others hear of it by relays.
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

void RecordFirstRevisionNumber(State& state, const StoreRevision& revision) {
  StoreEpoch& epoch = state.store.epoch;
  if (revision.epoch != epoch.number || epoch.first_revision_number != 0)
    return;
  epoch.first_revision_number = revision.number;
}

void RecordStoredConfiguration(State& state, const ConfigurationStamp& stored) {
  StoreEpoch& epoch = state.store.epoch;
  if (stored.revision.epoch != epoch.number) return;
  if (!epoch.reconciled && IsRewritten(state, stored))
    MarkReconciled(state, "written");
  if (stored.revision > epoch.stored_configuration.revision)
    epoch.stored_configuration = stored;
}

void ConfirmByStore(State& state, std::uint64_t epoch_number, Time queried_at) {
  StoreEpoch& epoch = state.store.epoch;
  if (epoch_number != epoch.number || queried_at == Time{}) return;
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
  // A daemon that starts can't know of it otherwise.
  const bool is_starting = IsStarting(state) && snapshot.epoch == epoch.number;
  if (is_starting && snapshot.reconciling_for > Duration::zero()) {
    AdoptRestore(state, snapshot.reconciling_for);
  }
  // It is known to daemons only: the store has lost it.
  const bool is_lost = snapshot.configuration.revision.epoch < epoch.number;
  if (is_lost)
    ScheduleConfigurationRead(state, snapshot.configuration,
                              snapshot.peer_address);
}

void ApplyRelayedConfirmation(State& state, const StoreRelay& relay,
                              Time sent_at) {
  if (!relay.configuration_age) return;
  const Time queried_at = sent_at - *relay.configuration_age;
  if (IsNewer(relay.digest.configuration, StampOf(state))) {
    AwaitConfiguration(state, relay.digest.configuration, queried_at);
    return;
  }
  // Whatever was the newest then, what is known here is at least as new.
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
