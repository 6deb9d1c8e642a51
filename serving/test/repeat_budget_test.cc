#include "scaleshed/serving/repeat_budget.h"

#include <catch2/catch.hpp>

namespace scaleshed::serving {
namespace {

const Time kStart{seconds(100)};

TEST_CASE("Repeats keep to the ratio and an even share of the slack") {
  RepeatBudget budget({.ratio = 0.2, .slack = 90, .window = seconds(10)});
  for (int i = 0; i < 100; ++i) budget.CountRequest(kStart);
  int spent = 0;
  while (budget.Spend(kStart, 9)) ++spent;
  // Of 0.2 x 100 and 90 / 9, nine tenths.
  CHECK(spent == 27);
}

TEST_CASE("No window of that length holds more, wherever it begins") {
  const Duration window = seconds(10);
  RepeatBudget budget({.ratio = 0, .slack = 10, .window = window});
  std::vector<Time> spent;
  for (int i = 0; i < 4000; ++i) {
    const Time now = kStart + milliseconds(7) * i;
    if (budget.Spend(now, 1)) spent.push_back(now);
  }
  for (std::size_t i = 0; i < spent.size(); ++i) {
    std::size_t n = 0;
    for (const Time it : spent) {
      if (it >= spent[i] && it < spent[i] + window) ++n;
    }
    CHECK(n <= 10);
  }
}

TEST_CASE("Many daemons together keep to the slack") {
  int spent = 0;
  for (int daemon = 0; daemon < 40; ++daemon) {
    RepeatBudget budget({.ratio = 0.2, .slack = 106, .window = seconds(10)});
    while (budget.Spend(kStart, 40)) ++spent;
  }
  CHECK(spent <= 106);
}

}  // namespace
}  // namespace scaleshed::serving
