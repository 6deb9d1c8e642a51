// Tests what starting daemons accept from a store that reports its epoch.

#include <catch2/catch.hpp>

#include "serving_harness.h"

namespace scaleshed::serving {
namespace {

using test::kStart;
using test::MakeConfiguration;

constexpr std::uint64_t kEpoch = 2;

Configuration StoredConfiguration(std::int64_t version, std::uint64_t number) {
  Configuration configuration = MakeConfiguration(0);
  configuration.version = version;
  configuration.revision = {.epoch = kEpoch, .number = number};
  return configuration;
}

// A daemon that has just started and receives no other daemon's snapshots.
class StartingDaemon {
 public:
  StartingDaemon() {
    Feed(StoreEpochObserved{.epoch = kEpoch});
    Read(StoredConfiguration(3, 7));
  }
  // Feeds what the store's first list reports.
  void List(std::uint64_t reconciled_epoch) {
    if (reconciled_epoch != 0)
      Feed(ReconciledEpochObserved{.epoch = reconciled_epoch});
    Feed(PeersListed{});
  }
  void Read(const Configuration& stored) {
    Feed(ConfigurationReceived{.configuration = stored, .queried_at = now_});
  }
  // Lets `time` pass; the store confirms the configuration every 100 ms.
  void AdvanceTime(Duration time) {
    for (const Time until = now_ + time; now_ < until;) {
      now_ += milliseconds(100);
      Feed(ConfigurationConfirmed{.revision = StampOf().revision,
                                  .queried_at = now_});
      Feed(Tick{});
    }
  }
  bool is_confirmed() const { return state_.confirmed_at != Time{}; }
  std::uint64_t epoch() const { return state_.store.epoch.number; }
  int record_writes() const { return record_writes_; }
  void Feed(EventBody body) {
    const Effects effects =
        Reduce(state_, {.now = now_, .body = std::move(body)});
    for (const Effect& it : effects) {
      const auto* write = std::get_if<WriteReconciledEpoch>(&it);
      if (write != nullptr && write->epoch == kEpoch) ++record_writes_;
    }
  }

 private:
  ConfigurationStamp StampOf() const {
    return state_.configuration->configuration().stamp();
  }

  State state_{{.instance = "1.1.1.1:1", .peer_address = "1.1.1.1:2"}};
  Time now_ = kStart;
  int record_writes_ = 0;
};

// Guards against a starting daemon that receives nobody's snapshots and accepts
// an older backup as confirmed.
TEST_CASE(
    "A restore is recognised from the store's record when all daemons were "
    "killed after it") {
  StartingDaemon daemon;
  daemon.List(kEpoch - 1);
  daemon.AdvanceTime(milliseconds(2400));
  CHECK_FALSE(daemon.is_confirmed());
  daemon.AdvanceTime(milliseconds(300));
  CHECK(daemon.is_confirmed());
}

TEST_CASE(
    "A configuration written after a restore that isn't reconciled is "
    "confirmed at once") {
  StartingDaemon daemon;
  daemon.List(kEpoch - 1);
  daemon.AdvanceTime(milliseconds(1100));
  CHECK_FALSE(daemon.is_confirmed());
  daemon.Read(StoredConfiguration(4, 9));
  CHECK(daemon.is_confirmed());
}

TEST_CASE("A relayed epoch far above the store's is refused") {
  StartingDaemon daemon;
  daemon.List(kEpoch);
  daemon.AdvanceTime(milliseconds(1100));
  const std::uint64_t relayed_epoch = kEpoch + kMaxEpochAdvance + 1;
  daemon.Feed(
      StoreRelayReceived{{.peer_address = "a:1", .epoch = relayed_epoch}});
  CHECK(daemon.epoch() == kEpoch);
  daemon.Feed(
      StoreRelayReceived{{.peer_address = "a:1", .epoch = relayed_epoch - 1}});
  CHECK(daemon.epoch() == relayed_epoch - 1);
}

TEST_CASE(
    "Without an unreconciled restore on record, a starting daemon accepts a "
    "confirmation at once") {
  for (const std::uint64_t reconciled : {kEpoch, std::uint64_t{0}}) {
    StartingDaemon daemon;
    daemon.List(reconciled);
    daemon.AdvanceTime(milliseconds(1100));
    CHECK(daemon.is_confirmed());
  }
}

TEST_CASE("Nothing is confirmed before the store's first list") {
  StartingDaemon daemon;
  daemon.AdvanceTime(seconds(2));
  CHECK_FALSE(daemon.is_confirmed());
  daemon.List(kEpoch);
  daemon.AdvanceTime(milliseconds(100));
  CHECK(daemon.is_confirmed());
}

TEST_CASE("A reconciled epoch is recorded until the record is observed") {
  StartingDaemon daemon;
  daemon.List(0);
  daemon.AdvanceTime(seconds(4));
  CHECK(daemon.record_writes() == 1);
  daemon.AdvanceTime(seconds(5));
  CHECK(daemon.record_writes() > 1);
  daemon.Feed(ReconciledEpochObserved{.epoch = kEpoch});
  const int before = daemon.record_writes();
  daemon.AdvanceTime(seconds(10));
  CHECK(daemon.record_writes() == before);
  // A delayed write of an older epoch has overwritten the record.
  daemon.Feed(ReconciledEpochObserved{.epoch = kEpoch - 1});
  daemon.AdvanceTime(seconds(1));
  CHECK(daemon.record_writes() == before + 1);
}

}  // namespace
}  // namespace scaleshed::serving
