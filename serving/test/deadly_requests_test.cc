// A request ended each backend server that began to run it, 33 and 50 of them
// in some 20 s, and each ended what others had in work there. It came again
// under new ids, at any daemon, and each sent it on to a second server when the
// first had ended. The logs, once they named contents, showed the same one at
// every end, at all daemons: what an end teaches was noted for the server
// alone, and of the request it went with the one send.

#include <catch2/catch.hpp>
#include <functional>
#include <random>

#include "simulated_fleet.h"

namespace scaleshed::serving::test {
namespace {

constexpr std::uint64_t kPoison = 77;
// So long after the third end none may leave any more (`contact_ms`).
constexpr Duration kPropagationTime = seconds(3);

struct LoadResult {
  std::size_t crashes = 0;
  std::size_t late_sends =
      0;  // sends of the deadly one after the third and kContact
  std::size_t innocent = 0;
  std::size_t answered = 0;
};

// Copies come at drawn daemons, one each `gap`, and beside them others. `at` is
// called at each step.
LoadResult RunLoad(
    SimulatedFleetOptions options, Duration gap, int poison_requests,
    const std::function<void(SimulatedFleet&)>& at_each_step =
        [](SimulatedFleet& /*hall*/) {}) {
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
  LoadResult result{.crashes = fleet.crash_times().size(),
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

TEST_CASE("What has ended three is sent to none, by any of few daemons") {
  const LoadResult result = RunLoad(
      {.daemons = 8, .data_centres = 3, .engines = 18}, milliseconds(60), 200);
  CHECK(result.late_sends == 0);
  // Each copy at a server of its own would end as many as there are copies.
  CHECK(result.crashes <= 3);
  CHECK(result.answered == result.innocent);
}

TEST_CASE("What has ended three is sent to none, by any of many daemons") {
  const LoadResult result = RunLoad(
      {.daemons = 40, .data_centres = 4, .engines = 32}, milliseconds(60), 200);
  CHECK(result.late_sends == 0);
  CHECK(result.crashes <= 3);
  CHECK(result.answered == result.innocent);
}

TEST_CASE("Copies that come together don't end a server each") {
  const LoadResult result = RunLoad(
      {.daemons = 8, .data_centres = 3, .engines = 18}, milliseconds(5), 60);
  CHECK(result.late_sends == 0);
  CHECK(result.crashes <= 3);
}

void RestartAll(SimulatedFleet& fleet, int daemons) {
  for (int i = 0; i < daemons; ++i) fleet.RestartDaemon(i);
}

constexpr SimulatedFleetOptions kSmallFleet{
    .daemons = 8, .data_centres = 3, .engines = 18};
// From a server's end until all is noted: the verdict, the write, its way.
constexpr Duration kRecordingTime = milliseconds(300);

// Knowledge that only daemons have goes with them: with all of them killed
// after each end, the request began anew each time.
TEST_CASE("What has ended three is held though all daemons are killed") {
  std::size_t crashes = 0;
  Time kill = Time::max();
  const LoadResult result =
      RunLoad(kSmallFleet, milliseconds(60), 200, [&](SimulatedFleet& fleet) {
        if (fleet.crash_times().size() > crashes)
          kill = fleet.now() + kRecordingTime;
        crashes = fleet.crash_times().size();
        if (fleet.now() < kill) return;
        kill = Time::max();
        RestartAll(fleet, kSmallFleet.daemons);
      });
  CHECK(result.late_sends == 0);
}

// An end is not known for the first moments after it. Daemons that are killed
// in these can't tell of it; a copy each may follow, and no more.
TEST_CASE("Kills of all at drawn moments let few copies through") {
  for (const unsigned seed : {1, 2, 3, 4, 5, 6, 7, 8}) {
    std::mt19937 random(seed);
    int kills = 3;
    Time kill = Time::min();
    const LoadResult result =
        RunLoad(kSmallFleet, milliseconds(60), 120, [&](SimulatedFleet& fleet) {
          if (kill == Time::min())
            kill = fleet.now() + milliseconds(random() % 1500);
          if (fleet.now() < kill || kills == 0) return;
          --kills;
          kill = fleet.now() + milliseconds(500 + random() % 2500);
          RestartAll(fleet, kSmallFleet.daemons);
        });
    INFO("seed " << seed);
    CHECK(result.late_sends <= 3);
  }
}

TEST_CASE("A store that is away for a while is told when it is back") {
  Time started_at{};
  bool restarted = false;
  const LoadResult result =
      RunLoad(kSmallFleet, milliseconds(60), 250, [&](SimulatedFleet& fleet) {
        if (started_at == Time{}) started_at = fleet.now();
        fleet.SetStoreUnreachable(fleet.now() < started_at + seconds(6));
        if (restarted || fleet.now() < started_at + seconds(9)) return;
        restarted = true;
        RestartAll(fleet, kSmallFleet.daemons);
      });
  CHECK(restarted);
  CHECK(result.late_sends == 0);
}

TEST_CASE("A daemon that starts late, and one that heard nothing, send none") {
  int restarts = 0;
  const LoadResult result =
      RunLoad(kSmallFleet, milliseconds(60), 200, [&](SimulatedFleet& fleet) {
        if (fleet.crash_times().size() < 3 || ++restarts % 40 != 0) return;
        fleet.RestartDaemon(restarts / 40 % kSmallFleet.daemons);
      });
  CHECK(result.late_sends == 0);
}

// Requests that end nothing are not to be held for having been there: an answer
// forgives, in the store too.
TEST_CASE("What ended by itself leaves no trace once the others are answered") {
  SimulatedFleetOptions options = kSmallFleet;
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
  // Two ends and what was forgiven after each: not a write for each daemon.
  CHECK(fleet.saves() <= 4);
}

}  // namespace
}  // namespace scaleshed::serving::test
