// What a store that is restored from a copy has lost is neither forgotten nor
// gone by, whatever becomes of calls, relays and daemons.

#include <catch2/catch.hpp>
#include <cstdlib>

#include "relay_fleet.h"

namespace scaleshed::serving {
namespace {

using test::DrawnStep;
using test::HoldsUnderSteps;
using test::RelayFleet;

// Copies and restores among them: revisions are given out again, answers and
// relays of the lost history come late, daemons start and are cut off
// meanwhile.
TEST_CASE("Nothing that a restored store lost is forgotten or gone by") {
  setenv("RC_PARAMS", "seed=20261202 max_success=200 max_size=60",
         /*overwrite=*/0);
  CHECK(HoldsUnderSteps("what was accepted stays in force",
                        RelayFleet::kKillsAll + 1));
}

// The daemons that started took the copy for proof.
TEST_CASE("A restore that no daemon lived through is known all the same") {
  constexpr int kConfigures = 0;
  constexpr int kAdvancesTime = 12;
  RelayFleet fleet;
  for (const DrawnStep& it : std::vector<DrawnStep>{
           {.kind = RelayFleet::kCopies},
           {.kind = kConfigures},
           {.kind = kAdvancesTime, .second = 900},
           {.kind = RelayFleet::kRestores, .first = 100, .second = 900},
           {.kind = RelayFleet::kKillsAll},
           {.kind = kAdvancesTime, .second = 900},
           {.kind = kAdvancesTime, .second = 900}}) {
    fleet.ApplyStep(it);
  }
  fleet.CheckRecovery();
  for (const std::string& it : fleet.violations()) UNSCOPED_INFO(it);
  CHECK(fleet.violations().empty());
}

}  // namespace
}  // namespace scaleshed::serving
