// Tests that a whole fleet keeps to the rate limits that backend servers
// advertise: the requests a second that a server accepts from all daemons
// together. They guard against limits that are ignored: a server that
// advertised 2.7 requests a second got its ordinary share of the traffic, 23
// requests in 4 s.

#include <catch2/catch.hpp>
#include <functional>
#include <random>

#include "simulated_fleet_load.h"

namespace scaleshed::serving::test {
namespace {

// Limits every second engine. Short prompts fill the engines in order of their
// BackendId, a hash; half of all engines include some of those that are filled
// first.
void LimitEngines(SimulatedFleet& fleet, int engines, double per_second) {
  for (int i = 0; i < engines; i += 2) {
    fleet.SetRateLimit("llm" + std::to_string(i), per_second);
  }
}

// Limits every server of the prompts' service and of the plain service.
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

// The mean share of their rate limits that the servers of a service used.
double MeanShareUsed(const SimulatedFleet& fleet, const std::string& service,
                     int servers) {
  double sum = 0;
  for (int i = 0; i < servers; ++i) {
    sum += fleet.ledger().PartUsed(service + std::to_string(i));
  }
  return sum / servers;
}

TEST_CASE("A small fleet keeps to a server's rate limit") {
  SimulatedFleet fleet(kSmallFleet);
  LimitEngines(fleet, kSmallFleet.engines, 1);
  fleet.SetRateLimit("app1", 1.5);
  const LoadResult result =
      RunLoad(fleet, kSmallFleet.daemons, {.prompts = 45, .calls = 12});
  CheckServerLimitsHeld(fleet);
  CHECK(result.answered == result.sent);
}

TEST_CASE("A medium fleet keeps to a server's rate limit") {
  SimulatedFleet fleet(kMediumFleet);
  LimitEngines(fleet, kMediumFleet.engines, 1);
  fleet.SetRateLimit("app1", 2);
  const LoadResult result =
      RunLoad(fleet, kMediumFleet.daemons, {.prompts = 120, .calls = 30});
  CheckServerLimitsHeld(fleet);
  CHECK(result.answered == result.sent);
}

TEST_CASE("A large fleet keeps to a server's rate limit") {
  SimulatedFleet fleet(kLargeFleet);
  LimitEngines(fleet, kLargeFleet.engines, 0.5);
  fleet.SetRateLimit("app1", 1);
  const LoadResult result =
      RunLoad(fleet, kLargeFleet.daemons,
              {.prompts = 150, .calls = 40, .length = seconds(9)});
  CheckServerLimitsHeld(fleet);
  CHECK(result.answered == result.sent);
}

// Sends twice the requests that the rate limits of all servers admit. The
// limits must be used up, every request must be answered or refused for the
// rate limit, and at least nine in ten refusals must come at once.
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

TEST_CASE("A small fleet uses up all rate limits and refuses the excess") {
  CheckOverload(kSmallFleet, {.prompts = 72, .calls = 12}, 2, 2);
}

TEST_CASE("A medium fleet uses up all rate limits and refuses the excess") {
  CheckOverload(kMediumFleet, {.prompts = 128, .calls = 16}, 2, 2);
}

// Guards against a burst that exceeds the rate limits: if each daemon of a
// fleet metered for itself, each would save up a token of its own in a quiet
// time.
TEST_CASE("After a quiet time, a burst still keeps to the rate limits") {
  SimulatedFleet fleet(kMediumFleet);
  LimitAllServers(fleet, kMediumFleet, 1, 1);
  (void)RunLoad(fleet, kMediumFleet.daemons,
                {.prompts = 60, .calls = 60, .length = seconds(6)});
  fleet.AdvanceTime(seconds(70));
  (void)RunLoad(fleet, kMediumFleet.daemons,
                {.prompts = 300, .calls = 300, .length = seconds(1)});
  CheckServerLimitsHeld(fleet);
}

// The placers freeze twice in a row.
TEST_CASE("Rate limits hold while placers are lost") {
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

TEST_CASE("Rate limits hold while daemons are killed and restarted") {
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
    // A placer that has just started places requests without knowing the rate
    // limits, and learns each of them once from the daemons that know it.
    const std::size_t unaware_placements =
        fleet.log_line_count("placer_unaware");
    CHECK(unaware_placements < 400);
    CHECK((unaware_placements > 0) == (options.daemons > 16));
  }
}

// Server signals appear, change and end at random while daemons are killed,
// frozen and isolated.
TEST_CASE("Server signals are obeyed in any order of signals and faults") {
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
            // Leaving is rarer than the other signals, as it never ends and
            // some engines must remain.
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

TEST_CASE(
    "A rate limit of zero admits some requests, so that its end is seen") {
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
