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
    if (line == nullptr || line->what != what) continue;
    return {line->fields.begin(), line->fields.end()};
  }
  return {};
}

// The attempt of a request that is sent.
AttemptId SendOne(Daemon& daemon) {
  daemon.Ask("stream");
  REQUIRE(daemon.First<StartAttempt>() != nullptr);
  return daemon.First<StartAttempt>()->attempt;
}

AnswerBegun Limited(AttemptId attempt, std::optional<double> limit) {
  return {.attempt = attempt, .word = {.limit = limit}};
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
  for (int i = 1; i < 6; ++i) daemon.List("llm", i, /*leaving=*/true);
  daemon.Feed(Limited(SendOne(daemon), 50));
  daemon.Pass(milliseconds(200));
  const AttemptId second = SendOne(daemon);
  daemon.Feed(Limited(second, std::nullopt));
  CHECK(LineOf(daemon, "server_limit")["what"] == "ended");
}

// A daemon that seldom sends to a server tells of a limit that is long over.
TEST_CASE("An older word of another daemon doesn't bring a limit back") {
  Daemon daemon;
  for (int i = 1; i < 6; ++i) daemon.List("llm", i, /*leaving=*/true);
  const AttemptId first = SendOne(daemon);
  const BackendId engine = daemon.state().requests.begin()->second.backend;
  daemon.Feed(Limited(first, 50));
  const Time named = daemon.now();
  daemon.Pass(milliseconds(200));
  daemon.Feed(Limited(SendOne(daemon), std::nullopt));
  for (int i = 0; i < 30; ++i) {
    daemon.Confirm();
    daemon.Pass(milliseconds(1000));
  }
  LoadSnapshot told = PeerSnapshot(1);
  told.limits = {{.backend = engine, .per_second = 2, .heard = named}};
  daemon.Feed(SnapshotReceived{told});
  CHECK_FALSE(daemon.state().limits.at(engine).named.per_second);
  told.sequence = 2;
  told.limits.front().heard = daemon.now();
  daemon.Feed(SnapshotReceived{told});
  CHECK(daemon.state().limits.at(engine).named.per_second == 2.0);
}

// Reports are among the requests that a server counts.
TEST_CASE("An engine that has named a limit isn't asked for reports") {
  Daemon daemon;
  daemon.Ask("stream");
  const BackendId engine = daemon.state().requests.begin()->second.backend;
  daemon.Feed(Limited(daemon.First<StartAttempt>()->attempt, 1));
  std::size_t others = 0;
  daemon.Observe([&](const Effects& effects) {
    for (const Effect& it : effects) {
      const auto* report = std::get_if<AskReport>(&it);
      if (report == nullptr) continue;
      CHECK(report->backend != engine);
      ++others;
    }
  });
  for (int i = 0; i < 10; ++i) {
    daemon.Confirm();
    daemon.Pass(milliseconds(400));
  }
  CHECK(others > 0);
}

AnswerBegun Leaving(AttemptId attempt) {
  return {.attempt = attempt, .word = {.leaving = true}};
}

// An entry of that life of the engine of that number.
BackendListed Entry(int engine, std::uint64_t revision, std::uint64_t born) {
  const std::string id = "llm" + std::to_string(engine);
  return {{.id = id,
           .service = "llm",
           .address = id + ":1",
           .slots = 16,
           .revision = {.number = revision},
           .born = born}};
}

bool IsOpen(Daemon& daemon, const std::string& id) {
  const Backend& backend = daemon.state().backends.at(id);
  return backend.server.fault.empty() && !backend.server.leaving;
}

TEST_CASE("A word of leaving outlasts an entry that lapses and comes back") {
  Daemon daemon;
  for (int i = 1; i < 6; ++i) daemon.List("llm", i, /*leaving=*/true);
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
  told.leaving = {HashBytes(server.id, server.born)};
  daemon.Feed(SnapshotReceived{told});
  daemon.Feed(Entry(9, 100, 7));
  CHECK_FALSE(IsOpen(daemon, "llm9"));
}

TEST_CASE("A request is refused at once where all its servers leave") {
  Daemon daemon;
  for (int i = 1; i < 3; ++i) daemon.List("app", i, /*leaving=*/true);
  daemon.Ask("safe");
  daemon.Feed(Leaving(daemon.First<StartAttempt>()->attempt));
  daemon.Ask("safe");
  REQUIRE(daemon.First<Refuse>() != nullptr);
  CHECK(daemon.First<Refuse>()->why == Refusal::kNoBackend);
}

