// Duties in a fleet whose daemons have unequal capacity.

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "simulated_fleet.h"

namespace scaleshed::serving::test {
namespace {

constexpr int kDaemons = 36;
constexpr int kDataCentres = 3;
constexpr int kEngines = 300;

// Two daemons of each data centre have four times the capacity of the others.
SimulatedFleet UnequalFleet() {
  return SimulatedFleet({.daemons = kDaemons,
                         .data_centres = kDataCentres,
                         .engines = kEngines,
                         .strong_per_data_centre = 2,
                         .store_confirms_to_pollers = true});
}

bool IsStrong(const State& state) { return state.options.capacity > 1; }

// Guards against placing, polling and hub duties of daemons that are too weak
// for them while stronger ones are there.
TEST_CASE("Strong daemons have the duties, also when some of them are gone") {
  SimulatedFleet fleet = UnequalFleet();
  for (int i = 0; i < kDaemons; ++i) {
    CHECK(fleet.state(i).store.watching == IsStrong(fleet.state(i)));
    CHECK(fleet.state(i).dispatch.is_hub == IsStrong(fleet.state(i)));
  }
  // The strong daemons of one data centre.
  fleet.KillDaemon(0);
  fleet.KillDaemon(kDataCentres);
  fleet.AdvanceTime(seconds(4));
  for (int i = 1; i < kDaemons; ++i) {
    if (i == kDataCentres) continue;
    const State& state = fleet.state(i);
    if (state.options.data_centre != fleet.CentreOf(0))
      CHECK(state.store.watching == IsStrong(state));
    REQUIRE(state.dispatch.placers.size() == 2);
    for (const std::string& it : state.dispatch.placers)
      CHECK(IsStrong(fleet.state(std::stoi(it.substr(1)))));
    REQUIRE(state.dispatch.fallback_placers.size() == 4);
    for (std::size_t k = 0; k < 2; ++k) {
      const std::string& it = state.dispatch.fallback_placers[k];
      CHECK(IsStrong(fleet.state(std::stoi(it.substr(1)))));
    }
  }
}

// Guards against a weak daemon fetching as many reports as a strong one, and
// against engines whose reports nobody fetches.
TEST_CASE("Daemons fetch reports in proportion to their capacity") {
  SimulatedFleet fleet = UnequalFleet();
  const auto fetched = [&](bool strong) {
    std::size_t reports = 0;
    for (int i = 0; i < kDaemons; ++i) {
      if (IsStrong(fleet.state(i)) == strong)
        reports += fleet.reports_fetched(i);
    }
    return reports;
  };
  const std::size_t strong_before = fetched(true);
  const std::size_t weak_before = fetched(false);
  fleet.AdvanceTime(seconds(14));
  const double strong = static_cast<double>(fetched(true) - strong_before) / 6;
  const double weak = static_cast<double>(fetched(false) - weak_before) / 30;
  CHECK(strong > 2.5 * weak);
  // Ten report intervals, give or take half of one.
  const double all = 6 * strong + 30 * weak;
  CHECK(all >= 9.5 * kEngines);
  CHECK(all <= 10.5 * kEngines);
}

}  // namespace
}  // namespace scaleshed::serving::test
