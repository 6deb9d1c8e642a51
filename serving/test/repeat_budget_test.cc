#include "scaleshed/serving/repeat_budget.h"

#include <catch2/catch.hpp>
#include <vector>

namespace scaleshed::serving {
namespace {

const Time kStart{seconds(100)};

// Reserves and sends retries until none is available. Returns their number.
int SendAll(RetryBudget& budget, Time now, double slack_fraction) {
  int sent = 0;
  while (budget.ReserveRetry(now, slack_fraction) &&
         budget.CommitRetry(now, slack_fraction))
    ++sent;
  return sent;
}

TEST_CASE("Retries keep to the ratio and a share of the slack") {
  RetryBudget budget({.ratio = 0.2, .slack = 90, .window = seconds(10)});
  for (int i = 0; i < 100; ++i) budget.CountRequest(kStart);
  // Allowed: half of 0.2 x 100 by the ratio, plus nine tenths of 90 / 9 from
  // the slack.
  CHECK(SendAll(budget, kStart, 1.0 / 9) == 19);
}

TEST_CASE("Without a share of the slack, retries keep to the ratio") {
  RetryBudget budget({.ratio = 0.2, .slack = 90, .window = seconds(10)});
  for (int i = 0; i < 100; ++i) budget.CountRequest(kStart);
  CHECK(SendAll(budget, kStart, 0) == 10);
}

TEST_CASE("No window holds more retries than allowed, wherever it begins") {
  const Duration window = seconds(10);
  RetryBudget budget({.ratio = 0, .slack = 10, .window = window});
  std::vector<Time> spent;
  for (int i = 0; i < 4000; ++i) {
    const Time now = kStart + milliseconds(7) * i;
    if (budget.ReserveRetry(now, 1) && budget.CommitRetry(now, 1))
      spent.push_back(now);
  }
  for (std::size_t i = 0; i < spent.size(); ++i) {
    std::size_t n = 0;
    for (const Time it : spent) {
      if (it >= spent[i] && it < spent[i] + window) ++n;
    }
    CHECK(n <= 10);
  }
}

TEST_CASE("A reserved retry uses budget until it is sent or released") {
  RetryBudget budget({.ratio = 0, .slack = 10, .window = seconds(10)});
  int reserved = 0;
  while (budget.ReserveRetry(kStart, 1)) ++reserved;
  CHECK(reserved == 9);
  budget.ReleaseRetry();
  CHECK(budget.ReserveRetry(kStart, 1));
  CHECK_FALSE(budget.ReserveRetry(kStart, 1));
  // Retries that are sent more than a window later count from then on.
  const Time later = kStart + seconds(20);
  for (int i = 0; i < reserved; ++i) CHECK(budget.CommitRetry(later, 1));
  CHECK_FALSE(budget.ReserveRetry(later + seconds(9), 1));
  CHECK(budget.ReserveRetry(later + seconds(11), 1));
}

TEST_CASE("A reserved retry isn't sent if the budget no longer allows it") {
  RetryBudget budget({.ratio = 0, .slack = 10, .window = seconds(10)});
  REQUIRE(budget.ReserveRetry(kStart, 1));
  REQUIRE(budget.ReserveRetry(kStart, 1));
  REQUIRE(budget.ReserveRetry(kStart, 1));
  CHECK(budget.CommitRetry(kStart, 0.25));
  CHECK(budget.CommitRetry(kStart, 0.25));
  CHECK_FALSE(budget.CommitRetry(kStart, 0.25));
  CHECK(budget.Usage(kStart, 0.25).reserved == 0);
}

// Guards against more retries than allowed (275 of 274.8) when a daemon is
// killed again and again while most requests are declined: one incarnation uses
// the requests of the window before, and the next one those of its own window.
TEST_CASE(
    "The incarnations of a daemon together keep to the ratio of one window") {
  constexpr int kRate = 50;  // requests a second
  const Duration window = seconds(10);
  for (int killed = 0; killed <= 10; ++killed) {
    RetryBudget budget({.ratio = 0.2, .slack = 0, .window = window});
    int sent = 0;  // in the window that begins when requests are declined
    for (int second = -10; second < 10; ++second) {
      const Time now = kStart + seconds(second);
      if (second == killed) {
        budget = RetryBudget({.ratio = 0.2, .slack = 0, .window = window});
      }
      for (int i = 0; i < kRate; ++i) budget.CountRequest(now);
      if (second >= 0) sent += SendAll(budget, now, 0);
    }
    INFO("killed after " << killed << " s");
    CHECK(sent <= 0.2 * kRate * 10);
  }
}

TEST_CASE("Many daemons together keep to the slack") {
  int spent = 0;
  for (int daemon = 0; daemon < 40; ++daemon) {
    RetryBudget budget({.ratio = 0.2, .slack = 106, .window = seconds(10)});
    spent += SendAll(budget, kStart, 1.0 / 40);
  }
  CHECK(spent <= 106);
}

}  // namespace
}  // namespace scaleshed::serving
