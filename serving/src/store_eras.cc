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
  if (state.store.era.number == 0 || !IsStarting(state)) return true;
  // With the peers the store told which era was settled last.
  if (!state.peers_listed) return false;
  const auto heard = static_cast<std::size_t>(
      std::count_if(state.members.begin(), state.members.end(),
                    [&](const auto& it) { return IsHeard(state, it.second); }));
  const Duration waited = state.now - state.started_at;
  if (heard == 0) return waited >= kHearsNobodyFor;
  const bool hears_enough =
      heard >= std::min(state.listed_peers.size(), kFewOthers);
  return hears_enough || waited >= kHearsFewFor;
}

void Settle(State& state, const std::string& why) {
  StoreEra& era = state.store.era;
  if (std::exchange(era.settled, true)) return;
  state.changed = true;
  era.note_due = state.now + Drawn(state, kNoteWithin);
  // Now a question can prove the configuration.
  state.store.ask_due = state.now;
  Log(state, "store_settled",
      {{"era", std::to_string(era.number)}, {"why", why}});
}

// A daemon that starts hears of a restore that the others know, or that none of
// them was there to notice.
void JoinRestore(State& state, Duration unsettled_for) {
  StoreEra& era = state.store.era;
  era.restored_at = era.restored_at.value_or(state.now);
  era.settled = false;
  era.settles_at = std::max(era.settles_at, state.now + unsettled_for);
}

// The operators wrote it since the restore, so that it is their newest.
bool IsRewritten(const State& state, const ConfigurationStamp& stored) {
  const StoreEra& era = state.store.era;
  const StoreRevision& at = stored.revision;
  const ConfigurationStamp known = StampOf(state);
  const bool moved = known.version == stored.version &&
                     known.revision.era + 1 == at.era &&
                     known.revision.number != at.number;
  const bool is_later = era.first_number != 0 && at.number > era.first_number;
  const bool changed =
      era.stored.revision.number != 0 && at.number > era.stored.revision.number;
  return moved || is_later || changed;
}

}  // namespace

ConfigurationStamp StampOf(const State& state) {
  return state.configuration ? state.configuration->configuration().stamp()
                             : ConfigurationStamp{};
}

void NoteEra(State& state, std::uint64_t number, const std::string& told_by) {
  StoreEra& era = state.store.era;
  if (number <= era.number) return;
  if (!IsPlausibleEra(era.number, number)) {
    Log(state, "era_refused",
        {{"era", std::to_string(number)},
         {"known", std::to_string(era.number)},
         {"told_by", told_by}},
        /*routine=*/true);
    return;
  }
  const bool first = !std::exchange(era.heard, true);
  const std::uint64_t before = std::exchange(era.number, number);
  era.noted = 0;
  era.note_due = state.now + Drawn(state, kNoteWithin);
  if (first) return;
  era.restored_at = state.now;
  era.first_number = 0;
  era.stored = {};
  era.settled = false;
  era.settles_at = state.now + kSettlesWithin;
  state.changed = true;
  state.store.ask_due = state.now;
  Log(state, "store_restored",
      {{"era", std::to_string(number)},
       {"era_before", std::to_string(before)},
       {"told_by", told_by},
       {"version", std::to_string(StampOf(state).version)},
       {"backends", std::to_string(state.backends.size())},
       {"contents", std::to_string(state.quarantine.size())}});
  state.effects.emplace_back(WriteEntryAgain{});
  // The others hear of it by relays.
  if (state.store.watching) state.effects.emplace_back(ListStore{});
}

void OnSettledEra(State& state, std::uint64_t settled) {
  StoreEra& era = state.store.era;
  era.noted = settled;
  const bool unnoticed = settled != 0 && settled < era.number;
  if (!unnoticed || !IsStarting(state) || era.restored_at) return;
  Log(state, "store_restored",
      {{"era", std::to_string(era.number)},
       {"era_before", std::to_string(settled)},
       {"told_by", "store"}});
  JoinRestore(state, kSettlesWithin);
}

