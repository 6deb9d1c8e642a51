#ifndef SCALESHED_SERVING_TEST_SIMULATED_FLEET_LOAD_H_
#define SCALESHED_SERVING_TEST_SIMULATED_FLEET_LOAD_H_

#include <catch2/catch.hpp>
#include <functional>
#include <random>
#include <vector>

#include "simulated_fleet.h"

// Load for a SimulatedFleet, and checks that hold whatever its servers
// advertise.
namespace scaleshed::serving::test {

// Rates of the requests that RunLoad() sends, and for how long.
struct Load {
  double prompts = 40;  // prompts a second
  double calls = 0;     // requests a second to the plain service
  Duration length = seconds(12);
  Duration deadline = seconds(10);
};

// How many requests RunLoad() sent, and how many got a complete response.
struct LoadResult {
  std::size_t sent = 0;
  std::size_t answered = 0;
};

// Sends requests to random daemons for the length of `load`, then waits 3 s for
// responses. Calls `at` before each step of 5 ms.
inline LoadResult RunLoad(
    SimulatedFleet& hall, int daemons, const Load& load,
    const std::function<void()>& at = [] {}) {
  std::mt19937_64 random(7);
  const auto any = [&] {
    return static_cast<int>(random() % static_cast<std::uint64_t>(daemons));
  };
  std::vector<RequestKey> asked;
  constexpr Duration kStep = milliseconds(5);
  const double step = std::chrono::duration<double>(kStep).count();
  double prompts = 0;
  double calls = 0;
  for (Duration gone{}; gone < load.length; gone += kStep) {
    for (prompts += load.prompts * step; prompts >= 1; --prompts) {
      asked.push_back(hall.SendPrompt(any(), 3000, load.deadline));
    }
    for (calls += load.calls * step; calls >= 1; --calls) {
      asked.push_back(hall.SendPlainRequest(any()));
    }
    at();
    hall.AdvanceTime(kStep);
  }
  LoadResult outcome{.sent = asked.size()};
  hall.AdvanceTime(seconds(3));
  for (const RequestKey it : asked) {
    if (hall.answered().contains(it)) ++outcome.answered;
  }
  return outcome;
}

// Fails the test for each rate limit, leaving notice or backoff of a server
// that the daemons didn't keep to.
inline void CheckServerLimitsHeld(const SimulatedFleet& hall) {
  for (const auto& it : hall.ledger().WorstLimitWindows()) {
    UNSCOPED_INFO(it.server << ": " << it.requests << " of " << it.allowed);
  }
  for (const std::string& it : hall.ledger().Broken()) FAIL_CHECK(it);
}

// A small fleet places locally; medium and large ones have placers.
inline constexpr SimulatedFleetOptions kSmallFleet{
    .daemons = 8, .data_centres = 3, .engines = 18, .plain_servers = 3};
inline constexpr SimulatedFleetOptions kMediumFleet{
    .daemons = 40, .data_centres = 4, .engines = 32, .plain_servers = 4};
inline constexpr SimulatedFleetOptions kLargeFleet{
    .daemons = 160, .data_centres = 4, .engines = 60, .plain_servers = 6};

}  // namespace scaleshed::serving::test

#endif  // SCALESHED_SERVING_TEST_SIMULATED_FLEET_LOAD_H_
