// Tests that a whole fleet sends nothing to servers that are leaving, and
// nothing from a daemon that a server asked for a backoff. They guard against
// signals that are ignored: servers kept their share of the traffic, with
// requests 2.3 s after a server said that it is leaving and 15 requests in a
// backoff of 3 s.

#include "simulated_fleet_load.h"

namespace scaleshed::serving::test {
namespace {

TEST_CASE("A small fleet sends nothing to a leaving server") {
  SimulatedFleet fleet(kSmallFleet);
  fleet.SetLeaving("llm4");
  fleet.SetLeaving("llm7");
  fleet.SetLeaving("app1");
  const LoadResult result =
      RunLoad(fleet, kSmallFleet.daemons, {.prompts = 60, .calls = 12});
  CheckServerLimitsHeld(fleet);
  CHECK(result.answered == result.sent);
}

TEST_CASE("A medium fleet sends nothing to a leaving server") {
  SimulatedFleet fleet(kMediumFleet);
  for (const char* it : {"llm4", "llm22", "llm30", "app1"})
    fleet.SetLeaving(it);
  const LoadResult result =
      RunLoad(fleet, kMediumFleet.daemons, {.prompts = 120, .calls = 30});
  CheckServerLimitsHeld(fleet);
  CHECK(result.answered == result.sent);
}

// Lets the daemons hold their shares of the retry slack, so that a retry
// elsewhere makes up for the first refusal of each server.
SimulatedFleetOptions WithSlack(SimulatedFleetOptions options) {
  options.hold_slack_share = true;
  return options;
}

TEST_CASE("A small fleet backs off from servers and serves elsewhere") {
  SimulatedFleet fleet(WithSlack(kSmallFleet));
  for (int i = 0; i < 6; ++i)
    fleet.SetBackoff("llm" + std::to_string(i), seconds(3));
  fleet.SetBackoff("app1", seconds(2));
  const LoadResult result =
      RunLoad(fleet, kSmallFleet.daemons, {.prompts = 60, .calls = 12});
  CheckServerLimitsHeld(fleet);
  CHECK(result.answered == result.sent);
}

TEST_CASE("A medium fleet backs off from servers and serves elsewhere") {
  SimulatedFleet fleet(WithSlack(kMediumFleet));
  for (int i = 0; i < 32; i += 3) {
    fleet.SetBackoff("llm" + std::to_string(i), seconds(3));
  }
  fleet.SetBackoff("app1", seconds(2));
  const LoadResult result =
      RunLoad(fleet, kMediumFleet.daemons, {.prompts = 120, .calls = 30});
  CheckServerLimitsHeld(fleet);
  CHECK(result.answered == result.sent);
}

TEST_CASE("A large fleet obeys leaving and backoff") {
  SimulatedFleet fleet(WithSlack(kLargeFleet));
  for (const char* it : {"llm4", "llm22", "llm30", "app1"})
    fleet.SetLeaving(it);
  for (int i = 1; i < 60; i += 5) {
    fleet.SetBackoff("llm" + std::to_string(i), seconds(3));
  }
  fleet.SetBackoff("app2", seconds(2));
  const LoadResult result =
      RunLoad(fleet, kLargeFleet.daemons,
              {.prompts = 150, .calls = 40, .length = seconds(9)});
  CheckServerLimitsHeld(fleet);
  CHECK(result.answered == result.sent);
}

// Placers learn of a server's backoff or leaving only from other daemons.
TEST_CASE("Leaving and backoff are obeyed while placers and daemons are lost") {
  SimulatedFleet fleet(WithSlack(kMediumFleet));
  for (const char* it : {"llm4", "llm22", "app1"}) fleet.SetLeaving(it);
  for (int i = 0; i < 32; i += 5) {
    fleet.SetBackoff("llm" + std::to_string(i), seconds(3));
  }
  std::mt19937 random(5);
  int steps = 0;
  (void)RunLoad(
      fleet, kMediumFleet.daemons, {.prompts = 120, .calls = 30}, [&] {
        if (++steps % 200 != 0) return;
        for (const std::string& it : fleet.state(steps % 40).dispatch.placers) {
          fleet.FreezeDaemon(std::stoi(it.substr(1)), steps % 400 != 0);
        }
        for (int i = 0; i < kMediumFleet.daemons; ++i) {
          if (random() % 4 == 0) fleet.RestartDaemon(i);
        }
      });
  CheckServerLimitsHeld(fleet);
}

}  // namespace
}  // namespace scaleshed::serving::test
