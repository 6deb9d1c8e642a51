// A machine may be suspended: between two events of its daemon the clock goes
// on by seconds, and nothing happens here. Read from a clock that stands still
// meanwhile, all that ages was taken for younger by as much: the list of
// backend servers, accounts' keys, a part of the slack that others share by
// now.

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

TEST_CASE("What was proved before a suspension is not gone by after it") {
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

TEST_CASE("A time limit that passed in a suspension is over at once") {
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

TEST_CASE("A part of the slack ends in a suspension as it does without one") {
  SlackShare slack(seconds(10));
  HoldSlack(slack);
  slack.RecordDaemonCount(kStart, 4);
  const Time awake = kStart + seconds(3599);
  REQUIRE(slack.FractionAt(awake) > 0);
  CHECK(slack.FractionAt(awake + kSuspensionTime) == 0);
}

TEST_CASE("A request is not placed by works told before a suspension") {
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
