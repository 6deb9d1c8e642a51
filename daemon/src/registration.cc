#include "internal/registration.h"

#include <utility>

namespace scaleshed {
namespace {

using platform::StoreError;

// Who lives is heard from the daemons themselves; an entry serves those that
// start, and may outlive its daemon for a while.
constexpr Duration kLeaseTtl = seconds(20);
constexpr Duration kRenewEvery = seconds(6);
// After a failed call, half of it drawn. Those that are there hear each other
// whatever the list says, so a store that refuses is not pressed: at the pace
// of other calls 295 daemons made 4,000 of these in 6 s.
constexpr Duration kRetry = seconds(4);
// A lease that is over is opened anew within this, half of it drawn.
constexpr Duration kAgain = milliseconds(100);
// After a restore all daemons write, two calls each: 800 of them 1,600 calls
// within a second.
constexpr Duration kAfterRestore = seconds(2);

}  // namespace

Registration::Registration(EventLoop& loop, platform::StoreClient& store,
                           RegistrationOptions options)
    : loop_(loop),
      store_(store),
      options_(std::move(options)),
      random_(options_.seed),
      timer_(loop, [this] { Renew(); }) {}

void Registration::Leave() {
  leaving_ = true;
  timer_.Cancel();
  if (lease_ == 0) return;
  store_.RemoveMember(options_.self, [this](const auto& result) {
    options_.noted("unregister", platform::FaultOf(result));
  });
}

void Registration::WriteAgain() {
  if (leaving_) return;
  ++round_;
  lease_ = 0;
  stood_ = stood_ || stands_;
  stands_ = false;
  options_.feed(serving::OwnEntryLost{});
  timer_.Once(Drawn(kAfterRestore));
}

Duration Registration::Drawn(Duration most) {
  const auto half = static_cast<std::uint64_t>(most.count()) / 2;
  return most / 2 + Duration(static_cast<Duration::rep>(random_() % half));
}

void Registration::TellHeld(Time asked, bool anew) {
  if (leaving_) return;
  options_.feed(serving::OwnEntryConfirmed{.valid_until = asked + kLeaseTtl,
                                           .newly_written = anew});
}

void Registration::Open() {
  opened_at_ = loop_.Now();
  store_.OpenLease(kLeaseTtl, [this, round = round_](const auto& result) {
    if (round != round_) return;
    const auto* lease = ValueOf(result);
    if (!options_.noted("open_lease", platform::FaultOf(result))) {
      timer_.Once(Drawn(kRetry));
      return;
    }
    lease_ = *lease;
    Write();
  });
}

// A write without an answer is repeated under the same lease.
void Registration::Write() {
  const auto done = [this, round = round_](const auto& result) {
    if (round != round_) return;
    const auto fault = platform::FaultOf(result);
    if (fault == StoreError::kNoLease) lease_ = 0;
    stands_ = options_.noted("register", fault);
    if (leaving_) return;
    timer_.Once(stands_ ? kRenewEvery : Drawn(kRetry));
    if (!stands_) return;
    TellHeld(opened_at_, /*anew=*/!std::exchange(stood_, false));
    options_.on_registered();
  };
  store_.WriteMember(options_.self, lease_, done);
}

void Registration::Renew() {
  if (leaving_) return;
  if (lease_ == 0) {
    Open();
    return;
  }
  if (!stands_) {
    Write();
    return;
  }
  const Time asked = loop_.Now();
  store_.KeepLease(lease_, [this, asked, round = round_](const auto& result) {
    if (round != round_) return;
    const auto fault = platform::FaultOf(result);
    if (options_.noted("keep_lease", fault)) {
      TellHeld(asked, /*anew=*/false);
      timer_.Once(kRenewEvery);
      return;
    }
    const bool over = fault == StoreError::kNoLease;
    if (over) {
      lease_ = 0;
      stands_ = false;
      stood_ = false;
      options_.feed(serving::OwnEntryRemoved{});
    }
    timer_.Once(Drawn(over ? kAgain : kRetry));
  });
}

}  // namespace scaleshed
