#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "internal/durations.h"
#include "internal/pool.h"

namespace scaleshed::serving::internal {
namespace {

// The prefill backlog that an engine may have when it gets a part of a long
// prompt. Engines prefill the newest part first, and parts for other engines
// before prompts of their own, so a part that starts before the previous one is
// done delays that one. Prompts therefore wait at the daemons, which choose
// their order.
constexpr Duration kMaxBacklogForPart = milliseconds(30);
// The share of the wanted engines that must have capacity before a long prompt
// starts. A prompt on too few engines would hold them for long.
constexpr double kMinGroupShare = 0.6;
// The preferred shortest prefill time of a part. The engine steps around a part
// take about as long, and the engine prefills nothing else in them. The
// alternatives are 40, 80 and 220 ms.
constexpr Duration kPreferredMinPartPrefillTime = milliseconds(140);
// The shortest prefill time of a part. With less, the engine step around it
// costs several times the prefill.
constexpr Duration kMinPartPrefillTime = milliseconds(40);
// Engines reserve memory in blocks of this many tokens.
constexpr std::int64_t kMemoryBlockTokens = 16;
// Engines that long prompts don't use, however few short prompts there are.
constexpr std::size_t kMinShortPromptEngines = 1;
// The share of the allowed event gap that a part of a long prompt may fill on
// an engine with short prompts, as more short prompts may be prefilled
// meanwhile.
constexpr double kEventGapShareBesideShortPrompts = 0.8;

// The number of engines at the start of the order that are kept for short
// prompts, derived from the short prompts that are active now.
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

// Whether the streams of an engine keep their event gaps while it prefills a
// part of the given prefill time. On an engine with short prompts, further ones
// may arrive at any moment, so a part may fill only a share of the gap.
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

// The engines that a long prompt may use soon, whatever their backlog is now:
// those that short prompts don't use.
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
    // All engines have short prompts; the last ones in the order have the
    // fewest.
    for (auto it = pool.rbegin();
         it != pool.rend() && open.size() < kMinLongPromptEngines; ++it) {
      const bool has_slot = it->running < timing.slots;
      if (has_slot && !it->suspected) open.push_back(&*it);
    }
  }
  return open;
}

// The engines with short prompts that have capacity for a small part of a long
// prompt.
std::vector<const EngineView*> ShortPromptEnginesWithCapacity(
    const EngineTiming& timing, const std::vector<EngineView>& pool,
    const std::vector<const EngineView*>& open) {
  std::vector<const EngineView*> beside;
  for (const EngineView& it : pool) {
    const bool is_open = std::find(open.begin(), open.end(), &it) != open.end();
    if (is_open || it.suspected || it.helper_parts >= timing.slots) continue;
    // An engine without short prompts is kept for those that arrive next.
    if (it.short_running == 0) continue;
    if (KeepsEventGaps(timing, it, kMinPartPrefillTime)) beside.push_back(&it);
  }
  return beside;
}

// Distributes the memory that a prompt needs: `decoder` takes what fits there,
// the helpers reserve the rest. `tokens` gets the reservation of each helper.
// Returns false if the memory isn't enough.
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

// Whether a prompt misses its objective however many engines prefill it.
bool MissesObjective(Duration prefill_time, const PlacementQuery& query) {
  return prefill_time / static_cast<Duration::rep>(kMaxHelpersPerRequest + 1) >
         query.until_due;
}

// The number of engines that prefill a prompt within half of the time left.
std::size_t EnginesForDeadline(Duration prefill_time, Duration time_left) {
  constexpr Duration kMinPrefillTime = milliseconds(100);
  return static_cast<std::size_t>(prefill_time /
                                  std::max(time_left / 2, kMinPrefillTime)) +
         1;
}

// The number of engines that should prefill a prompt, of those in `open`. A
// prompt that misses its objective with any number of engines gets no more than
// it needs to meet its deadline: one of 71 s of prefill, spread over as many
// engines as a request may name, was still 1.9 s late and took the engine time
// of eight prompts of the usual 8.7 s.
std::size_t WantedEngines(const std::vector<const EngineView*>& open,
                          Duration prefill_time, const PlacementQuery& query) {
  auto parts =
      static_cast<std::size_t>(prefill_time / kPreferredMinPartPrefillTime);
  if (MissesObjective(prefill_time, query)) {
    parts = std::min(parts, EnginesForDeadline(prefill_time, query.time_left));
  }
  return std::max<std::size_t>(
      std::min({open.size(), parts, kMaxHelpersPerRequest + 1}), 1);
}

