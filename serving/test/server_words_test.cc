// Tests how one daemon applies the signals that backend servers give in the
// heads of their responses: rate limit, leaving and backoff.

#include <catch2/catch.hpp>

#include "serving_harness.h"

namespace scaleshed::serving::test {
namespace {

// Returns the fields of the first log line of `event` among the last effects;
// empty: there is none.
std::map<std::string, std::string> FirstLogFields(const Daemon& daemon,
                                                  const std::string& event) {
  for (const Effect& it : daemon.effects()) {
    const auto* line = std::get_if<LogDecision>(&it);
    if (line == nullptr || line->event != event) continue;
    return {line->fields.begin(), line->fields.end()};
  }
  return {};
}

// Sends a request and returns its attempt.
AttemptId SendOne(Daemon& daemon) {
  daemon.SendRequest("stream");
  REQUIRE(daemon.FirstEffect<StartAttempt>() != nullptr);
  return daemon.FirstEffect<StartAttempt>()->attempt;
}

// A response head that advertises `rate_limit`, or none.
ResponseHeadReceived HeadWithRateLimit(AttemptId attempt,
                                       std::optional<double> rate_limit) {
  return {.attempt = attempt, .signals = {.rate_limit = rate_limit}};
}

TEST_CASE("A rate limit is logged when it is advertised and changes") {
  Daemon daemon;
  const AttemptId first = SendOne(daemon);
  daemon.Feed(HeadWithRateLimit(first, 2.7));
  auto line = FirstLogFields(daemon, "server_limit");
  CHECK(line["what"] == "named");
  CHECK(line["per_second"] == "2.7");
  CHECK(line["request"] == "r1");
  daemon.Feed(HeadWithRateLimit(first, 2.7));
  CHECK(FirstLogFields(daemon, "server_limit").empty());
  daemon.Feed(HeadWithRateLimit(first, 0.5));
  CHECK(FirstLogFields(daemon, "server_limit")["what"] == "changed");
  CHECK(daemon.state().limits.size() == 1);
  // The request was sent before the limit was received, so that the server may
  // have begun this response before it advertised the limit.
  daemon.Feed(HeadWithRateLimit(first, std::nullopt));
  CHECK(daemon.state().limits.size() == 1);
}

TEST_CASE("A response without rate limit to a later request ends the limit") {
  Daemon daemon;
  for (int i = 1; i < 6; ++i) daemon.ListBackend("llm", i, /*leaving=*/true);
  daemon.Feed(HeadWithRateLimit(SendOne(daemon), 50));
  daemon.AdvanceTime(milliseconds(200));
  const AttemptId second = SendOne(daemon);
  daemon.Feed(HeadWithRateLimit(second, std::nullopt));
  CHECK(FirstLogFields(daemon, "server_limit")["what"] == "ended");
}

// A daemon that seldom sends to a server may publish a rate limit that has
// ended long ago.
TEST_CASE("An older rate limit from another daemon doesn't return") {
  Daemon daemon;
  for (int i = 1; i < 6; ++i) daemon.ListBackend("llm", i, /*leaving=*/true);
  const AttemptId first = SendOne(daemon);
  const BackendId engine =
      daemon.state().requests.begin()->second.current.backend;
  daemon.Feed(HeadWithRateLimit(first, 50));
  const Time received_at = daemon.now();
  daemon.AdvanceTime(milliseconds(200));
  daemon.Feed(HeadWithRateLimit(SendOne(daemon), std::nullopt));
  for (int i = 0; i < 30; ++i) {
    daemon.ConfirmStore();
    daemon.AdvanceTime(milliseconds(1000));
  }
  LoadSnapshot snapshot = PeerSnapshot(1);
  snapshot.limits = {
      {.backend = engine, .per_second = 2, .received_at = received_at}};
  daemon.Feed(SnapshotReceived{snapshot});
  CHECK_FALSE(daemon.state().limits.at(engine).limit.per_second);
  snapshot.sequence = 2;
  snapshot.limits.front().received_at = daemon.now();
  daemon.Feed(SnapshotReceived{snapshot});
  CHECK(daemon.state().limits.at(engine).limit.per_second == 2.0);
}

// A server counts the fetching of a report against its rate limit.
TEST_CASE("No reports are fetched from a rate-limited engine") {
  Daemon daemon;
  daemon.SendRequest("stream");
  const BackendId engine =
      daemon.state().requests.begin()->second.current.backend;
  daemon.Feed(
      HeadWithRateLimit(daemon.FirstEffect<StartAttempt>()->attempt, 1));
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

// A response head that says that the server is leaving.
ResponseHeadReceived HeadWithLeaving(AttemptId attempt) {
  return {.attempt = attempt, .signals = {.leaving = true}};
}

// An entry of the engine with number `engine`, of the incarnation that started
// at `start_unix_ms`.
BackendListed EngineEntry(int engine, std::uint64_t revision,
                          std::uint64_t start_unix_ms) {
  const std::string id = "llm" + std::to_string(engine);
  return {{.id = id,
           .service = "llm",
           .address = id + ":1",
           .slots = 16,
           .revision = {.number = revision},
           .start_unix_ms = start_unix_ms}};
}

// Whether the backend server has a usable entry and isn't leaving.
bool TakesNewWork(Daemon& daemon, const std::string& id) {
  const Backend& backend = daemon.state().backends.at(id);
  return backend.server.entry_error.empty() && !backend.server.leaving;
}

TEST_CASE("A leaving server stays leaving when its entry expires and returns") {
  Daemon daemon;
  for (int i = 1; i < 6; ++i) daemon.ListBackend("llm", i, /*leaving=*/true);
  daemon.Feed(EngineEntry(0, 100, 7));
  daemon.Feed(HeadWithLeaving(SendOne(daemon)));
  CHECK(FirstLogFields(daemon, "server_leaving")["request"] == "r1");
  CHECK_FALSE(TakesNewWork(daemon, "llm0"));
  daemon.Feed(BackendUnlisted{.id = "llm0", .revision = {.number = 101}});
  daemon.Feed(EngineEntry(0, 102, 7));
  CHECK_FALSE(TakesNewWork(daemon, "llm0"));
  daemon.Feed(EngineEntry(0, 103, 7));
  CHECK_FALSE(TakesNewWork(daemon, "llm0"));
  SECTION("A new incarnation under its id isn't leaving") {
    daemon.Feed(EngineEntry(0, 104, 8));
    CHECK(TakesNewWork(daemon, "llm0"));
  }
}

TEST_CASE(
    "Leaving published by another daemon applies before the entry is known") {
  Daemon daemon;
  const BackendServer server = EngineEntry(9, 100, 7).backend;
  LoadSnapshot snapshot = PeerSnapshot(1);
  snapshot.leaving = {HashBytes(server.id, server.start_unix_ms)};
  daemon.Feed(SnapshotReceived{snapshot});
  daemon.Feed(EngineEntry(9, 100, 7));
  CHECK_FALSE(TakesNewWork(daemon, "llm9"));
}

TEST_CASE("A request is refused at once if all its servers are leaving") {
  Daemon daemon;
  for (int i = 1; i < 3; ++i) daemon.ListBackend("app", i, /*leaving=*/true);
  daemon.SendRequest("safe");
  daemon.Feed(HeadWithLeaving(daemon.FirstEffect<StartAttempt>()->attempt));
  daemon.SendRequest("safe");
  REQUIRE(daemon.FirstEffect<Refuse>() != nullptr);
  CHECK(daemon.FirstEffect<Refuse>()->reason == Refusal::kNoBackend);
}

// Declines an attempt with a head that asks for a backoff.
void DeclineWithBackoff(Daemon& daemon, AttemptId attempt, Duration backoff) {
  daemon.Feed(ResponseHeadReceived{.attempt = attempt,
                                   .signals = {.backoff = backoff}});
  daemon.Feed(AttemptAnswered{
      .attempt = attempt, .kind = AnswerKind::kNotRun, .status = 503});
}

TEST_CASE("A refusal for backoff says how long the shortest backoff lasts") {
  Daemon daemon;
  for (int i = 1; i < 3; ++i) daemon.ListBackend("app", i, /*leaving=*/true);
  daemon.SendRequest("safe");
  DeclineWithBackoff(daemon, daemon.FirstEffect<StartAttempt>()->attempt,
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

TEST_CASE("A repeated backoff lasts until the later of the two ends") {
  Daemon daemon;
  const AttemptId first = SendOne(daemon);
  const BackendId server =
      daemon.state().requests.begin()->second.current.backend;
  daemon.Feed(ResponseHeadReceived{.attempt = first,
                                   .signals = {.backoff = seconds(3)}});
  CHECK(FirstLogFields(daemon, "server_rest")["what"] == "asked");
  daemon.Feed(ResponseHeadReceived{.attempt = first,
                                   .signals = {.backoff = seconds(1)}});
  CHECK(FirstLogFields(daemon, "server_rest")["for_ms"] == "3000");
  CHECK(daemon.state().backoffs.at(server) == daemon.now() + seconds(3));
}

// Makes the daemon request placements from the placer 2.2.2.2:2, as in a large
// fleet.
void UseRemotePlacer(Daemon& daemon) {
  daemon.state().dispatch.place_locally = false;
  daemon.state().dispatch.placers = {"2.2.2.2:2"};
}

TEST_CASE(
    "Placement requests name servers in backoff, which no response overrides") {
  Daemon daemon;
  UseRemotePlacer(daemon);
  const BackendId backing_off = daemon.state().backends.at("llm3").id;
  daemon.state().backoffs[backing_off] = daemon.now() + seconds(3);
  const RequestKey key = daemon.SendRequest("stream");
  REQUIRE(daemon.FirstEffect<RequestPlacement>() != nullptr);
  const PlacementRequest request =
      daemon.FirstEffect<RequestPlacement>()->request;
  CHECK(request.backing_off == std::vector<BackendId>{backing_off});
  // The placer decided before it received the request that names the server.
  PlacementResponse response{.peer_address = "2.2.2.2:2",
                             .incarnation = request.incarnation,
                             .id = key,
                             .attempt_number = request.attempt_number,
                             .outcome = PlacementOutcome::kPlaced,
                             .placement = {.backend = backing_off}};
  daemon.Feed(PlacementResponseReceived{response});
  CHECK(daemon.FirstEffect<StartAttempt>() == nullptr);
}

// A server asks individual daemons for a backoff. A placer therefore goes by
// the backoffs of the daemon that requests the placement, not by its own.
TEST_CASE("A placer avoids servers that the requesting daemon backs off from") {
  Daemon placer;
  placer.state().dispatch.place_locally = true;
  PlacementRequest request{.peer_address = "2.2.2.2:2",
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
    if (id != "llm3") request.backing_off.push_back(backend.id);
  }
  placer.Feed(PlacementRequestReceived{request});
  REQUIRE(placer.FirstEffect<RespondToPlacement>() != nullptr);
  CHECK(placer.FirstEffect<RespondToPlacement>()->response.placement.backend ==
        placer.state().backends.at("llm3").id);
  request.id = 6;
  request.backing_off.push_back(placer.state().backends.at("llm3").id);
  placer.Feed(PlacementRequestReceived{request});
  REQUIRE(placer.FirstEffect<RespondToPlacement>() != nullptr);
  const PlacementResponse& refused =
      placer.FirstEffect<RespondToPlacement>()->response;
  CHECK(refused.outcome == PlacementOutcome::kRefused);
  CHECK(refused.shortage == Shortage::kBackoff);
}

}  // namespace
}  // namespace scaleshed::serving::test
