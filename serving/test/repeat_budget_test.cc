#include "scaleshed/serving/repeat_budget.h"

#include <catch2/catch.hpp>
#include <vector>

namespace scaleshed::serving {
namespace {

const Time kStart{seconds(100)};

// Plans and sends until there is no room; how many left.
int SendAll(RepeatBudget& budget, Time now, double part) {
  int sent = 0;
  while (budget.Plan(now, part) && budget.Send(now, part)) ++sent;
  return sent;
}

TEST_CASE("Repeats keep to the ratio and a part of the slack") {
  RepeatBudget budget({.ratio = 0.2, .slack = 90, .window = seconds(10)});
  for (int i = 0; i < 100; ++i) budget.CountRequest(kStart);
  // Of 0.2 x 100 and 90 / 9, nine tenths.
  CHECK(SendAll(budget, kStart, 1.0 / 9) == 27);
}

TEST_CASE("Without a part of the slack repeats keep to the ratio") {
  RepeatBudget budget({.ratio = 0.2, .slack = 90, .window = seconds(10)});
  for (int i = 0; i < 100; ++i) budget.CountRequest(kStart);
  CHECK(SendAll(budget, kStart, 0) == 18);
}

TEST_CASE("No window of that length holds more, wherever it begins") {
  const Duration window = seconds(10);
  RepeatBudget budget({.ratio = 0, .slack = 10, .window = window});
  std::vector<Time> spent;
  for (int i = 0; i < 4000; ++i) {
    const Time now = kStart + milliseconds(7) * i;
    if (budget.Plan(now, 1) && budget.Send(now, 1)) spent.push_back(now);
  }
  for (std::size_t i = 0; i < spent.size(); ++i) {
    std::size_t n = 0;
    for (const Time it : spent) {
      if (it >= spent[i] && it < spent[i] + window) ++n;
    }
    CHECK(n <= 10);
  }
}

TEST_CASE("What is planned takes room until it is sent or dropped") {
  RepeatBudget budget({.ratio = 0, .slack = 10, .window = seconds(10)});
  int planned = 0;
  while (budget.Plan(kStart, 1)) ++planned;
  CHECK(planned == 9);
  budget.Drop();
  CHECK(budget.Plan(kStart, 1));
  CHECK_FALSE(budget.Plan(kStart, 1));
  // It leaves a window later, and counts from then.
  const Time later = kStart + seconds(20);
  for (int i = 0; i < planned; ++i) CHECK(budget.Send(later, 1));
  CHECK_FALSE(budget.Plan(later + seconds(9), 1));
  CHECK(budget.Plan(later + seconds(11), 1));
}

TEST_CASE("What was planned by room that is gone is not sent") {
  RepeatBudget budget({.ratio = 0, .slack = 10, .window = seconds(10)});
  REQUIRE(budget.Plan(kStart, 1));
  REQUIRE(budget.Plan(kStart, 1));
  REQUIRE(budget.Plan(kStart, 1));
  CHECK(budget.Send(kStart, 0.25));
  CHECK(budget.Send(kStart, 0.25));
  CHECK_FALSE(budget.Send(kStart, 0.25));
  CHECK(budget.Account(kStart, 0.25).planned == 0);
}

TEST_CASE("Many daemons together keep to the slack") {
  int spent = 0;
  for (int daemon = 0; daemon < 40; ++daemon) {
    RepeatBudget budget({.ratio = 0.2, .slack = 106, .window = seconds(10)});
    spent += SendAll(budget, kStart, 1.0 / 40);
  }
  CHECK(spent <= 106);
}

}  // namespace
}  // namespace scaleshed::serving
