#include <algorithm>
#include <set>

#include "internal/durations.h"
#include "internal/steps.h"

// What the store holds of the quarantine, so that it outlasts all daemons.
namespace scaleshed::serving::internal {
namespace {

// A write may wait for others that follow at once: all requests that were at
// one server are cut within some ms.
constexpr Duration kSaveAfter = milliseconds(40);
// Those who lead the asking in their data centres write one after another,
constexpr Duration kSaveTurn = milliseconds(300);
// and anybody else when none of them has, at a moment that is drawn.
constexpr Duration kSaveAnyhow = milliseconds(1500);
// After one, until which its own news have come back.
constexpr Duration kSaveAgain = milliseconds(200);
// Each takes a condition and a write, of 32 entries that a transaction has.
constexpr std::size_t kMostSaved = 16;

// Where more servers than these end within this, one of the ends says next to
// nothing of a content that was there, and whole answers forgive it soon: only
// contents that were at two are written.
constexpr std::size_t kFewEnds = 2;
constexpr Duration kLately = seconds(10);

// The ends of a content from which on they are worth a write.
std::size_t LeastEndsToSave(const State& state) {
  const auto ends = std::count_if(
      state.ended_incarnations.begin(), state.ended_incarnations.end(),
      [&](const auto& it) { return state.now < it.second + kLately; });
  return static_cast<std::size_t>(ends) > kFewEnds ? 2 : 1;
}

// How long what the store lacks waits for this daemon to write it.
Duration SaveAfter(State& state) {
  // Where it is not known yet who leads, as after a kill of all, a late write
  // may never be made.
  if (!state.store.has_role)
    return kSaveAfter + RandomDuration(state, kSaveAfter);
  if (!state.store.is_lead_poller)
    return kSaveAnyhow + RandomDuration(state, kSaveAnyhow);
  std::set<std::string> before;
  for (const auto& [address, member] : state.members) {
    const LoadSnapshot& told = member.snapshot;
    const bool asks = told.polls_store && IsLive(state, member);
    if (asks && told.data_centre < state.options.data_centre) {
      before.insert(told.data_centre);
    }
  }
  return kSaveAfter + kSaveTurn * before.size();
}

}  // namespace

void OnCrashesStored(State& state, const StoredCrashes& stored) {
  const std::size_t known = state.quarantine.CrashCount(stored.fingerprint);
  if (!state.quarantine.ApplyStored(stored, state.now)) return;
  if (state.store.watching) {
    state.store.crashes.push_back(
        {.crashes = stored, .observed_at = state.now});
  }
  const std::size_t n = state.quarantine.CrashCount(stored.fingerprint);
  if (n == known) return;
  Log(state, "endings_stored",
      {{"content", FingerprintText(stored.fingerprint)},
       {"ends_before", std::to_string(known)},
       {"ends", std::to_string(n)},
       {"era", std::to_string(stored.revision.epoch)},
       {"revision", std::to_string(stored.revision.number)},
       {"held", state.quarantine.IsQuarantined(stored.fingerprint) ? "true"
                                                                   : "false"}});
}

void OnAllCrashesListed(State& state, const AllCrashesListed& event) {
  std::set<std::uint64_t> there;
  for (const StoredCrashes& it : event.crashes) {
    there.insert(it.fingerprint);
    OnCrashesStored(state, it);
  }
  for (const std::uint64_t it : state.quarantine.StoredFingerprints()) {
    if (there.contains(it)) continue;
    OnCrashesStored(
        state,
        {.fingerprint = it, .incarnations = {}, .revision = event.revision});
  }
}

void SaveCrashesIfDue(State& state) {
  StoreFollowing& store = state.store;
  const std::size_t least = LeastEndsToSave(state);
  const Time since = state.quarantine.UnsavedSince(least);
  if (store.saving || since == Time::max()) return;
  if (store.save_due < since) store.save_due = since + SaveAfter(state);
  if (store.save_due > state.now) return;
  SaveCrashes save{.crashes = state.quarantine.Unsaved(kMostSaved, least)};
  Log(state, "saves_endings",
      {{"contents", std::to_string(save.crashes.size())},
       {"waited_ms", Millis(state.now - since)}});
  store.saving = true;
  state.effects.emplace_back(std::move(save));
}

void OnSaveCrashesFinished(State& state) {
  state.store.saving = false;
  state.store.save_due =
      state.now + kSaveAgain + RandomDuration(state, kSaveAgain);
}

}  // namespace scaleshed::serving::internal
