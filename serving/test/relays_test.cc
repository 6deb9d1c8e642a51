// Relaying at the origin and at the relay, each as one daemon.

#include <catch2/catch.hpp>
#include <string>
#include <variant>
#include <vector>

#include "serving_harness.h"

namespace scaleshed::serving::test {
namespace {

constexpr int kNotRun = 503;
constexpr int kMayHaveRun = 502;

// Publishes that the other daemon reaches both services and takes relayed
// requests.
void HearFromRelay(Daemon& daemon, std::uint64_t sequence) {
  LoadSnapshot snapshot = PeerSnapshot(sequence);
  snapshot.relays = true;
  for (const char* it : {"llm", "app"})
    snapshot.paths.push_back({.service = it, .answered = daemon.now()});
  daemon.Feed(SnapshotReceived{snapshot});
}

// Fails the sends of a request, each without a byte sent, until the daemon does
// anything else with it.
void RefuseSends(Daemon& daemon) {
  while (const auto* sent = daemon.FirstEffect<StartAttempt>()) {
    daemon.Feed(AttemptFailed{.attempt = sent->attempt,
                              .error = AttemptError::kNotSent});
  }
}

RequestKey SendRelayed(Daemon& daemon, RequestKey key,
                       const std::string& route) {
  daemon.Feed(RequestArrived{.key = key,
                             .metadata = {.id = "r" + std::to_string(key),
                                          .host = "h",
                                          .path = "/" + route + "/x",
                                          .keys = {"k"},
                                          .deadline = seconds(10),
                                          .prompt_tokens = 2000,
                                          .answer_tokens = 500,
                                          .relayed_by = "2.2.2.2:2"}});
  return key;
}

TEST_CASE("Requests are relayed once three servers have missed a call") {
  Daemon daemon;
  HearFromRelay(daemon, 1);
  daemon.SendRequest("once");
  RefuseSends(daemon);
  const auto* relay = daemon.FirstEffect<StartRelay>();
  REQUIRE(relay != nullptr);
  CHECK(relay->to == "2.2.2.2:2");
  // The next one isn't tried at a server first.
  daemon.SendRequest("safe");
  CHECK(daemon.FirstEffect<StartAttempt>() == nullptr);
  CHECK(daemon.FirstEffect<StartRelay>() != nullptr);
  // Another service has a path of its own.
  daemon.SendRequest("stream");
  CHECK(daemon.FirstEffect<StartAttempt>() != nullptr);
}

TEST_CASE("A daemon of an older build gets no relayed requests") {
  Daemon daemon;
  daemon.Feed(SnapshotReceived{PeerSnapshot(1)});
  daemon.SendRequest("once");
  RefuseSends(daemon);
  CHECK(daemon.FirstEffect<StartRelay>() == nullptr);
  const auto* refused = daemon.FirstEffect<Refuse>();
  REQUIRE(refused != nullptr);
  CHECK(refused->status == kNotRun);
}

TEST_CASE("A relayed request is never relayed again") {
  Daemon daemon;
  HearFromRelay(daemon, 1);
  SendRelayed(daemon, 1000, "once");
  RefuseSends(daemon);
  CHECK(daemon.FirstEffect<StartRelay>() == nullptr);
  const auto* refused = daemon.FirstEffect<Refuse>();
  REQUIRE(refused != nullptr);
  CHECK(refused->reason == Refusal::kUnreachable);
  CHECK(refused->status == kNotRun);
}

TEST_CASE("A daemon serves a limited number of relayed requests at a time") {
  constexpr int kLimit = 256;
  Daemon daemon;
  RequestKey key = 1000;
  for (int i = 0; i < kLimit; ++i) {
    SendRelayed(daemon, ++key, "once");
    REQUIRE(daemon.FirstEffect<Refuse>() == nullptr);
  }
  SendRelayed(daemon, ++key, "once");
  const auto* refused = daemon.FirstEffect<Refuse>();
  REQUIRE(refused != nullptr);
  CHECK(refused->reason == Refusal::kRelayLimit);
  CHECK(refused->status == kNotRun);
  // Its own clients are served.
  daemon.SendRequest("once");
  CHECK(daemon.FirstEffect<StartAttempt>() != nullptr);
}

TEST_CASE("What a relay refused for its own state goes elsewhere, once each") {
  Daemon daemon;
  HearFromRelay(daemon, 1);
  daemon.SendRequest("once");
  RefuseSends(daemon);
  const auto* relay = daemon.FirstEffect<StartRelay>();
  REQUIRE(relay != nullptr);
  daemon.Feed(
      RelayRefused{.attempt = relay->attempt, .reason = Refusal::kStopping});
  CHECK(daemon.FirstEffect<StartRelay>() == nullptr);
  const auto* refused = daemon.FirstEffect<Refuse>();
  REQUIRE(refused != nullptr);
  CHECK(refused->status == kNotRun);
}

// Guards against a request that may have run being answered as not run, or run
// again.
TEST_CASE("A relay that is cut or gone may have had the request run") {
  const bool gone = GENERATE(true, false);
  Daemon daemon;
  HearFromRelay(daemon, 1);
  daemon.SendRequest(gone ? "safe" : "once");
  RefuseSends(daemon);
  const auto* relay = daemon.FirstEffect<StartRelay>();
  REQUIRE(relay != nullptr);
  const AttemptId attempt = relay->attempt;
  if (gone) {
    // The relay may still serve the request, on a connection that stands.
    daemon.AdvanceTime(milliseconds(2100));
    REQUIRE(daemon.FirstEffect<Refuse>() == nullptr);
    REQUIRE(daemon.FirstEffect<CancelAttempt>() == nullptr);
    REQUIRE(daemon.FirstEffect<StartAttempt>() == nullptr);
  }
  daemon.Feed(AttemptFailed{.attempt = attempt});
  const auto* refused = daemon.FirstEffect<Refuse>();
  REQUIRE(refused != nullptr);
  CHECK(refused->status == kMayHaveRun);
}

// Guards against a request being taken for one that may have run although it
// never left: the stall timers are shorter than the time to connect.
TEST_CASE("An attempt whose connection doesn't stand has not run") {
  Daemon daemon;
  daemon.SendRequest("stream", /*prompt=*/2000, /*deadline=*/seconds(4));
  const auto* sent = daemon.FirstEffect<StartAttempt>();
  REQUIRE(sent != nullptr);
  const AttemptId attempt = sent->attempt;
  for (int i = 0; i < 20; ++i) {
    daemon.AdvanceTime(milliseconds(150));
    CHECK(daemon.FirstEffect<CancelAttempt>() == nullptr);
    daemon.Feed(AttemptConnecting{.attempt = attempt});
  }
  daemon.ConfirmStore();
  daemon.AdvanceTime(seconds(2));
  const auto* refused = daemon.FirstEffect<Refuse>();
  REQUIRE(refused != nullptr);
  CHECK(refused->reason == Refusal::kTimeLimit);
  CHECK(refused->status == kNotRun);
}

// Gives the results of all probes in the last effects.
void FinishProbes(Daemon& daemon, ProbeResult result) {
  std::vector<BackendId> probed;
  for (const Effect& it : daemon.effects()) {
    if (const auto* probe = std::get_if<ProbeLiveness>(&it))
      probed.push_back(probe->backend);
  }
  for (const BackendId it : probed)
    daemon.Feed(LivenessProbed{.backend = it, .result = result});
}

TEST_CASE("An attempt whose connection doesn't stand moves to a relay") {
  Daemon daemon;
  HearFromRelay(daemon, 1);
  daemon.SendRequest("once");
  const auto* sent = daemon.FirstEffect<StartAttempt>();
  REQUIRE(sent != nullptr);
  const AttemptId attempt = sent->attempt;
  daemon.AdvanceTime(milliseconds(150));
  daemon.Feed(AttemptConnecting{.attempt = attempt});
  // One server that is silent shows nothing of the path.
  CHECK(daemon.FirstEffect<StartRelay>() == nullptr);
  FinishProbes(daemon, ProbeResult::kInconclusive);
  daemon.Feed(AttemptConnecting{.attempt = attempt});
  const auto* cancelled = daemon.FirstEffect<CancelAttempt>();
  REQUIRE(cancelled != nullptr);
  CHECK(cancelled->attempt == attempt);
  CHECK(daemon.FirstEffect<StartRelay>() != nullptr);
}

TEST_CASE("Probes that are answered leave the path open") {
  Daemon daemon;
  HearFromRelay(daemon, 1);
  daemon.SendRequest("once");
  const auto* sent = daemon.FirstEffect<StartAttempt>();
  REQUIRE(sent != nullptr);
  const AttemptId attempt = sent->attempt;
  daemon.AdvanceTime(milliseconds(150));
  daemon.Feed(AttemptConnecting{.attempt = attempt});
  FinishProbes(daemon, ProbeResult::kAlive);
  daemon.Feed(AttemptConnecting{.attempt = attempt});
  CHECK(daemon.FirstEffect<CancelAttempt>() == nullptr);
  CHECK(daemon.state().doubtful_services.empty());
  // Once is enough, however long the connection takes.
  daemon.AdvanceTime(milliseconds(600));
  daemon.Feed(AttemptConnecting{.attempt = attempt});
  CHECK(daemon.FirstEffect<ProbeLiveness>() == nullptr);
}

// Guards against servers being avoided, here and at other daemons, because this
// daemon doesn't reach them.
TEST_CASE("Suspicions by misses of several servers are withdrawn") {
  Daemon daemon;
  HearFromRelay(daemon, 1);
  std::vector<Suspicion> published;
  daemon.Observe([&](const Effects& effects) {
    for (const Effect& it : effects) {
      if (const auto* publish = std::get_if<PublishSnapshot>(&it))
        published = publish->snapshot.suspicions;
    }
  });
  daemon.SendRequest("once");
  const auto fail = [&] {
    const auto* sent = daemon.FirstEffect<StartAttempt>();
    REQUIRE(sent != nullptr);
    daemon.Feed(AttemptFailed{.attempt = sent->attempt,
                              .error = AttemptError::kNotSent});
  };
  fail();
  CHECK(published.size() == 1);
  fail();
  CHECK(published.empty());
  fail();
  REQUIRE(daemon.FirstEffect<StartRelay>() != nullptr);
  for (const auto& [id, backend] : daemon.state().backends)
    CHECK(backend.avoided_until() <= daemon.now());
}

// Guards against a refusal while the connection that the request waits for may
// still come about.
TEST_CASE("A pending connection is kept where no further send is allowed") {
  Daemon daemon;
  daemon.SendRequest("once-stream", 2000, milliseconds(200));
  for (int i = 0; i < 3; ++i) {
    const auto* sent = daemon.FirstEffect<StartAttempt>();
    REQUIRE(sent != nullptr);
    daemon.Feed(AttemptFailed{.attempt = sent->attempt,
                              .error = AttemptError::kNotSent});
  }
  const auto* sent = daemon.FirstEffect<StartAttempt>();
  REQUIRE(sent != nullptr);
  const AttemptId attempt = sent->attempt;
  daemon.AdvanceTime(milliseconds(160));
  daemon.Feed(AttemptConnecting{.attempt = attempt});
  REQUIRE(daemon.state().doubtful_services.contains("llm"));
  CHECK(daemon.FirstEffect<Refuse>() == nullptr);
  CHECK(daemon.FirstEffect<CancelAttempt>() == nullptr);
}

TEST_CASE("An attempt that has connected late is timed like any other") {
  Daemon daemon;
  daemon.SendRequest("stream");
  const auto* sent = daemon.FirstEffect<StartAttempt>();
  REQUIRE(sent != nullptr);
  const AttemptId attempt = sent->attempt;
  daemon.Feed(AttemptConnecting{.attempt = attempt});
  daemon.Feed(AttemptConnected{.attempt = attempt});
  daemon.AdvanceTime(seconds(3));
  const auto* hedge = daemon.FirstEffect<StartAttempt>();
  REQUIRE(hedge != nullptr);
  daemon.Feed(StreamEvent{.attempt = hedge->attempt, .id = "1", .bytes = "1"});
  const auto* cancelled = daemon.FirstEffect<CancelAttempt>();
  REQUIRE(cancelled != nullptr);
  CHECK(cancelled->attempt == attempt);
}

}  // namespace
}  // namespace scaleshed::serving::test
