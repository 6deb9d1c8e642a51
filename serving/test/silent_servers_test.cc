// Sound servers that fall silent and go on: a request ends with what the server
// then sends, unless another attempt has brought it first.

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "serving_harness.h"

namespace scaleshed::serving::test {
namespace {

// Longer than a stream, or a repeatable request, waits for its server.
constexpr Duration kSilence = milliseconds(9500);
// Longer than the wait between two tries to hedge a request.
constexpr Duration kMore = milliseconds(1500);

// What a daemon sent to servers and to the client of one request.
struct Outcome {
  std::vector<StartAttempt> sent;
  std::set<AttemptId> cancelled;
  std::string forwarded;
  bool began = false;
  bool complete = false;
  bool cut = false;
  int refused_with = 0;

  bool HasEndedEarly() const { return cut || refused_with != 0; }
  bool Stands(std::size_t attempt) const {
    return !cancelled.contains(sent.at(attempt).attempt);
  }
};

void Watch(Daemon& daemon, Outcome& outcome) {
  daemon.Observe([&](const Effects& effects) {
    for (const Effect& it : effects) {
      if (const auto* sent = std::get_if<StartAttempt>(&it))
        outcome.sent.push_back(*sent);
      if (const auto* cancel = std::get_if<CancelAttempt>(&it))
        outcome.cancelled.insert(cancel->attempt);
      if (const auto* event = std::get_if<ForwardEvent>(&it))
        outcome.forwarded += event->bytes;
      if (const auto* refusal = std::get_if<Refuse>(&it))
        outcome.refused_with = refusal->status;
      outcome.began |= std::holds_alternative<BeginStream>(it);
      outcome.cut |= std::holds_alternative<AbortResponse>(it);
      outcome.complete |= std::holds_alternative<EndStream>(it) ||
                          std::holds_alternative<DeliverAnswer>(it);
    }
  });
}

// Limits the runs of all requests of that route.
void LimitRuns(Daemon& daemon, const std::string& route, int runs) {
  Configuration configuration = MakeConfiguration(2);
  for (Route& it : configuration.routes) {
    if (it.name == route) it.max_sends = runs;
  }
  daemon.Feed(ConfigurationReceived{.configuration = configuration,
                                    .queried_at = daemon.now()});
}

void SendEvent(Daemon& daemon, const StartAttempt& attempt, int n) {
  daemon.Feed(StreamEvent{.attempt = attempt.attempt,
                          .id = std::to_string(n),
                          .bytes = std::to_string(n)});
}

void Succeed(Daemon& daemon, const StartAttempt& attempt) {
  daemon.Feed(AttemptAnswered{
      .attempt = attempt.attempt, .kind = AnswerKind::kSuccess, .status = 200});
}

// Passes time while the store goes on answering.
void Pass(Daemon& daemon, Duration time) {
  constexpr Duration kStep = milliseconds(500);
  for (Duration passed{}; passed < time; passed += kStep) {
    daemon.ConfirmStore();
    daemon.AdvanceTime(kStep);
  }
}

void Decline(Daemon& daemon, const StartAttempt& attempt) {
  daemon.Feed(AttemptAnswered{
      .attempt = attempt.attempt, .kind = AnswerKind::kNotRun, .status = 503});
}

// Guards against a cut answer: a stream without a further run was given up
// while its server was silent, though the server went on.
TEST_CASE("A stream that may not run again outlasts its server's silence") {
  Daemon daemon;
  Outcome outcome;
  Watch(daemon, outcome);
  LimitRuns(daemon, "stream", 1);
  daemon.SendRequest("stream");
  REQUIRE(outcome.sent.size() == 1);
  SendEvent(daemon, outcome.sent[0], 1);
  Pass(daemon, kSilence);
  REQUIRE_FALSE(outcome.HasEndedEarly());
  SendEvent(daemon, outcome.sent[0], 2);
  Succeed(daemon, outcome.sent[0]);
  CHECK(outcome.forwarded == "12");
  CHECK(outcome.complete);
  CHECK(outcome.sent.size() == 1);
}

// Guards against a 502 for a request that its silent server goes on with.
TEST_CASE("A repeatable request without a further run waits for its server") {
  Daemon daemon;
  Outcome outcome;
  Watch(daemon, outcome);
  LimitRuns(daemon, "safe", 1);
  daemon.SendRequest("safe");
  REQUIRE(outcome.sent.size() == 1);
  Pass(daemon, kSilence);
  REQUIRE_FALSE(outcome.HasEndedEarly());
  Succeed(daemon, outcome.sent[0]);
  CHECK(outcome.complete);
}

// Guards against a cut answer where the server that is to take over a silent
// server's stream declines it.
TEST_CASE("A declined hedge leaves the request to the silent server") {
  Daemon daemon;
  Outcome outcome;
  Watch(daemon, outcome);
  daemon.SendRequest("stream");
  SendEvent(daemon, outcome.sent.at(0), 1);
  std::size_t answered = 1;
  for (Duration passed{}; passed < kSilence; passed += kMore) {
    Pass(daemon, kMore);
    while (answered < outcome.sent.size())
      Decline(daemon, outcome.sent[answered++]);
  }
  REQUIRE(outcome.sent.size() > 1);
  REQUIRE_FALSE(outcome.HasEndedEarly());
  REQUIRE(outcome.Stands(0));
  SendEvent(daemon, outcome.sent[0], 2);
  Succeed(daemon, outcome.sent[0]);
  CHECK(outcome.forwarded == "12");
  CHECK(outcome.complete);
}

// Guards against a cut answer where no server is left to take a silent server's
// stream over.
TEST_CASE("A hedge without any server leaves the request to the silent one") {
  Daemon daemon;
  Outcome outcome;
  Watch(daemon, outcome);
  daemon.SendRequest("stream");
  SendEvent(daemon, outcome.sent.at(0), 1);
  for (int i = 0; i < 6; ++i) daemon.ListBackend("llm", i, /*leaving=*/true);
  Pass(daemon, kSilence);
  REQUIRE_FALSE(outcome.HasEndedEarly());
  SendEvent(daemon, outcome.sent[0], 2);
  Succeed(daemon, outcome.sent[0]);
  CHECK(outcome.forwarded == "12");
  CHECK(outcome.complete);
}

// A stream whose server fell silent after the first event, and its hedge.
struct Hedged {
  Daemon daemon;
  Outcome outcome;

