// Tests of a suspended machine: between two events of its daemon the clock
// advances by seconds. With a clock that stands still during a suspension, a
// daemon would take everything that ages for younger by that time: the list of
// backend servers, the accounts' keys, and its slack share, which other daemons
// have taken over by then.

#include <catch2/catch.hpp>

#include "serving_harness.h"

namespace scaleshed::serving::test {
namespace {

constexpr Duration kSuspensionTime = seconds(8);

const Refuse* RefusalOf(Daemon& daemon, const std::string& route) {
  daemon.SendRequest(route);
  CHECK(daemon.FirstEffect<StartAttempt>() == nullptr);
  return daemon.FirstEffect<Refuse>();
}

TEST_CASE("A freshness confirmation expires during a suspension") {
  Daemon daemon;
  daemon.ConfirmStore();
  daemon.SendRequest("stream");
  REQUIRE(daemon.FirstEffect<StartAttempt>() != nullptr);
  daemon.SetNow(daemon.now() + kSuspensionTime);
  const Refuse* refusal = RefusalOf(daemon, "stream");
  REQUIRE(refusal != nullptr);
  CHECK(refusal->status == 503);
  CHECK_FALSE(IsServing(daemon.state()));
}

TEST_CASE("A deadline that passes during a suspension is applied at once") {
  Daemon daemon;
  daemon.ConfirmStore();
  daemon.SendRequest("stream", 2000, seconds(5));
  daemon.SetNow(daemon.now() + kSuspensionTime);
  daemon.Feed(Tick{});
  const auto* refusal = daemon.FirstEffect<Refuse>();
  REQUIRE(refusal != nullptr);
  CHECK(refusal->status == 504);
  CHECK(daemon.FirstEffect<CancelAttempt>() != nullptr);
}

TEST_CASE("A slack share expires during a suspension as it does without one") {
  SlackShare slack(seconds(10));
  HoldSlack(slack);
  slack.RecordDaemonCount(kStart, 4);
  const Time awake = kStart + seconds(3599);
  REQUIRE(slack.FractionAt(awake) > 0);
  CHECK(slack.FractionAt(awake + kSuspensionTime) == 0);
}

TEST_CASE(
    "After a suspension, look-ups omit a daemon without a newer snapshot") {
  Daemon daemon;
  daemon.ConfirmStore();
  LoadSnapshot other = PeerSnapshot(1);
  other.active_requests = {{.id = 1, .backend = 2}};
  daemon.Feed(SnapshotReceived{other});
  CHECK(LookUpClientAddresses(daemon.state()).addresses.size() == 2);
  daemon.SetNow(daemon.now() + kSuspensionTime);
  daemon.Feed(Tick{});
  daemon.ConfirmStore();
  CHECK(LookUpClientAddresses(daemon.state()).addresses.size() == 1);
}

}  // namespace
}  // namespace scaleshed::serving::test
