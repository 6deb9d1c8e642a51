#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <set>
#include <vector>

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

// Gives the result of all probes in the last effects that went to other servers
// than `id`. Returns how many there are.
int FinishOtherProbes(Daemon& daemon, BackendId id, ProbeResult result) {
  std::vector<BackendId> probed;
  for (const Effect& it : daemon.effects()) {
    const auto* probe = std::get_if<ProbeLiveness>(&it);
    if (probe != nullptr && probe->backend != id)
      probed.push_back(probe->backend);
  }
  for (const BackendId it : probed)
    daemon.Feed(LivenessProbed{.backend = it, .result = result});
  return static_cast<int>(probed.size());
}

TEST_CASE(
    "A server that refuses two probes while another one responds has ended") {
  Daemon daemon;
  const BackendId id = InterruptAttempt(daemon);
  daemon.Feed(LivenessProbed{.backend = id, .result = ProbeResult::kRefused});
  CHECK(CheckOutcomeIn(daemon.effects()).empty());
  CHECK(FinishOtherProbes(daemon, id, ProbeResult::kAlive) > 0);
  daemon.AdvanceTime(milliseconds(80));
  REQUIRE(daemon.FirstEffect<ProbeLiveness>() != nullptr);
  daemon.Feed(LivenessProbed{.backend = id, .result = ProbeResult::kRefused});
  CHECK(CheckOutcomeIn(daemon.effects()) == "over");
}

// Guards against a lost network path being taken for the end of a server.
TEST_CASE(
    "Servers that all refuse aren't recorded as ended if a peer reaches "
    "the service") {
  Daemon daemon;
  const BackendId id = InterruptAttempt(daemon);
  std::uint64_t sequence = 0;
  while (daemon.state().liveness_checks.contains(id)) {
    LoadSnapshot snapshot = PeerSnapshot(++sequence);
    snapshot.paths = {{.service = "llm", .answered = daemon.now()}};
    daemon.Feed(SnapshotReceived{snapshot});
    daemon.Feed(LivenessProbed{.backend = id, .result = ProbeResult::kRefused});
    FinishOtherProbes(daemon, id, ProbeResult::kRefused);
    daemon.AdvanceTime(milliseconds(60));
    FinishOtherProbes(daemon, id, ProbeResult::kRefused);
  }
  CHECK(daemon.now() > kStart + seconds(1));
  CHECK(daemon.state().ended_incarnations.empty());
}

// A service can lose all of its servers at once.
TEST_CASE("Servers that all refuse have ended if no peer reaches the service") {
  Daemon daemon;
  const BackendId id = InterruptAttempt(daemon);
  while (daemon.state().liveness_checks.contains(id)) {
    daemon.Feed(LivenessProbed{.backend = id, .result = ProbeResult::kRefused});
    FinishOtherProbes(daemon, id, ProbeResult::kRefused);
    daemon.AdvanceTime(milliseconds(60));
    FinishOtherProbes(daemon, id, ProbeResult::kRefused);
  }
  CHECK(daemon.state().ended_incarnations.contains(id));
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

// Sends a prompt with a fingerprint that several engines prefill.
RequestKey SendLongPrompt(Daemon& daemon) {
  const RequestKey key = daemon.next_key();
  daemon.Feed(RequestArrived{.key = key,
                             .metadata = {.id = "r" + std::to_string(key),
                                          .host = "h",
                                          .path = "/stream/x",
                                          .keys = {"k"},
                                          .deadline = seconds(15),
                                          .prompt_tokens = 210'000,
                                          .answer_tokens = 500,
                                          .fingerprint = 77}});
  return key;
}

// What a daemon did while the servers of an attempt crashed.
struct CrashResult {
  std::optional<StartAttempt> next;  // the attempt that followed
  bool refused = false;
};

// Fails the attempt and has the servers that took part in it, but for the last
// helper, refuse probes until they count as ended.
CrashResult CrashServersOf(Daemon& daemon, const StartAttempt& attempt) {
  std::set<std::string> crashed{attempt.address};
  for (const PrefillHelper& it : attempt.helpers) crashed.insert(it.address);
  if (!attempt.helpers.empty()) crashed.erase(attempt.helpers.back().address);
  CrashResult result;
  std::vector<ProbeLiveness> probes;
  daemon.Observe([&](const Effects& effects) {
    for (const Effect& it : effects) {
      if (const auto* sent = std::get_if<StartAttempt>(&it))
        result.next = *sent;
      if (const auto* probe = std::get_if<ProbeLiveness>(&it))
        probes.push_back(*probe);
      result.refused = result.refused || std::holds_alternative<Refuse>(it);
    }
  });
  daemon.Feed(AttemptFailed{.attempt = attempt.attempt});
  for (int i = 0; i < 20 && !daemon.state().liveness_checks.empty(); ++i) {
    for (const ProbeLiveness& it : std::exchange(probes, {})) {
      daemon.Feed(LivenessProbed{.backend = it.backend,
                                 .result = crashed.contains(it.address)
                                               ? ProbeResult::kRefused
                                               : ProbeResult::kAlive});
    }
    daemon.AdvanceTime(milliseconds(55));
    daemon.ConfirmStore();
  }
  daemon.Observe({});
  return result;
}

// Guards against a crash of several servers at once being counted once for each
// of them, which quarantined a prompt that one of them answered and the others
// had prefilled.
TEST_CASE("Servers of one attempt that crash together count once") {
  Daemon daemon;
  const RequestKey key = SendLongPrompt(daemon);
  const std::uint64_t fingerprint =
      daemon.state().requests.at(key).metadata.fingerprint;
  const auto* sent = daemon.FirstEffect<StartAttempt>();
  REQUIRE(sent != nullptr);
  REQUIRE(sent->helpers.size() >= 2);
  const CrashResult result = CrashServersOf(daemon, *sent);
  const Quarantine& quarantine = daemon.state().quarantine;
  CHECK(quarantine.CrashCount(fingerprint) >= 3);
  CHECK(quarantine.IncidentCount(fingerprint) == 1);
  CHECK_FALSE(quarantine.IsQuarantined(fingerprint));
  CHECK(result.next);
  CHECK_FALSE(result.refused);
}

// Guards against sound prompts that are quarantined because servers crash one
// after another for a reason of their own.
TEST_CASE("A crash among crashes of other servers says less of a prompt") {
  Daemon daemon;
  const bool others_crash = GENERATE(false, true);
  std::vector<Crash> crashes;
  for (BackendId i = 1; others_crash && i <= 3; ++i)
    crashes.push_back({.fingerprint = 1000 + i, .incarnation = i});
  LoadSnapshot snapshot = PeerSnapshot(1);
  snapshot.crashes = crashes;
  daemon.Feed(SnapshotReceived{snapshot});
  const RequestKey key = SendLongPrompt(daemon);
  const std::uint64_t fingerprint =
      daemon.state().requests.at(key).metadata.fingerprint;
  const auto* sent = daemon.FirstEffect<StartAttempt>();
  REQUIRE(sent != nullptr);
  CrashServersOf(daemon, *sent);
  const auto stored = daemon.state().quarantine.Unsaved(100);
  const auto it = std::find_if(
      stored.begin(), stored.end(),
      [&](const StoredCrashes& one) { return one.fingerprint == fingerprint; });
  REQUIRE(it != stored.end());
  CHECK(it->among_others.empty() == !others_crash);
}

}  // namespace
}  // namespace scaleshed::serving::test
