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
void LimitEngines(SimulatedFleet& hall, int engines, double per_second) {
  for (int i = 0; i < engines; i += 2) {
    hall.SetRateLimit("llm" + std::to_string(i), per_second);
  }
}

// Every server of the prompts' service, and of the plain one.
void LimitAll(SimulatedFleet& hall, const SimulatedFleetOptions& options,
              double engines, double plain) {
  for (int i = 0; i < options.engines; ++i) {
    hall.SetRateLimit("llm" + std::to_string(i), engines);
  }
  for (int i = 0; i < options.plain_servers; ++i) {
    hall.SetRateLimit("app" + std::to_string(i), plain);
  }
}

double MeanPartUsed(const SimulatedFleet& hall, const std::string& service,
                    int servers) {
  double sum = 0;
  for (int i = 0; i < servers; ++i) {
    sum += hall.ledger().PartUsed(service + std::to_string(i));
  }
  return sum / servers;
}

TEST_CASE("Few daemons keep to a server's limit together") {
  SimulatedFleet hall(kSmallFleet);
  LimitEngines(hall, kSmallFleet.engines, 1);
  hall.SetRateLimit("app1", 1.5);
  const LoadResult outcome =
      RunLoad(hall, kSmallFleet.daemons, {.prompts = 45, .calls = 12});
  CheckServerLimitsHeld(hall);
  CHECK(outcome.answered == outcome.sent);
}

TEST_CASE("Many daemons keep to a server's limit together") {
  SimulatedFleet hall(kMediumFleet);
  LimitEngines(hall, kMediumFleet.engines, 1);
  hall.SetRateLimit("app1", 2);
  const LoadResult outcome =
      RunLoad(hall, kMediumFleet.daemons, {.prompts = 120, .calls = 30});
  CheckServerLimitsHeld(hall);
  CHECK(outcome.answered == outcome.sent);
}

TEST_CASE("A crowd of daemons keeps to a server's limit together") {
  SimulatedFleet hall(kLargeFleet);
  LimitEngines(hall, kLargeFleet.engines, 0.5);
  hall.SetRateLimit("app1", 1);
  const LoadResult outcome =
      RunLoad(hall, kLargeFleet.daemons,
              {.prompts = 150, .calls = 40, .length = seconds(9)});
  CheckServerLimitsHeld(hall);
  CHECK(outcome.answered == outcome.sent);
}

// What is asked for is twice what all servers take: these are used, what can't
// be served is rejected at once, and the rest is served in its objective.
void CheckOverload(const SimulatedFleetOptions& options, const Load& load,
                   double engines, double plain) {
  SimulatedFleet hall(options);
  LimitAll(hall, options, engines, plain);
  const LoadResult outcome = RunLoad(hall, options.daemons, load);
  CheckServerLimitsHeld(hall);
  CHECK(MeanPartUsed(hall, "llm", options.engines) > 0.9);
  CHECK(MeanPartUsed(hall, "app", options.plain_servers) > 0.9);
  CHECK(outcome.answered + hall.refused().size() == outcome.sent);
  std::size_t at_once = 0;
  for (const auto& it : hall.refused()) {
    CHECK(it.refusal.reason == Refusal::kRateLimited);
    CHECK(it.refusal.retry_after > Duration::zero());
    if (it.after < milliseconds(50)) ++at_once;
  }
  INFO(at_once << " of " << hall.refused().size());
  CHECK(at_once * 10 >= hall.refused().size() * 9);
}

TEST_CASE("Few daemons use the limits of all servers, and reject the rest") {
  CheckOverload(kSmallFleet, {.prompts = 72, .calls = 12}, 2, 2);
}

TEST_CASE("Many daemons use the limits of all servers, and reject the rest") {
  CheckOverload(kMediumFleet, {.prompts = 128, .calls = 16}, 2, 2);
}

// Each daemon may save a start of its own where each meters for itself.
TEST_CASE("A burst after a quiet time finds no starts saved by each of many") {
  SimulatedFleet hall(kMediumFleet);
  LimitAll(hall, kMediumFleet, 1, 1);
  (void)RunLoad(hall, kMediumFleet.daemons,
                {.prompts = 60, .calls = 60, .length = seconds(6)});
  hall.AdvanceTime(seconds(70));
  (void)RunLoad(hall, kMediumFleet.daemons,
                {.prompts = 300, .calls = 300, .length = seconds(1)});
  CheckServerLimitsHeld(hall);
}

