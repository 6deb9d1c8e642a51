// Loads of whole pools that the placement functions alone decide, with the
// times that the placement formulas give.

#include <algorithm>
#include <catch2/catch.hpp>
#include <utility>
#include <vector>

#include "scaleshed/serving/placement.h"

namespace scaleshed::serving {
namespace {

// Prompts of one size that arrive at a steady rate.
struct PromptStream {
  double per_second = 0;
  std::int64_t tokens = 0;
  Duration objective{};
  Duration event_gap{};
  Duration from{};
  std::int64_t events = 36;  // of a response
};

struct PoolLoad {
  EngineTiming timing;
  std::size_t engines = 60;
  std::vector<PromptStream> streams;
  Duration length = seconds(6);
};

// What the prompts of one stream met.
struct StreamResult {
  int prompts = 0;
  int late = 0;    // first token expected after the objective, or never placed
  Duration sum{};  // of the times to the first token
};

// A prompt that arrived, waiting or running.
struct LoadPrompt {
  std::size_t stream = 0;
  Time arrived{};
  ActiveRequest active;
  Time first_token_at{};
  Time ends_at{};
};

// Plays a load in steps of a millisecond. Prompts wait in the order of the
// streams, and a long prompt only behind the long prompts before it.
class PoolSimulation {
 public:
  explicit PoolSimulation(const PoolLoad& load)
      : load_(load), results_(load.streams.size()) {}

  std::vector<StreamResult> Run() {
    for (; now_ < kStart + load_.length; now_ += milliseconds(1)) {
      std::erase_if(running_,
                    [&](const auto& it) { return it.ends_at <= now_; });
      for (LoadPrompt& it : running_)
        it.active.decoding = it.first_token_at <= now_;
      for (std::size_t i = 0; i < load_.streams.size(); ++i) Arrive(i);
      PlaceWaiting();
    }
    for (const LoadPrompt& it : waiting_) {
      if (now_ - it.arrived > load_.streams[it.stream].objective)
        Count(it, now_ - it.arrived);
    }
    return results_;
  }

 private:
  static constexpr Time kStart{seconds(100)};
  static constexpr std::int64_t kAnswerTokens = 1400;

  void Arrive(std::size_t i) {
    const PromptStream& stream = load_.streams[i];
    const Duration gone = now_ - kStart - stream.from;
    if (gone < Duration::zero()) return;
    const auto due = static_cast<std::int64_t>(
        std::chrono::duration<double>(gone).count() * stream.per_second);
    while (results_[i].prompts + Waiting(i) < due)
      waiting_.push_back({.stream = i, .arrived = now_});
  }

  std::int64_t Waiting(std::size_t stream) const {
    return std::count_if(waiting_.begin(), waiting_.end(),
                         [&](const auto& it) { return it.stream == stream; });
  }

  void Count(const LoadPrompt& prompt, Duration time) {
    StreamResult& result = results_[prompt.stream];
    ++result.prompts;
    result.sum += time;
    if (time > load_.streams[prompt.stream].objective) ++result.late;
  }

  std::vector<EngineView> View() const {
    std::vector<EngineView> engines(load_.engines);
    for (std::size_t i = 0; i < engines.size(); ++i) engines[i].id = i + 1;
    std::vector<const ActiveRequest*> active;
    for (const LoadPrompt& it : running_) active.push_back(&it.active);
    return BuildPoolView(load_.timing, engines, active, now_);
  }

  void PlaceWaiting() {
    std::stable_sort(
        waiting_.begin(), waiting_.end(),
        [](const auto& a, const auto& b) { return a.stream < b.stream; });
    std::vector<LoadPrompt> left;
    bool long_blocked = false;
    for (LoadPrompt& it : waiting_) {
      const bool is_long =
          PrefillTime(load_.timing, load_.streams[it.stream].tokens) >
          kShortPromptPrefillLimit;
      if ((is_long && long_blocked) || !Place(it)) {
        long_blocked = long_blocked || is_long;
        left.push_back(it);
      }
    }
    waiting_ = std::move(left);
  }

  bool Place(LoadPrompt& prompt) {
    const PromptStream& stream = load_.streams[prompt.stream];
    const auto view = View();
    const Duration waited = now_ - prompt.arrived;
    const auto result = PlacePrompt(load_.timing, view,
                                    {.prompt_tokens = stream.tokens,
                                     .answer_tokens = kAnswerTokens,
                                     .tie_breaker = ++placed_ * 7919,
                                     .until_due = stream.objective - waited,
                                     .time_left = seconds(15) - waited});
    const auto* placement = std::get_if<Placement>(&result);
    if (placement == nullptr) return false;
    Count(prompt, waited + placement->first_token);
    const EngineView& engine = view.at(placement->backend - 1);
    prompt.first_token_at = now_ + placement->first_token;
    prompt.ends_at =
        prompt.first_token_at +
        stream.events * DecodeStepTime(load_.timing, engine.running + 1,
                                       engine.context_tokens + stream.tokens);
    prompt.active = {.backend = placement->backend,
                     .helpers = placement->helpers,
                     .prompt_tokens = stream.tokens,
                     .answer_tokens = kAnswerTokens,
                     .started_at = now_,
                     .max_event_gap = stream.event_gap,
                     .helper_tokens = placement->helper_tokens};
    running_.push_back(prompt);
    return true;
  }

