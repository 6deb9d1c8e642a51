#include <algorithm>

#include "internal/durations.h"
#include "internal/steps.h"
#include "scaleshed/serving/reducer.h"

// Decides whether the store state that a daemon knows is fresh enough to serve
// by. The state is usable only while it was confirmed as the newest so recently
// that a later change isn't due to be in force yet. This covers every cause of
// lag: the daemon's own load, a link that is full of large responses, a watch
// that reports nothing. An unresponsive store is treated differently: no daemon
// can know anything newer then, so that daemons go on with what they know.
namespace scaleshed::serving::internal {
namespace {

// The share of the propagation limit for which known state is used after it was
// last confirmed as the newest. The remainder, 120 ms of 2 s, is left for a
// send to arrive, which takes some milliseconds in an unloaded network.
constexpr double kUsableShare = 0.94;
// The share of the propagation limit after which a store query without any
// response byte counts as unanswered; the store usually responds within about
// 10 ms. The share is small enough that daemons that query as late as possible
// (at 0.84 of the limit) notice it before their state is too old to use.
constexpr double kUnansweredShare = 0.1;
// If no daemon is known to have had a response for this share of the
// propagation limit, an unanswered query means that the store is unresponsive.
// The share exceeds the poll interval, as the pollers' relays report responses
// too. A daemon whose own query is unanswered for this long while others get
// responses is cut off or refused, and can't learn anything newer either.
constexpr double kNoResponseShare = 0.5;
// The share of the propagation limit for which a daemon goes on serving after
// the store responds again, until its first query from then on is answered.
// Two failed queries fit into it.
constexpr double kRecoveryShare = 0.4;
// How long a backend server is kept whose entry may only have expired. Entries
// that expire while the store is unavailable come back with the next lease
// renewal of their server, at most 1.2 s later; a server that is leaving must
// be dropped 2 s after the store accepted its change.
constexpr Duration kExpiredEntryWait = milliseconds(1600);
// Limits the confirmations that are kept of configurations not received yet;
// each poller relays two a second.
constexpr std::size_t kMaxAwaitedConfigurations = 32;

Duration PropagationShare(const State& state, double share) {
  return FractionOf(state.options.propagation_limit, share);
}

// `confirmed_at` is a member of `state` or of its parts.
void RaiseConfirmedAt(State& state, Time& confirmed_at, Time queried_at) {
  const bool was_serving = IsServing(state);
  confirmed_at = std::max(confirmed_at, queried_at);
  if (was_serving != IsServing(state)) state.has_unpublished_changes = true;
}

bool IsRecentlyConfirmed(const State& state, Time confirmed_at) {
  return state.now < confirmed_at + PropagationShare(state, kUsableShare);
}

// Returns whether state that was last confirmed at `confirmed_at` may be used.
bool IsUsable(const State& state, Time confirmed_at) {
  return IsRecentlyConfirmed(state, confirmed_at) ||
         IsStoreUnresponsive(state) || IsJustRestored(state) ||
         state.now <
             state.store.recovered_at + PropagationShare(state, kRecoveryShare);
}

}  // namespace

Time StoreConfirmedAt(const State& state) {
  // No store query can confirm the configuration before its rewrite.
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
  // Without a first list there is nothing to serve by, even if the store is
  // unresponsive: a missing list would be taken for a list without servers.
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
    // If others have confirmed the state since the unanswered query, only this
    // daemon was cut off, and its state isn't used for longer.
    if (StoreConfirmedAt(state) <= *store.unanswered_query_since)
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
  // The backup may lack the entry of a server that runs well.
  if (IsJustRestored(state)) return RestoreEnd(state);
  const Time end = state.now + kExpiredEntryWait;
  // The server may have left right after its entry was last confirmed. After a
  // longer time without confirmation nothing is known of that time, and all
  // entries may have expired.
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
