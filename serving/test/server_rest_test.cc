// Servers said in their answers that they leave, or that they want nothing from
// a daemon for a while, and got the traffic's share all the same: requests 2.3
// s after the word of leaving, 15 in a rest of 3 s.

#include "simulated_fleet_load.h"

namespace scaleshed::serving::test {
namespace {

TEST_CASE("Few daemons send nothing to a server that said that it leaves") {
  SimulatedFleet fleet(kSmallFleet);
  fleet.SetLeaving("llm4");
  fleet.SetLeaving("llm7");
  fleet.SetLeaving("app1");
  const LoadResult result =
      RunLoad(fleet, kSmallFleet.daemons, {.prompts = 60, .calls = 12});
  CheckServerLimitsHeld(fleet);
  CHECK(result.answered == result.sent);
}

TEST_CASE("Many daemons send nothing to a server that said that it leaves") {
  SimulatedFleet fleet(kMediumFleet);
  for (const char* it : {"llm4", "llm22", "llm30", "app1"})
    fleet.SetLeaving(it);
  const LoadResult result =
      RunLoad(fleet, kMediumFleet.daemons, {.prompts = 120, .calls = 30});
  CheckServerLimitsHeld(fleet);
  CHECK(result.answered == result.sent);
}

// With their parts of the slack of repeats: the first refusal of each server is
// made good elsewhere.
SimulatedFleetOptions WithSlack(SimulatedFleetOptions options) {
  options.hold_slack_share = true;
  return options;
}

TEST_CASE("Few daemons leave a server its rest, and serve elsewhere") {
  SimulatedFleet fleet(WithSlack(kSmallFleet));
  for (int i = 0; i < 6; ++i)
    fleet.SetBackoff("llm" + std::to_string(i), seconds(3));
  fleet.SetBackoff("app1", seconds(2));
  const LoadResult result =
      RunLoad(fleet, kSmallFleet.daemons, {.prompts = 60, .calls = 12});
  CheckServerLimitsHeld(fleet);
  CHECK(result.answered == result.sent);
}

TEST_CASE("Many daemons leave a server its rest, and serve elsewhere") {
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

TEST_CASE("A crowd of daemons heeds leaving and rest") {
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

// Those that place for all know of a rest or a leaving by others only.
TEST_CASE("Leaving and rest are heeded while placers and daemons are lost") {
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