// Where the memory of a prompt is reserved.
enum class MemoryUse {
  kOneEngine,  // at the engine that decodes the response
  kSpread,     // at the helpers too, where the decoding engine has too little
};

// Chooses the engine that prefills the first part and decodes the response. An
// engine with requests is preferred to an empty one, so that few engines have
// streams, whose event gaps grow with each part that is prefilled there. For a
// prompt whose memory is spread, it is the one with the most free memory.
// Returns nullptr if no engine qualifies.
const EngineView* PickDecoder(const EngineTiming& timing,
                              const std::vector<const EngineView*>& eligible,
                              const PlacementQuery& query,
                              MemoryUse memory_use) {
  const std::int64_t needed = query.prompt_tokens + query.answer_tokens;
  const EngineView* best = nullptr;
  if (memory_use == MemoryUse::kOneEngine) {
    for (const EngineView* it : eligible) {
      if (it->running >= RequestsBeforeNextEngine(timing)) continue;
      if (it->memory_used + needed > UsableMemoryTokens(timing)) continue;
      if (best == nullptr || it->memory_used > best->memory_used) best = it;
    }
    return best;
  }
  const bool exceeds_engine = needed > UsableMemoryTokens(timing);
  for (const EngineView* it : eligible) {
    if (!exceeds_engine && it->running >= RequestsBeforeNextEngine(timing))
      continue;
    if (best == nullptr || it->memory_used < best->memory_used) best = it;
  }
  return best;
}

// The engines that prefill one long prompt together: the one that decodes the
// response, and its prefill helpers. `decoder` is nullptr if no group was
// found.
struct EngineGroup {
  const EngineView* decoder = nullptr;
  std::vector<const EngineView*> helpers;
};

// Longer parts of a prompt that misses its objective go only to idle engines.
// Engines prefill the newest part first, so a small error of the backlog
// estimate delays the part before it by the whole new part. One prompt of 71 s
// of prefill, 4.2 s on each of 17 engines, made the first tokens of four other
// prompts 4 to 7 s late and caused event gaps of 3 to 4 s in five streams. A
// prompt that can meet its objective doesn't wait for idle engines, as small
// pools seldom have enough of them.
constexpr Duration kMaxBusyEnginePartPrefillTime = seconds(1);

bool MayTakePart(const EngineTiming& timing, const EngineView& engine,
                 Duration part, bool misses_objective) {
  const bool idle = engine.running == 0 && engine.helper_parts == 0;
  if (misses_objective && part > kMaxBusyEnginePartPrefillTime && !idle)
    return false;
  return KeepsEventGaps(timing, engine, part);
}

