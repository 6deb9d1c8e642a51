// Whole daemons before a store that comes back from an older copy. Waits are on
// conditions, never on times.

#include <catch2/catch.hpp>
#include <string>

#include "fleet_harness.h"

namespace scaleshed::testing {
namespace {

constexpr std::size_t kDaemons = 3;

// A configuration of that version that takes only one of the requests.
nlohmann::json ConfigurationWithout(const std::string& path, int version) {
  nlohmann::json configuration = FleetConfiguration();
  configuration["version"] = version;
  auto& routes = configuration["routes"];
  for (auto it = routes.begin(); it != routes.end();) {
    it = (*it)["path_prefix"] == path ? routes.erase(it) : it + 1;
  }
  return configuration;
}

// Daemons that know more than a copy of the store.
class RestoredFleet : public Fleet {
 public:
  RestoredFleet() {
    store().SetEra(1);
    Configure();
    AddWorker("app");
    for (std::size_t i = 0; i < kDaemons; ++i) AddDaemon();
    for (std::size_t i = 0; i < kDaemons; ++i) REQUIRE(WaitReady(i));
  }

  // What the store takes from now on is lost with it.
  void LoseFromNow() { store().MakeCopy(); }
  // That many writes of others.
  void WriteBesides(int n) {
    for (int i = 0; i < n; ++i) {
      store().Put("servers/other-" + std::to_string(i), "not an entry");
    }
  }
  int StatusAt(std::size_t i, const std::string& path) {
    const auto asked = Send(path, {}, i);
    REQUIRE(Until([&] { return asked->done; }));
    return asked->status();
  }
  // That daemon's figures have that line.
  bool Shows(std::size_t i, const std::string& line) {
    const auto asked = Get(settings(i).fleet->metrics_listen, "/metrics");
    return asked->body().find(line + "\n") != std::string::npos;
  }
  bool AllShow(const std::string& line) {
    for (std::size_t i = 0; i < kDaemons; ++i) {
      if (!Eventually([&] { return Shows(i, line); })) return false;
    }
    return true;
  }
  bool EventuallyAll(const std::string& path, int status) {
    for (std::size_t i = 0; i < kDaemons; ++i) {
      if (!Eventually([&] { return StatusAt(i, path) == status; })) {
        return false;
      }
    }
    return true;
  }
};

// Seen: requests served by a configuration that had been replaced 2.5 s before.
// Its successors lay at lower revisions in the restored store.
TEST_CASE("A configuration at a lower revision of a restored store is taken") {
  RestoredFleet fleet;
  fleet.LoseFromNow();
  fleet.WriteBesides(4);
  fleet.Configure(ConfigurationWithout("/plain/safe/", 4));
  REQUIRE(fleet.EventuallyAll("/plain/safe/a", 404));
  fleet.store().RestoreCopy();
  fleet.Configure(ConfigurationWithout("/plain/unsafe/", 5));
  CHECK(fleet.EventuallyAll("/plain/safe/a", 200));
  CHECK(fleet.EventuallyAll("/plain/unsafe/a", 404));
}

// Revisions are given out a second time, for other content.
TEST_CASE("A configuration at the very revision that was known is taken") {
  RestoredFleet fleet;
  fleet.LoseFromNow();
  fleet.Configure(ConfigurationWithout("/plain/safe/", 4));
  REQUIRE(fleet.EventuallyAll("/plain/safe/a", 404));
  fleet.store().RestoreCopy();
  fleet.Configure(ConfigurationWithout("/plain/unsafe/", 5));
  CHECK(fleet.EventuallyAll("/plain/unsafe/a", 404));
  CHECK(fleet.EventuallyAll("/plain/safe/a", 200));
}

// A removed key was accepted for good once the store held an older one.
TEST_CASE("A copy's older configuration is neither taken nor a proof") {
  RestoredFleet fleet;
  fleet.LoseFromNow();
  nlohmann::json without_key = FleetConfiguration();
  without_key["version"] = 4;
  without_key["tenants"][0]["api_keys"] = {"k2"};
  fleet.Configure(without_key);
  REQUIRE(fleet.EventuallyAll("/plain/safe/a", 401));
  fleet.store().RestoreCopy();
  // Refused by what is known, and by nothing once that is too old to go by.
  int status = 0;
  REQUIRE(fleet.Eventually([&] {
    status = fleet.StatusAt(0, "/plain/safe/a");
    return status != 401;
  }));
  CHECK(status == 503);
  // One that starts now hears of it before it takes requests.
  fleet.AddDaemon();
  CHECK(fleet.StatusAt(kDaemons, "/plain/safe/a") != 200);
  fleet.Configure(without_key);
  CHECK(fleet.EventuallyAll("/plain/safe/a", 401));
  CHECK(fleet.Eventually(
      [&] { return fleet.StatusAt(kDaemons, "/plain/safe/a") == 401; }));
}

// A dropped key was accepted: nobody was left who knew of the restore.
TEST_CASE("Daemons that all start after a restore take no copy for proof") {
  RestoredFleet fleet;
  // They have served by this era for a while.
  REQUIRE(
      fleet.Until([&] { return fleet.store().Has("scaleshed/settled-era"); }));
  fleet.LoseFromNow();
  nlohmann::json without_key = FleetConfiguration();
  without_key["version"] = 4;
  without_key["tenants"][0]["api_keys"] = {"k2"};
  fleet.Configure(without_key);
  REQUIRE(fleet.EventuallyAll("/plain/safe/a", 401));
  for (std::size_t i = 0; i < kDaemons; ++i) fleet.KillDaemon(i);
  fleet.store().RestoreCopy();
  fleet.AddDaemon();
  int status = 0;
  REQUIRE(fleet.Eventually([&] {
    status = fleet.StatusAt(kDaemons, "/plain/safe/a");
    return status != 503 ||
           fleet.Shows(kDaemons, "scaleshed_store_awaits_operators 1");
  }));
  CHECK(status != 200);
  fleet.Configure(without_key);
  CHECK(fleet.Eventually(
      [&] { return fleet.StatusAt(kDaemons, "/plain/safe/a") == 401; }));
}

// Each list was followed by a watch from where the lost history had ended.
TEST_CASE("A restored store is not asked again and again") {
  RestoredFleet fleet;
  fleet.LoseFromNow();
  fleet.WriteBesides(4);
  fleet.Configure(ConfigurationWithout("/plain/safe/", 4));
  REQUIRE(fleet.EventuallyAll("/plain/safe/a", 404));
  fleet.store().RestoreCopy();
  const int calls = fleet.store().calls();
  const int questions = fleet.store().questions();
  // Put each 0.9 s: this takes 5 s.
  REQUIRE(
      fleet.Until([&] { return fleet.store().questions() >= questions + 6; }));
  // Beside them: a list, a lease and its entry of each, some watches.
  CHECK(fleet.store().calls() - calls < 60);
}

// Nobody was served: each of them was taken to have gone.
TEST_CASE("Servers that a copy lacks are used, and again once written again") {
  RestoredFleet fleet;
  fleet.LoseFromNow();
  fleet.WriteBesides(4);
  FakeWorker& late = fleet.AddWorker("app");
  REQUIRE(fleet.Eventually([&] {
    fleet.StatusAt(0, "/plain/safe/a");
    return late.runs() > 0;
  }));
  fleet.store().RestoreCopy();
  fleet.store().Remove("servers/" + fleet.worker(0).id());
  fleet.store().Put("servers/" + late.id(), late.Entry("app"));
  FakeWorker& later = fleet.AddWorker("app");
  for (std::size_t i = 0; i < kDaemons; ++i) {
    for (FakeWorker* it : {&late, &later}) {
      const int before = it->runs();
      CHECK(fleet.Eventually([&] {
        CHECK(fleet.StatusAt(i, "/plain/safe/a") == 200);
        return it->runs() > before;
      }));
    }
  }
}

TEST_CASE("A server that had gone is not used because a copy lists it") {
  RestoredFleet fleet;
  FakeWorker& gone = fleet.AddWorker("app");
  REQUIRE(fleet.AllShow("scaleshed_backends_open 2"));
  fleet.LoseFromNow();
  fleet.store().Remove("servers/" + gone.id());
  REQUIRE(fleet.AllShow("scaleshed_backends_open 1"));
  const int before = gone.runs();
  fleet.store().RestoreCopy();
  for (std::size_t i = 0; i < kDaemons; ++i) {
    REQUIRE(fleet.Eventually([&] {
      fleet.StatusAt(i, "/plain/safe/a");
      return fleet.Shows(i, "scaleshed_store_era 2");
    }));
    // Whatever of the copy was told beside it.
    for (int n = 0; n < 20; ++n) fleet.StatusAt(i, "/plain/safe/a");
  }
  CHECK(gone.runs() == before);
}

// Who starts finds the others by these, and who shares the slack counts them.
TEST_CASE("Entries of daemons that a restored store lacks are written again") {
  RestoredFleet fleet;
  fleet.LoseFromNow();
  fleet.AddDaemon();
  REQUIRE(fleet.WaitReady(kDaemons));
  const std::string key =
      "scaleshed/members/" + fleet.settings(kDaemons).peer_listen;
  REQUIRE(fleet.Until([&] { return fleet.store().Has(key); }));
  fleet.store().RestoreCopy();
  REQUIRE_FALSE(fleet.store().Has(key));
  const int leases = fleet.store().lease_calls();
  CHECK(fleet.Until([&] { return fleet.store().Has(key); }));
  // Not only once its lease is renewed and found to be over.
  CHECK(fleet.store().lease_calls() <= leases + 2 * (1 + int{kDaemons}));
}

// A restore would have let a request that ends servers run again.
TEST_CASE("What ended under a content is written again, and held meanwhile") {
  RestoredFleet fleet;
  fleet.LoseFromNow();
  constexpr std::size_t kHeldFrom = 3;
  for (std::size_t n = 0; n < kHeldFrom; ++n) {
    fleet.AddWorker("deadly").EndUnder("deadly", milliseconds(20), [] {});
  }
  nlohmann::json configuration = FleetConfiguration();
  configuration["version"] = 4;
  for (auto& it : configuration["routes"]) {
    if (it["path_prefix"] == "/plain/safe/") it["service"] = "deadly";
  }
  fleet.Configure(configuration);
  REQUIRE(fleet.Eventually(
      [&] { return fleet.AskWith("/plain/safe/a", "deadly", 0) == 400; }));
  const std::string prefix = "scaleshed/endings/";
  REQUIRE(fleet.Until([&] { return !fleet.store().KeyWith(prefix).empty(); }));
  fleet.store().RestoreCopy();
  REQUIRE(fleet.store().KeyWith(prefix).empty());
  fleet.Configure(configuration);
  CHECK(fleet.Until([&] { return !fleet.store().KeyWith(prefix).empty(); }));
  for (std::size_t i = 0; i < kDaemons; ++i) {
    CHECK(fleet.Eventually(
        [&] { return fleet.AskWith("/plain/safe/a", "deadly", i) == 400; }));
  }
}

TEST_CASE("A store that was restored twice is followed") {
  RestoredFleet fleet;
  fleet.LoseFromNow();
  fleet.WriteBesides(4);
  fleet.Configure(ConfigurationWithout("/plain/safe/", 4));
  REQUIRE(fleet.EventuallyAll("/plain/safe/a", 404));
  fleet.store().RestoreCopy();
  fleet.store().RestoreCopy();
  fleet.Configure(ConfigurationWithout("/plain/unsafe/", 5));
  CHECK(fleet.EventuallyAll("/plain/unsafe/a", 404));
  CHECK(fleet.EventuallyAll("/plain/safe/a", 200));
}

}  // namespace
}  // namespace scaleshed::testing
