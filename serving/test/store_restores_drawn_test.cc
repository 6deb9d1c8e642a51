// Property-based test: what a store that was restored from a backup has lost
// stays in force, and no daemon serves by the backup's older state, whatever
// happens to calls, relays and daemons.

#include <catch2/catch.hpp>
#include <cstdlib>

#include "relay_fleet.h"

namespace scaleshed::serving {
namespace {

using test::DrawnStep;
using test::HoldsUnderSteps;
using test::RelayFleet;

// The steps include backups and restores: revision numbers are assigned again,
// responses and relays of the lost history arrive late, and daemons start and
// are cut off meanwhile.
TEST_CASE(
    "Daemons keep using accepted changes that a restored store lost, under "
    "random failures") {
  setenv("RC_PARAMS", "seed=20261202 max_success=200 max_size=60",
         /*overwrite=*/0);
  CHECK(HoldsUnderSteps("what was accepted stays in force",
                        RelayFleet::kKillsAll + 1));
}

// Guards against starting daemons that accept the backup as confirmed because
// no daemon is left that noticed the restore.
TEST_CASE("A restore is recognised when all daemons were killed after it") {
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
