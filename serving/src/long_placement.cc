#include <algorithm>
#include <cmath>
#include <iterator>

#include "internal/durations.h"
#include "internal/pool.h"

namespace scaleshed::serving::internal {
namespace {

// Reading that an engine may have before it when it gets a part of a long
// prompt. Engines read the newest part first, and parts for others before
// prompts of their own: whatever is begun before the last part is done delays
// that one. So prompts wait at the daemons, where their order can be chosen.
constexpr Duration kMaxBacklogForPart = milliseconds(30);
// Part of the engines that a long prompt is to be read by that must have room
// before it starts: on few, it would stand in the way of others for long.
constexpr double kMinGroupShare = 0.6;
// A prompt is read in parts of about this and more: the passes around a part
// take about as long, in which its engine reads nothing else. Measured over 24
// days: 40, 80, 140 and 220 ms.
constexpr Duration kPreferredMinPart = milliseconds(140);
// Below this the pass costs several times the reading.
constexpr Duration kMinPart = milliseconds(40);
// Memory is handed out in blocks of so many tokens.
constexpr std::int64_t kMemoryBlockTokens = 16;
// Engines that long prompts leave alone, however few short ones there are.
constexpr std::size_t kMinShortPromptEngines = 1;
// Part of the longest pause that a part of a long prompt may fill where short
// prompts are in work: others of these are read meanwhile.
constexpr double kEventGapShareBesideShortPrompts = 0.8;

// The number of engines at the start of the order that are kept for short
// prompts, from those that are there now.
std::size_t EnginesForShortPrompts(const EngineTiming& timing,
                                   const std::vector<EngineView>& pool) {
  std::int64_t running = 0;
  for (const EngineView& it : pool) running += it.short_running;
  const auto limit =
      std::max<std::int64_t>(RequestsBeforeNextEngine(timing), 1);
  const auto wanted = static_cast<std::size_t>((running + limit / 2) / limit);
  const std::size_t max_engines = pool.size() > kMinLongPromptEngines
                                      ? pool.size() - kMinLongPromptEngines
                                      : 0;
  return std::min(std::max(wanted + 1, kMinShortPromptEngines), max_engines);
}

// Whether a part that is read on this engine keeps the pauses of those who
// write there in time. Short prompts are read there too, at any moment, so that
// a part may take only some of what is left beside them.
bool KeepsEventGaps(const EngineTiming& timing, const EngineView& engine,
                    Duration part) {
  if (engine.running == 0) return true;
  const Duration step =
      DecodeStepTime(timing, engine.running, engine.context_tokens);
  const Duration time_before = engine.prefill_backlog + step;
  if (engine.short_running == 0)
    return time_before + part <= engine.min_event_gap_limit;
  return time_before + part <= FractionOf(engine.min_event_gap_limit,
                                          kEventGapShareBesideShortPrompts);
}

// The engines that a long prompt may use at some time soon: those that short
// prompts leave alone.
std::vector<const EngineView*> EnginesOpenToLongPrompts(
    const EngineTiming& timing, const std::vector<EngineView>& pool) {
  const std::size_t kept_for_short = EnginesForShortPrompts(timing, pool);
  std::vector<const EngineView*> open;
  for (std::size_t i = 0; i < pool.size(); ++i) {
    const bool free_of_short =
        i >= kept_for_short && pool[i].short_running == 0;
    const bool may_help =
        pool[i].running < timing.slots && pool[i].helper_parts < timing.slots;
    if (free_of_short && may_help && !pool[i].suspected)
      open.push_back(&pool[i]);
  }
  if (open.empty()) {
    // Short prompts are everywhere: the last engines have the fewest.
    for (auto it = pool.rbegin();
         it != pool.rend() && open.size() < kMinLongPromptEngines; ++it) {
      const bool has_slot = it->running < timing.slots;
      if (has_slot && !it->suspected) open.push_back(&*it);
    }
  }
  return open;
}

// Engines with short prompts that have room for a small part beside them.
std::vector<const EngineView*> ShortPromptEnginesWithCapacity(
    const EngineTiming& timing, const std::vector<EngineView>& pool,
    const std::vector<const EngineView*>& open) {
  std::vector<const EngineView*> beside;
  for (const EngineView& it : pool) {
    const bool is_open = std::find(open.begin(), open.end(), &it) != open.end();
    if (is_open || it.suspected || it.helper_parts >= timing.slots) continue;
    // One without any is kept for those that come.
    if (it.short_running == 0) continue;
    if (KeepsEventGaps(timing, it, kMinPart)) beside.push_back(&it);
  }
  return beside;
}

// Shares a prompt's memory out: the rest after the tickets stays at `first`.
// False where there is not enough.
bool DistributeMemory(const EngineTiming& timing, std::int64_t needed,
                      const EngineView& decoder,
                      const std::vector<const EngineView*>& helpers,
                      std::vector<std::int64_t>& tokens) {
  const auto free = [&](const EngineView& it) {
    return std::max<std::int64_t>(UsableMemoryTokens(timing) - it.memory_used,
                                  0);
  };
  std::int64_t remaining = needed - free(decoder);
  if (remaining <= 0) return true;
  tokens.assign(helpers.size(), 0);
  for (std::size_t i = 0; i < helpers.size() && remaining > 0; ++i) {
    const std::int64_t available =
        free(*helpers[i]) / kMemoryBlockTokens * kMemoryBlockTokens;
    const std::int64_t rounded_up = (remaining + kMemoryBlockTokens - 1) /
                                    kMemoryBlockTokens * kMemoryBlockTokens;
    tokens[i] = std::min(available, rounded_up);
    remaining -= tokens[i];
  }
  return remaining <= 0;
}

// Can't keep its objective, however many engines read it.
bool MissesObjective(Duration prefill_time, const PlacementQuery& query) {
  return prefill_time / static_cast<Duration::rep>(kMaxHelpersPerRequest + 1) >
         query.until_due;
}

// Enough to be read within half of the time that is left.
std::size_t EnginesForDeadline(Duration prefill_time, Duration time_left) {
  constexpr Duration kMinPrefillTime = milliseconds(100);
  return static_cast<std::size_t>(prefill_time /
                                  std::max(time_left / 2, kMinPrefillTime)) +
         1;
}

// How many engines a prompt is to be read by, of those that have room soon. One
// that can't keep its objective, however many read it, gets no more than it
// needs before its deadline: 71 s of reading, spread at once over all that
// could be named, came 1.9 s late all the same, and took the engines' time of
// eight prompts of the usual 8.7 s.
std::size_t WantedEngines(const std::vector<const EngineView*>& open,
                          Duration prefill_time, const PlacementQuery& query) {
  auto parts = static_cast<std::size_t>(prefill_time / kPreferredMinPart);
  if (MissesObjective(prefill_time, query)) {
    parts = std::min(parts, EnginesForDeadline(prefill_time, query.time_left));
  }
  return std::max<std::size_t>(
      std::min({open.size(), parts, kMaxHelpersPerRequest + 1}), 1);
}

// The engine that reads the first part and writes the answer. One that has
// requests of its own is taken before an empty one, so that few engines have
// writers, who pause for every part that is read there. Where none has the
// memory for all of a prompt that no engine could hold, the one with the most.
const EngineView* PickDecoder(const EngineTiming& timing,
                              const std::vector<const EngineView*>& eligible,
                              const PlacementQuery& query) {
  const std::int64_t needed = query.prompt_tokens + query.answer_tokens;
  const EngineView* best = nullptr;
  for (const EngineView* it : eligible) {
    if (it->running >= RequestsBeforeNextEngine(timing)) continue;
    if (it->memory_used + needed > UsableMemoryTokens(timing)) continue;
    if (best == nullptr || it->memory_used > best->memory_used) best = it;
  }
  if (best != nullptr || needed <= UsableMemoryTokens(timing)) return best;
  for (const EngineView* it : eligible) {
    if (best == nullptr || it->memory_used < best->memory_used) best = it;
  }
  return best;
}

// The engines that read one long prompt together.
struct EngineGroup {
  const EngineView* decoder = nullptr;
  std::vector<const EngineView*> helpers;
};

// A longer part of a prompt that is late anyway goes to engines that have
// nothing else: they read the newest part first, so that whatever is late there
// by the estimate's error is late by the whole part. One prompt of 71 s of
// reading, 4.2 s on each of 17 engines, made the first tokens of four others 4
// to 7 s late and five streams pause for 3 to 4 s. One that can be in time does
// not wait for idle engines: small pools seldom have enough of them.
constexpr Duration kLongPartPrefill = seconds(1);

bool MayTakePart(const EngineTiming& timing, const EngineView& engine,
                 Duration part, bool misses_objective) {
  const bool idle = engine.running == 0 && engine.helper_parts == 0;
  if (misses_objective && part > kLongPartPrefill && !idle) return false;
  return KeepsEventGaps(timing, engine, part);
}

// A gang of `size` from those whose writers don't pause too long for parts of
// that size. Nothing of `writer` where there are too few, or no memory.
EngineGroup PickGroup(const EngineTiming& timing, const PlacementQuery& query,
                      const std::vector<const EngineView*>& ready,
                      std::size_t size) {
  const Duration prefill_time = PrefillTime(timing, query.prompt_tokens);
  const Duration part = prefill_time / static_cast<Duration::rep>(size);
  const bool misses_objective = MissesObjective(prefill_time, query);
  std::vector<const EngineView*> eligible;
  std::copy_if(ready.begin(), ready.end(), std::back_inserter(eligible),
               [&](const EngineView* it) {
                 return MayTakePart(timing, *it, part, misses_objective);
               });
  EngineGroup group;
  if (eligible.size() < size) return group;
  group.decoder = PickDecoder(timing, eligible, query);
  if (group.decoder == nullptr) return group;
  for (const EngineView* it : eligible) {
    if (it != group.decoder && it->prefilling == 0) group.helpers.push_back(it);
  }
  if (group.helpers.size() + 1 < size) return EngineGroup{};
  // Those without requests of their own first, then those with the most memory.
  std::stable_sort(group.helpers.begin(), group.helpers.end(),
                   [](const EngineView* a, const EngineView* b) {
                     if (a->running != b->running) {
                       return a->running < b->running;
                     }
                     return a->memory_used < b->memory_used;
                   });
  group.helpers.resize(size - 1);
  return group;
}

// A gang of about `wanted`: fewer if some are busy, or else more, whose smaller
// parts more engines can take. Nothing of `writer` where there is none.
EngineGroup FindGroup(const EngineTiming& timing, const PlacementQuery& query,
                      const std::vector<const EngineView*>& ready,
                      std::size_t wanted) {
  const auto min_size = static_cast<std::size_t>(
      std::ceil(kMinGroupShare * static_cast<double>(wanted)));
  for (std::size_t n = std::min(wanted, ready.size()); n >= min_size; --n) {
    EngineGroup group = PickGroup(timing, query, ready, n);
    if (group.decoder != nullptr) return group;
  }
  const auto parts = static_cast<std::size_t>(
      PrefillTime(timing, query.prompt_tokens) / kMinPart);
  const std::size_t max_size =
      std::min({parts, ready.size(), kMaxHelpersPerRequest + 1});
  for (std::size_t n = wanted + 1; n <= max_size; ++n) {
    EngineGroup group = PickGroup(timing, query, ready, n);
    if (group.decoder != nullptr) return group;
  }
  return {};
}

// Why no gang was found, for those who read the log and for the order of those
// that wait.
Shortage ShortageOf(const EngineTiming& timing, const PlacementQuery& query,
                    const std::vector<const EngineView*>& open) {
  const std::int64_t needed = query.prompt_tokens + query.answer_tokens;
  const bool has_memory =
      needed > UsableMemoryTokens(timing) ||
      std::any_of(open.begin(), open.end(), [&](const EngineView* it) {
        return it->memory_used + needed <= UsableMemoryTokens(timing);
      });
  return has_memory ? Shortage::kEngines : Shortage::kMemory;
}

}  // namespace

PlacementResult PlaceLongPrompt(const EngineTiming& timing,
                                const std::vector<EngineView>& pool,
                                const PlacementQuery& query) {
  const std::int64_t needed = query.prompt_tokens + query.answer_tokens;
  const auto max_engines = static_cast<std::int64_t>(
      std::min(pool.size(), kMaxHelpersPerRequest + 1));
  if (needed > max_engines * UsableMemoryTokens(timing)) return TooLarge{};
  const auto open = EnginesOpenToLongPrompts(timing, pool);
  const Duration prefill_time = PrefillTime(timing, query.prompt_tokens);
  const std::size_t wanted = WantedEngines(open, prefill_time, query);
  std::vector<const EngineView*> ready =
      ShortPromptEnginesWithCapacity(timing, pool, open);
  ready.insert(ready.begin(), open.begin(), open.end());
  std::erase_if(ready, [](const EngineView* it) {
    return it->prefill_backlog > kMaxBacklogForPart;
  });
  const EngineGroup group = FindGroup(timing, query, ready, wanted);
  if (group.decoder == nullptr)
    return NoCapacityNow{ShortageOf(timing, query, open)};
  Placement placement{.backend = group.decoder->id,
                      .helpers = {},
                      .helper_tokens = {},
                      .first_token = {}};
  Duration backlog = group.decoder->prefill_backlog;
  for (const EngineView* it : group.helpers) {
    placement.helpers.push_back(it->id);
    backlog = std::max(backlog, it->prefill_backlog);
  }
  if (!DistributeMemory(timing, needed, *group.decoder, group.helpers,
                        placement.helper_tokens)) {
    return NoCapacityNow{Shortage::kCombinedMemory};
  }
  placement.first_token =
      backlog +
      prefill_time / static_cast<Duration::rep>(group.helpers.size() + 1) +
      2 * DecodeStepTime(timing, group.decoder->running,
                         needed + group.decoder->context_tokens);
  return placement;
}

}  // namespace scaleshed::serving::internal
