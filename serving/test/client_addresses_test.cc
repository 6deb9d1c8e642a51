// Which daemons the responses to addresses queries name.

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

#include "serving_harness.h"

namespace scaleshed::serving::test {
namespace {

using Names = std::vector<std::string>;

// A daemon "self" in data centre z1 of region r1.
class Named {
 public:
  Named() {
    ServingOptions& options = daemon_.state().options;
    options.instance = "self";
    options.data_centre = "z1";
    options.region = "r1";
    options.regions = {{"z1", "r1"}, {"z2", "r1"}, {"z3", "r2"}, {"z4", "r3"}};
  }

  void Add(const std::string& name, const std::string& data_centre,
           double capacity = 1, bool serving = true) {
    LoadSnapshot snapshot = PeerSnapshot(++sequence_);
    snapshot.instance = name;
    snapshot.peer_address = name;
    snapshot.data_centre = data_centre;
    snapshot.capacity = capacity;
    snapshot.serving = serving;
    daemon_.Feed(SnapshotReceived{snapshot});
  }
  void AllowRegions(const Names& first_route, const Names& others) {
    Configuration configuration = MakeConfiguration(++revision_);
    const auto restrict = [](Route& route, const Names& regions) {
      if (!regions.empty()) route.allowed_regions = regions;
    };
    for (Route& it : configuration.routes) restrict(it, others);
    restrict(configuration.routes.front(), first_route);
    daemon_.Feed(ConfigurationReceived{.configuration = configuration,
                                       .queried_at = daemon_.now()});
  }
  Names InOrder(const AddressesQuery& query = {}) {
    return LookUpClientAddresses(daemon_.state(), query).addresses;
  }
  Names Sorted(const AddressesQuery& query = {}) {
    Names names = InOrder(query);
    std::sort(names.begin(), names.end());
    return names;
  }
  Daemon& daemon() { return daemon_; }

 private:
  Daemon daemon_;
  std::uint64_t sequence_ = 0;
  std::uint64_t revision_ = 1;
};

// Guards against clients of one region that are directed to another.
TEST_CASE("Clients get the addresses of their own region") {
  Named fleet;
  fleet.Add("a", "z2");
  fleet.Add("b", "z3");
  CHECK(fleet.Sorted() == Names{"a", "self"});
  CHECK(fleet.Sorted({.region = "r2"}) == Names{"b"});
  CHECK(fleet.Sorted({.data_centre = "z3"}) == Names{"b"});
  CHECK(fleet.InOrder({.region = "r1", .data_centre = "z1"}) ==
        Names{"self", "a"});
  CHECK(fleet.InOrder({.region = "r1", .data_centre = "z2"}) ==
        Names{"a", "self"});
}

// Guards against clients of a region without daemons that are directed out of
// the regions which the host allows.
TEST_CASE("Clients without a daemon in their region get allowed ones") {
  Named fleet;
  fleet.Add("a", "z3");
  fleet.AllowRegions({"r2", "r3"}, {"r1", "r2"});
  CHECK(fleet.Sorted({.host = "h", .region = "r9"}) == Names{"a"});
  CHECK(fleet.Sorted({.host = "x", .region = "r9"}) == Names{"a", "self"});
  fleet.AllowRegions({"r3"}, {"r2"});  // none in common
  CHECK(fleet.Sorted({.host = "h", .region = "r9"}) == Names{"a", "self"});
}

// Guards against changes where no regions are configured.
TEST_CASE("Without known regions, queries change nothing") {
  Named fleet;
  fleet.daemon().state().options.regions.clear();
  fleet.Add("a", "z2");
  fleet.Add("b", "z3");
  const Names all{"a", "b", "self"};
  CHECK(fleet.InOrder() == all);
  CHECK(fleet.InOrder({.host = "h", .region = "r2"}) == all);
}

// Guards against daemons that are long gone in the response that names all, and
// against live ones that are left out of it.
TEST_CASE("If no daemon serves, those that were heard of lately are named") {
  Named fleet;
  fleet.Add("a", "z1", 1, false);
  fleet.daemon().state().stop_at = fleet.daemon().now();  // serves no more
  fleet.daemon().AdvanceTime(milliseconds(1500));
  fleet.Add("b", "z1", 1, false);
  fleet.daemon().AdvanceTime(milliseconds(3400));
  CHECK(fleet.Sorted() == Names{"a", "b", "self"});
  fleet.daemon().AdvanceTime(milliseconds(200));
  CHECK(fleet.Sorted() == Names{"b", "self"});
}

// Counts how often each daemon is named in 400 responses, a millisecond apart.
std::map<std::string, int> CountNamed(Named& fleet, std::size_t least) {
  std::map<std::string, int> counts;
  for (int i = 0; i < 400; ++i) {
    fleet.daemon().AdvanceTime(milliseconds(1));
    const Names names = fleet.InOrder();
    CHECK(names.size() >= least);
    for (const std::string& it : names) ++counts[it];
  }
  return counts;
}

// Adds eight daemons of each capacity, named by it.
void AddEight(Named& fleet, const std::vector<double>& capacities) {
  for (const double it : capacities) {
    for (int i = 0; i < 8; ++i) {
      fleet.Add(std::to_string(it) + " " + std::to_string(i), "z1", it);
    }
  }
}

// Guards against weak daemons that get as many clients as strong ones, and
// against responses that name too few.
TEST_CASE("Weaker daemons are named in fewer responses") {
  Named fleet;
  AddEight(fleet, {8, 4.25, 0.5});
  const std::map<std::string, int> counts = CountNamed(fleet, 13);
  CHECK(counts.size() == 25);
  for (const auto& [name, count] : counts) {
    CAPTURE(name, count);
    if (name.starts_with("8")) CHECK(count == 400);
    if (name.starts_with("4")) CHECK(std::abs(count - 300) < 40);
    if (name.starts_with("0")) CHECK(std::abs(count - 200) < 40);
  }
}

// Guards against a choice by capacity where it is about equal, or where daemons
// are few.
TEST_CASE("Daemons of about equal capacity are always named") {
  Named fleet;
  AddEight(fleet, {2, 1.5, 1});
  for (const auto& [name, count] : CountNamed(fleet, 25)) CHECK(count == 400);
  Named small;
  AddEight(small, {8});
  for (const auto& [name, count] : CountNamed(small, 9)) CHECK(count == 400);
}

}  // namespace
}  // namespace scaleshed::serving::test
