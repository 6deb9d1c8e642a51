// Whole daemons before backend servers that fall silent and go on.

#include <catch2/catch.hpp>

#include "fleet_harness.h"

namespace scaleshed::testing {
namespace {

constexpr char kWholeStream[] =
    "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n";

// The stand-ins' configuration, with one run for each request.
nlohmann::json ConfigurationOfSingleRuns() {
  nlohmann::json configuration = FleetConfiguration();
  for (auto& it : configuration["routes"]) it["max_attempts"] = 1;
  return configuration;
}

// Guards against a connection that is closed in the middle of an answer, or a
// 502, because the answer's server said nothing for a while.
TEST_CASE("Requests of a server that pauses come whole when it goes on") {
  Fleet fleet;
  fleet.Configure(ConfigurationOfSingleRuns());
  FakeWorker& engine = fleet.AddWorker("llm");
  FakeWorker& plain = fleet.AddWorker("app");
  fleet.AddDaemon();
  REQUIRE(fleet.WaitReady());
  engine.SetEvents(3);
  engine.SetEventGap(milliseconds(50));
  const auto stream = fleet.Send("/chat/a");
  REQUIRE(fleet.Until([&] { return !stream->streamed.empty(); }));
  engine.Pause();
  plain.Pause();
  const auto call = fleet.Send("/plain/safe/a");
  // Longer than a stream or a repeatable request waits for a silent server.
  constexpr Duration kPause = milliseconds(3300);
  const Time end = fleet.loop().Now() + kPause;
  fleet.Until([&] { return fleet.loop().Now() >= end; });
  CHECK_FALSE(stream->done);
  CHECK_FALSE(call->done);
  engine.GoOn();
  plain.GoOn();
  REQUIRE(fleet.Until([&] { return stream->done && call->done; }));
  CHECK(stream->status() == 200);
  CHECK(stream->body() == kWholeStream);
  CHECK(call->status() == 200);
  CHECK(engine.runs() == 1);
  CHECK(plain.runs() == 1);
}

}  // namespace
}  // namespace scaleshed::testing
