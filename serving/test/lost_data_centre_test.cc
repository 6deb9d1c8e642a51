// All daemons of a data centre lost at once, with its placer, hubs and store
// pollers.

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "simulated_fleet.h"

namespace scaleshed::serving::test {
namespace {

constexpr int kDaemons = 36;
constexpr double kServedShare = 0.97;
// From the loss until the others have to serve, and until nothing of the lost
// daemons counts.
constexpr Duration kContactTime = seconds(3);
constexpr Duration kForgottenTime = seconds(7);

enum class Loss { kKilled, kFrozen, kPartitioned };
// What the store pollers of another data centre meet at the same time.
enum class PollerLoss { kNone, kKilled, kStoreUnreachable };

class LossTest {
 public:
  explicit LossTest(int daemons = kDaemons)
      : daemons_(daemons),
        fleet_({.daemons = daemons,
                .data_centres = 3,
                .engines = 60,
                .strong_per_data_centre = 2,
                .store_confirms_to_pollers = true,
                .hold_slack_share = true,
                .plain_servers = 3}) {
    Send(seconds(2));
  }

  SimulatedFleet& fleet() { return fleet_; }
  bool IsLost(int i) const { return lost_.contains(i); }

  void LoseDataCentre(const std::string& data_centre, Loss loss) {
    if (loss == Loss::kPartitioned) fleet_.PartitionDataCentre(data_centre);
    for (int i = 0; i < daemons_; ++i) {
      if (fleet_.CentreOf(i) != data_centre) continue;
      lost_.insert(i);
      if (loss == Loss::kKilled) fleet_.KillDaemon(i);
      if (loss == Loss::kFrozen) fleet_.FreezeDaemon(i);
    }
  }
  void LosePollers(const std::string& data_centre, PollerLoss loss) {
    for (int i = 0; i < daemons_; ++i) {
      if (fleet_.CentreOf(i) != data_centre) continue;
      if (!fleet_.state(i).store.watching) continue;
      if (loss == PollerLoss::kStoreUnreachable) fleet_.SetStoreLink(i, false);
      if (loss != PollerLoss::kKilled) continue;
      lost_.insert(i);
      fleet_.KillDaemon(i);
    }
  }
  // Requests the evacuation of a data centre. The remaining daemons learn of it
  // from the store. Their effects at that moment aren't carried out; sends and
  // placement requests among them would be lost.
  void Evacuate(const std::string& data_centre) {
    constexpr std::uint64_t kRequestedAt = 100;
    const StoredEvacuation requested{.data_centre = data_centre,
                                     .in_force = true,
                                     .revision = {.number = kRequestedAt}};
    for (int i = 0; i < daemons_; ++i) {
      if (IsLost(i)) continue;
      const auto effects =
          Reduce(fleet_.state(i),
                 {.now = fleet_.now(), .body = EvacuationStored{requested}});
      for (const Effect& it : effects) {
        REQUIRE_FALSE(std::holds_alternative<StartAttempt>(it));
        REQUIRE_FALSE(std::holds_alternative<RequestPlacement>(it));
      }
    }
  }
  // Returns the number of sends to servers of a data centre.
  int SendsTo(const std::string& data_centre) {
    int sends = 0;
    for (const auto& [server, count] : fleet_.sends()) {
      constexpr std::size_t kPrefixLength = 3;  // "llm" or "app"
      const int index = std::stoi(server.substr(kPrefixLength));
      if (fleet_.CentreOf(index) == data_centre) sends += count;
    }
    return sends;
  }
  void PowerOn() {
    for (const int it : lost_) fleet_.FreezeDaemon(it, false);
    lost_.clear();
  }
  // Sends a request every 5 ms, to the remaining daemons in turn.
  std::vector<RequestKey> Send(Duration length) {
    std::vector<RequestKey> sent;
    const Time until = fleet_.now() + length;
    while (fleet_.now() < until) {
      do {
        next_ = (next_ + 1) % daemons_;
      } while (IsLost(next_));
      sent.push_back(sent.size() % 10 == 9 ? fleet_.SendPlainRequest(next_)
                                           : fleet_.SendPrompt(next_, 5000));
      fleet_.AdvanceTime(milliseconds(5));
    }
    return sent;
  }
  double ServedShare(const std::vector<RequestKey>& sent) const {
    const auto served = std::count_if(
        sent.begin(), sent.end(),
        [&](RequestKey it) { return fleet_.answered().contains(it); });
    return static_cast<double>(served) / static_cast<double>(sent.size());
  }

  // Checks that the remaining daemons use, name and count no lost one.
  void CheckForgotten() {
    std::set<std::string> pollers;
    for (int i = 0; i < daemons_; ++i) {
      if (IsLost(i)) continue;
      const State& state = fleet_.state(i);
      CHECK(state.dispatch.placers == FirstRemaining().dispatch.placers);
      CHECK(state.dispatch.placers.size() == 2);
      if (state.store.watching) pollers.insert(state.options.data_centre);
      const auto named = LookUpClientAddresses(state).addresses;
      for (const int lost : lost_) CheckForgottenBy(state, lost, named);
    }
    CHECK(pollers.size() == 2);
  }

