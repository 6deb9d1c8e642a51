#include <algorithm>

#include "internal/steps.h"
#include "scaleshed/serving/reducer.h"

// The warm-up granter: one daemon at a time, by a lease in the store, decides
// which requests go to cold backend servers.
namespace scaleshed::serving::internal {
namespace {

constexpr Duration kLeaseRenewInterval = milliseconds(700);
// Retry of a call for the lease that failed.
constexpr Duration kLeaseRetryInterval = milliseconds(300);
// The lease counts as over this long before its end, which covers a slow step
// between a decision and its effect.
constexpr Duration kLeaseMargin = milliseconds(500);
// A new holder doesn't know what the previous one granted just before.
constexpr Duration kHandoverTime = seconds(1);
// After a restore of the store, an earlier holder may count on a lease that the
// store has lost, for at most the rest of that lease.
constexpr Duration kRestoreHandoverTime = milliseconds(2500);
// A daemon that has just started may not know of a restore.
constexpr Duration kMinUptime = milliseconds(2500);
// The lease is kept this long after the last cold server was known.
constexpr Duration kKeepAfterCold = seconds(5);
// The lease of a holder that is gone, and the time until the next one grants.
constexpr Duration kGranterChangeTime = seconds(3);

// Whether this daemon is the first in the order of placers.
bool IsFirstPlacer(const State& state) {
  const std::string& self = state.options.peer_address;
  const PlacementDuties& dispatch = state.dispatch;
  if (!dispatch.place_locally)
    return !dispatch.placers.empty() && dispatch.placers.front() == self;
  const auto order =
      StrongestOf(state, "placers", IsServing(state), [&](const Member& it) {
        return it.snapshot.serving && IsLive(state, it);
      });
  return !order.empty() && order.front() == self;
}

bool IsCandidate(const State& state) {
  return IsServing(state) && state.now - state.started_at >= kMinUptime &&
         IsFirstPlacer(state);
}

void LogLease(State& state, const std::string& outcome,
              const std::string& reason) {
  const auto& until = state.warm_up_granting.lease_until;
  Log(state, "warm_up_lease",
      {{"outcome", outcome},
       {"why", reason},
       {"left_ms", until ? Millis(*until - state.now) : ""}});
}

void LoseLease(State& state, const std::string& reason) {
  WarmUpGranting& granting = state.warm_up_granting;
  if (!granting.lease_until) return;
  granting.lease_until.reset();
  granting.meters.clear();
  LogLease(state, "lost", reason);
}

void ReleaseLease(State& state) {
  if (!state.warm_up_granting.lease_until) return;
  LoseLease(state, "released");
  state.effects.emplace_back(ReleaseWarmUpLease{});
}

void CallForLease(State& state) {
  WarmUpGranting& granting = state.warm_up_granting;
  if (granting.call_due > state.now) return;
  granting.call_due = state.now + kLeaseRenewInterval;
  if (granting.lease_until) {
    state.effects.emplace_back(RenewWarmUpLease{});
  } else {
    state.effects.emplace_back(AcquireWarmUpLease{});
  }
}

void PublishGranting(State& state) {
  WarmUpGranting& granting = state.warm_up_granting;
  const bool holds = HoldsWarmUpLease(state);
  if (granting.published == holds) return;
  granting.published = holds;
  state.has_unpublished_changes = true;
}

}  // namespace

bool HoldsWarmUpLease(const State& state) {
  const WarmUpGranting& granting = state.warm_up_granting;
  return granting.lease_until && granting.epoch == state.store.epoch.number &&
         state.now < *granting.lease_until - kLeaseMargin;
}

bool GrantsWarmUps(const State& state) {
  return HoldsWarmUpLease(state) &&
         state.now >= state.warm_up_granting.granting_from;
}

Duration TimeUntilGranting(const State& state) {
  if (!HoldsWarmUpLease(state)) return kGranterChangeTime;
  return std::max(state.warm_up_granting.granting_from - state.now,
                  Duration::zero());
}

std::string FindWarmUpGranter(const State& state) {
  const auto& suspected = state.dispatch.placers_suspected_until;
  for (const auto& [address, member] : state.members) {
    const auto found = suspected.find(address);
    const bool is_suspected =
        found != suspected.end() && found->second > state.now;
    if (member.snapshot.grants_warm_ups && IsLive(state, member) &&
        !is_suspected)
      return address;
  }
  return "";
}

void UpdateWarmUpLease(State& state) {
  WarmUpGranting& granting = state.warm_up_granting;
  DropWarmUps(state);
  if (AnyCold(state)) granting.cold_known_at = state.now;
  if (granting.lease_until && granting.epoch != state.store.epoch.number) {
    LoseLease(state, "restored");
  } else if (granting.lease_until && *granting.lease_until <= state.now) {
    LoseLease(state, "over");
  }
  const bool is_needed = granting.cold_known_at != Time{} &&
                         state.now - granting.cold_known_at <= kKeepAfterCold;
  if (is_needed && IsCandidate(state)) {
    CallForLease(state);
  } else {
    ReleaseLease(state);
  }
  PublishGranting(state);
}

void OnWarmUpLeaseHeld(State& state, const WarmUpLeaseHeld& event) {
  WarmUpGranting& granting = state.warm_up_granting;
  const bool is_new = event.newly_taken || !granting.lease_until;
  // Responses may arrive in another order than the calls were made.
  granting.lease_until =
      is_new ? event.valid_until
             : std::max(*granting.lease_until, event.valid_until);
  granting.logged_refusal.clear();
  if (is_new) {
    granting.epoch = state.store.epoch.number;
    granting.granting_from = state.now + kHandoverTime;
    const auto& restored_at = state.store.epoch.restored_at;
    if (restored_at) {
      granting.granting_from =
          std::max(granting.granting_from, *restored_at + kRestoreHandoverTime);
    }
    granting.meters.clear();
    LogLease(state, "taken", "");
  }
  PublishGranting(state);
}

void OnWarmUpLeaseRefused(State& state, const WarmUpLeaseRefused& event) {
  WarmUpGranting& granting = state.warm_up_granting;
  granting.call_due =
      std::min(granting.call_due, state.now + kLeaseRetryInterval);
  if (granting.logged_refusal == event.reason) return;
  granting.logged_refusal = event.reason;
  LogLease(state, "refused", event.reason);
}

void OnWarmUpLeaseLost(State& state, const WarmUpLeaseLost& event) {
  state.warm_up_granting.call_due = state.now;
  LoseLease(state, event.reason);
  PublishGranting(state);
}

}  // namespace scaleshed::serving::internal

namespace scaleshed::serving {

bool IsWarmUpGranter(const State& state) {
  return internal::HoldsWarmUpLease(state);
}

}  // namespace scaleshed::serving
