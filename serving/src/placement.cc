#include "scaleshed/serving/placement.h"

#include <algorithm>
#include <optional>

#include "internal/durations.h"
#include "internal/pool.h"

namespace scaleshed::serving {
namespace internal {
namespace {

// The share of an engine's slots that is filled before the next engine in the
// order is used. A high share leaves long prompts engines without short ones,
// but a full engine makes a request wait for a slot when several daemons choose
// it at the same moment. The alternatives are 0.6 while little prefill of long
// prompts is due, and 0.85 or 0.95 at all times.
constexpr double kSlotFillShare = 0.9;
// The share of an engine's memory that placement uses. The rest stays free, as
// responses may need more than the whole blocks that are counted for them.
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

// The prefill backlog, with a short prompt's own prefill, up to which the
// streams of an engine keep their event gaps: the sites allow gaps of 200 ms or
// more, and without prefill an event takes about 45 ms.
constexpr Duration kMaxShortPromptBacklog = milliseconds(90);
// A short prompt that would wait longer on the engines that short prompts use
// first takes one of the last engines in the order: a part of a long prompt may
// take seconds.
constexpr Duration kMaxShortPromptWait = milliseconds(90);
// While more than this share of the engines is idle, a short prompt doesn't
// queue behind two others. Otherwise the start of a burst fills one engine with
// four prompts within some ms, and the last of them gets its first token only
// after 90 ms of prefill and two engine steps.
constexpr double kMostlyIdleShare = 0.5;
constexpr Duration kMaxBacklogWhileMostlyIdle = milliseconds(45);

// A prompt, or a part of one, that an engine has to prefill.
struct PromptPart {
  Time started_at{};
  Duration duration{};
  bool is_helper = false;  // another engine decodes the request
};

// The time that a part takes on an engine besides its prefill: it waits for the
// engine step under way, half a step on average, and is prefilled in the next.
Duration StepsAroundPart(const EngineTiming& timing, const EngineView& engine) {
  // Covers the network and the gaps between engine steps.
  constexpr Duration kMargin = milliseconds(20);
  if (engine.decoding == 0) return kMargin;
  const Duration step =
      DecodeStepTime(timing, engine.decoding, engine.context_tokens);
  return kMargin + step + step / 2;
}

// Estimates the prefill backlog of an engine, assuming that it prefills its
// parts one after another. A helper counts as free once its part should be
// done. A part of the decoding engine that should be done but isn't counts as
// nearly done, and after kMaxOverdueTime as waiting for another engine.
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

// Daemons that place short prompts at the same moment don't know of each
// other's choice yet. The random choice gains one engine for every
// kFullEnginesPerChoice engines passed over at the start of the order, since an
// engine that gets several prompts at once prefills them one after another.
constexpr std::size_t kFullEnginesPerChoice = 8;

// The number of engines at the start of the order that short prompts use as
// long as any of them has capacity.
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
    // Without a free slot the prompt waits for requests to finish; each is
    // taken to need one DecodeStepTime().
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
  // The first engines in the order whose streams keep their event gaps; if
  // there is none, the least busy of the same engines, then the least busy of
  // all.
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
  if (best == nullptr || expected_wait(*best) > kMaxShortPromptWait)
    choose_least_busy(pool.size(), timing.slots);
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

Duration DecodeStepTime(const EngineTiming& timing, std::int64_t decoding,
                        std::int64_t context_tokens) {
  const double step =
      timing.step_ms +
      static_cast<double>(decoding) * timing.step_ms_per_decoder +
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
    const std::vector<const ActiveRequest*>& active_requests, Time now) {
  std::vector<std::vector<PromptPart>> parts(engines.size());
  const auto find = [&](BackendId id) -> std::optional<std::size_t> {
    const auto it = std::lower_bound(
        engines.begin(), engines.end(), id,
        [](const EngineView& a, BackendId b) { return a.id < b; });
    if (it == engines.end() || it->id != id) return std::nullopt;
    return static_cast<std::size_t>(it - engines.begin());
  };
  for (const ActiveRequest* it : active_requests) {
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
