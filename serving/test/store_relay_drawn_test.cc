// What daemons know of the platform's store is never taken for newer than it
// is, whatever becomes of calls, relays and daemons; and one that nothing
// happens to but that the store's answers crawl serves by nothing older than
// news may take.

#include <catch2/catch.hpp>
#include <cstdlib>

#include "relay_fleet.h"

namespace scaleshed::serving {
namespace {

using test::HoldsUnderSteps;
using test::RelayFleet;

TEST_CASE("Nothing is taken for proved that is not, under drawn failures") {
  // Without other wishes every run draws the same sequences.
  setenv("RC_PARAMS", "seed=20261202 max_success=600 max_size=120",
         /*overwrite=*/0);
  CHECK(HoldsUnderSteps("relays tell no more than is known",
                        RelayFleet::kCopies));
}

}  // namespace
}  // namespace scaleshed::serving
