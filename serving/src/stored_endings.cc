#include <algorithm>
#include <set>

#include "internal/durations.h"
#include "internal/steps.h"

// Exchanges the quarantine's crash records with the store, so that they outlast
// all daemons.
namespace scaleshed::serving::internal {
namespace {

// The delay before a write, in which further crash records are collected: when
// a server crashes, all its requests are interrupted within some milliseconds.
constexpr Duration kSaveDelay = milliseconds(40);
// The additional delay for each data centre that comes before this one: the
// lead pollers of the data centres write one after another.
constexpr Duration kLeadPollerStagger = milliseconds(300);
// The delay after which any other daemon writes if no lead poller has; an equal
// random part is added.
constexpr Duration kFallbackSaveDelay = milliseconds(1500);
// The delay after a write until the next one. The daemon's own changes have
// come back from the store by then.
constexpr Duration kNextSaveDelay = milliseconds(200);
// Each fingerprint takes a condition and a write of the 32 entries that a
// transaction may have.
constexpr std::size_t kMaxSavedFingerprints = 16;

// Returns the number of crashes from which on a fingerprint is worth a write.
// Among others, successful responses clear most fingerprints with one soon.
std::size_t MinCrashesToSave(const State& state) {
  return CountRecentCrashes(state) > kMaxIsolatedCrashes ? 2 : 1;
}

// Returns how long this daemon waits before it writes crash records that the
// store lacks.
Duration SaveDelay(State& state) {
  // While the lead poller isn't known yet, as after all daemons were killed,
  // a late write may never be made.
  if (!state.store.has_role)
    return kSaveDelay + RandomDuration(state, kSaveDelay);
  if (!state.store.is_lead_poller)
    return kFallbackSaveDelay + RandomDuration(state, kFallbackSaveDelay);
  std::set<std::string> earlier_data_centres;
  for (const auto& [address, member] : state.members) {
    const LoadSnapshot& snapshot = member.snapshot;
    const bool is_poller = snapshot.polls_store && IsLive(state, member);
    if (is_poller && snapshot.data_centre < state.options.data_centre) {
      earlier_data_centres.insert(snapshot.data_centre);
    }
  }
  return kSaveDelay + kLeadPollerStagger * earlier_data_centres.size();
}

}  // namespace

void OnCrashesStored(State& state, const StoredCrashes& stored) {
  Quarantine& quarantine = QuarantineOf(state, stored.kind);
  const std::size_t crashes_before = quarantine.CrashCount(stored.fingerprint);
  if (!quarantine.ApplyStored(stored, state.now)) return;
  state.suspected_parts_changed = true;
  if (state.store.watching) {
    state.store.crashes.push_back(
        {.crashes = stored, .observed_at = state.now});
  }
  const std::size_t crashes = quarantine.CrashCount(stored.fingerprint);
  if (crashes == crashes_before) return;
  Log(state, "endings_stored",
      {{"kind", std::string(NameIn(kSuspectKindNames, stored.kind))},
       {"content", FingerprintText(stored.fingerprint)},
       {"ends_before", std::to_string(crashes_before)},
       {"ends", std::to_string(crashes)},
       {"era", std::to_string(stored.revision.epoch)},
       {"revision", std::to_string(stored.revision.number)},
       {"held",
        quarantine.IsQuarantined(stored.fingerprint) ? "true" : "false"}});
}

void OnAllCrashesListed(State& state, const AllCrashesListed& event) {
  std::set<std::pair<SuspectKind, std::uint64_t>> listed;
  for (const StoredCrashes& it : event.crashes) {
    listed.emplace(it.kind, it.fingerprint);
    OnCrashesStored(state, it);
  }
  for (const auto& [kind, name] : kSuspectKindNames) {
    for (const std::uint64_t it :
         QuarantineOf(state, kind).StoredFingerprints()) {
      if (listed.contains({kind, it})) continue;
      OnCrashesStored(state, {.fingerprint = it,
                              .incarnations = {},
                              .kind = kind,
                              .revision = event.revision});
    }
  }
}

void SaveCrashesIfDue(State& state) {
  StoreFollowing& store = state.store;
  const std::size_t min_crashes = MinCrashesToSave(state);
  const Time unsaved_since =
      std::min(state.quarantine.UnsavedSince(min_crashes),
               state.part_quarantine.UnsavedSince(min_crashes));
  if (store.saving || unsaved_since == Time::max()) return;
  if (store.save_due < unsaved_since)
    store.save_due = unsaved_since + SaveDelay(state);
  if (store.save_due > state.now) return;
  SaveCrashes save{.crashes = state.part_quarantine.Unsaved(
                       kMaxSavedFingerprints, min_crashes)};
  const auto of_requests = state.quarantine.Unsaved(
      kMaxSavedFingerprints - save.crashes.size(), min_crashes);
  save.crashes.insert(save.crashes.end(), of_requests.begin(),
                      of_requests.end());
  Log(state, "saves_endings",
      {{"contents", std::to_string(save.crashes.size())},
       {"waited_ms", Millis(state.now - unsaved_since)}});
  store.saving = true;
  state.effects.emplace_back(std::move(save));
}

void OnSaveCrashesFinished(State& state) {
  state.store.saving = false;
  state.store.save_due =
      state.now + kNextSaveDelay + RandomDuration(state, kNextSaveDelay);
}

}  // namespace scaleshed::serving::internal
