#include "scaleshed/serving/placement.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

namespace scaleshed::serving {
namespace {

// The engine timing that the operators configure.
const EngineTiming kTiming{.slots = 16,
                           .memory_tokens = 450'000,
                           .step_ms = 0.925,
                           .step_ms_per_decoder = 0.00483,
                           .context_ms_per_1000 = 0.00254,
                           .prefill_tokens_per_ms = 256,
                           .attention_ms_per_million_pairs = 0.0917,
                           .tokens_per_event = 46,
                           .prefill_chunk_tokens = 2048,
                           .hop_ms = 0.1};
const Time kNow{seconds(100)};

std::vector<EngineView> Engines(std::size_t n) {
  std::vector<EngineView> engines(n);
  for (std::size_t i = 0; i < n; ++i) engines[i].id = i + 1;
  return engines;
}

std::vector<EngineView> PoolView(
    std::size_t n, const std::vector<ActiveRequest>& active_requests) {
  std::vector<const ActiveRequest*> pointers;
  pointers.reserve(active_requests.size());
  for (const ActiveRequest& it : active_requests) pointers.push_back(&it);
  return BuildPoolView(kTiming, Engines(n), pointers, kNow);
}

PlacementQuery Prompt(std::int64_t tokens) {
  return {.prompt_tokens = tokens, .answer_tokens = 1000};
}

ActiveRequest Prefilling(BackendId backend, std::vector<BackendId> helpers,
                         std::int64_t tokens) {
  return {.backend = backend,
          .helpers = std::move(helpers),
          .prompt_tokens = tokens,
          .answer_tokens = 1000,
          .started_at = kNow};
}

ActiveRequest Decoding(BackendId backend, std::int64_t tokens,
                       Duration max_event_gap = milliseconds(800)) {
  ActiveRequest request = Prefilling(backend, {}, tokens);
  request.decoding = true;
  request.max_event_gap = max_event_gap;
  return request;
}

TEST_CASE(
    "Prefill takes the time of all tokens plus that of attention between "
    "them") {
  CHECK(PrefillTime(kTiming, 256).count() / 1000 == 1);
  // 210,000 / 256 + 0.0917 x 210,000^2 / 2 / 10^6.
  CHECK(PrefillTime(kTiming, 210'000).count() / 1000 == 2842);
}

TEST_CASE("Short prompts fill the first engines, long prompts avoid those") {
  std::vector<ActiveRequest> active_requests;
  std::set<BackendId> used;
  for (int i = 0; i < 20; ++i) {
    const auto result =
        PlacePrompt(kTiming, PoolView(18, active_requests), Prompt(2000));
    const auto* placement = std::get_if<Placement>(&result);
    REQUIRE(placement != nullptr);
    CHECK(placement->helpers.empty());
    used.insert(placement->backend);
    ActiveRequest request =
        Decoding(placement->backend, 2000, milliseconds(200));
    active_requests.push_back(request);
  }
  CHECK(used == std::set<BackendId>{1, 2});
  const auto result =
      PlacePrompt(kTiming, PoolView(18, active_requests), Prompt(210'000));
  const auto* placement = std::get_if<Placement>(&result);
  REQUIRE(placement != nullptr);
  CHECK(placement->helpers.size() >= 10);
  CHECK_FALSE(used.contains(placement->backend));
  for (const BackendId it : placement->helpers) CHECK_FALSE(used.contains(it));
}

TEST_CASE(
    "No part of a long prompt starts on an engine that still prefills "
    "another") {
  const auto first = PlacePrompt(kTiming, PoolView(8, {}), Prompt(210'000));
  const auto& placement = std::get<Placement>(first);
  const std::vector<ActiveRequest> active_requests{
      Prefilling(placement.backend, placement.helpers, 210'000)};
  const auto second =
      PlacePrompt(kTiming, PoolView(8, active_requests), Prompt(210'000));
  CHECK(std::holds_alternative<NoCapacityNow>(second));
}

TEST_CASE("Parts avoid engines whose streams would exceed their event gap") {
  std::vector<ActiveRequest> active_requests;
  // Engine 5 decodes a request whose event gap may be half a second at most.
  active_requests.push_back(Decoding(5, 45'000, milliseconds(500)));
  const auto result =
      PlacePrompt(kTiming, PoolView(6, active_requests), Prompt(400'000));
  const auto* placement = std::get_if<Placement>(&result);
  REQUIRE(placement != nullptr);
  for (const BackendId it : placement->helpers) CHECK(it != 5);
}

TEST_CASE(
    "A helper is free once its part is prefilled, before the first token") {
  // The prompt takes 202 ms on each of 14 engines; engine 1 is kept for short
  // prompts.
  ActiveRequest request =
      Prefilling(2, {3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15}, 210'000);
  request.started_at = kNow - milliseconds(150);
  CHECK(std::holds_alternative<NoCapacityNow>(
      PlacePrompt(kTiming, PoolView(15, {request}), Prompt(150'000))));
  request.started_at = kNow - milliseconds(240);
  const auto result =
      PlacePrompt(kTiming, PoolView(15, {request}), Prompt(150'000));
  const auto* placement = std::get_if<Placement>(&result);
  REQUIRE(placement != nullptr);
  CHECK(placement->backend != 2);
  for (const BackendId it : placement->helpers) CHECK(it != 2);
}

TEST_CASE("Larger parts on fewer engines still respect the event gaps") {
  // Nine of the engines are free. A ninth of this prompt takes 496 ms to
  // prefill, a fourteenth would take 319 ms.
  std::vector<ActiveRequest> active_requests{
      Prefilling(2, {3, 4, 5, 6}, 600'000)};
  active_requests.push_back(Decoding(15, 45'000, milliseconds(500)));
  const auto result =
      PlacePrompt(kTiming, PoolView(15, active_requests), Prompt(272'000));
  CHECK(std::holds_alternative<NoCapacityNow>(result));
}

TEST_CASE("Only small parts are prefilled on engines with short prompts") {
  std::vector<ActiveRequest> active_requests;
  for (BackendId it = 1; it <= 18; ++it) {
    active_requests.push_back(Decoding(it, 2000, milliseconds(200)));
  }
  // The small prompt takes 18 ms on each of many engines, the large one 300 ms
  // on each of a few.
  const auto small =
      PlacePrompt(kTiming, PoolView(18, active_requests), Prompt(60'000));
  CHECK(std::holds_alternative<Placement>(small));
  const auto large =
      PlacePrompt(kTiming, PoolView(18, active_requests), Prompt(400'000));
  CHECK(std::holds_alternative<NoCapacityNow>(large));
}

TEST_CASE("An engine's memory is never assigned twice") {
  std::vector<ActiveRequest> active_requests;
  for (BackendId it = 1; it <= 6; ++it)
    active_requests.push_back(Decoding(it, 400'000));
  const auto result =
      PlacePrompt(kTiming, PoolView(6, active_requests), Prompt(200'000));
  const auto* none = std::get_if<NoCapacityNow>(&result);
  REQUIRE(none != nullptr);
  CHECK(none->shortage == Shortage::kMemory);
}

// Guards against a prompt that waits for one engine's memory while several have
// it together, and against more memory being assigned than they have.
TEST_CASE("A prompt that finds no engine with its memory is spread") {
  std::vector<ActiveRequest> active_requests;
  for (BackendId it = 1; it <= 6; ++it)
    active_requests.push_back(Decoding(it, 300'000));
  const auto result =
      PlacePrompt(kTiming, PoolView(6, active_requests), Prompt(200'000));
  const auto* placement = std::get_if<Placement>(&result);
  REQUIRE(placement != nullptr);
  const std::int64_t free_tokens = kTiming.memory_tokens - 301'000;
  std::int64_t remaining = 201'000;
  int holders = 0;
  for (const std::int64_t it : placement->helper_tokens) {
    CHECK(it <= free_tokens);
    remaining -= it;
    if (it > 0) ++holders;
  }
  CHECK(remaining <= free_tokens);
  CHECK(holders == 1);
  // One engine with the memory is enough.
  active_requests.pop_back();
  const auto whole =
      PlacePrompt(kTiming, PoolView(6, active_requests), Prompt(200'000));
  REQUIRE(std::holds_alternative<Placement>(whole));
  CHECK(std::get<Placement>(whole).backend == 6);
  CHECK(std::get<Placement>(whole).helper_tokens.empty());
}

TEST_CASE(
    "A prompt larger than one engine gets all its memory at several, or none") {
  const auto result = PlacePrompt(kTiming, PoolView(8, {}), Prompt(1'000'000));
  const auto* placement = std::get_if<Placement>(&result);
  REQUIRE(placement != nullptr);
  REQUIRE(placement->helper_tokens.size() == placement->helpers.size());
  std::int64_t tokens_at_helpers = 0;
  for (const auto it : placement->helper_tokens) {
    CHECK(it % 16 == 0);
    CHECK(it <= kTiming.memory_tokens);
    tokens_at_helpers += it;
  }
  CHECK(1'001'000 - tokens_at_helpers <= kTiming.memory_tokens);
  std::vector<ActiveRequest> active_requests;
  for (BackendId it = 1; it <= 8; ++it)
    active_requests.push_back(Decoding(it, 350'000));
  const auto full =
      PlacePrompt(kTiming, PoolView(8, active_requests), Prompt(1'000'000));
  CHECK(std::holds_alternative<NoCapacityNow>(full));
}

TEST_CASE("A prompt that exceeds any group of engines is too large at once") {
  for (const int engines : {3, 40}) {
    const auto result =
        PlacePrompt(kTiming, PoolView(engines, {}), Prompt(17 * 450'000));
    CHECK(std::holds_alternative<TooLarge>(result));
  }
}

// Guards against a prompt being called too large while engines are missing.
TEST_CASE("A prompt that exceeds the memory of the pool is not too large") {
  const auto result = PlacePrompt(kTiming, PoolView(3, {}), Prompt(2'000'000));
  const auto* lacks = std::get_if<NoCapacityNow>(&result);
  REQUIRE(lacks != nullptr);
  CHECK(lacks->shortage == Shortage::kCombinedMemory);
}

TEST_CASE("Suspected engines get no prompts") {
  std::vector<EngineView> engines = Engines(4);
  engines[0].suspected = true;
  const auto pool = BuildPoolView(kTiming, engines, {}, kNow);
  const auto first_result = PlacePrompt(kTiming, pool, Prompt(1000));
  CHECK(std::get<Placement>(first_result).backend == 2);
  for (EngineView& it : engines) it.suspected = true;
  const auto none = PlacePrompt(
      kTiming, BuildPoolView(kTiming, engines, {}, kNow), Prompt(1000));
  CHECK(std::holds_alternative<NoCapacityNow>(none));
}

// Guards against the start of a burst, within some ms, placing four prompts on
// one engine while most engines are idle: the first token of the fourth was
// late.
TEST_CASE(
    "While most engines are idle a short prompt queues behind one at most") {
  std::vector<ActiveRequest> active_requests;
  std::set<BackendId> used;
  for (int i = 0; i < 30; ++i) {
    const PlacementResult result =
        PlacePrompt(kTiming, PoolView(60, active_requests), Prompt(5000));
    const auto* placement = std::get_if<Placement>(&result);
    REQUIRE(placement != nullptr);
    active_requests.push_back(Prefilling(placement->backend, {}, 5000));
    const auto at_engine =
        std::count_if(active_requests.begin(), active_requests.end(),
                      [&](const ActiveRequest& it) {
                        return it.backend == placement->backend;
                      });
    CHECK(at_engine <= 2);
    used.insert(placement->backend);
  }
  // The prompts still share few engines, so that long prompts find engines
  // without short ones.
  CHECK(used.size() <= 16);
}

// Engine timing of a load at which 60 engines get 39 engine-seconds of prefill
// per second as PrefillTime() computes it, with one prompt that takes 71 s by
// itself. Started at once on all 17 engines that a request may use, it was 1.9
// s late, made the first tokens of four other prompts 4 to 7 s late, and caused
// event gaps of 3 to 4 s in five streams.
const EngineTiming kSlowTiming{.slots = 12,
                               .memory_tokens = 344'250,
                               .step_ms = 1.31,
                               .step_ms_per_decoder = 0.000917,
                               .context_ms_per_1000 = 0.00213,
                               .prefill_tokens_per_ms = 154,
                               .attention_ms_per_million_pairs = 0.162,
                               .tokens_per_event = 38,
                               .prefill_chunk_tokens = 2048,
                               .hop_ms = 0.1};

PlacementResult PlaceBeforeDeadline(const std::vector<EngineView>& pool,
                                    std::int64_t tokens, Duration until_due,
                                    Duration time_left) {
  return PlacePrompt(kSlowTiming, pool,
                     {.prompt_tokens = tokens,
                      .answer_tokens = 1000,
                      .until_due = until_due,
                      .time_left = time_left});
}

TEST_CASE(
    "A prompt that misses its objective gets the engines its deadline needs") {
  const std::int64_t huge_prompt = 900'000;
  // The prefill takes 71 s, or 4.2 s on each of 17 engines.
  CHECK(PrefillTime(kSlowTiming, huge_prompt).count() / 1'000'000 == 71);
  const auto late =
      PlaceBeforeDeadline(Engines(60), huge_prompt, seconds(4), seconds(15));
  REQUIRE(std::holds_alternative<Placement>(late));
  CHECK(std::get<Placement>(late).helpers.size() == 9);
  CHECK(std::get<Placement>(late).first_token < seconds(8));
  // With a longer objective the prompt can meet it, and gets the most engines.
  const auto timely =
      PlaceBeforeDeadline(Engines(60), huge_prompt, seconds(6), seconds(15));
  CHECK(std::get<Placement>(timely).helpers.size() == 16);
  // A prompt that missed its objective by waiting doesn't block others either.
  const auto waited =
      PlaceBeforeDeadline(Engines(60), 300'000, -seconds(1), seconds(10));
  CHECK(std::get<Placement>(waited).helpers.size() == 1);
}

TEST_CASE(
    "Long parts of a prompt that misses its objective go to idle engines") {
  // Of 30 engines, 28 prefill a part of another prompt that is nearly done.
  std::vector<EngineView> pool = Engines(30);
  for (std::size_t i = 2; i < 30; ++i) {
    pool[i].helper_parts = 1;
    pool[i].prefill_backlog = milliseconds(20);
  }
  const auto helpers = [&](Duration until_due) {
    const auto result =
        PlaceBeforeDeadline(pool, 600'000, until_due, seconds(15));
    const auto* placement = std::get_if<Placement>(&result);
    return placement == nullptr ? 0 : placement->helpers.size();
  };
  // The prefill takes 33 s: 1.9 s per part if the objective can be met,
  // otherwise 6.6 s on each of five engines.
  CHECK(helpers(seconds(4)) == 16);
  CHECK(helpers(seconds(1)) == 0);
  for (EngineView& it : pool) it = {.id = it.id};
  CHECK(helpers(seconds(1)) == 4);
}

}  // namespace
}  // namespace scaleshed::serving
