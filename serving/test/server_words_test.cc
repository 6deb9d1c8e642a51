// What backend servers say of themselves in their answers, as one daemon hears
// it.

#include <catch2/catch.hpp>

#include "serving_harness.h"

namespace scaleshed::serving::test {
namespace {

// The fields of the first line of that name among the last effects; empty:
// none.
std::map<std::string, std::string> LineOf(const Daemon& daemon,
                                          const std::string& what) {
  for (const Effect& it : daemon.effects()) {
    const auto* line = std::get_if<LogDecision>(&it);
    if (line == nullptr || line->event != what) continue;
    return {line->fields.begin(), line->fields.end()};
  }
  return {};
}

// The attempt of a request that is sent.
AttemptId SendOne(Daemon& daemon) {
  daemon.SendRequest("stream");
  REQUIRE(daemon.FirstEffect<StartAttempt>() != nullptr);
  return daemon.FirstEffect<StartAttempt>()->attempt;
}

ResponseHeadReceived Limited(AttemptId attempt, std::optional<double> limit) {
  return {.attempt = attempt, .signals = {.rate_limit = limit}};
}

TEST_CASE("A limit is logged when it is named, changes and ends") {
  Daemon daemon;
  const AttemptId first = SendOne(daemon);
  daemon.Feed(Limited(first, 2.7));
  auto line = LineOf(daemon, "server_limit");
  CHECK(line["what"] == "named");
  CHECK(line["per_second"] == "2.7");
  CHECK(line["request"] == "r1");
  daemon.Feed(Limited(first, 2.7));
  CHECK(LineOf(daemon, "server_limit").empty());
  daemon.Feed(Limited(first, 0.5));
  CHECK(LineOf(daemon, "server_limit")["what"] == "changed");
  CHECK(daemon.state().limits.size() == 1);
  // Sent before the limit was heard: its answer may be older than that.
  daemon.Feed(Limited(first, std::nullopt));
  CHECK(daemon.state().limits.size() == 1);
}

TEST_CASE("A limit ends by an answer without it, of a request sent since") {
  Daemon daemon;
  for (int i = 1; i < 6; ++i) daemon.ListBackend("llm", i, /*leaving=*/true);
  daemon.Feed(Limited(SendOne(daemon), 50));
  daemon.AdvanceTime(milliseconds(200));
  const AttemptId second = SendOne(daemon);
  daemon.Feed(Limited(second, std::nullopt));
  CHECK(LineOf(daemon, "server_limit")["what"] == "ended");
}

// A daemon that seldom sends to a server tells of a limit that is long over.
TEST_CASE("An older word of another daemon doesn't bring a limit back") {
  Daemon daemon;
  for (int i = 1; i < 6; ++i) daemon.ListBackend("llm", i, /*leaving=*/true);
  const AttemptId first = SendOne(daemon);
  const BackendId engine = daemon.state().requests.begin()->second.backend;
  daemon.Feed(Limited(first, 50));
  const Time named = daemon.now();
  daemon.AdvanceTime(milliseconds(200));
  daemon.Feed(Limited(SendOne(daemon), std::nullopt));
  for (int i = 0; i < 30; ++i) {
    daemon.ConfirmStore();
    daemon.AdvanceTime(milliseconds(1000));
  }
  LoadSnapshot told = PeerSnapshot(1);
  told.limits = {{.backend = engine, .per_second = 2, .received_at = named}};
  daemon.Feed(SnapshotReceived{told});
  CHECK_FALSE(daemon.state().limits.at(engine).limit.per_second);
  told.sequence = 2;
  told.limits.front().received_at = daemon.now();
  daemon.Feed(SnapshotReceived{told});
  CHECK(daemon.state().limits.at(engine).limit.per_second == 2.0);
}

// Reports are among the requests that a server counts.
TEST_CASE("An engine that has named a limit isn't asked for reports") {
  Daemon daemon;
  daemon.SendRequest("stream");
  const BackendId engine = daemon.state().requests.begin()->second.backend;
  daemon.Feed(Limited(daemon.FirstEffect<StartAttempt>()->attempt, 1));
  std::size_t others = 0;
  daemon.Observe([&](const Effects& effects) {
    for (const Effect& it : effects) {
      const auto* report = std::get_if<FetchEngineReport>(&it);
      if (report == nullptr) continue;
      CHECK(report->backend != engine);
      ++others;
    }
  });
  for (int i = 0; i < 10; ++i) {
    daemon.ConfirmStore();
    daemon.AdvanceTime(milliseconds(400));
  }
  CHECK(others > 0);
}

ResponseHeadReceived Leaving(AttemptId attempt) {
  return {.attempt = attempt, .signals = {.leaving = true}};
}

// An entry of that life of the engine of that number.
BackendListed Entry(int engine, std::uint64_t revision, std::uint64_t born) {
  const std::string id = "llm" + std::to_string(engine);
  return {{.id = id,
           .service = "llm",
           .address = id + ":1",
           .slots = 16,
           .revision = {.number = revision},
           .start_unix_ms = born}};
}

bool IsOpen(Daemon& daemon, const std::string& id) {
  const Backend& backend = daemon.state().backends.at(id);
  return backend.server.entry_error.empty() && !backend.server.leaving;
}

TEST_CASE("A word of leaving outlasts an entry that lapses and comes back") {
  Daemon daemon;
  for (int i = 1; i < 6; ++i) daemon.ListBackend("llm", i, /*leaving=*/true);
  daemon.Feed(Entry(0, 100, 7));
  daemon.Feed(Leaving(SendOne(daemon)));
  CHECK(LineOf(daemon, "server_leaving")["request"] == "r1");
  CHECK_FALSE(IsOpen(daemon, "llm0"));
  daemon.Feed(BackendUnlisted{.id = "llm0", .revision = {.number = 101}});
  daemon.Feed(Entry(0, 102, 7));
  CHECK_FALSE(IsOpen(daemon, "llm0"));
  daemon.Feed(Entry(0, 103, 7));
  CHECK_FALSE(IsOpen(daemon, "llm0"));
  SECTION("A new life under its id begins without it") {
    daemon.Feed(Entry(0, 104, 8));
    CHECK(IsOpen(daemon, "llm0"));
  }
}

TEST_CASE(
    "What another daemon tells of leaving counts before the entry is known") {
  Daemon daemon;
  const BackendServer server = Entry(9, 100, 7).backend;
  LoadSnapshot told = PeerSnapshot(1);
  told.leaving = {HashBytes(server.id, server.start_unix_ms)};
  daemon.Feed(SnapshotReceived{told});
  daemon.Feed(Entry(9, 100, 7));
  CHECK_FALSE(IsOpen(daemon, "llm9"));
}

TEST_CASE("A request is refused at once where all its servers leave") {
  Daemon daemon;
  for (int i = 1; i < 3; ++i) daemon.ListBackend("app", i, /*leaving=*/true);
  daemon.SendRequest("safe");
  daemon.Feed(Leaving(daemon.FirstEffect<StartAttempt>()->attempt));
  daemon.SendRequest("safe");
  REQUIRE(daemon.FirstEffect<Refuse>() != nullptr);
  CHECK(daemon.FirstEffect<Refuse>()->reason == Refusal::kNoBackend);
}

void RefuseWithRest(Daemon& daemon, AttemptId attempt, Duration rest) {
  daemon.Feed(
      ResponseHeadReceived{.attempt = attempt, .signals = {.backoff = rest}});
  daemon.Feed(AttemptAnswered{
      .attempt = attempt, .kind = AnswerKind::kNotRun, .status = 503});
}

TEST_CASE("A request is refused with what is left where all want rest") {
  Daemon daemon;
  for (int i = 1; i < 3; ++i) daemon.ListBackend("app", i, /*leaving=*/true);
  daemon.SendRequest("safe");
  RefuseWithRest(daemon, daemon.FirstEffect<StartAttempt>()->attempt,
                 seconds(3));
  daemon.AdvanceTime(milliseconds(1000));
  daemon.ConfirmStore();
  daemon.SendRequest("safe");
  REQUIRE(daemon.FirstEffect<Refuse>() != nullptr);
  CHECK(daemon.FirstEffect<Refuse>()->reason == Refusal::kBackendsBackingOff);
  CHECK(daemon.FirstEffect<Refuse>()->status == 503);
  CHECK(daemon.FirstEffect<Refuse>()->retry_after == milliseconds(2000));
  daemon.AdvanceTime(milliseconds(1900));
  daemon.ConfirmStore();
  daemon.AdvanceTime(milliseconds(101));
  daemon.SendRequest("safe");
  CHECK(daemon.FirstEffect<StartAttempt>() != nullptr);
}

TEST_CASE("A rest that is asked for again lasts as long as the longer one") {
  Daemon daemon;
  const AttemptId first = SendOne(daemon);
  const BackendId server = daemon.state().requests.begin()->second.backend;
  daemon.Feed(ResponseHeadReceived{.attempt = first,
                                   .signals = {.backoff = seconds(3)}});
  CHECK(LineOf(daemon, "server_rest")["what"] == "asked");
  daemon.Feed(ResponseHeadReceived{.attempt = first,
                                   .signals = {.backoff = seconds(1)}});
  CHECK(LineOf(daemon, "server_rest")["for_ms"] == "3000");
  CHECK(daemon.state().backoffs.at(server) == daemon.now() + seconds(3));
}

// Of many daemons, which asks that placer.
void AskPlacers(Daemon& daemon) {
  daemon.state().dispatch.place_locally = false;
  daemon.state().dispatch.placers = {"2.2.2.2:2"};
}

TEST_CASE(
    "Questions to a placer name who wants rest, and answers don't break it") {
  Daemon daemon;
  AskPlacers(daemon);
  const BackendId resting = daemon.state().backends.at("llm3").id;
  daemon.state().backoffs[resting] = daemon.now() + seconds(3);
  const RequestKey key = daemon.SendRequest("stream");
  REQUIRE(daemon.FirstEffect<RequestPlacement>() != nullptr);
  const PlacementRequest question =
      daemon.FirstEffect<RequestPlacement>()->request;
  CHECK(question.backing_off == std::vector<BackendId>{resting});
  // Decided before the placer heard the question that names it.
  PlacementResponse answer{.peer_address = "2.2.2.2:2",
                           .incarnation = question.incarnation,
                           .id = key,
                           .attempt_number = question.attempt_number,
                           .outcome = PlacementOutcome::kPlaced,
                           .placement = {.backend = resting}};
  daemon.Feed(PlacementResponseReceived{answer});
  CHECK(daemon.FirstEffect<StartAttempt>() == nullptr);
}

// A placer decides for a daemon from which servers want rest, and not from it.
TEST_CASE("A placer leaves those alone that want rest from who asks") {
  Daemon placer;
  placer.state().dispatch.place_locally = true;
  PlacementRequest question{.peer_address = "2.2.2.2:2",
                            .incarnation = 1,
                            .id = 5,
                            .request = "r",
                            .service = "llm",
                            .prompt_tokens = 2000,
                            .answer_tokens = 500,
                            .arrived = placer.now(),
                            .due = placer.now() + seconds(3),
                            .deadline = placer.now() + seconds(10)};
  for (const auto& [id, backend] : placer.state().backends) {
    if (id != "llm3") question.backing_off.push_back(backend.id);
  }
  placer.Feed(PlacementRequestReceived{question});
  REQUIRE(placer.FirstEffect<RespondToPlacement>() != nullptr);
  CHECK(placer.FirstEffect<RespondToPlacement>()->response.placement.backend ==
        placer.state().backends.at("llm3").id);
  question.id = 6;
  question.backing_off.push_back(placer.state().backends.at("llm3").id);
  placer.Feed(PlacementRequestReceived{question});
  REQUIRE(placer.FirstEffect<RespondToPlacement>() != nullptr);
  const PlacementResponse& refused =
      placer.FirstEffect<RespondToPlacement>()->response;
  CHECK(refused.outcome == PlacementOutcome::kRefused);
  CHECK(refused.shortage == Shortage::kBackoff);
}

}  // namespace
}  // namespace scaleshed::serving::test
