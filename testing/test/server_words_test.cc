// Whole daemons before backend servers that say something of themselves in
// their answers.

#include <catch2/catch.hpp>

#include "fleet_harness.h"

namespace scaleshed::testing {
namespace {

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
  fleet.Configure();
  FakeWorker& worker = fleet.AddWorker("app");
  fleet.AddDaemon();
  REQUIRE(fleet.WaitReady());
  worker.SayInAnswers({{"Server-Limit", "0.2"}});
  CHECK(fleet.Ask("/plain/safe/x")->status() == 200);
  constexpr int kCalls = 20;
  // A start each five seconds: at most one or two while these run.
  CHECK(Refused(fleet, kCalls, "limited") >= kCalls - 4);
  CHECK(worker.runs() <= 5);
}

TEST_CASE("A limit counts though the body of its answer can't be used") {
  Fleet fleet;
  fleet.Configure();
  FakeWorker& worker = fleet.AddWorker("app");
  fleet.AddDaemon();
  REQUIRE(fleet.WaitReady());
  worker.SayInAnswers({{"Server-Limit", "0.2"}});
  worker.SetMode(WorkerMode::kUnsealed);
  fleet.Ask("/plain/unsafe/x");
  worker.SetMode(WorkerMode::kServing);
  CHECK(Refused(fleet, 10, "limited") >= 8);
}

TEST_CASE("What an answer of another request says is not taken") {
  Fleet fleet;
  fleet.Configure();
  FakeWorker& worker = fleet.AddWorker("app");
  fleet.AddDaemon();
  REQUIRE(fleet.WaitReady());
  worker.SayInAnswers({{"Server-Limit", "0.2"}});
  worker.SetMode(WorkerMode::kForeignAnswer);
  fleet.Ask("/plain/unsafe/x");
  worker.SayInAnswers({});
  worker.SetMode(WorkerMode::kServing);
  CHECK(Refused(fleet, 10, "limited") == 0);
}

}  // namespace
}  // namespace scaleshed::testing
