#include <algorithm>

#include "internal/durations.h"
#include "internal/steps.h"
#include "scaleshed/serving/reducer.h"

// A daemon goes by what it knows of the store only while that was the newest so
// short a time ago that what it lacks is not yet due in force. That covers
// whatever makes it lag: its own load, a link that is full of large answers, a
// watch that says nothing. The store's silence is another matter: where nobody
// can know anything newer, work goes on by what is known.
namespace scaleshed::serving::internal {
namespace {

// Of the time within which news have to be in force: what is known is used for
// so long after it was the newest. The rest, 120 ms of 2 s, is for a send to
// arrive: some ms in calm networks.
constexpr double kUsableShare = 0.94;
// A call that brought no byte for so long says that the store is silent: it
// answers within some 10 ms. Early enough that those who ask at the last moment
// (0.84 of the time) know it before what they know is too old.
constexpr double kUnansweredShare = 0.1;
// And nobody is known to have heard of it for so long: more than a round of the
// askers, whose relays tell of it too. Where others hear it and this daemon has
// not for so long, it is cut off or turned away, and can't know better either.
constexpr double kNoResponseShare = 0.5;
// When the store speaks again, work goes on until the first question after
// that is answered, at most for so long: two failed ones apart.
constexpr double kRecoveryShare = 0.4;
// Entries that lapse while the store is away come back with the next heartbeat
// of their backend server, at most 1.2 s later; a leaving one must be dropped 2
// s after the store took its word.
constexpr Duration kExpiredEntryWait = milliseconds(1600);
// Proofs of configurations that are underway; each asker tells two a second.
constexpr std::size_t kMaxAwaitedConfigurations = 32;

Duration PropagationShare(const State& state, double share) {
  return FractionOf(state.options.propagation_limit, share);
}

// `proved` is one of the state's times.
void RaiseConfirmedAt(State& state, Time& confirmed_at, Time queried_at) {
  const bool was_serving = IsServing(state);
  confirmed_at = std::max(confirmed_at, queried_at);
  if (was_serving != IsServing(state)) state.has_unpublished_changes = true;
}

bool IsRecentlyConfirmed(const State& state, Time confirmed_at) {
  return state.now < confirmed_at + PropagationShare(state, kUsableShare);
}

// Whether what was the newest at `proved` may be gone by.
bool IsUsable(const State& state, Time confirmed_at) {
  return IsRecentlyConfirmed(state, confirmed_at) ||
         IsStoreUnresponsive(state) || IsJustRestored(state) ||
         state.now <
             state.store.recovered_at + PropagationShare(state, kRecoveryShare);
}

}  // namespace

Time StoreConfirmedAt(const State& state) {
  // No question can prove the configuration then.
  if (AwaitsConfigurationRewrite(state))
    return state.store.backends_confirmed_at;
  return std::min(state.confirmed_at, state.store.backends_confirmed_at);
}

bool IsStoreUnresponsive(const State& state) {
  const StoreFollowing& store = state.store;
  if (!store.unanswered_query_since) return false;
  const Duration unanswered = state.now - *store.unanswered_query_since;
  const Duration since_response = state.now - store.last_response_at;
  return unanswered >= PropagationShare(state, kNoResponseShare) ||
         (unanswered >= PropagationShare(state, kUnansweredShare) &&
          since_response >= PropagationShare(state, kNoResponseShare));
}

bool AreBackendsUsable(const State& state) {
  // Where no list was ever had there is nothing to go by, however silent the
  // store is: none would be taken for a list without servers.
  const Time confirmed_at = state.store.backends_confirmed_at;
  return confirmed_at != Time{} && IsUsable(state, confirmed_at);
}

bool IsConfigurationUsable(const State& state) {
  return state.configuration.has_value() &&
         (IsUsable(state, state.confirmed_at) ||
          AwaitsConfigurationRewrite(state));
}

void RecordStoreQuery(State& state) {
  if (!state.store.unanswered_query_since)
    state.store.unanswered_query_since = state.now;
}

void RecordPeerStoreResponse(State& state, Duration age) {
  Time& last_response_at = state.store.last_response_at;
  last_response_at = std::max(last_response_at, state.now - age);
}

void RecordStoreResponse(State& state) {
  StoreFollowing& store = state.store;
  if (IsStoreUnresponsive(state)) {
    store.recovered_at = state.now;
    store.poll_due = state.now;
    Log(state, "store_speaks",
        {{"silent_ms", Millis(state.now - store.last_response_at)},
         {"proved_ms_ago", Millis(state.now - StoreConfirmedAt(state))}});
  }
  store.last_response_at = state.now;
  store.unanswered_query_since.reset();
}

void ConfirmConfiguration(State& state, Time queried_at) {
  RaiseConfirmedAt(state, state.confirmed_at, queried_at);
}

void ConfirmBackends(State& state, Time queried_at) {
  RaiseConfirmedAt(state, state.store.backends_confirmed_at, queried_at);
}

void AwaitConfiguration(State& state, const ConfigurationStamp& stamp,
                        Time queried_at) {
  auto& awaited = state.store.awaited_configurations;
  const auto known =
      std::find_if(awaited.begin(), awaited.end(),
                   [&](const auto& it) { return it.first == stamp; });
  if (known != awaited.end()) {
    known->second = std::max(known->second, queried_at);
    return;
  }
  awaited.emplace_back(stamp, queried_at);
  if (awaited.size() > kMaxAwaitedConfigurations) awaited.pop_front();
}

void ConfirmAwaited(State& state) {
  auto& awaited = state.store.awaited_configurations;
  for (const auto& [stamp, queried_at] : awaited) {
    if (!IsNewer(stamp, StampOf(state)))
      ConfirmConfiguration(state, queried_at);
  }
  std::erase_if(awaited, [&](const auto& it) {
    return !IsNewer(it.first, StampOf(state));
  });
}

Time LapseEnd(const State& state) {
  const Time confirmed_at = state.store.backends_confirmed_at;
  // The copy may lack it, however well it lives.
  if (IsJustRestored(state)) return RestoreEnd(state);
  const Time end = state.now + kExpiredEntryWait;
  // It may have left as soon as it was last known to be there. After a longer
  // silence nothing is known of that time, and all of them may have lapsed.
  return IsRecentlyConfirmed(state, confirmed_at)
             ? std::min(end,
                        confirmed_at + PropagationShare(state, kUsableShare))
             : end;
}

void LogLagChange(State& state) {
  const bool is_lagging =
      state.configuration.has_value() &&
      !(AreBackendsUsable(state) && IsConfigurationUsable(state));
  if (is_lagging == state.store.logged_as_lagging) return;
  state.store.logged_as_lagging = is_lagging;
  state.has_unpublished_changes = true;
  Log(state, is_lagging ? "lags" : "caught_up",
      {{"confirmed_ms_ago", Millis(state.now - state.confirmed_at)},
       {"listed_ms_ago", Millis(state.now - state.store.backends_confirmed_at)},
       {"heard_ms_ago", Millis(state.now - state.store.last_response_at)},
       {"failures", std::to_string(state.store.consecutive_failures)}});
}

}  // namespace scaleshed::serving::internal
