#include "scaleshed/serving/placement.h"

#include <algorithm>
#include <optional>

#include "internal/durations.h"
#include "internal/pool.h"

namespace scaleshed::serving {
namespace internal {
namespace {

// Requests that an engine gets before the next one in the order is used, as a
// part of its slots: many, so that long prompts find engines without short
// ones; but a full engine makes a new request wait for a slot when several
// daemons choose at the same moment. Measured over 36 days: 0.6 while little
// long reading is to be done, 0.85 and 0.95 always.
constexpr double kSlotFillShare = 0.9;
// Memory left free, as answers may run longer than the whole blocks counted.
constexpr double kUsableMemoryShare = 0.97;

}  // namespace

std::int64_t UsableMemoryTokens(const EngineTiming& timing) {
  return static_cast<std::int64_t>(static_cast<double>(timing.memory_tokens) *
                                   kUsableMemoryShare);
}

std::int64_t RequestsBeforeNextEngine(const EngineTiming& timing) {
  return static_cast<std::int64_t>(static_cast<double>(timing.slots) *
                                   kSlotFillShare);
}

}  // namespace internal

namespace {

using internal::FromMs;
using internal::kMinLongPromptEngines;
using internal::RequestsBeforeNextEngine;
using internal::UsableMemoryTokens;

// Reading before a short prompt that still keeps the pauses of those who write
// there: the sites' shortest allowed pause is 200 ms, a pass without reading
// takes about 45.
constexpr Duration kMaxShortPromptBacklog = milliseconds(90);
// While more than this part of the engines have nothing to do, a short prompt
// does not queue behind two others: a burst that begins would fill one engine
// with four in some ms, of which the last begins to write after 90 ms of
// reading and two passes.
constexpr double kMostlyIdleShare = 0.5;
constexpr Duration kMaxBacklogWhileMostlyIdle = milliseconds(45);

// A part of a prompt that an engine has to read.
struct PromptPart {
  Time started_at{};
  Duration duration{};
  bool is_helper = false;  // the answer is written elsewhere
};

// How long a part takes beside its reading on an engine: it waits for the pass
// under way there, half of one on average, and is read in the next one.
Duration StepsAroundPart(const EngineTiming& timing, const EngineView& engine) {
  // For the way there and the turns between.
  constexpr Duration kMargin = milliseconds(20);
  if (engine.decoding == 0) return kMargin;
  const Duration step =
      DecodeStepTime(timing, engine.decoding, engine.context_tokens);
  return kMargin + step + step / 2;
}

// Parts are taken to be read one after another. A helper is free when its part
// should be read; where the answer is written, a part that should be read but
// is not is taken to be nearly done, and after a while to wait for another
// engine.
Duration BacklogOf(std::vector<PromptPart> parts, Time now, Duration steps) {
  constexpr Duration kOverdueBacklog = milliseconds(50);
  constexpr Duration kMaxOverdueTime = milliseconds(300);
  std::sort(parts.begin(), parts.end(),
            [](const PromptPart& a, const PromptPart& b) {
              return a.started_at < b.started_at;
            });
  Time free_at{};
  Duration overdue_backlog{};
  for (const PromptPart& it : parts) {
    free_at = std::max(free_at, it.started_at) + it.duration;
    if (it.is_helper) {
      free_at += steps;
    } else if (free_at <= now && now < free_at + kMaxOverdueTime) {
      overdue_backlog = kOverdueBacklog;
    }
  }
  return std::max(free_at > now ? free_at - now : Duration::zero(),
                  overdue_backlog);
}

// Daemons that place short prompts at the same moment, before they hear of each
// other, take one of so many engines for each so many that are full: one that
// gets several at once reads them one after another.
constexpr std::size_t kFullEnginesPerChoice = 8;

// The number of engines from the start of the order that short prompts use
// while there is any room on them.
std::size_t EnginesOpenToShortPrompts(const std::vector<EngineView>& pool) {
  return pool.size() > 2 * kMinLongPromptEngines
             ? pool.size() - kMinLongPromptEngines
             : pool.size();
}

Duration MaxShortPromptBacklog(const std::vector<EngineView>& pool) {
  const auto idle =
      std::count_if(pool.begin(), pool.end(), [](const EngineView& it) {
        return it.running == 0 && it.helper_parts == 0;
      });
  const double idle_limit = kMostlyIdleShare * static_cast<double>(pool.size());
  return static_cast<double>(idle) > idle_limit ? kMaxBacklogWhileMostlyIdle
                                                : kMaxShortPromptBacklog;
}

PlacementResult PlaceShortPrompt(const EngineTiming& timing,
                                 const std::vector<EngineView>& pool,
                                 const PlacementQuery& query) {
  const Duration prefill_time = PrefillTime(timing, query.prompt_tokens);
  const std::int64_t memory = query.prompt_tokens + query.answer_tokens;
  const auto expected_wait = [&](const EngineView& it) {
    // Without a free slot the next writer to end decides; a full pass each.
    const std::int64_t excess_requests =
        std::max<std::int64_t>(it.running - timing.slots + 1, 0);
    return it.prefill_backlog +
           excess_requests *
               DecodeStepTime(timing, it.running, it.context_tokens);
  };
  const auto fits = [&](const EngineView& it, std::int64_t max_running) {
    return !it.suspected && it.running < max_running &&
           it.memory_used + memory <= UsableMemoryTokens(timing);
  };
  // In order, while it costs nobody's pauses; then the least busy one of the
  // same engines; then any.
  const std::size_t open = EnginesOpenToShortPrompts(pool);
  std::vector<const EngineView*> candidates;
  std::size_t max_candidates = 1;
  const Duration max_backlog = MaxShortPromptBacklog(pool);
  for (std::size_t i = 0; i < open && candidates.size() < max_candidates; ++i) {
    const bool short_backlog = pool[i].prefill_backlog + prefill_time <=
                               std::max(max_backlog, prefill_time);
    if (!short_backlog || !fits(pool[i], RequestsBeforeNextEngine(timing)))
      continue;
    if (candidates.empty()) max_candidates += i / kFullEnginesPerChoice;
    candidates.push_back(&pool[i]);
  }
  const EngineView* best =
      candidates.empty() ? nullptr
                         : candidates[query.tie_breaker % candidates.size()];
  const auto choose_least_busy = [&](std::size_t n, std::int64_t max_running) {
    for (std::size_t i = 0; i < n; ++i) {
      if (!fits(pool[i], max_running)) continue;
      if (best == nullptr || expected_wait(pool[i]) < expected_wait(*best))
        best = &pool[i];
    }
  };
  if (best == nullptr) choose_least_busy(open, timing.slots);
  if (best == nullptr) choose_least_busy(pool.size(), timing.slots);
  if (best == nullptr) choose_least_busy(pool.size(), 2 * timing.slots);
  if (best == nullptr) return NoCapacityNow{Shortage::kBackends};
  return Placement{.backend = best->id,
                   .helpers = {},
                   .helper_tokens = {},
                   .first_token = expected_wait(*best) + prefill_time +
                                  2 * DecodeStepTime(timing, best->running,
                                                     best->context_tokens)};
}

}  // namespace

Duration PrefillTime(const EngineTiming& timing, std::int64_t prompt_tokens) {
  const auto n = static_cast<double>(prompt_tokens);
  const double pairs = n * n / 2 / 1e6;
  return FromMs(n / timing.prefill_tokens_per_ms +
                pairs * timing.attention_ms_per_million_pairs);
}

Duration DecodeStepTime(const EngineTiming& timing, std::int64_t writers,
                        std::int64_t context_tokens) {
  const double step =
      timing.step_ms +
      static_cast<double>(writers) * timing.step_ms_per_decoder +
      static_cast<double>(context_tokens) / 1000 * timing.context_ms_per_1000;
  return FromMs(step * static_cast<double>(timing.tokens_per_event));
}

std::size_t EnginesForLongPrompts(const EngineTiming& timing,
                                  std::size_t engines,
                                  std::size_t short_prompts) {
  const auto limit = static_cast<double>(RequestsBeforeNextEngine(timing));
  const auto kept_for_short = static_cast<std::size_t>(
      static_cast<double>(short_prompts) / std::max(limit, 1.0));
  const std::size_t remaining =
      engines > kept_for_short + 1 ? engines - kept_for_short - 1 : 1;
  return std::max(remaining, std::min(engines, kMinLongPromptEngines));
}

std::vector<EngineView> BuildPoolView(
    const EngineTiming& timing, std::vector<EngineView> engines,
    const std::vector<const ActiveRequest*>& works, Time now) {
  std::vector<std::vector<PromptPart>> parts(engines.size());
  const auto find = [&](BackendId id) -> std::optional<std::size_t> {
    const auto it = std::lower_bound(
        engines.begin(), engines.end(), id,
        [](const EngineView& a, BackendId b) { return a.id < b; });
    if (it == engines.end() || it->id != id) return std::nullopt;
    return static_cast<std::size_t>(it - engines.begin());
  };
  for (const ActiveRequest* it : works) {
    const Duration prefill_time = PrefillTime(timing, it->prompt_tokens);
    const PromptPart part{
        .started_at = it->started_at,
        .duration =
            prefill_time / static_cast<Duration::rep>(it->helpers.size() + 1)};
    std::int64_t tokens_at_helpers = 0;
    for (std::size_t i = 0; i < it->helpers.size(); ++i) {
      const auto at = find(it->helpers[i]);
      const std::int64_t tokens =
          i < it->helper_tokens.size() ? it->helper_tokens[i] : 0;
      tokens_at_helpers += tokens;
      if (!at) continue;
      engines[*at].memory_used += tokens;
      if (it->decoding) continue;
      ++engines[*at].helper_parts;
      parts[*at].push_back(part);
      parts[*at].back().is_helper = true;
    }
    const auto at = find(it->backend);
    if (!at) continue;
    EngineView& engine = engines[*at];
    ++engine.running;
    if (it->max_event_gap > Duration::zero()) {
      engine.min_event_gap_limit =
          std::min(engine.min_event_gap_limit, it->max_event_gap);
    }
    if (prefill_time <= kShortPromptPrefillLimit) ++engine.short_running;
    const std::int64_t tokens_here =
        it->prompt_tokens + it->answer_tokens - tokens_at_helpers;
    engine.memory_used += tokens_here;
    if (it->decoding) {
      ++engine.decoding;
      engine.context_tokens += tokens_here;
    } else {
      ++engine.prefilling;
      parts[*at].push_back(part);
    }
  }
  for (std::size_t i = 0; i < engines.size(); ++i) {
    engines[i].prefill_backlog = BacklogOf(std::move(parts[i]), now,
                                           StepsAroundPart(timing, engines[i]));
  }
  return engines;
}

PlacementResult PlacePrompt(const EngineTiming& timing,
                            const std::vector<EngineView>& pool,
                            const PlacementQuery& query) {
  if (PrefillTime(timing, query.prompt_tokens) <= kShortPromptPrefillLimit) {
    return PlaceShortPrompt(timing, pool, query);
  }
  return internal::PlaceLongPrompt(timing, pool, query);
}

}  // namespace scaleshed::serving
