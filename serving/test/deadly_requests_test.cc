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

constexpr std::uint64_t kDeadly = 77;
// So long after the third end none may leave any more (`contact_ms`).
constexpr Duration kContact = seconds(3);

struct LoadResult {
  std::size_t ends = 0;
  std::size_t late = 0;  // sends of the deadly one after the third and kContact
  std::size_t innocent = 0;
  std::size_t answered = 0;
};

// Copies come at drawn daemons, one each `gap`, and beside them others. `at` is
// called at each step.
LoadResult RunLoad(
    SimulatedFleetOptions options, Duration gap, int copies,
    const std::function<void(SimulatedFleet&)>& at =
        [](SimulatedFleet& /*hall*/) {}) {
  options.hold_slack_share = true;
  SimulatedFleet hall(options);
  hall.MakeCrashing(kDeadly);
  std::mt19937_64 random(7);
  const auto any = [&] {
    return static_cast<int>(random() %
                            static_cast<std::uint64_t>(options.daemons));
  };
  std::vector<RequestKey> innocent;
  constexpr Duration kStep = milliseconds(5);
  constexpr int kInnocentEach = 5;  // steps: 40 a second
  Time due = hall.now();
  for (int step = 0; copies > 0; ++step) {
    if (hall.now() >= due) {
      hall.SendPrompt(any(), 2000, seconds(10), kDeadly);
      due += gap;
      --copies;
    }
    if (step % kInnocentEach == 0) {
      innocent.push_back(
          hall.SendPrompt(any(), 3000, seconds(10), 1000 + random()));
    }
    at(hall);
    hall.AdvanceTime(kStep);
  }
  hall.AdvanceTime(seconds(12));
  LoadResult outcome{.ends = hall.crash_times().size(),
                     .innocent = innocent.size()};
  for (const RequestKey it : innocent) {
    if (hall.answered().contains(it)) ++outcome.answered;
  }
  if (hall.crash_times().size() < 3) return outcome;
  const Time last = hall.crash_times()[2] + kContact;
  outcome.late = static_cast<std::size_t>(std::count_if(
      hall.crashing_send_times().begin(), hall.crashing_send_times().end(),
      [&](Time it) { return it > last; }));
  return outcome;
}

TEST_CASE("What has ended three is sent to none, by any of few daemons") {
  const LoadResult outcome = RunLoad(
      {.daemons = 8, .data_centres = 3, .engines = 18}, milliseconds(60), 200);
  CHECK(outcome.late == 0);
  // Each copy at a server of its own would end as many as there are copies.
  CHECK(outcome.ends <= 3);
  CHECK(outcome.answered == outcome.innocent);
}

TEST_CASE("What has ended three is sent to none, by any of many daemons") {
  const LoadResult outcome = RunLoad(
      {.daemons = 40, .data_centres = 4, .engines = 32}, milliseconds(60), 200);
  CHECK(outcome.late == 0);
  CHECK(outcome.ends <= 3);
  CHECK(outcome.answered == outcome.innocent);
}

TEST_CASE("Copies that come together don't end a server each") {
  const LoadResult outcome = RunLoad(
      {.daemons = 8, .data_centres = 3, .engines = 18}, milliseconds(5), 60);
  CHECK(outcome.late == 0);
  CHECK(outcome.ends <= 3);
}

void RestartAll(SimulatedFleet& hall, int daemons) {
  for (int i = 0; i < daemons; ++i) hall.RestartDaemon(i);
}

constexpr SimulatedFleetOptions kSmallFleet{
    .daemons = 8, .data_centres = 3, .engines = 18};
// From a server's end until all is noted: the verdict, the write, its way.
constexpr Duration kNoted = milliseconds(300);

// Knowledge that only daemons have goes with them: with all of them killed
// after each end, the request began anew each time.
TEST_CASE("What has ended three is held though all daemons are killed") {
  std::size_t ends = 0;
  Time kill = Time::max();
  const LoadResult outcome =
      RunLoad(kSmallFleet, milliseconds(60), 200, [&](SimulatedFleet& hall) {
        if (hall.crash_times().size() > ends) kill = hall.now() + kNoted;
        ends = hall.crash_times().size();
        if (hall.now() < kill) return;
        kill = Time::max();
        RestartAll(hall, kSmallFleet.daemons);
      });
  CHECK(outcome.late == 0);
}

// An end is not known for the first moments after it. Daemons that are killed
// in these can't tell of it; a copy each may follow, and no more.
TEST_CASE("Kills of all at drawn moments let few copies through") {
  for (const unsigned seed : {1, 2, 3, 4, 5, 6, 7, 8}) {
    std::mt19937 random(seed);
    int kills = 3;
    Time kill = Time::min();
    const LoadResult outcome =
        RunLoad(kSmallFleet, milliseconds(60), 120, [&](SimulatedFleet& hall) {
          if (kill == Time::min())
            kill = hall.now() + milliseconds(random() % 1500);
          if (hall.now() < kill || kills == 0) return;
          --kills;
          kill = hall.now() + milliseconds(500 + random() % 2500);
          RestartAll(hall, kSmallFleet.daemons);
        });
    INFO("seed " << seed);
    CHECK(outcome.late <= 3);
  }
}

TEST_CASE("A store that is away for a while is told when it is back") {
  Time begun{};
  bool restarted = false;
  const LoadResult outcome =
      RunLoad(kSmallFleet, milliseconds(60), 250, [&](SimulatedFleet& hall) {
        if (begun == Time{}) begun = hall.now();
        hall.SetStoreUnreachable(hall.now() < begun + seconds(6));
        if (restarted || hall.now() < begun + seconds(9)) return;
        restarted = true;
        RestartAll(hall, kSmallFleet.daemons);
      });
  CHECK(restarted);
  CHECK(outcome.late == 0);
}

TEST_CASE("A daemon that starts late, and one that heard nothing, send none") {
  int restarts = 0;
  const LoadResult outcome =
      RunLoad(kSmallFleet, milliseconds(60), 200, [&](SimulatedFleet& hall) {
        if (hall.crash_times().size() < 3 || ++restarts % 40 != 0) return;
        hall.RestartDaemon(restarts / 40 % kSmallFleet.daemons);
      });
  CHECK(outcome.late == 0);
}

// Requests that end nothing are not to be held for having been there: an answer
// forgives, in the store too.
TEST_CASE("What ended by itself leaves no trace once the others are answered") {
  SimulatedFleetOptions options = kSmallFleet;
  options.hold_slack_share = true;
  SimulatedFleet hall(options);
  hall.MakeCrashing(kDeadly);
  for (int i = 0; i < 10; ++i)
    hall.SendPrompt(i % 8, 3000, seconds(10), 100 + i);
  hall.SendPrompt(0, 2000, seconds(10), kDeadly);
  hall.AdvanceTime(seconds(8));
  CHECK(hall.crash_times().size() <= 2);
  CHECK(hall.stored().size() == 1);
  CHECK(hall.state(3).quarantine.size() == 1);
  // Two ends and what was forgiven after each: not a write for each daemon.
  CHECK(hall.saves() <= 4);
}

}  // namespace
}  // namespace scaleshed::serving::test
