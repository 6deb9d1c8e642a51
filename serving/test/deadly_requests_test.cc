// Guards against poison requests, which crash each backend server that runs
// them, and with it all other requests there: 33 and 50 servers in some 20 s.
// The client retries under new ids and at any daemon, and a daemon retries at a
// second server after the first has crashed, so crashes have to be recorded for
// the request's fingerprint and shared by all daemons, not kept for the server
// and the single attempt.

#include <catch2/catch.hpp>
#include <functional>
#include <random>

#include "simulated_fleet.h"

namespace scaleshed::serving::test {
namespace {

constexpr std::uint64_t kPoison = 77;
// A poison request must not be sent any more once this long has passed since
// the third crash: by then all daemons know of it.
constexpr Duration kPropagationTime = seconds(3);

// What became of a load of poison requests and innocent ones.
struct PoisonLoadResult {
  std::size_t crashes = 0;
  // Sends of a poison request later than kPropagationTime after the third
  // crash.
  std::size_t late_sends = 0;
  std::size_t innocent = 0;
  std::size_t answered = 0;
};

// Sends `poison_requests` requests with one fingerprint to random daemons, one
// every `gap`, and innocent requests besides. Calls `at_each_step` at each
// step.
PoisonLoadResult RunPoisonLoad(
    SimulatedFleetOptions options, Duration gap, int poison_requests,
    const std::function<void(SimulatedFleet&)>& at_each_step =
        [](SimulatedFleet& /*fleet*/) {}) {
  options.hold_slack_share = true;
  SimulatedFleet fleet(options);
  fleet.MakeCrashing(kPoison);
  std::mt19937_64 random(7);
  const auto any_daemon = [&] {
    return static_cast<int>(random() %
                            static_cast<std::uint64_t>(options.daemons));
  };
  std::vector<RequestKey> innocent;
  constexpr Duration kStep = milliseconds(5);
  constexpr int kInnocentInterval = 5;  // steps: 40 a second
  Time due = fleet.now();
  for (int step = 0; poison_requests > 0; ++step) {
    if (fleet.now() >= due) {
      fleet.SendPrompt(any_daemon(), 2000, seconds(10), kPoison);
      due += gap;
      --poison_requests;
    }
    if (step % kInnocentInterval == 0) {
      innocent.push_back(
          fleet.SendPrompt(any_daemon(), 3000, seconds(10), 1000 + random()));
    }
    at_each_step(fleet);
    fleet.AdvanceTime(kStep);
  }
  fleet.AdvanceTime(seconds(12));
  PoisonLoadResult result{.crashes = fleet.crash_times().size(),
                          .innocent = innocent.size()};
  for (const RequestKey it : innocent) {
    if (fleet.answered().contains(it)) ++result.answered;
  }
  if (fleet.crash_times().size() < 3) return result;
  const Time last_allowed = fleet.crash_times()[2] + kPropagationTime;
  result.late_sends = static_cast<std::size_t>(std::count_if(
      fleet.crashing_send_times().begin(), fleet.crashing_send_times().end(),
      [&](Time it) { return it > last_allowed; }));
  return result;
}

TEST_CASE(
    "A small fleet no longer sends a request that crashed three servers") {
  const PoisonLoadResult result = RunPoisonLoad(
      {.daemons = 8, .data_centres = 3, .engines = 18}, milliseconds(60), 200);
  CHECK(result.late_sends == 0);
  // Without isolation, each poison request would crash a server of its own.
  CHECK(result.crashes <= 3);
  CHECK(result.answered == result.innocent);
}

TEST_CASE(
    "A medium fleet no longer sends a request that crashed three servers") {
  const PoisonLoadResult result = RunPoisonLoad(
      {.daemons = 40, .data_centres = 4, .engines = 32}, milliseconds(60), 200);
  CHECK(result.late_sends == 0);
  CHECK(result.crashes <= 3);
  CHECK(result.answered == result.innocent);
}

TEST_CASE("Poison requests that arrive together don't crash a server each") {
  const PoisonLoadResult result = RunPoisonLoad(
      {.daemons = 8, .data_centres = 3, .engines = 18}, milliseconds(5), 60);
  CHECK(result.late_sends == 0);
  CHECK(result.crashes <= 3);
}

void RestartAll(SimulatedFleet& fleet, int daemons) {
  for (int i = 0; i < daemons; ++i) fleet.RestartDaemon(i);
}

constexpr SimulatedFleetOptions kSmallFleetWithoutPlainServers{
    .daemons = 8, .data_centres = 3, .engines = 18};
// Time from a server's crash until it is recorded everywhere: the crash check,
// the write to the store, and its propagation.
constexpr Duration kRecordingTime = milliseconds(300);

// Crashes that only daemons know are lost with them: if all daemons are killed
// after each crash and the store doesn't keep them, counting starts again at
// zero each time.
TEST_CASE("A poison request stays quarantined after a kill of all daemons") {
  std::size_t crashes = 0;
  Time kill = Time::max();
  const PoisonLoadResult result =
      RunPoisonLoad(kSmallFleetWithoutPlainServers, milliseconds(60), 200,
                    [&](SimulatedFleet& fleet) {
                      if (fleet.crash_times().size() > crashes)
                        kill = fleet.now() + kRecordingTime;
                      crashes = fleet.crash_times().size();
                      if (fleet.now() < kill) return;
                      kill = Time::max();
                      RestartAll(fleet, kSmallFleetWithoutPlainServers.daemons);
                    });
  CHECK(result.late_sends == 0);
}

// A crash is unknown for the first moments after it. If all daemons are killed
// in these moments, the crash is lost; each such kill may let one more poison
// request through, and no more than that.
TEST_CASE(
    "Kills of all daemons at random times let few poison requests through") {
  for (const unsigned seed : {1, 2, 3, 4, 5, 6, 7, 8}) {
    std::mt19937 random(seed);
    int kills = 3;
    Time kill = Time::min();
    const PoisonLoadResult result = RunPoisonLoad(
        kSmallFleetWithoutPlainServers, milliseconds(60), 120,
        [&](SimulatedFleet& fleet) {
          if (kill == Time::min())
            kill = fleet.now() + milliseconds(random() % 1500);
          if (fleet.now() < kill || kills == 0) return;
          --kills;
          kill = fleet.now() + milliseconds(500 + random() % 2500);
          RestartAll(fleet, kSmallFleetWithoutPlainServers.daemons);
        });
    INFO("seed " << seed);
    CHECK(result.late_sends <= 3);
  }
}

TEST_CASE("Crashes are stored once an unreachable store is back") {
  Time started_at{};
  bool restarted = false;
  const PoisonLoadResult result = RunPoisonLoad(
      kSmallFleetWithoutPlainServers, milliseconds(60), 250,
      [&](SimulatedFleet& fleet) {
        if (started_at == Time{}) started_at = fleet.now();
        fleet.SetStoreUnreachable(fleet.now() < started_at + seconds(6));
        if (restarted || fleet.now() < started_at + seconds(9)) return;
        restarted = true;
        RestartAll(fleet, kSmallFleetWithoutPlainServers.daemons);
      });
  CHECK(restarted);
  CHECK(result.late_sends == 0);
}

TEST_CASE("Daemons that restart no longer send a quarantined request") {
  int restarts = 0;
  const PoisonLoadResult result = RunPoisonLoad(
      kSmallFleetWithoutPlainServers, milliseconds(60), 200,
      [&](SimulatedFleet& fleet) {
        if (fleet.crash_times().size() < 3 || ++restarts % 40 != 0) return;
        fleet.RestartDaemon(restarts / 40 %
                            kSmallFleetWithoutPlainServers.daemons);
      });
  CHECK(result.late_sends == 0);
}

// Innocent requests that ran at a crashed server must not be quarantined for
// it: a successful response clears them, in the store too.
TEST_CASE("Crashes of innocent requests are cleared once they are answered") {
  SimulatedFleetOptions options = kSmallFleetWithoutPlainServers;
  options.hold_slack_share = true;
  SimulatedFleet fleet(options);
  fleet.MakeCrashing(kPoison);
  for (int i = 0; i < 10; ++i)
    fleet.SendPrompt(i % 8, 3000, seconds(10), 100 + i);
  fleet.SendPrompt(0, 2000, seconds(10), kPoison);
  fleet.AdvanceTime(seconds(8));
  CHECK(fleet.crash_times().size() <= 2);
  CHECK(fleet.stored().size() == 1);
  CHECK(fleet.state(3).quarantine.size() == 1);
  // Two crashes and a clearing after each make four writes, made once and not
  // by each daemon.
  CHECK(fleet.saves() <= 4);
}

}  // namespace
}  // namespace scaleshed::serving::test