 private:
  const State& FirstRemaining() {
    int i = 0;
    while (IsLost(i)) ++i;
    return fleet_.state(i);
  }
  static bool Contains(const std::vector<std::string>& names,
                       const std::string& name) {
    return std::find(names.begin(), names.end(), name) != names.end();
  }
  void CheckForgottenBy(const State& state, int lost,
                        const std::vector<std::string>& named) {
    constexpr Duration kLivenessTimeout = seconds(2);
    const std::string peer = SimulatedFleet::PeerOf(lost);
    CHECK_FALSE(Contains(state.dispatch.placers, peer));
    CHECK_FALSE(Contains(state.dispatch.fallback_placers, peer));
    CHECK_FALSE(state.store.pollers.contains(peer));
    CHECK_FALSE(Contains(named, fleet_.state(lost).options.instance));
    const auto member = state.members.find(peer);
    if (member == state.members.end()) return;
    CHECK(state.now - member->second.received_at >= kLivenessTimeout);
  }

  int daemons_;
  SimulatedFleet fleet_;
  std::set<int> lost_;
  int next_ = 0;
};

// Guards against the loss of the first placer's data centre stopping the other
// data centres, alone and with the second placer and the store pollers of its
// data centre.
TEST_CASE("A lost data centre doesn't stop the others") {
  const auto loss = GENERATE(Loss::kKilled, Loss::kFrozen, Loss::kPartitioned);
  const auto poller_loss = GENERATE(PollerLoss::kNone, PollerLoss::kKilled,
                                    PollerLoss::kStoreUnreachable);
  CAPTURE(static_cast<int>(loss), static_cast<int>(poller_loss));
  LossTest test;
  const auto placers = test.fleet().state(0).dispatch.placers;
  REQUIRE(placers.size() == 2);
  const auto centre_of = [&](const std::string& peer) {
    return test.fleet().CentreOf(std::stoi(peer.substr(1)));
  };
  test.LoseDataCentre(centre_of(placers[0]), loss);
  test.LosePollers(centre_of(placers[1]), poller_loss);
  test.Send(kContactTime);
  const auto after = test.Send(kForgottenTime - kContactTime);
  test.CheckForgotten();
  const auto later = test.Send(seconds(3));
  test.fleet().AdvanceTime(seconds(3));
  CHECK(test.ServedShare(after) >= kServedShare);
  CHECK(test.ServedShare(later) >= kServedShare);
}

// Guards against sends to an evacuated data centre, and against requests that
// fail, while another data centre loses its daemons with the first placer.
// Partitioned daemons don't learn of an evacuation that is requested later.
TEST_CASE("A data centre is lost while another one is evacuated") {
  const auto loss = GENERATE(Loss::kKilled, Loss::kFrozen, Loss::kPartitioned);
  const bool evacuated_first =
      loss == Loss::kPartitioned || GENERATE(true, false);
  CAPTURE(static_cast<int>(loss), evacuated_first);
  LossTest test;
  const auto placers = test.fleet().state(0).dispatch.placers;
  REQUIRE(placers.size() == 2);
  const auto centre_of = [&](const std::string& peer) {
    return test.fleet().CentreOf(std::stoi(peer.substr(1)));
  };
  const std::string evacuated = centre_of(placers[1]);
  REQUIRE(test.SendsTo(evacuated) > 0);
  if (evacuated_first) test.Evacuate(evacuated);
  const int sends_if_first = test.SendsTo(evacuated);
  if (evacuated_first) test.Send(seconds(1));
  test.LoseDataCentre(centre_of(placers[0]), loss);
  if (!evacuated_first) {
    test.Send(seconds(1));
    test.Evacuate(evacuated);
  }
  const int sends_before =
      evacuated_first ? sends_if_first : test.SendsTo(evacuated);
  test.Send(kContactTime);
  const auto after = test.Send(kForgottenTime - kContactTime);
  test.CheckForgotten();
  test.fleet().AdvanceTime(seconds(3));
  CHECK(test.ServedShare(after) >= kServedShare);
  CHECK(test.SendsTo(evacuated) == sends_before);
}

// Guards against requests that fail while the remaining daemons, now few enough
// to place locally, stop using placers.
TEST_CASE("Few remaining daemons change to placing locally without a loss") {
  constexpr int kFewDaemons = 24;
  LossTest test(kFewDaemons);
  const int placer = test.fleet().FirstPlacer();
  REQUIRE(placer >= 0);
  test.LoseDataCentre(test.fleet().CentreOf(placer), Loss::kKilled);
  test.Send(seconds(5));
  test.fleet().UnlistKilled();
  const auto sent = test.Send(seconds(3));
  test.fleet().AdvanceTime(seconds(3));
  CHECK(test.ServedShare(sent) >= kServedShare);
  for (int i = 0; i < kFewDaemons; ++i) {
    if (!test.IsLost(i)) CHECK(test.fleet().state(i).dispatch.place_locally);
  }
}

// Guards against daemons that resume with what they knew when the power failed.
TEST_CASE("A data centre whose power comes back serves like the others") {
  LossTest test;
  const std::string data_centre =
      test.fleet().CentreOf(test.fleet().FirstPlacer());
  test.LoseDataCentre(data_centre, Loss::kFrozen);
  test.Send(seconds(10));
  test.PowerOn();
  const auto sent = test.Send(seconds(5));
  test.fleet().AdvanceTime(seconds(3));
  CHECK(test.ServedShare(sent) >= kServedShare);
  const auto placers = test.fleet().state(0).dispatch.placers;
  for (int i = 0; i < kDaemons; ++i)
    CHECK(test.fleet().state(i).dispatch.placers == placers);
}

}  // namespace
}  // namespace scaleshed::serving::test