void NoteSettledEraDue(State& state) {
  StoreEra& era = state.store.era;
  const bool settled =
      era.settled && !IsStarting(state) && !AwaitsOperators(state);
  const bool lacks = settled && era.noted < era.number;
  if (!lacks || !state.store.leads || state.now < era.note_due) return;
  era.note_due = state.now + kNoteAgain;
  Log(state, "notes_settled_era",
      {{"era", std::to_string(era.number)},
       {"noted", std::to_string(era.noted)}});
  state.effects.emplace_back(WriteSettledEra{.era = era.number});
}

bool IsJustRestored(const State& state) {
  const auto& restored = state.store.era.restored_at;
  return restored && state.now < *restored + kSettlesWithin;
}

Time RestoreEnd(const State& state) {
  return state.store.era.restored_at.value_or(Time{}) + kSettlesWithin;
}

void NoteFirstNumber(State& state, const StoreRevision& at) {
  StoreEra& era = state.store.era;
  if (at.era != era.number || era.first_number != 0) return;
  era.first_number = at.number;
}

void NoteStored(State& state, const ConfigurationStamp& stored) {
  StoreEra& era = state.store.era;
  if (stored.revision.era != era.number) return;
  if (!era.settled && IsRewritten(state, stored)) Settle(state, "written");
  if (stored.revision > era.stored.revision) era.stored = stored;
}

void ProveByStore(State& state, std::uint64_t number, Time asked) {
  StoreEra& era = state.store.era;
  if (number != era.number || asked == Time{}) return;
  if (!era.settled && state.now >= era.settles_at) Settle(state, "time");
  if (!era.settled || AwaitsOperators(state)) return;
  if (!HasHeardOthers(state)) {
    era.first_proof = asked;
    return;
  }
  ConfirmConfiguration(state, asked);
}

void TakeFirstProof(State& state) {
  StoreEra& era = state.store.era;
  if (!era.first_proof || !HasHeardOthers(state)) return;
  const Time asked = *std::exchange(era.first_proof, std::nullopt);
  ProveByStore(state, era.number, asked);
}

void HearRestore(State& state, const LoadSnapshot& told) {
  NoteEra(state, told.era, told.peer_address);
  StoreEra& era = state.store.era;
  // A daemon that starts can't know of it otherwise.
  const bool starts = IsStarting(state) && told.era == era.number;
  if (starts && told.unsettled_for > Duration::zero()) {
    JoinRestore(state, told.unsettled_for);
  }
  // It is known to daemons only: the store has lost it.
  const bool lost = told.configuration.revision.era < era.number;
  if (lost) PlanReading(state, told.configuration, told.peer_address);
}

void TakeProvedBy(State& state, const StoreRelay& relay, Time sent) {
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

Duration UnsettledFor(const State& state) {
  const StoreEra& era = state.store.era;
  if (era.settled) return Duration::zero();
  return std::max(era.settles_at - state.now, Duration::zero());
}

StoreRevision StoredRevision(const State& state) {
  const StoreRevision known = StampOf(state).revision;
  const StoreEra& era = state.store.era;
  return known.era == era.number ? known : era.stored.revision;
}

bool IsOfCopy(const State& state, const BackendServer& server) {
  const StoreEra& era = state.store.era;
  const auto gone = state.store.gone.find(server.id);
  return gone != state.store.gone.end() && era.restored_at &&
         gone->second.revision.era < server.revision.era &&
         server.born <= gone->second.born &&
         (era.first_number == 0 ||
          server.revision.number <= era.first_number) &&
         state.now < *era.restored_at + kCopyLapses;
}

Time CopyLapse(const State& state) {
  return state.store.era.restored_at.value_or(Time{}) + kCopyLapses;
}

}  // namespace internal

bool AwaitsOperators(const State& state) {
  const ConfigurationStamp newest = internal::NewestStamp(state);
  return newest.revision.number != 0 &&
         newest.revision.era < state.store.era.number;
}

}  // namespace scaleshed::serving