void RefuseWithRest(Daemon& daemon, AttemptId attempt, Duration rest) {
  daemon.Feed(AnswerBegun{.attempt = attempt, .word = {.rest = rest}});
  daemon.Feed(AttemptAnswered{
      .attempt = attempt, .kind = AnswerKind::kNotRun, .status = 503});
}

TEST_CASE("A request is refused with what is left where all want rest") {
  Daemon daemon;
  for (int i = 1; i < 3; ++i) daemon.List("app", i, /*leaving=*/true);
  daemon.Ask("safe");
  RefuseWithRest(daemon, daemon.First<StartAttempt>()->attempt, seconds(3));
  daemon.Pass(milliseconds(1000));
  daemon.Confirm();
  daemon.Ask("safe");
  REQUIRE(daemon.First<Refuse>() != nullptr);
  CHECK(daemon.First<Refuse>()->why == Refusal::kResting);
  CHECK(daemon.First<Refuse>()->status == 503);
  CHECK(daemon.First<Refuse>()->retry_after == milliseconds(2000));
  daemon.Pass(milliseconds(1900));
  daemon.Confirm();
  daemon.Pass(milliseconds(101));
  daemon.Ask("safe");
  CHECK(daemon.First<StartAttempt>() != nullptr);
}

TEST_CASE("A rest that is asked for again lasts as long as the longer one") {
  Daemon daemon;
  const AttemptId first = SendOne(daemon);
  const BackendId server = daemon.state().requests.begin()->second.backend;
  daemon.Feed(AnswerBegun{.attempt = first, .word = {.rest = seconds(3)}});
  CHECK(LineOf(daemon, "server_rest")["what"] == "asked");
  daemon.Feed(AnswerBegun{.attempt = first, .word = {.rest = seconds(1)}});
  CHECK(LineOf(daemon, "server_rest")["for_ms"] == "3000");
  CHECK(daemon.state().rests.at(server) == daemon.now() + seconds(3));
}

// Of many daemons, which asks that placer.
void AskPlacers(Daemon& daemon) {
  daemon.state().dispatch.all_place = false;
  daemon.state().dispatch.placers = {"2.2.2.2:2"};
}

TEST_CASE(
    "Questions to a placer name who wants rest, and answers don't break it") {
  Daemon daemon;
  AskPlacers(daemon);
  const BackendId resting = daemon.state().backends.at("llm3").id;
  daemon.state().rests[resting] = daemon.now() + seconds(3);
  const RequestKey key = daemon.Ask("stream");
  REQUIRE(daemon.First<AskPlacer>() != nullptr);
  const PlaceQuestion question = daemon.First<AskPlacer>()->question;
  CHECK(question.resting == std::vector<BackendId>{resting});
  // Decided before the placer heard the question that names it.
  PlaceAnswer answer{.peer_address = "2.2.2.2:2",
                     .life = question.life,
                     .id = key,
                     .round = question.round,
                     .outcome = PlaceOutcome::kPlaced,
                     .placed = {.backend = resting}};
  daemon.Feed(PlaceAnswerReceived{answer});
  CHECK(daemon.First<StartAttempt>() == nullptr);
}

// A placer decides for a daemon from which servers want rest, and not from it.
TEST_CASE("A placer leaves those alone that want rest from who asks") {
  Daemon placer;
  placer.state().dispatch.all_place = true;
  PlaceQuestion question{.peer_address = "2.2.2.2:2",
                         .life = 1,
                         .id = 5,
                         .request = "r",
                         .service = "llm",
                         .prompt_tokens = 2000,
                         .answer_tokens = 500,
                         .arrived = placer.now(),
                         .due = placer.now() + seconds(3),
                         .deadline = placer.now() + seconds(10)};
  for (const auto& [id, backend] : placer.state().backends) {
    if (id != "llm3") question.resting.push_back(backend.id);
  }
  placer.Feed(PlaceQuestionReceived{question});
  REQUIRE(placer.First<AnswerPlace>() != nullptr);
  CHECK(placer.First<AnswerPlace>()->answer.placed.backend ==
        placer.state().backends.at("llm3").id);
  question.id = 6;
  question.resting.push_back(placer.state().backends.at("llm3").id);
  placer.Feed(PlaceQuestionReceived{question});
  REQUIRE(placer.First<AnswerPlace>() != nullptr);
  const PlaceAnswer& refused = placer.First<AnswerPlace>()->answer;
  CHECK(refused.outcome == PlaceOutcome::kRefused);
  CHECK(refused.shortage == Shortage::kRest);
}

}  // namespace
}  // namespace scaleshed::serving::test
