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
constexpr Duration kSettlesWithin = milliseconds(2500);
// An entry of a backend server that has gone lapses within three heartbeats.
constexpr Duration kCopyLapses = seconds(5);
// A daemon that starts waits for a word of so many others before the store
// alone proves its configuration: they may know of a restore, unless they have
// just started too.
constexpr std::size_t kFewOthers = 4;
// No longer than that where it hears some, or nobody: entries outlast daemons,
// and a copy may lack those of daemons that live.
constexpr Duration kHearsFewFor = milliseconds(400);
constexpr Duration kHearsNobodyFor = seconds(1);

// One of the daemons that lead their data centres' questions notes that an era
// is settled; the others see it by then.
constexpr Duration kNoteWithin = seconds(1);
// Unless the note is seen, it is written again.
constexpr Duration kNoteAgain = seconds(4);

// Nothing has proved its configuration yet.
bool IsStarting(const State& state) { return state.confirmed_at == Time{}; }

// The newest that this daemon has or has heard of.
ConfigurationStamp NewestStamp(const State& state) {
  const ConfigurationStamp& heard = state.store.read_wanted;
  return IsNewer(heard, StampOf(state)) ? heard : StampOf(state);
}

bool HasHeardOthers(const State& state) {
  // A store that tells no era is not known to have been restored.
  if (state.store.epoch.number == 0 || !IsStarting(state)) return true;
  // With the peers the store told which era was settled last.
  if (!state.peers_listed) return false;
  const auto heard = static_cast<std::size_t>(
      std::count_if(state.members.begin(), state.members.end(),
                    [&](const auto& it) { return IsLive(state, it.second); }));
  const Duration waited = state.now - state.started_at;
  if (heard == 0) return waited >= kHearsNobodyFor;
  const bool hears_enough =
      heard >= std::min(state.listed_peers.size(), kFewOthers);
  return hears_enough || waited >= kHearsFewFor;
}

void Settle(State& state, const std::string& why) {
  StoreEpoch& era = state.store.epoch;
  if (std::exchange(era.reconciled, true)) return;
  state.has_unpublished_changes = true;
  era.record_due = state.now + RandomDuration(state, kNoteWithin);
  // Now a question can prove the configuration.
  state.store.poll_due = state.now;
  Log(state, "store_settled",
      {{"era", std::to_string(era.number)}, {"why", why}});
}

// A daemon that starts hears of a restore that the others know, or that none of
// them was there to notice.
void JoinRestore(State& state, Duration unsettled_for) {
  StoreEpoch& era = state.store.epoch;
  era.restored_at = era.restored_at.value_or(state.now);
  era.reconciled = false;
  era.reconciled_at = std::max(era.reconciled_at, state.now + unsettled_for);
}

// The operators wrote it since the restore, so that it is their newest.
bool IsRewritten(const State& state, const ConfigurationStamp& stored) {
  const StoreEpoch& era = state.store.epoch;
  const StoreRevision& at = stored.revision;
  const ConfigurationStamp known = StampOf(state);
  const bool moved = known.version == stored.version &&
                     known.revision.epoch + 1 == at.epoch &&
                     known.revision.number != at.number;
  const bool is_later =
      era.first_revision_number != 0 && at.number > era.first_revision_number;
  const bool changed = era.stored_configuration.revision.number != 0 &&
                       at.number > era.stored_configuration.revision.number;
  return moved || is_later || changed;
}

}  // namespace

ConfigurationStamp StampOf(const State& state) {
  return state.configuration ? state.configuration->configuration().stamp()
                             : ConfigurationStamp{};
}

void ObserveEpoch(State& state, std::uint64_t number,
                  const std::string& told_by) {
  StoreEpoch& era = state.store.epoch;
  if (number <= era.number) return;
  if (!IsPlausibleEpoch(era.number, number)) {
    Log(state, "era_refused",
        {{"era", std::to_string(number)},
         {"known", std::to_string(era.number)},
         {"told_by", told_by}},
        /*routine=*/true);
    return;
  }
  const bool first = !std::exchange(era.known, true);
  const std::uint64_t before = std::exchange(era.number, number);
  era.recorded_reconciled = 0;
  era.record_due = state.now + RandomDuration(state, kNoteWithin);
  if (first) return;
  era.restored_at = state.now;
  era.first_revision_number = 0;
  era.stored_configuration = {};
  era.reconciled = false;
  era.reconciled_at = state.now + kSettlesWithin;
  state.has_unpublished_changes = true;
  state.store.poll_due = state.now;
  Log(state, "store_restored",
      {{"era", std::to_string(number)},
       {"era_before", std::to_string(before)},
       {"told_by", told_by},
       {"version", std::to_string(StampOf(state).version)},
       {"backends", std::to_string(state.backends.size())},
       {"contents", std::to_string(state.quarantine.size())}});
  state.effects.emplace_back(RewriteOwnEntry{});
  // The others hear of it by relays.
  if (state.store.watching) state.effects.emplace_back(ListStore{});
}

