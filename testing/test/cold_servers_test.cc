// Whole daemons, with a store, before a backend server that is cold.

#include <catch2/catch.hpp>

#include "fleet_harness.h"

namespace scaleshed::testing {
namespace {

constexpr int kPerSecond = 8;

// Two daemons before one plain server that says that it is cold.
FakeWorker& StartBeforeCold(Fleet& fleet) {
  nlohmann::json configuration = FleetConfiguration();
  for (auto& service : configuration["services"]) {
    service["cold_start_s"] = 30;
    service["cold_per_s"] = kPerSecond;
  }
  fleet.Configure(configuration);
  FakeWorker& worker = fleet.AddWorker("app");
  nlohmann::json entry = nlohmann::json::parse(worker.Entry("app"));
  entry["cold_remaining_ms"] = 30'000;
  fleet.store().Put("servers/" + worker.id(), entry.dump());
  for (std::size_t i = 0; i < 2; ++i) fleet.AddDaemon();
  for (std::size_t i = 0; i < 2; ++i) REQUIRE(fleet.WaitReady(i));
  return worker;
}

// Guards against daemons that take a cold server for a warm one, and against
// one that nobody uses as the lease isn't taken.
TEST_CASE("A cold server gets what it bears, from all daemons") {
  Fleet fleet;
  FakeWorker& worker = StartBeforeCold(fleet);
  const auto refused = fleet.Ask("/plain/safe/x");
  CHECK(refused->status() == 503);
  CHECK(refused->body().find("warming_up") != std::string::npos);
  CHECK_FALSE(refused->header("Retry-After").empty());
  CHECK(worker.runs() == 0);
  for (std::size_t i = 0; i < 2; ++i) {
    CHECK(fleet.Eventually(
        [&] { return fleet.AskWith("/plain/safe/x", "q", i) == 200; }));
  }
  const int before = worker.runs();
  const Time end = fleet.loop().Now() + seconds(2);
  for (int i = 0; fleet.loop().Now() < end; ++i) {
    constexpr int kAtOnce = 10;
    std::vector<std::shared_ptr<Asked>> asked;
    asked.reserve(kAtOnce);
    for (int n = 0; n < kAtOnce; ++n) {
      asked.push_back(
          fleet.Send("/plain/safe/x", {}, static_cast<std::size_t>(n % 2)));
    }
    for (const auto& it : asked) REQUIRE(fleet.Until([&] { return it->done; }));
  }
  const int runs = worker.runs() - before;
  INFO(runs << " requests within 2 s");
  CHECK(runs <= 3 * kPerSecond);
  CHECK(runs >= kPerSecond);
}

// The granter releases its lease as it stops, and the other daemon takes it.
TEST_CASE("Another daemon grants after the granter has stopped") {
  Fleet fleet;
  StartBeforeCold(fleet);
  const auto granter = [&]() -> int {
    for (std::size_t i = 0; i < 2; ++i) {
      const auto metrics =
          fleet.Get(fleet.settings(i).fleet->metrics_listen, "/metrics");
      if (metrics->body().find("warm_up_granter 1") != std::string::npos)
        return static_cast<int>(i);
    }
    return -1;
  };
  REQUIRE(fleet.Eventually([&] { return granter() != -1; }));
  const auto first = static_cast<std::size_t>(granter());
  const std::size_t other = 1 - first;
  fleet.daemon(first).Stop();
  CHECK(fleet.Eventually(
      [&] { return fleet.AskWith("/plain/safe/x", "q", other) == 200; }));
  CHECK(granter() == static_cast<int>(other));
}

}  // namespace
}  // namespace scaleshed::testing
