#include "scaleshed/testing/warm_up_ledger.h"

#include <catch2/catch.hpp>

namespace scaleshed::testing {
namespace {

const Time kStart = Time{} + seconds(100);

// Lets requests arrive at the server "s", 50 ms apart.
void Arrive(WarmUpLedger& ledger, Time from, int requests) {
  for (int i = 0; i < requests; ++i) {
    const Time now = from + i * milliseconds(50);
    ledger.Arrived(now, now, "s");
  }
}

TEST_CASE("Requests beyond the bound at a cold server are counted") {
  WarmUpLedger ledger(10);
  ledger.BecameCold(kStart, "s", seconds(20));
  Arrive(ledger, kStart + WarmUpLedger::kKnown, 10);
  CHECK(ledger.Broken().empty());
  Arrive(ledger, kStart + WarmUpLedger::kKnown + milliseconds(500), 1);
  CHECK(ledger.Broken().size() == 1);
  CHECK(ledger.counted() == 11);
}

TEST_CASE("Requests count only while the daemons can know of the warm-up") {
  WarmUpLedger ledger(10);
  ledger.BecameCold(kStart, "s", seconds(20));
  Arrive(ledger, kStart, 20);
  ledger.StoreDisturbed(kStart + seconds(5));
  Arrive(ledger, kStart + seconds(6), 20);
  Arrive(ledger, kStart + seconds(20), 20);
  CHECK(ledger.counted() == 0);
  CHECK(ledger.Broken().empty());
}

}  // namespace
}  // namespace scaleshed::testing
