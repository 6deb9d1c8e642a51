// A backend server in need names how many requests a second it takes from all
// daemons together. What it said in its answers was dropped: it got the
// ordinary share of the traffic, 23 requests in 4 s where 2.7 a second were
// wanted.

#include <catch2/catch.hpp>
#include <functional>
#include <random>

#include "simulated_fleet_load.h"

namespace scaleshed::serving::test {
namespace {

// Short prompts fill the first engines of an order: half of them, so that those
// are among them.
void LimitEngines(SimulatedFleet& fleet, int engines, double per_second) {
  for (int i = 0; i < engines; i += 2) {
    fleet.SetRateLimit("llm" + std::to_string(i), per_second);
  }
}

// Every server of the prompts' service, and of the plain one.
void LimitAllServers(SimulatedFleet& fleet,
                     const SimulatedFleetOptions& options, double engine_rate,
                     double plain_rate) {
  for (int i = 0; i < options.engines; ++i) {
    fleet.SetRateLimit("llm" + std::to_string(i), engine_rate);
  }
  for (int i = 0; i < options.plain_servers; ++i) {
    fleet.SetRateLimit("app" + std::to_string(i), plain_rate);
  }
}

double MeanShareUsed(const SimulatedFleet& fleet, const std::string& service,
                     int servers) {
  double sum = 0;
  for (int i = 0; i < servers; ++i) {
    sum += fleet.ledger().PartUsed(service + std::to_string(i));
  }
  return sum / servers;
}

TEST_CASE("Few daemons keep to a server's limit together") {
  SimulatedFleet fleet(kSmallFleet);
  LimitEngines(fleet, kSmallFleet.engines, 1);
  fleet.SetRateLimit("app1", 1.5);
  const LoadResult result =
      RunLoad(fleet, kSmallFleet.daemons, {.prompts = 45, .calls = 12});
  CheckServerLimitsHeld(fleet);
  CHECK(result.answered == result.sent);
}

TEST_CASE("Many daemons keep to a server's limit together") {
  SimulatedFleet fleet(kMediumFleet);
  LimitEngines(fleet, kMediumFleet.engines, 1);
  fleet.SetRateLimit("app1", 2);
  const LoadResult result =
      RunLoad(fleet, kMediumFleet.daemons, {.prompts = 120, .calls = 30});
  CheckServerLimitsHeld(fleet);
  CHECK(result.answered == result.sent);
}

TEST_CASE("A crowd of daemons keeps to a server's limit together") {
  SimulatedFleet fleet(kLargeFleet);
  LimitEngines(fleet, kLargeFleet.engines, 0.5);
  fleet.SetRateLimit("app1", 1);
  const LoadResult result =
      RunLoad(fleet, kLargeFleet.daemons,
              {.prompts = 150, .calls = 40, .length = seconds(9)});
  CheckServerLimitsHeld(fleet);
  CHECK(result.answered == result.sent);
}

// What is asked for is twice what all servers take: these are used, what can't
// be served is rejected at once, and the rest is served in its objective.
void CheckOverload(const SimulatedFleetOptions& options, const Load& load,
                   double engine_rate, double plain_rate) {
  SimulatedFleet fleet(options);
  LimitAllServers(fleet, options, engine_rate, plain_rate);
  const LoadResult result = RunLoad(fleet, options.daemons, load);
  CheckServerLimitsHeld(fleet);
  CHECK(MeanShareUsed(fleet, "llm", options.engines) > 0.9);
  CHECK(MeanShareUsed(fleet, "app", options.plain_servers) > 0.9);
  CHECK(result.answered + fleet.refused().size() == result.sent);
  std::size_t refused_at_once = 0;
  for (const auto& it : fleet.refused()) {
    CHECK(it.refusal.reason == Refusal::kRateLimited);
    CHECK(it.refusal.retry_after > Duration::zero());
    if (it.after < milliseconds(50)) ++refused_at_once;
  }
  INFO(refused_at_once << " of " << fleet.refused().size());
  CHECK(refused_at_once * 10 >= fleet.refused().size() * 9);
}

TEST_CASE("Few daemons use the limits of all servers, and reject the rest") {
  CheckOverload(kSmallFleet, {.prompts = 72, .calls = 12}, 2, 2);
}

TEST_CASE("Many daemons use the limits of all servers, and reject the rest") {
  CheckOverload(kMediumFleet, {.prompts = 128, .calls = 16}, 2, 2);
}

// Each daemon may save a start of its own where each meters for itself.
TEST_CASE("A burst after a quiet time finds no starts saved by each of many") {
  SimulatedFleet fleet(kMediumFleet);
  LimitAllServers(fleet, kMediumFleet, 1, 1);
  (void)RunLoad(fleet, kMediumFleet.daemons,
                {.prompts = 60, .calls = 60, .length = seconds(6)});
  fleet.AdvanceTime(seconds(70));
  (void)RunLoad(fleet, kMediumFleet.daemons,
                {.prompts = 300, .calls = 300, .length = seconds(1)});
  CheckServerLimitsHeld(fleet);
}

// Twice in a row the daemons that place for all fall silent.
TEST_CASE("Limits are kept to while placers are lost") {
  SimulatedFleet fleet(kMediumFleet);
  LimitEngines(fleet, kMediumFleet.engines, 1);
  fleet.SetRateLimit("app1", 1);
  const Time start = fleet.now();
  int frozen = 0;
  (void)RunLoad(
      fleet, kMediumFleet.daemons, {.prompts = 120, .calls = 30}, [&] {
        if (frozen >= 2 || fleet.now() < start + seconds(4) * (frozen + 1))
          return;
        ++frozen;
        for (const std::string& it : fleet.state(frozen * 9).dispatch.placers) {
          fleet.FreezeDaemon(std::stoi(it.substr(1)));
        }
      });
  CHECK(frozen == 2);
  CheckServerLimitsHeld(fleet);
}

TEST_CASE("Limits are kept to while daemons are killed and start again") {
  for (const SimulatedFleetOptions& options : {kSmallFleet, kMediumFleet}) {
    SimulatedFleet fleet(options);
    LimitEngines(fleet, options.engines, 1);
    fleet.SetRateLimit("app1", 1);
    std::mt19937 random(5);
    int steps = 0;
    (void)RunLoad(fleet, options.daemons, {.prompts = 60, .calls = 20}, [&] {
      if (++steps % 100 != 0) return;
      for (int i = 0; i < options.daemons; ++i) {
        if (random() % 3 == 0) fleet.RestartDaemon(i);
      }
    });
    CheckServerLimitsHeld(fleet);
    // A placer that has just started places as if it knew of no limit, and is
    // told of each once.
    const std::size_t unaware_placements =
        fleet.log_line_count("placer_unaware");
    CHECK(unaware_placements < 400);
    CHECK((unaware_placements > 0) == (options.daemons > 16));
  }
}

// Words come, change and go while daemons are killed, freeze and are cut off.
TEST_CASE("What servers say is kept to in any order of words and faults") {
  constexpr double kRates[] = {0, 0.1, 0.7, 2.5, 9, 1000};
  for (const SimulatedFleetOptions& options :
       {kSmallFleet,
        SimulatedFleetOptions{.daemons = 24, .engines = 20, .plain_servers = 3},
        SimulatedFleetOptions{.daemons = 8,
        .engines = 18,
        .plain_servers = 3,
        .message_loss_share = 0.05},
        SimulatedFleetOptions{.daemons = 24,
        .engines = 20,
        .plain_servers = 3,
        .message_loss_share = 0.05}}) {
    for (const unsigned seed : {1, 2, 3, 4, 5, 6}) {
      SimulatedFleet fleet(options);
      std::mt19937 random(seed);
      const auto one_of = [&](int n) {
        return static_cast<int>(random() % static_cast<unsigned>(n));
      };
      int steps = 0;
      (void)RunLoad(fleet, options.daemons, {.prompts = 60, .calls = 20}, [&] {
        if (++steps % 20 != 0) return;
        const int daemon = one_of(options.daemons);
        const std::string engine =
            "llm" + std::to_string(one_of(options.engines));
        const std::string plain =
            "app" + std::to_string(one_of(options.plain_servers));
        const std::string server = one_of(3) == 0 ? plain : engine;
        switch (one_of(10)) {
          case 0:
            return fleet.RestartDaemon(daemon);
          case 1:
            return fleet.FreezeDaemon(daemon);
          case 2:
            return fleet.FreezeDaemon(daemon, false);
          case 3:
            return fleet.IsolateDaemon(daemon, true);
          case 4:
            return fleet.IsolateDaemon(daemon, false);
          case 5:
            return fleet.SetRateLimit(server, std::nullopt);
          case 6:
            // Some are to be left.
            return one_of(4) == 0 ? fleet.SetLeaving(engine) : void();
          case 7:
            return fleet.SetBackoff(server, milliseconds(700) * one_of(5));
          default:
            return fleet.SetRateLimit(server,
                                      kRates[one_of(std::size(kRates))]);
        }
      });
      INFO(options.daemons << " daemons, seed " << seed);
      CheckServerLimitsHeld(fleet);
    }
  }
}

TEST_CASE("A limit of none lets one in now and then, to hear when it is over") {
  SimulatedFleet fleet(kSmallFleet);
  for (int i = 0; i < kSmallFleet.plain_servers; ++i) {
    fleet.SetRateLimit("app" + std::to_string(i), 0);
  }
  (void)RunLoad(fleet, kSmallFleet.daemons, {.prompts = 0, .calls = 20});
  for (int i = 0; i < kSmallFleet.plain_servers; ++i) {
    fleet.SetRateLimit("app" + std::to_string(i), std::nullopt);
  }
  (void)RunLoad(fleet, kSmallFleet.daemons, {.prompts = 0, .calls = 20});
  const std::size_t refused = fleet.refused().size();
  const LoadResult result =
      RunLoad(fleet, kSmallFleet.daemons,
              {.prompts = 0, .calls = 20, .length = seconds(2)});
  CHECK(fleet.refused().size() == refused);
  CHECK(result.answered == result.sent);
}

}  // namespace
}  // namespace scaleshed::serving::test
