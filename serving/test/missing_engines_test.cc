// Guards against a prompt that needs the memory of several engines being
// refused as invalid, for good, while too few of them are there for a time.

#include <catch2/catch.hpp>

#include "serving_harness.h"

namespace scaleshed::serving::test {
namespace {

constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;
// Fits two engines of the harness, and no single one.
constexpr std::int64_t kPromptOfTwo = 450'000;
// Exceeds the engines of the harness, but not what one prompt may use.
constexpr std::int64_t kPromptOfMany = 5'000'000;
// Exceeds any group of engines.
constexpr std::int64_t kPromptOfNone = 10'000'000;

void LoseEngines(Daemon& daemon, int first) {
  for (int i = first; i < 6; ++i)
    daemon.Feed(BackendUnlisted{.id = "llm" + std::to_string(i)});
}

void CheckRefusedForNow(const Daemon& daemon) {
  const auto* refused = daemon.FirstEffect<Refuse>();
  REQUIRE(refused != nullptr);
  CHECK(refused->reason == Refusal::kMissingEngines);
  CHECK(refused->status == kUnavailable);
  CHECK(refused->retry_after > Duration::zero());
}

TEST_CASE("A prompt that lacks an engine may come back, and is then served") {
  Daemon daemon;
  LoseEngines(daemon, 1);
  daemon.SendRequest("stream", kPromptOfTwo);
  CheckRefusedForNow(daemon);
  daemon.ListBackend("llm", 7);
  daemon.SendRequest("stream", kPromptOfTwo);
  CHECK(daemon.FirstEffect<Refuse>() == nullptr);
  CHECK(daemon.FirstEffect<ReserveMemory>() != nullptr);
}

TEST_CASE("A prompt that is beyond any group of engines is refused for good") {
  Daemon daemon;
  daemon.SendRequest("stream", kPromptOfMany);
  CheckRefusedForNow(daemon);
  daemon.SendRequest("stream", kPromptOfNone);
  const auto* refused = daemon.FirstEffect<Refuse>();
  REQUIRE(refused != nullptr);
  CHECK(refused->status == kBadRequest);
}

TEST_CASE("A prompt that waits while its engine is lost may come back") {
  Daemon daemon;
  // Engines so fast that a second prompt can wait for the first.
  Configuration configuration = MakeConfiguration(2);
  EngineTiming& timing = *configuration.services["llm"].engine;
  timing.prefill_tokens_per_ms = 1'000;
  timing.attention_ms_per_million_pairs = 0;
  daemon.Feed(ConfigurationReceived{.configuration = configuration,
                                    .queried_at = daemon.now()});
  LoseEngines(daemon, 2);
  // Takes the memory of both engines.
  daemon.SendRequest("stream", kPromptOfTwo);
  REQUIRE(daemon.FirstEffect<ReserveMemory>() != nullptr);
  daemon.SendRequest("stream", kPromptOfTwo);
  REQUIRE(daemon.FirstEffect<Refuse>() == nullptr);
  daemon.Feed(BackendUnlisted{.id = "llm1"});
  daemon.AdvanceTime(milliseconds(30));
  CheckRefusedForNow(daemon);
}

TEST_CASE("Engines that ask for a backoff are not missing") {
  Daemon daemon;
  LoseEngines(daemon, 2);
  daemon.SendRequest("stream");
  const auto* sent = daemon.FirstEffect<StartAttempt>();
  REQUIRE(sent != nullptr);
  daemon.Feed(ResponseHeadReceived{.attempt = sent->attempt,
                                   .signals = {.backoff = milliseconds(800)}});
  daemon.SendRequest("stream", kPromptOfTwo);
  const auto* refused = daemon.FirstEffect<Refuse>();
  REQUIRE(refused != nullptr);
  CHECK(refused->reason == Refusal::kBackendsBackingOff);
  CHECK(refused->retry_after > Duration::zero());
}

// A placer of an older build calls a prompt too large while engines are
// missing.
TEST_CASE(
    "What a placer calls too large is checked against the configuration") {
  Daemon daemon;
  daemon.state().dispatch.place_locally = false;
  daemon.state().dispatch.placers = {"2.2.2.2:2"};
  const std::int64_t prompt = GENERATE(kPromptOfTwo, kPromptOfNone);
  const RequestKey key = daemon.SendRequest("stream", prompt);
  const auto* asked = daemon.FirstEffect<RequestPlacement>();
  REQUIRE(asked != nullptr);
  daemon.Feed(PlacementResponseReceived{
      {.peer_address = "2.2.2.2:2",
       .incarnation = daemon.state().options.incarnation,
       .id = key,
       .attempt_number = asked->request.attempt_number,
       .outcome = PlacementOutcome::kTooLarge}});
  if (prompt == kPromptOfNone) {
    REQUIRE(daemon.FirstEffect<Refuse>() != nullptr);
    CHECK(daemon.FirstEffect<Refuse>()->status == kBadRequest);
  } else {
    CheckRefusedForNow(daemon);
  }
}

}  // namespace
}  // namespace scaleshed::serving::test