  PoolLoad load_;
  Time now_ = kStart;
  std::vector<LoadPrompt> waiting_;
  std::vector<LoadPrompt> running_;
  std::vector<StreamResult> results_;
  std::uint64_t placed_ = 0;
};

// Engines with few slots, and engines with many.
const EngineTiming kFewSlots{.slots = 12,
                             .memory_tokens = 405'000,
                             .step_ms = 1.31,
                             .step_ms_per_decoder = 0.000917,
                             .context_ms_per_1000 = 0.00213,
                             .prefill_tokens_per_ms = 154,
                             .attention_ms_per_million_pairs = 0.162,
                             .tokens_per_event = 38,
                             .prefill_chunk_tokens = 2048,
                             .hop_ms = 0.1};
const EngineTiming kManySlots{.slots = 16,
                              .memory_tokens = 450'000,
                              .step_ms = 0.925,
                              .step_ms_per_decoder = 0.00483,
                              .context_ms_per_1000 = 0.00254,
                              .prefill_tokens_per_ms = 256,
                              .attention_ms_per_million_pairs = 0.0917,
                              .tokens_per_event = 46,
                              .prefill_chunk_tokens = 2048,
                              .hop_ms = 0.1};
const EngineTiming kLittleMemory{.slots = 12,
                                 .memory_tokens = 232'000,
                                 .step_ms = 1.02,
                                 .step_ms_per_decoder = 0.000917,
                                 .context_ms_per_1000 = 0.00213,
                                 .prefill_tokens_per_ms = 206,
                                 .attention_ms_per_million_pairs = 0.12,
                                 .tokens_per_event = 48,
                                 .prefill_chunk_tokens = 2048,
                                 .hop_ms = 0.1};

PromptStream ShortPrompts(double per_second, Duration from = {}) {
  return {.per_second = per_second,
          .tokens = 5000,
          .objective = milliseconds(300),
          .event_gap = milliseconds(250),
          .from = from};
}

PromptStream MediumPrompts(double per_second) {
  return {.per_second = per_second,
          .tokens = 45'000,
          .objective = milliseconds(1500),
          .event_gap = milliseconds(600)};
}

PromptStream LongPrompts(double per_second, std::int64_t tokens,
                         std::int64_t events = 36) {
  return {.per_second = per_second,
          .tokens = tokens,
          .objective = seconds(4),
          .event_gap = seconds(1),
          .events = events};
}

std::vector<StreamResult> Play(const EngineTiming& timing, std::size_t engines,
                               std::vector<PromptStream> streams,
                               Duration length = seconds(6)) {
  return PoolSimulation({.timing = timing,
                         .engines = engines,
                         .streams = std::move(streams),
                         .length = length})
      .Run();
}

// Guards against short prompts that wait for seconds on the engines that they
// use first, which all have long parts, while the last engines have none.
TEST_CASE("Short prompts that begin beside long parts are in time") {
  const auto portfolios = Play(
      kFewSlots, 60, {ShortPrompts(240, seconds(2)), LongPrompts(8, 260'000)});
  CHECK(portfolios[0].prompts >= 950);
  CHECK(portfolios[0].late == 0);
  // The parts of these prompts take 2 s on each of 17 engines.
  const auto huge = Play(
      kFewSlots, 60, {ShortPrompts(240, seconds(2)), LongPrompts(2, 600'000)});
  CHECK(huge[0].late == 0);
}

// Guards against the same loads being served worse by engines with more slots
// and memory.
TEST_CASE("Engines with many slots serve short prompts beside long ones") {
  const auto result = Play(kManySlots, 60,
                           {ShortPrompts(240, seconds(2)), MediumPrompts(6.68),
                            LongPrompts(4.2, 260'000)});
  for (const StreamResult& it : result) CHECK(it.late == 0);
  CHECK(result[0].sum / result[0].prompts < milliseconds(180));
}

// Guards against long prompts that wait for one engine's memory while the free
// memory of several would do.
TEST_CASE("Engines that hold one long prompt share what is left of memory") {
  const auto result =
      Play(kLittleMemory, 12,
           {ShortPrompts(5), MediumPrompts(2), LongPrompts(2, 190'000, 80)},
           seconds(15));
  for (const StreamResult& it : result) CHECK(it.late == 0);
  CHECK(result[2].prompts >= 24);
}

}  // namespace
}  // namespace scaleshed::serving
