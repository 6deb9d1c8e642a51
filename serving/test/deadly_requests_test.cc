// A request ended each backend server that began to run it, 33 and 50 of them
// in some 20 s, and each ended what others had in work there. It came again
// under new ids, at any daemon, and each sent it on to a second server when the
// first had ended. The logs, once they named contents, showed the same one at
// every end, at all daemons: what an end teaches was noted for the server
// alone, and of the request it went with the one send.

#include <catch2/catch.hpp>
#include <random>

#include "hall.h"

namespace scaleshed::serving::test {
namespace {

constexpr std::uint64_t kDeadly = 77;
// So long after the third end none may leave any more (`contact_ms`).
constexpr Duration kContact = seconds(3);

struct Outcome {
  std::size_t ends = 0;
  std::size_t late = 0;  // sends of the deadly one after the third and kContact
  std::size_t innocent = 0;
  std::size_t served = 0;
};

// Copies come at drawn daemons, one each `gap`, and beside them others.
Outcome Play(const HallOptions& options, Duration gap, int copies) {
  Hall hall(options);
  hall.MakeDeadly(kDeadly);
  for (int i = 0; i < options.daemons; ++i) HoldSlack(hall.state(i).slack);
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
      hall.Ask(any(), 2000, seconds(10), kDeadly);
      due += gap;
      --copies;
    }
    if (step % kInnocentEach == 0) {
      innocent.push_back(hall.Ask(any(), 3000, seconds(10), 1000 + random()));
    }
    hall.Pass(kStep);
  }
  hall.Pass(seconds(12));
  Outcome outcome{.ends = hall.ends().size(), .innocent = innocent.size()};
  for (const RequestKey it : innocent) {
    if (hall.answered().contains(it)) ++outcome.served;
  }
  if (hall.ends().size() < 3) return outcome;
  const Time last = hall.ends()[2] + kContact;
  outcome.late = static_cast<std::size_t>(
      std::count_if(hall.deadly_sends().begin(), hall.deadly_sends().end(),
                    [&](Time it) { return it > last; }));
  return outcome;
}

TEST_CASE("What has ended three is sent to none, by any of few daemons") {
  const Outcome outcome = Play({.daemons = 8, .data_centres = 3, .engines = 18},
                               milliseconds(60), 200);
  CHECK(outcome.late == 0);
  // Each copy at a server of its own would end as many as there are copies.
  CHECK(outcome.ends <= 3);
  CHECK(outcome.served == outcome.innocent);
}

TEST_CASE("What has ended three is sent to none, by any of many daemons") {
  const Outcome outcome = Play(
      {.daemons = 40, .data_centres = 4, .engines = 32}, milliseconds(60), 200);
  CHECK(outcome.late == 0);
  CHECK(outcome.ends <= 3);
  CHECK(outcome.served == outcome.innocent);
}

TEST_CASE("Copies that come together don't end a server each") {
  const Outcome outcome = Play({.daemons = 8, .data_centres = 3, .engines = 18},
                               milliseconds(5), 60);
  CHECK(outcome.late == 0);
  CHECK(outcome.ends <= 3);
}

}  // namespace
}  // namespace scaleshed::serving::test
