// All daemons of a large fleet start at once, as after a loss of power.

#include <algorithm>
#include <catch2/catch.hpp>

#include "simulated_fleet.h"

namespace scaleshed::serving::test {
namespace {

constexpr int kDaemons = 27;
// Until then each daemon places its prompts without knowing those of others.
constexpr Duration kPlacersDue = milliseconds(500);

SimulatedFleetOptions Options() {
  return {.daemons = kDaemons,
          .data_centres = 3,
          .engines = 60,
          .strong_per_data_centre = 2};
}

void RestartAll(SimulatedFleet& fleet) {
  for (int i = 0; i < kDaemons; ++i) fleet.RestartDaemon(i);
}

// Clients come back to all daemons. A daemon without requests acts only every
// 200 ms.
void SendPromptToEach(SimulatedFleet& fleet) {
  for (int i = 0; i < kDaemons; ++i) fleet.SendPrompt(i, 2'000);
}

}  // namespace

// Guards against more than a second after the start in which each daemon
// places its prompts without knowing those of the others.
TEST_CASE("A fleet that starts at once has placers within half a second") {
  SimulatedFleet fleet(Options());
  fleet.AdvanceTime(seconds(3));
  RestartAll(fleet);
  SendPromptToEach(fleet);
  CHECK(fleet.state(0).dispatch.placers.empty());
  fleet.AdvanceTime(kPlacersDue);
  for (int i = 0; i < kDaemons; ++i) {
    INFO("daemon " << i);
    CHECK(fleet.state(i).dispatch.placers == fleet.state(0).dispatch.placers);
    CHECK(fleet.state(i).dispatch.placers.size() == 2);
  }
}

// Guards against parts of many long prompts at the same engines, whose streams
// stand still meanwhile.
TEST_CASE("Long prompts wait for the first placers of a fleet that starts") {
  SimulatedFleet fleet(Options());
  fleet.AdvanceTime(seconds(3));
  RestartAll(fleet);
  SendPromptToEach(fleet);
  const auto long_prompt = fleet.SendPrompt(0, 200'000);
  const auto short_prompt = fleet.SendPrompt(1, 2'000);
  fleet.AdvanceTime(milliseconds(5));
  CHECK(fleet.waits().contains(short_prompt));
  CHECK_FALSE(fleet.waits().contains(long_prompt));
  fleet.AdvanceTime(kPlacersDue);
  CHECK(fleet.waits().contains(long_prompt));
}

// Guards against long prompts that wait in vain where no daemon can place.
TEST_CASE("Without placers long prompts wait only right after the start") {
  SimulatedFleet fleet(Options());
  fleet.AdvanceTime(seconds(3));
  RestartAll(fleet);
  for (int i = 1; i < kDaemons; ++i) fleet.FreezeDaemon(i);
  const auto prompt = fleet.SendPrompt(0, 200'000);
  fleet.AdvanceTime(milliseconds(300));
  CHECK_FALSE(fleet.waits().contains(prompt));
  fleet.AdvanceTime(milliseconds(200));
  CHECK(fleet.waits().contains(prompt));
}

}  // namespace scaleshed::serving::test
