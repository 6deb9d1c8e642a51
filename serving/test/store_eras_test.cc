// What daemons that start take from a store that names its era.

#include <catch2/catch.hpp>

#include "serving_harness.h"

namespace scaleshed::serving {
namespace {

using test::kStart;
using test::MakeConfiguration;

constexpr std::uint64_t kEra = 2;

Configuration Stored(std::int64_t version, std::uint64_t number) {
  Configuration configuration = MakeConfiguration(0);
  configuration.version = version;
  configuration.revision = {.epoch = kEra, .number = number};
  return configuration;
}

// A daemon that has just started and hears nobody.
class Starter {
 public:
  Starter() {
    Feed(StoreEpochObserved{.epoch = kEra});
    Read(Stored(3, 7));
  }
  // What the store's first list tells.
  void List(std::uint64_t settled_era) {
    if (settled_era != 0) Feed(ReconciledEpochObserved{.epoch = settled_era});
    Feed(PeersListed{});
  }
  void Read(const Configuration& stored) {
    Feed(ConfigurationReceived{.configuration = stored, .queried_at = now_});
  }
  // The store is asked each 100 ms.
  void Pass(Duration time) {
    for (const Time until = now_ + time; now_ < until;) {
      now_ += milliseconds(100);
      Feed(ConfigurationConfirmed{.revision = StampOf().revision,
                                  .queried_at = now_});
      Feed(Tick{});
    }
  }
  bool is_proved() const { return state_.confirmed_at != Time{}; }
  std::uint64_t era() const { return state_.store.epoch.number; }
  int notes() const { return notes_; }
  void Feed(EventBody body) {
    const Effects effects =
        Reduce(state_, {.now = now_, .body = std::move(body)});
    for (const Effect& it : effects) {
      const auto* note = std::get_if<WriteReconciledEpoch>(&it);
      if (note != nullptr && note->epoch == kEra) ++notes_;
    }
  }

 private:
  ConfigurationStamp StampOf() const {
    return state_.configuration->configuration().stamp();
  }

  State state_{{.instance = "1.1.1.1:1", .peer_address = "1.1.1.1:2"}};
  Time now_ = kStart;
  int notes_ = 0;
};

// A daemon that heard nobody took an older copy for proof.
TEST_CASE("A restore that no daemon got over is known from the store's note") {
  Starter starter;
  starter.List(kEra - 1);
  starter.Pass(milliseconds(2400));
  CHECK_FALSE(starter.is_proved());
  starter.Pass(milliseconds(300));
  CHECK(starter.is_proved());
}

TEST_CASE("What the operators write after such a restore is proved at once") {
  Starter starter;
  starter.List(kEra - 1);
  starter.Pass(milliseconds(1100));
  CHECK_FALSE(starter.is_proved());
  starter.Read(Stored(4, 9));
  CHECK(starter.is_proved());
}

TEST_CASE("A daemon's word of an era far above the store's is not believed") {
  Starter starter;
  starter.List(kEra);
  starter.Pass(milliseconds(1100));
  const std::uint64_t told = kEra + kMaxEpochAdvance + 1;
  starter.Feed(StoreRelayReceived{{.peer_address = "a:1", .epoch = told}});
  CHECK(starter.era() == kEra);
  starter.Feed(StoreRelayReceived{{.peer_address = "a:1", .epoch = told - 1}});
  CHECK(starter.era() == told - 1);
}

TEST_CASE("A store whose era is settled, or that has no note, is believed") {
  for (const std::uint64_t settled : {kEra, std::uint64_t{0}}) {
    Starter starter;
    starter.List(settled);
    starter.Pass(milliseconds(1100));
    CHECK(starter.is_proved());
  }
}

TEST_CASE("Nothing is proved before the store's first list") {
  Starter starter;
  starter.Pass(seconds(2));
  CHECK_FALSE(starter.is_proved());
  starter.List(kEra);
  starter.Pass(milliseconds(100));
  CHECK(starter.is_proved());
}

TEST_CASE("An era that is settled is noted until the note is seen") {
  Starter starter;
  starter.List(0);
  starter.Pass(seconds(4));
  CHECK(starter.notes() == 1);
  starter.Pass(seconds(5));
  CHECK(starter.notes() > 1);
  starter.Feed(ReconciledEpochObserved{.epoch = kEra});
  const int before = starter.notes();
  starter.Pass(seconds(10));
  CHECK(starter.notes() == before);
  // Another call that was late took it back.
  starter.Feed(ReconciledEpochObserved{.epoch = kEra - 1});
  starter.Pass(seconds(1));
  CHECK(starter.notes() == before + 1);
}

}  // namespace
}  // namespace scaleshed::serving