  explicit Hedged(const std::string& route = "stream") {
    Watch(daemon, outcome);
    daemon.SendRequest(route);
    REQUIRE(outcome.sent.size() == 1);
    if (route == "stream") SendEvent(daemon, outcome.sent[0], 1);
    while (outcome.sent.size() < 2 && daemon.now() < kStart + kSilence)
      Pass(daemon, milliseconds(500));
    REQUIRE(outcome.sent.size() == 2);
    REQUIRE(outcome.sent[1].instance != outcome.sent[0].instance);
  }
};

// Guards against two servers that write one client's stream, or one that goes
// on for nobody.
TEST_CASE("The first of two attempts that goes on takes the stream") {
  Hedged hedged;
  Outcome& outcome = hedged.outcome;
  REQUIRE(outcome.Stands(0));
  CHECK(outcome.sent[1].resume_after == "1");
  SECTION("the silent server") {
    SendEvent(hedged.daemon, outcome.sent[0], 2);
    CHECK(outcome.Stands(0));
    CHECK_FALSE(outcome.Stands(1));
    Succeed(hedged.daemon, outcome.sent[0]);
  }
  SECTION("the hedge") {
    SendEvent(hedged.daemon, outcome.sent[1], 2);
    CHECK_FALSE(outcome.Stands(0));
    CHECK(outcome.Stands(1));
    Succeed(hedged.daemon, outcome.sent[1]);
  }
  CHECK(outcome.forwarded == "12");
  CHECK(outcome.complete);
  CHECK(hedged.daemon.state().attempts.empty());
}

TEST_CASE("The first of two whole answers is delivered") {
  Hedged hedged("safe");
  Outcome& outcome = hedged.outcome;
  const std::size_t first = GENERATE(0U, 1U);
  Succeed(hedged.daemon, outcome.sent[first]);
  CHECK(outcome.complete);
  CHECK(outcome.Stands(first));
  CHECK_FALSE(outcome.Stands(1 - first));
  CHECK(hedged.daemon.state().attempts.empty());
}

TEST_CASE("A lost attempt leaves the request to the one that still stands") {
  Hedged hedged;
  Outcome& outcome = hedged.outcome;
  const std::size_t lost = GENERATE(0U, 1U);
  hedged.daemon.Feed(AttemptFailed{.attempt = outcome.sent[lost].attempt,
                                   .error = AttemptError::kInterrupted,
                                   .detail = "cut"});
  Pass(hedged.daemon, kMore);
  REQUIRE_FALSE(outcome.HasEndedEarly());
  const StartAttempt& other = outcome.sent[1 - lost];
  SendEvent(hedged.daemon, other, 2);
  Succeed(hedged.daemon, other);
  CHECK(outcome.forwarded == "12");
  CHECK(outcome.complete);
  CHECK(outcome.sent.size() == 2);
}

// Guards against a failure that a hedge brings while the first server goes on,
// and against one that is written into the middle of a stream.
TEST_CASE("A hedge's failure leaves the request to the silent server") {
  const std::string route = GENERATE("stream", "safe");
  const int status = GENERATE(400, 500);
  Hedged hedged(route);
  Outcome& outcome = hedged.outcome;
  hedged.daemon.Feed(AttemptAnswered{.attempt = outcome.sent[1].attempt,
                                     .kind = AnswerKind::kFailure,
                                     .status = status});
  REQUIRE_FALSE(outcome.complete);
  REQUIRE_FALSE(outcome.HasEndedEarly());
  REQUIRE(outcome.Stands(0));
  if (route == "stream") SendEvent(hedged.daemon, outcome.sent[0], 2);
  Succeed(hedged.daemon, outcome.sent[0]);
  CHECK(outcome.complete);
  CHECK(hedged.daemon.state().attempts.empty());
}

// Guards against the head and body of a failure in the middle of a stream.
TEST_CASE("A failure after the first event cuts the stream") {
  Daemon daemon;
  Outcome outcome;
  Watch(daemon, outcome);
  daemon.SendRequest("stream");
  SendEvent(daemon, outcome.sent.at(0), 1);
  daemon.Feed(AttemptFailed{.attempt = outcome.sent[0].attempt,
                            .error = AttemptError::kInterrupted,
                            .detail = "cut"});
  Pass(daemon, kMore);
  REQUIRE(outcome.sent.size() == 2);
  daemon.Feed(AttemptAnswered{.attempt = outcome.sent[1].attempt,
                              .kind = AnswerKind::kFailure,
                              .status = 500});
  CHECK(outcome.cut);
  CHECK_FALSE(outcome.complete);
}

// Guards against servers that go on for a client that isn't there any more, or
// got an answer.
TEST_CASE("The end of a request ends all its attempts") {
  Hedged hedged;
  Outcome& outcome = hedged.outcome;
  SECTION("the client leaves") {
    hedged.daemon.Feed(ClientDisconnected{.key = hedged.daemon.next_key() - 1});
  }
  SECTION("its deadline passes") {
    Pass(hedged.daemon, seconds(16));
    CHECK(outcome.cut);
  }
  SECTION("the daemon's grace is over") {
    hedged.daemon.Feed(StopRequested{});
    Pass(hedged.daemon, seconds(8));
    CHECK(outcome.cut);
  }
  CHECK_FALSE(outcome.Stands(0));
  CHECK_FALSE(outcome.Stands(1));
  CHECK(hedged.daemon.state().requests.empty());
  CHECK(hedged.daemon.state().attempts.empty());
}

// Guards against a cut answer where the daemon that a stream was relayed to
// isn't heard of any more.
TEST_CASE("A relayed stream outlasts the silence of its relay") {
  Daemon daemon;
  Outcome outcome;
  Watch(daemon, outcome);
  LimitRuns(daemon, "stream", 1);
  daemon.Feed(SnapshotReceived{[] {
    LoadSnapshot peer = PeerSnapshot(1);
    peer.relays = true;
    return peer;
  }()});
  daemon.state().doubtful_services.insert("llm");
  daemon.state().paths["llm"].probe_due = Time::max();
  daemon.SendRequest("stream");
  const auto* relayed = daemon.FirstEffect<StartRelay>();
  REQUIRE(relayed != nullptr);
  const AttemptId attempt = relayed->attempt;
  daemon.Feed(StreamEvent{.attempt = attempt, .id = "1", .bytes = "1"});
  Pass(daemon, kSilence);
  REQUIRE_FALSE(outcome.HasEndedEarly());
  daemon.Feed(StreamEvent{.attempt = attempt, .id = "2", .bytes = "2"});
  CHECK(outcome.forwarded == "12");
}

}  // namespace
}  // namespace scaleshed::serving::test
