// Whole daemons before backend servers that say something of themselves in
// their answers.

#include <catch2/catch.hpp>

#include "fleet_harness.h"

namespace scaleshed::testing {
namespace {

// A daemon that is ready before one server of the plain service.
FakeWorker& StartBeforeOne(Fleet& fleet) {
  fleet.Configure();
  FakeWorker& worker = fleet.AddWorker("app");
  fleet.AddDaemon();
  REQUIRE(fleet.WaitReady());
  return worker;
}

// Refusals with that word among the answers to so many calls.
int Refused(Fleet& fleet, int calls, const std::string& error) {
  int refused = 0;
  for (int i = 0; i < calls; ++i) {
    const auto asked = fleet.Ask("/plain/safe/x");
    if (asked->body().find(error) == std::string::npos) continue;
    ++refused;
    CHECK(asked->status() == 503);
    CHECK_FALSE(asked->header("Retry-After").empty());
  }
  return refused;
}

// A limit in any answer was dropped, and the server got what came.
TEST_CASE("A server gets no more than the limit that it names in an answer") {
  Fleet fleet;
  FakeWorker& worker = StartBeforeOne(fleet);
  worker.SayInAnswers({{"Server-Limit", "0.2"}});
  CHECK(fleet.Ask("/plain/safe/x")->status() == 200);
  constexpr int kCalls = 20;
  // A start each five seconds: at most one or two while these run.
  CHECK(Refused(fleet, kCalls, "limited") >= kCalls - 4);
  CHECK(worker.runs() <= 5);
}

TEST_CASE("A limit counts though the body of its answer can't be used") {
  Fleet fleet;
  FakeWorker& worker = StartBeforeOne(fleet);
  worker.SayInAnswers({{"Server-Limit", "0.2"}});
  worker.SetMode(WorkerMode::kUnsealed);
  fleet.Ask("/plain/unsafe/x");
  worker.SetMode(WorkerMode::kServing);
  CHECK(Refused(fleet, 10, "limited") >= 8);
}

TEST_CASE("What an answer of another request says is not taken") {
  Fleet fleet;
  FakeWorker& worker = StartBeforeOne(fleet);
  worker.SayInAnswers({{"Server-Limit", "0.2"}});
  worker.SetMode(WorkerMode::kForeignAnswer);
  fleet.Ask("/plain/unsafe/x");
  worker.SayInAnswers({});
  worker.SetMode(WorkerMode::kServing);
  CHECK(Refused(fleet, 10, "limited") == 0);
}

// A word of leaving in an answer was dropped; only the store's counted.
TEST_CASE("A server gets no request after a failure that says that it leaves") {
  Fleet fleet;
  FakeWorker& leaving = StartBeforeOne(fleet);
  leaving.SayInAnswers({{"Server-Leaving", "1"}});
  leaving.SetMode(WorkerMode::kFailing);
  fleet.Ask("/plain/unsafe/x");
  leaving.SetMode(WorkerMode::kServing);
  const int runs = leaving.runs();
  CHECK(fleet.Ask("/plain/safe/x")->status() == 503);
  FakeWorker& other = fleet.AddWorker("app");
  CHECK(fleet.Eventually(
      [&] { return fleet.Ask("/plain/safe/x")->status() == 200; }));
  CHECK(other.runs() > 0);
  CHECK(leaving.runs() == runs);
}

// A refusal with a time was noted for the one request that got it.
TEST_CASE("A server that refuses with a time gets nothing until that is over") {
  Fleet fleet;
  fleet.Configure();
  FakeWorker& worker = fleet.AddWorker("app");
  int arrivals = 0;
  worker.OnArrival([&](const BackendArrival& /*arrival*/) { ++arrivals; });
  fleet.AddDaemon();
  REQUIRE(fleet.WaitReady());
  worker.SayInAnswers({{"Retry-After", "30"}});
  worker.SetMode(WorkerMode::kFull);
  fleet.Ask("/plain/safe/x");
  const int refused = arrivals;
  worker.SetMode(WorkerMode::kServing);
  for (int i = 0; i < 10; ++i) {
    const auto asked = fleet.Ask("/plain/safe/x");
    CHECK(asked->status() == 503);
    CHECK(asked->body().find("resting") != std::string::npos);
    CHECK(std::stod(asked->header("Retry-After")) > 10);
  }
  CHECK(arrivals == refused);
}

}  // namespace
}  // namespace scaleshed::testing
