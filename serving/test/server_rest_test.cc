// Servers said in their answers that they leave, or that they want nothing from
// a daemon for a while, and got the traffic's share all the same: requests 2.3
// s after the word of leaving, 15 in a rest of 3 s.

#include "hall_load.h"

namespace scaleshed::serving::test {
namespace {

TEST_CASE("Few daemons send nothing to a server that said that it leaves") {
  Hall hall(kFew);
  hall.Leave("llm4");
  hall.Leave("llm7");
  hall.Leave("app1");
  const Outcome outcome =
      Play(hall, kFew.daemons, {.prompts = 60, .calls = 12});
  CheckHeld(hall);
  CHECK(outcome.served == outcome.asked);
}

TEST_CASE("Many daemons send nothing to a server that said that it leaves") {
  Hall hall(kMany);
  for (const char* it : {"llm4", "llm22", "llm30", "app1"}) hall.Leave(it);
  const Outcome outcome =
      Play(hall, kMany.daemons, {.prompts = 120, .calls = 30});
  CheckHeld(hall);
  CHECK(outcome.served == outcome.asked);
}

// With their parts of the slack of repeats: the first refusal of each server is
// made good elsewhere.
HallOptions WithSlack(HallOptions options) {
  options.slack = true;
  return options;
}

TEST_CASE("Few daemons leave a server its rest, and serve elsewhere") {
  Hall hall(WithSlack(kFew));
  for (int i = 0; i < 6; ++i)
    hall.AskRest("llm" + std::to_string(i), seconds(3));
  hall.AskRest("app1", seconds(2));
  const Outcome outcome =
      Play(hall, kFew.daemons, {.prompts = 60, .calls = 12});
  CheckHeld(hall);
  CHECK(outcome.served == outcome.asked);
}

TEST_CASE("Many daemons leave a server its rest, and serve elsewhere") {
  Hall hall(WithSlack(kMany));
  for (int i = 0; i < 32; i += 3) {
    hall.AskRest("llm" + std::to_string(i), seconds(3));
  }
  hall.AskRest("app1", seconds(2));
  const Outcome outcome =
      Play(hall, kMany.daemons, {.prompts = 120, .calls = 30});
  CheckHeld(hall);
  CHECK(outcome.served == outcome.asked);
}

TEST_CASE("A crowd of daemons heeds leaving and rest") {
  Hall hall(WithSlack(kCrowd));
  for (const char* it : {"llm4", "llm22", "llm30", "app1"}) hall.Leave(it);
  for (int i = 1; i < 60; i += 5) {
    hall.AskRest("llm" + std::to_string(i), seconds(3));
  }
  hall.AskRest("app2", seconds(2));
  const Outcome outcome =
      Play(hall, kCrowd.daemons,
           {.prompts = 150, .calls = 40, .length = seconds(9)});
  CheckHeld(hall);
  CHECK(outcome.served == outcome.asked);
}

// Those that place for all know of a rest or a leaving by others only.
TEST_CASE("Leaving and rest are heeded while placers and daemons are lost") {
  Hall hall(WithSlack(kMany));
  for (const char* it : {"llm4", "llm22", "app1"}) hall.Leave(it);
  for (int i = 0; i < 32; i += 5) {
    hall.AskRest("llm" + std::to_string(i), seconds(3));
  }
  std::mt19937 random(5);
  int steps = 0;
  (void)Play(hall, kMany.daemons, {.prompts = 120, .calls = 30}, [&] {
    if (++steps % 200 != 0) return;
    for (const std::string& it : hall.state(steps % 40).dispatch.placers) {
      hall.Freeze(std::stoi(it.substr(1)), steps % 400 != 0);
    }
    for (int i = 0; i < kMany.daemons; ++i) {
      if (random() % 4 == 0) hall.Restart(i);
    }
  });
  CheckHeld(hall);
}

}  // namespace
}  // namespace scaleshed::serving::test
