#include "internal/warm_up_lease.h"

#include <utility>

namespace scaleshed {
namespace {

using platform::FaultOf;
using platform::StoreError;

// Short, as nobody uses cold servers until the lease of a granter that is gone
// has ended.
constexpr Duration kLeaseDuration = seconds(2);

}  // namespace

WarmUpLease::WarmUpLease(EventLoop& loop, platform::StoreClient& store,
                         WarmUpLeaseOptions options)
    : loop_(loop), store_(store), options_(std::move(options)) {}

void WarmUpLease::Acquire() {
  lease_ = 0;
  const Time called_at = loop_.Now();
  store_.OpenLease(
      kLeaseDuration, [this, called_at, round = ++round_](const auto& result) {
        if (round != round_) return;
        const auto* lease = ValueOf(result);
        if (!options_.noted("open_warm_up_lease", FaultOf(result))) {
          Refuse(ErrorOf(result));
          return;
        }
        Write(called_at, *lease);
      });
}

void WarmUpLease::Write(Time called_at, std::uint64_t lease) {
  const auto done = [this, called_at, lease,
                     round = round_](const auto& result) {
    if (round != round_) return;
    if (!options_.noted("take_warm_up_lease", FaultOf(result))) {
      Refuse(ErrorOf(result));
      return;
    }
    lease_ = lease;
    revision_ = *ValueOf(result);
    options_.feed(serving::WarmUpLeaseHeld{
        .valid_until = called_at + kLeaseDuration, .newly_taken = true});
  };
  store_.WriteWarmUpGranter(options_.peer_address, lease, done);
}

void WarmUpLease::Renew() {
  if (lease_ == 0) {
    options_.feed(serving::WarmUpLeaseLost{.reason = "not_held"});
    return;
  }
  const Time called_at = loop_.Now();
  store_.KeepLease(lease_,
                   [this, called_at, round = round_](const auto& result) {
                     if (round != round_) return;
                     const auto fault = FaultOf(result);
                     if (options_.noted("renew_warm_up_lease", fault)) {
                       options_.feed(serving::WarmUpLeaseHeld{
                           .valid_until = called_at + kLeaseDuration});
                       return;
                     }
                     if (fault != StoreError::kNoLease) {
                       Refuse(*fault);
                       return;
                     }
                     lease_ = 0;
                     options_.feed(serving::WarmUpLeaseLost{.reason = "over"});
                   });
}

// Its number may be another daemon's after a restore of the store, so that the
// key is removed, under the condition that it is still the one written here,
// instead of the lease.
void WarmUpLease::Release() {
  ++round_;
  if (std::exchange(lease_, 0) == 0) return;
  store_.RemoveWarmUpGranter(revision_, [this](const auto& result) {
    options_.noted("release_warm_up_lease", FaultOf(result));
  });
}

void WarmUpLease::Refuse(StoreError error) {
  const bool is_held = error == StoreError::kConflict;
  options_.feed(serving::WarmUpLeaseRefused{
      .reason = is_held
                    ? "held_by_another"
                    : std::string(NameIn(platform::kStoreErrorNames, error))});
}

}  // namespace scaleshed