// Forms a group of `size` engines from those in `ready` whose streams keep
// their event gaps with parts of that size. The group has no decoder if too few
// engines qualify or none has the memory.
EngineGroup PickGroup(const EngineTiming& timing, const PlacementQuery& query,
                      const std::vector<const EngineView*>& ready,
                      std::size_t size, MemoryUse memory_use) {
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
  group.decoder = PickDecoder(timing, eligible, query, memory_use);
  if (group.decoder == nullptr) return group;
  for (const EngineView* it : eligible) {
    if (it != group.decoder && it->prefilling == 0) group.helpers.push_back(it);
  }
  if (group.helpers.size() + 1 < size) return EngineGroup{};
  // Engines with the fewest requests first, then those with the most free
  // memory.
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

// Forms a group of about `wanted` engines: fewer if some are busy, otherwise
// more, as more engines can take the smaller parts. The group has no decoder if
// none can be formed.
EngineGroup FindGroup(const EngineTiming& timing, const PlacementQuery& query,
                      const std::vector<const EngineView*>& ready,
                      std::size_t wanted, MemoryUse memory_use) {
  const auto min_size = static_cast<std::size_t>(
      std::ceil(kMinGroupShare * static_cast<double>(wanted)));
  for (std::size_t n = std::min(wanted, ready.size()); n >= min_size; --n) {
    EngineGroup group = PickGroup(timing, query, ready, n, memory_use);
    if (group.decoder != nullptr) return group;
  }
  const auto parts = static_cast<std::size_t>(
      PrefillTime(timing, query.prompt_tokens) / kMinPartPrefillTime);
  const std::size_t max_size =
      std::min({parts, ready.size(), kMaxHelpersPerRequest + 1});
  for (std::size_t n = wanted + 1; n <= max_size; ++n) {
    EngineGroup group = PickGroup(timing, query, ready, n, memory_use);
    if (group.decoder != nullptr) return group;
  }
  return {};
}

// Whether the engines of a group together have the memory of a prompt.
bool HasMemory(const EngineTiming& timing, std::int64_t needed,
               const EngineGroup& group) {
  std::vector<std::int64_t> tokens;
  return DistributeMemory(timing, needed, *group.decoder, group.helpers,
                          tokens);
}

// Why no group of engines was found, for the log and for the order of the
// waiting prompts.
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

// Forms a group for a prompt that one engine could hold, while none has the
// free memory. The memory at the helpers is reserved until the response ends,
// so as few of them as possible hold some, and none with short prompts, whose
// memory the next short prompts need.
EngineGroup FindSpreadGroup(const EngineTiming& timing,
                            const PlacementQuery& query,
                            std::vector<const EngineView*> ready,
                            std::size_t wanted) {
  std::erase_if(ready,
                [](const EngineView* it) { return it->short_running > 0; });
  EngineGroup group =
      FindGroup(timing, query, ready, wanted, MemoryUse::kSpread);
  if (group.decoder == nullptr) return group;
  std::stable_sort(group.helpers.begin(), group.helpers.end(),
                   [](const EngineView* a, const EngineView* b) {
                     return a->memory_used < b->memory_used;
                   });
  const std::int64_t needed = query.prompt_tokens + query.answer_tokens;
  return HasMemory(timing, needed, group) ? group : EngineGroup{};
}

}  // namespace

std::int64_t GroupMemoryTokens(const EngineTiming& timing,
                               std::size_t engines) {
  const std::size_t usable = std::min(engines, kMaxHelpersPerRequest + 1);
  return static_cast<std::int64_t>(usable) * UsableMemoryTokens(timing);
}

bool ExceedsLargestGroup(const EngineTiming& timing, std::int64_t tokens) {
  return tokens > GroupMemoryTokens(timing, kMaxHelpersPerRequest + 1);
}

PlacementResult PlaceLongPrompt(const EngineTiming& timing,
                                const std::vector<EngineView>& pool,
                                const PlacementQuery& query) {
  const std::int64_t needed = query.prompt_tokens + query.answer_tokens;
  if (ExceedsLargestGroup(timing, needed)) return TooLarge{};
  if (needed > GroupMemoryTokens(timing, pool.size()))
    return NoCapacityNow{Shortage::kCombinedMemory};
  const auto open = EnginesOpenToLongPrompts(timing, pool);
  const Duration prefill_time = PrefillTime(timing, query.prompt_tokens);
  const std::size_t wanted = WantedEngines(open, prefill_time, query);
  std::vector<const EngineView*> ready =
      ShortPromptEnginesWithCapacity(timing, pool, open);
  ready.insert(ready.begin(), open.begin(), open.end());
  std::erase_if(ready, [](const EngineView* it) {
    return it->prefill_backlog > kMaxBacklogForPart;
  });
  const bool exceeds_engine = needed > UsableMemoryTokens(timing);
  EngineGroup group =
      FindGroup(timing, query, ready, wanted,
                exceeds_engine ? MemoryUse::kSpread : MemoryUse::kOneEngine);
  if (group.decoder == nullptr) {
    const Shortage shortage = ShortageOf(timing, query, open);
    if (shortage != Shortage::kMemory) return NoCapacityNow{shortage};
    group = FindSpreadGroup(timing, query, std::move(ready), wanted);
    if (group.decoder == nullptr) return NoCapacityNow{shortage};
  }
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
