// A backend server in need names how many requests a second it takes from all
// daemons together. What it said in its answers was dropped: it got the
// ordinary share of the traffic, 23 requests in 4 s where 2.7 a second were
// wanted.

#include <catch2/catch.hpp>
#include <functional>
#include <random>

#include "hall.h"

namespace scaleshed::serving::test {
namespace {

struct Load {
  double prompts = 40;  // a second
  double calls = 0;     // of the plain service
  Duration length = seconds(12);
  Duration deadline = seconds(10);
};

struct Outcome {
  std::size_t asked = 0;
  std::size_t served = 0;
};

// Requests come at drawn daemons. `at` is called at each step.
Outcome Play(
    Hall& hall, int daemons, const Load& load,
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
      asked.push_back(hall.Ask(any(), 3000, load.deadline));
    }
    for (calls += load.calls * step; calls >= 1; --calls) {
      asked.push_back(hall.AskPlain(any()));
    }
    at();
    hall.Pass(kStep);
  }
  Outcome outcome{.asked = asked.size()};
  hall.Pass(seconds(3));
  for (const RequestKey it : asked) {
    if (hall.answered().contains(it)) ++outcome.served;
  }
  return outcome;
}

void CheckHeld(const Hall& hall) {
  for (const auto& it : hall.ledger().WorstLimitWindows()) {
    UNSCOPED_INFO(it.server << ": " << it.requests << " of " << it.allowed);
  }
  for (const std::string& it : hall.ledger().Broken()) FAIL_CHECK(it);
}

constexpr HallOptions kFew{
    .daemons = 8, .data_centres = 3, .engines = 18, .plain = 3};
constexpr HallOptions kMany{
    .daemons = 40, .data_centres = 4, .engines = 32, .plain = 4};
// Short prompts fill the first engines of an order: half of them, so that those
// are among them.
void LimitEngines(Hall& hall, int engines, double per_second) {
  for (int i = 0; i < engines; i += 2) {
    hall.NameLimit("llm" + std::to_string(i), per_second);
  }
}

TEST_CASE("Few daemons keep to a server's limit together") {
  Hall hall(kFew);
  LimitEngines(hall, kFew.engines, 1);
  hall.NameLimit("app1", 1.5);
  const Outcome outcome =
      Play(hall, kFew.daemons, {.prompts = 45, .calls = 12});
  CheckHeld(hall);
  CHECK(outcome.served == outcome.asked);
}

TEST_CASE("Many daemons keep to a server's limit together") {
  Hall hall(kMany);
  LimitEngines(hall, kMany.engines, 1);
  hall.NameLimit("app1", 2);
  const Outcome outcome =
      Play(hall, kMany.daemons, {.prompts = 120, .calls = 30});
  CheckHeld(hall);
  CHECK(outcome.served == outcome.asked);
}

}  // namespace
}  // namespace scaleshed::serving::test