void OnReconciledEpoch(State& state, std::uint64_t settled) {
  StoreEpoch& era = state.store.epoch;
  era.recorded_reconciled = settled;
  const bool unnoticed = settled != 0 && settled < era.number;
  if (!unnoticed || !IsStarting(state) || era.restored_at) return;
  Log(state, "store_restored",
      {{"era", std::to_string(era.number)},
       {"era_before", std::to_string(settled)},
       {"told_by", "store"}});
  JoinRestore(state, kSettlesWithin);
}

void WriteReconciledEpochIfDue(State& state) {
  StoreEpoch& era = state.store.epoch;
  const bool settled = era.reconciled && !IsStarting(state) &&
                       !AwaitsConfigurationRewrite(state);
  const bool lacks = settled && era.recorded_reconciled < era.number;
  if (!lacks || !state.store.is_lead_poller || state.now < era.record_due)
    return;
  era.record_due = state.now + kNoteAgain;
  Log(state, "notes_settled_era",
      {{"era", std::to_string(era.number)},
       {"noted", std::to_string(era.recorded_reconciled)}});
  state.effects.emplace_back(WriteReconciledEpoch{.epoch = era.number});
}

bool IsJustRestored(const State& state) {
  const auto& restored = state.store.epoch.restored_at;
  return restored && state.now < *restored + kSettlesWithin;
}

Time RestoreEnd(const State& state) {
  return state.store.epoch.restored_at.value_or(Time{}) + kSettlesWithin;
}

void RecordFirstRevisionNumber(State& state, const StoreRevision& at) {
  StoreEpoch& era = state.store.epoch;
  if (at.epoch != era.number || era.first_revision_number != 0) return;
  era.first_revision_number = at.number;
}

void RecordStoredConfiguration(State& state, const ConfigurationStamp& stored) {
  StoreEpoch& era = state.store.epoch;
  if (stored.revision.epoch != era.number) return;
  if (!era.reconciled && IsRewritten(state, stored)) Settle(state, "written");
  if (stored.revision > era.stored_configuration.revision)
    era.stored_configuration = stored;
}

void ConfirmByStore(State& state, std::uint64_t number, Time asked) {
  StoreEpoch& era = state.store.epoch;
  if (number != era.number || asked == Time{}) return;
  if (!era.reconciled && state.now >= era.reconciled_at) Settle(state, "time");
  if (!era.reconciled || AwaitsConfigurationRewrite(state)) return;
  if (!HasHeardOthers(state)) {
    era.first_confirmation = asked;
    return;
  }
  ConfirmConfiguration(state, asked);
}

void ApplyFirstConfirmation(State& state) {
  StoreEpoch& era = state.store.epoch;
  if (!era.first_confirmation || !HasHeardOthers(state)) return;
  const Time asked = *std::exchange(era.first_confirmation, std::nullopt);
  ConfirmByStore(state, era.number, asked);
}

void ApplyPeerRestore(State& state, const LoadSnapshot& told) {
  ObserveEpoch(state, told.epoch, told.peer_address);
  StoreEpoch& era = state.store.epoch;
  // A daemon that starts can't know of it otherwise.
  const bool starts = IsStarting(state) && told.epoch == era.number;
  if (starts && told.reconciling_for > Duration::zero()) {
    JoinRestore(state, told.reconciling_for);
  }
  // It is known to daemons only: the store has lost it.
  const bool lost = told.configuration.revision.epoch < era.number;
  if (lost)
    ScheduleConfigurationRead(state, told.configuration, told.peer_address);
}

void ApplyRelayedConfirmation(State& state, const StoreRelay& relay,
                              Time sent) {
  if (!relay.configuration_age) return;
  const Time asked = sent - *relay.configuration_age;
  if (IsNewer(relay.digest.configuration, StampOf(state))) {
    AwaitConfiguration(state, relay.digest.configuration, asked);
    return;
  }
  // Whatever was the newest then, what is known here is at least as new.
  Settle(state, "relay");
  ConfirmConfiguration(state, asked);
}

Duration ReconcilingFor(const State& state) {
  const StoreEpoch& era = state.store.epoch;
  if (era.reconciled) return Duration::zero();
  return std::max(era.reconciled_at - state.now, Duration::zero());
}

StoreRevision StoredRevision(const State& state) {
  const StoreRevision known = StampOf(state).revision;
  const StoreEpoch& era = state.store.epoch;
  return known.epoch == era.number ? known : era.stored_configuration.revision;
}

bool IsRestoredTombstone(const State& state, const BackendServer& server) {
  const StoreEpoch& era = state.store.epoch;
  const auto gone = state.store.tombstones.find(server.id);
  return gone != state.store.tombstones.end() && era.restored_at &&
         gone->second.revision.epoch < server.revision.epoch &&
         server.start_unix_ms <= gone->second.start_unix_ms &&
         (era.first_revision_number == 0 ||
          server.revision.number <= era.first_revision_number) &&
         state.now < *era.restored_at + kCopyLapses;
}

Time RestoredTombstoneEnd(const State& state) {
  return state.store.epoch.restored_at.value_or(Time{}) + kCopyLapses;
}

}  // namespace internal

bool AwaitsConfigurationRewrite(const State& state) {
  const ConfigurationStamp newest = internal::NewestStamp(state);
  return newest.revision.number != 0 &&
         newest.revision.epoch < state.store.epoch.number;
}

}  // namespace scaleshed::serving
