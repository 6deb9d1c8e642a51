#include <catch2/catch.hpp>

#include "serving_harness.h"

namespace scaleshed::serving::test {
namespace {

// Returns the outcome in the first log line about a finished liveness check, or
// an empty text if the effects have none.
std::string CheckOutcomeIn(const Effects& effects) {
  for (const Effect& it : effects) {
    const auto* line = std::get_if<LogDecision>(&it);
    if (line == nullptr || line->event != "life_checked") continue;
    for (const auto& [name, value] : line->fields) {
      if (name == "outcome") return value;
    }
  }
  return "";
}

// Interrupts a request and returns the backend server that it was sent to.
BackendId InterruptAttempt(Daemon& daemon) {
  daemon.SendRequest("stream");
  const auto* sent = daemon.FirstEffect<StartAttempt>();
  const BackendId id = daemon.state().backends.at(sent->instance).id;
  daemon.Feed(AttemptFailed{.attempt = sent->attempt});
  const auto* probe = daemon.FirstEffect<ProbeLiveness>();
  REQUIRE(probe != nullptr);
  CHECK(probe->backend == id);
  return id;
}

TEST_CASE("A server that refuses two probes after an interruption has ended") {
  Daemon daemon;
  const BackendId id = InterruptAttempt(daemon);
  daemon.Feed(LivenessProbed{.backend = id, .result = ProbeResult::kRefused});
  CHECK(CheckOutcomeIn(daemon.effects()).empty());
  daemon.AdvanceTime(milliseconds(80));
  REQUIRE(daemon.FirstEffect<ProbeLiveness>() != nullptr);
  daemon.Feed(LivenessProbed{.backend = id, .result = ProbeResult::kRefused});
  CHECK(CheckOutcomeIn(daemon.effects()) == "over");
}

TEST_CASE("A server that responds to a probe after an interruption is alive") {
  Daemon daemon;
  const BackendId id = InterruptAttempt(daemon);
  daemon.Feed(LivenessProbed{.backend = id, .result = ProbeResult::kRefused});
  daemon.AdvanceTime(milliseconds(80));
  daemon.Feed(LivenessProbed{.backend = id, .result = ProbeResult::kAlive});
  CHECK(CheckOutcomeIn(daemon.effects()) == "lives");
}

TEST_CASE(
    "A full server that refuses probes but serves its requests is alive") {
  Daemon daemon;
  const BackendId id = InterruptAttempt(daemon);
  daemon.AdvanceTime(milliseconds(40));
  // The retry and new requests may go to other servers, so requests are sent
  // until one goes to the probed server and can receive an event from it.
  AttemptId attempt = 0;
  daemon.Observe([&](const Effects& effects) {
    for (const Effect& it : effects) {
      const auto* sent = std::get_if<StartAttempt>(&it);
      if (sent != nullptr &&
          daemon.state().backends.at(sent->instance).id == id) {
        attempt = sent->attempt;
      }
    }
  });
  daemon.ConfirmStore();
  daemon.AdvanceTime(seconds(1));
  daemon.ConfirmStore();
  for (int i = 0; i < 100 && attempt == 0; ++i) daemon.SendRequest("stream");
  REQUIRE(attempt != 0);
  daemon.Feed(StreamEvent{.attempt = attempt, .id = "1", .bytes = "x"});
  daemon.Feed(LivenessProbed{.backend = id, .result = ProbeResult::kRefused});
  CHECK(CheckOutcomeIn(daemon.effects()) == "lives");
}

TEST_CASE(
    "A server without a probe result is probed for a while and not recorded as "
    "ended") {
  Daemon daemon;
  const BackendId id = InterruptAttempt(daemon);
  int probes = 0;
  for (int i = 0; i < 40 && daemon.state().liveness_checks.contains(id); ++i) {
    daemon.Feed(
        LivenessProbed{.backend = id, .result = ProbeResult::kInconclusive});
    daemon.AdvanceTime(milliseconds(200));
    if (daemon.FirstEffect<ProbeLiveness>() != nullptr) ++probes;
  }
  CHECK(probes > 5);
  CHECK_FALSE(daemon.state().liveness_checks.contains(id));
  CHECK(daemon.state().ended_incarnations.empty());
}

}  // namespace
}  // namespace scaleshed::serving::test
