#include "scaleshed/testing/evacuation_ledger.h"

#include <catch2/catch.hpp>

namespace scaleshed::testing {
namespace {

constexpr Time kStart{seconds(100)};
constexpr Duration kLate = EvacuationLedger::kInForce + milliseconds(1);

// Guards against a ledger that counts no request, or those that are allowed.
TEST_CASE("Only late requests of calm daemons break an evacuation") {
  EvacuationLedger ledger;
  ledger.Arrived(kStart, "z1", "d1", "before");
  ledger.Requested(kStart, "z1");
  ledger.Arrived(kStart + EvacuationLedger::kInForce, "z1", "d1", "in time");
  ledger.Arrived(kStart + kLate, "z2", "d1", "elsewhere");
  CHECK(ledger.Broken().empty());
  ledger.Arrived(kStart + kLate, "z1", "d1", "late");
  CHECK(ledger.Broken().size() == 1);
  ledger.Withdrawn("z1");
  ledger.Arrived(kStart + kLate, "z1", "d1", "reopened");
  CHECK(ledger.Broken().size() == 1);
}

TEST_CASE("A disturbed daemon or store excuses for a time") {
  EvacuationLedger ledger;
  ledger.Requested(kStart, "z1");
  ledger.DaemonDisturbed(kStart + kLate, "d1");
  ledger.Arrived(kStart + kLate + seconds(1), "z1", "d1", "excused");
  CHECK(ledger.Broken().empty());
  ledger.Arrived(kStart + kLate + seconds(1), "z1", "d2", "of another");
  CHECK(ledger.Broken().size() == 1);
  ledger.StoreDisturbed(kStart + kLate + seconds(2));
  ledger.Arrived(kStart + kLate + seconds(3), "z1", "d2", "excused");
  CHECK(ledger.Broken().size() == 1);
  ledger.Arrived(kStart + kLate + seconds(6), "z1", "d2", "calm again");
  CHECK(ledger.Broken().size() == 2);
}

}  // namespace
}  // namespace scaleshed::testing