// Twice in a row the daemons that place for all fall silent.
TEST_CASE("Limits are kept to while placers are lost") {
  SimulatedFleet hall(kMediumFleet);
  LimitEngines(hall, kMediumFleet.engines, 1);
  hall.SetRateLimit("app1", 1);
  const Time begin = hall.now();
  int frozen = 0;
  (void)RunLoad(hall, kMediumFleet.daemons, {.prompts = 120, .calls = 30}, [&] {
    if (frozen >= 2 || hall.now() < begin + seconds(4) * (frozen + 1)) return;
    ++frozen;
    for (const std::string& it : hall.state(frozen * 9).dispatch.placers) {
      hall.FreezeDaemon(std::stoi(it.substr(1)));
    }
  });
  CHECK(frozen == 2);
  CheckServerLimitsHeld(hall);
}

TEST_CASE("Limits are kept to while daemons are killed and start again") {
  for (const SimulatedFleetOptions& options : {kSmallFleet, kMediumFleet}) {
    SimulatedFleet hall(options);
    LimitEngines(hall, options.engines, 1);
    hall.SetRateLimit("app1", 1);
    std::mt19937 random(5);
    int steps = 0;
    (void)RunLoad(hall, options.daemons, {.prompts = 60, .calls = 20}, [&] {
      if (++steps % 100 != 0) return;
      for (int i = 0; i < options.daemons; ++i) {
        if (random() % 3 == 0) hall.RestartDaemon(i);
      }
    });
    CheckServerLimitsHeld(hall);
    // A placer that has just started places as if it knew of no limit, and is
    // told of each once.
    const std::size_t untold = hall.log_line_count("placer_unaware");
    CHECK(untold < 400);
    CHECK((untold > 0) == (options.daemons > 16));
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
      SimulatedFleet hall(options);
      std::mt19937 random(seed);
      const auto one_of = [&](int n) {
        return static_cast<int>(random() % static_cast<unsigned>(n));
      };
      int steps = 0;
      (void)RunLoad(hall, options.daemons, {.prompts = 60, .calls = 20}, [&] {
        if (++steps % 20 != 0) return;
        const int daemon = one_of(options.daemons);
        const std::string engine =
            "llm" + std::to_string(one_of(options.engines));
        const std::string plain =
            "app" + std::to_string(one_of(options.plain_servers));
        const std::string server = one_of(3) == 0 ? plain : engine;
        switch (one_of(10)) {
          case 0:
            return hall.RestartDaemon(daemon);
          case 1:
            return hall.FreezeDaemon(daemon);
          case 2:
            return hall.FreezeDaemon(daemon, false);
          case 3:
            return hall.IsolateDaemon(daemon, true);
          case 4:
            return hall.IsolateDaemon(daemon, false);
          case 5:
            return hall.SetRateLimit(server, std::nullopt);
          case 6:
            // Some are to be left.
            return one_of(4) == 0 ? hall.SetLeaving(engine) : void();
          case 7:
            return hall.SetBackoff(server, milliseconds(700) * one_of(5));
          default:
            return hall.SetRateLimit(server, kRates[one_of(std::size(kRates))]);
        }
      });
      INFO(options.daemons << " daemons, seed " << seed);
      CheckServerLimitsHeld(hall);
    }
  }
}

TEST_CASE("A limit of none lets one in now and then, to hear when it is over") {
  SimulatedFleet hall(kSmallFleet);
  for (int i = 0; i < kSmallFleet.plain_servers; ++i) {
    hall.SetRateLimit("app" + std::to_string(i), 0);
  }
  (void)RunLoad(hall, kSmallFleet.daemons, {.prompts = 0, .calls = 20});
  for (int i = 0; i < kSmallFleet.plain_servers; ++i) {
    hall.SetRateLimit("app" + std::to_string(i), std::nullopt);
  }
  (void)RunLoad(hall, kSmallFleet.daemons, {.prompts = 0, .calls = 20});
  const std::size_t refused = hall.refused().size();
  const LoadResult outcome =
      RunLoad(hall, kSmallFleet.daemons,
              {.prompts = 0, .calls = 20, .length = seconds(2)});
  CHECK(hall.refused().size() == refused);
  CHECK(outcome.answered == outcome.sent);
}

}  // namespace
}  // namespace scaleshed::serving::test
