// Tests which store state a daemon serves by, and for how long, while it can't
// be sure that the state is the newest.

#include <catch2/catch.hpp>
#include <vector>

#include "serving_harness.h"

namespace scaleshed::serving {
namespace {

using test::Daemon;
using test::MakeConfiguration;

// The propagation limit of configurations and of backend servers in the test
// harness.
constexpr Duration kPropagationLimit = seconds(2);

// A lone daemon whose store queries stay unanswered while a watch brings it one
// configuration after another.
class LaggingDaemon {
 public:
  LaggingDaemon() { ConfirmStoreState(); }

  Daemon& daemon() { return daemon_; }
  // Confirms that all state the daemon knows is the newest.
  void ConfirmStoreState() {
    daemon_.Feed(ConfigurationConfirmed{.revision = {.number = revision_},
                                        .queried_at = daemon_.now()});
    daemon_.Feed(BackendsConfirmed{.queried_at = daemon_.now()});
  }
  void Lag(Duration time) {
    constexpr Duration kStep = milliseconds(100);
    for (Duration passed{}; passed < time; passed += kStep) {
      daemon_.Feed(
          ConfigurationReceived{.configuration = MakeConfiguration(++revision_),
                                .queried_at = Time{}});
      daemon_.AdvanceTime(kStep);
    }
  }

 private:
  Daemon daemon_;
  std::uint64_t revision_ = 1;
};

// Guards against the use of an outdated list of backend servers, whose age was
// not checked: a request reached a backend server 3.4 s after the server had
// announced that it was leaving. testing/test/store_trouble_test.cc tests the
// same failure in a fleet.
TEST_CASE("A daemon that lags behind the store sends nothing") {
  LaggingDaemon lagging;
  Daemon& daemon = lagging.daemon();
  lagging.Lag(kPropagationLimit);
  daemon.SendRequest("safe");
  CHECK(daemon.FirstEffect<StartAttempt>() == nullptr);
  const auto* refused = daemon.FirstEffect<Refuse>();
  REQUIRE(refused != nullptr);
  CHECK(refused->status == 503);
  CHECK(refused->retry_after > Duration::zero());
  CHECK_FALSE(IsServing(daemon.state()));
  lagging.ConfirmStoreState();
  CHECK(IsServing(daemon.state()));
  daemon.SendRequest("safe");
  CHECK(daemon.FirstEffect<StartAttempt>() != nullptr);
}

TEST_CASE("A request that waits for a retry also waits for a confirmation") {
  LaggingDaemon lagging;
  Daemon& daemon = lagging.daemon();
  daemon.SendRequest("safe");
  const auto* sent = daemon.FirstEffect<StartAttempt>();
  REQUIRE(sent != nullptr);
  const AttemptId attempt = sent->attempt;
  lagging.Lag(kPropagationLimit);
  daemon.Feed(
      AttemptFailed{.attempt = attempt, .error = AttemptError::kNotSent});
  CHECK(daemon.FirstEffect<StartAttempt>() == nullptr);
  lagging.Lag(milliseconds(100));
  CHECK(daemon.FirstEffect<StartAttempt>() == nullptr);
  lagging.ConfirmStoreState();
  daemon.AdvanceTime(milliseconds(100));
  CHECK(daemon.FirstEffect<StartAttempt>() != nullptr);
}

TEST_CASE(
    "A prompt isn't sent if its memory is granted too late for freshness") {
  LaggingDaemon lagging;
  Daemon& daemon = lagging.daemon();
  lagging.Lag(milliseconds(1800));
  daemon.SendRequest("stream", /*prompt=*/900'000);
  std::vector<ReserveMemory> reservations;
  for (const Effect& it : daemon.effects()) {
    const auto* reservation = std::get_if<ReserveMemory>(&it);
    if (reservation != nullptr) reservations.push_back(*reservation);
  }
  REQUIRE_FALSE(reservations.empty());
  lagging.Lag(milliseconds(200));
  for (const ReserveMemory& it : reservations) {
    daemon.Feed(MemoryReservationAnswered{.attempt = it.attempt,
                                          .helper_index = it.helper_index,
                                          .granted = true});
    CHECK(daemon.FirstEffect<StartAttempt>() == nullptr);
  }
}

TEST_CASE("A daemon goes on serving while the store is unresponsive") {
  LaggingDaemon lagging;
  Daemon& daemon = lagging.daemon();
  for (int i = 0; i < 40; ++i) {
    daemon.AdvanceTime(milliseconds(100));
    daemon.SendRequest("safe");
    CHECK(daemon.FirstEffect<StartAttempt>() != nullptr);
    CHECK(IsServing(daemon.state()));
  }
}

// An entry that is found deleted right after a failed call may only have
// expired, so that the daemon waits for it to come back. Guards against a wait
// that ignores that the server may have left right after its entry was last
// confirmed.
TEST_CASE("A deleted entry is used no longer than the propagation limit") {
  LaggingDaemon lagging;
  Daemon& daemon = lagging.daemon();
  daemon.Feed(BackendsConfirmed{.queried_at = daemon.now()});
  const Time confirmed_at = daemon.now();
  daemon.AdvanceTime(milliseconds(1400));
  daemon.Feed(BackendUnlisted{.id = "app0", .certain = false});
  CHECK(daemon.state().backends.contains("app0"));
  daemon.AdvanceTime(confirmed_at + kPropagationLimit - daemon.now());
  CHECK_FALSE(daemon.state().backends.contains("app0"));
}

// A daemon that starts when the store stops responding has no list of servers.
// Guards against treating the missing list as an empty one: the daemon reported
// that it was ready, and refused requests for lack of servers.
TEST_CASE("A daemon without a list of servers isn't ready without the store") {
  State state({.instance = "1.1.1.1:1", .peer_address = "1.1.1.1:2"});
  Time now = test::kStart;
  const auto feed = [&](EventBody body) {
    Reduce(state, {.now = now, .body = std::move(body)});
  };
  feed(ConfigurationReceived{.configuration = MakeConfiguration(1),
                             .queried_at = now});
  feed(StoreQueried{});
  // The store doesn't respond; later it responds, but with no list.
  for (int i = 0; i < 30; ++i) {
    now += milliseconds(100);
    feed(Tick{});
    CHECK_FALSE(IsServing(state));
  }
  feed(StoreResponded{});
  CHECK_FALSE(IsServing(state));
  feed(BackendsListed{.backends = {}, .queried_at = now});
  CHECK(IsServing(state));
}

}  // namespace
}  // namespace scaleshed::serving
