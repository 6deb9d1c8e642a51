#include "scaleshed/testing/soak_ledger.h"

#include <catch2/catch.hpp>

namespace scaleshed::testing {
namespace {

const Time kStart{seconds(100)};
const RepeatBound kBound{.ratio = 0.2, .slack = 3, .window = seconds(10)};

// Requests that all arrive, a tenth of a second apart.
void SendMany(SoakLedger& ledger, int n) {
  for (int i = 0; i < n; ++i) {
    const Time now = kStart + milliseconds(100) * (i + 1);
    const std::string id = "r" + std::to_string(i);
    ledger.Sent(now, "app", id, false);
    ledger.Arrived(now, now, "app", id, true);
  }
}

TEST_CASE("First arrivals are no repeats") {
  SoakLedger ledger(kBound);
  SendMany(ledger, 100);
  CHECK(ledger.WorstWindows().empty());
  CHECK(ledger.Broken().empty());
}

TEST_CASE("Repeats over the ratio and the slack break the bound") {
  SoakLedger ledger(kBound);
  SendMany(ledger, 100);
  const Time end = kStart + seconds(10);
  for (int i = 0; i < 23; ++i) {
    ledger.Arrived(end, end, "app", "r" + std::to_string(i), false);
  }
  CHECK(ledger.Broken().empty());
  ledger.Arrived(end, end, "app", "r50", false);
  REQUIRE(ledger.Broken().size() == 1);
  CHECK(ledger.WorstWindows().front().repeats == 24);
  CHECK(ledger.WorstWindows().front().allowed == Approx(23));
}

TEST_CASE("A window slides, and counts requests of the one before") {
  SoakLedger ledger(kBound);
  SendMany(ledger, 100);
  // The last window's requests allow 20 and the slack 3, though none came in
  // this one; a window later only the slack is left.
  const Time later = kStart + seconds(20);
  for (int i = 0; i < 22; ++i) ledger.Arrived(later, later, "app", "r1", false);
  CHECK(ledger.Broken().empty());
  const Time last = later + seconds(11);
  for (int i = 0; i < 4; ++i) ledger.Arrived(last, last, "app", "r1", false);
  CHECK(ledger.Broken().size() == 1);
}

// The count of such a window fell below zero and read as a huge one.
TEST_CASE("Repeats that were seen late break no bound by being late") {
  SoakLedger ledger(kBound);
  SendMany(ledger, 100);
  const Time end = kStart + seconds(10);
  ledger.Arrived(kStart, kStart, "app", "r1", false);
  ledger.Arrived(kStart, end, "app", "r2", false);
  ledger.Arrived(kStart, end + seconds(30), "app", "r3", false);
  CHECK(ledger.Broken().empty());
  CHECK(ledger.WorstWindows().front().repeats <= 3);
}

TEST_CASE("What may have arrived before a window is not counted in it") {
  SoakLedger ledger(kBound);
  SendMany(ledger, 100);
  const Time end = kStart + seconds(10);
  for (int i = 0; i < 30; ++i) {
    ledger.Arrived(kStart - milliseconds(1), end, "app", "r1", false);
  }
  CHECK(ledger.Broken().empty());
}

TEST_CASE("What runs twice or after a promise is told") {
  SoakLedger ledger(kBound);
  ledger.Sent(kStart, "app", "once", true);
  ledger.Arrived(kStart, kStart, "app", "once", true);
  ledger.Arrived(kStart, kStart, "app", "once", true);
  ledger.Sent(kStart, "app", "promised", false);
  ledger.PromisedNotRun("promised");
  CHECK(ledger.Broken().size() == 1);
  ledger.Arrived(kStart, kStart, "app", "promised", true);
  CHECK(ledger.Broken().size() == 2);
}

}  // namespace
}  // namespace scaleshed::testing
