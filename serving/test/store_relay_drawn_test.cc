// Property-based test: a daemon never takes the store state that it knows for
// newer than it is, whatever happens to calls, relays and daemons. A daemon
// without a fault of its own, even with slow store responses, serves by no
// state that is older than the propagation limit allows.

#include <catch2/catch.hpp>
#include <cstdlib>

#include "relay_fleet.h"

namespace scaleshed::serving {
namespace {

using test::HoldsUnderSteps;
using test::RelayFleet;

TEST_CASE(
    "No daemon treats outdated store state as confirmed, under random "
    "failures") {
  // The fixed seed makes every run use the same sequences, unless RC_PARAMS is
  // set.
  setenv("RC_PARAMS", "seed=20261202 max_success=600 max_size=120",
         /*overwrite=*/0);
  CHECK(HoldsUnderSteps("relays confirm no more than is known",
                        RelayFleet::kCopies));
}

}  // namespace
}  // namespace scaleshed::serving
