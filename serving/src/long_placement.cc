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
constexpr Duration kMostLongBacklog = milliseconds(30);
// Part of the engines that a long prompt is to be read by that must have room
// before it starts: on few, it would stand in the way of others for long.
constexpr double kLeastGang = 0.6;
// A prompt is read in parts of about this and more: the passes around a part
// take about as long, in which its engine reads nothing else. Measured over 24
// days: 40, 80, 140 and 220 ms.
constexpr Duration kLeastPart = milliseconds(140);
// Below this the pass costs several times the reading.
constexpr Duration kSmallestPart = milliseconds(40);
// Memory is handed out in blocks of so many tokens.
constexpr std::int64_t kBlockTokens = 16;
// Engines that long prompts leave alone, however few short ones there are.
constexpr std::size_t kLeastShortEngines = 1;
// Part of the longest pause that a part of a long prompt may fill where short
// prompts are in work: others of these are read meanwhile.
constexpr double kPauseBesideShort = 0.8;

// The number of engines at the start of the order that are kept for short
// prompts, from those that are there now.
std::size_t ShortEngines(const EngineTiming& timing,
                         const std::vector<EngineView>& pool) {
  std::int64_t running = 0;
  for (const EngineView& it : pool) running += it.short_running;
  const auto limit =
      std::max<std::int64_t>(RequestsBeforeNextEngine(timing), 1);
  const auto wanted = static_cast<std::size_t>((running + limit / 2) / limit);
  const std::size_t most = pool.size() > kMinLongPromptEngines
                               ? pool.size() - kMinLongPromptEngines
                               : 0;
  return std::min(std::max(wanted + 1, kLeastShortEngines), most);
}

// Whether a part that is read on this engine keeps the pauses of those who
// write there in time. Short prompts are read there too, at any moment, so that
// a part may take only some of what is left beside them.
bool KeepsPauses(const EngineTiming& timing, const EngineView& engine,
                 Duration part) {
  if (engine.running == 0) return true;
  const Duration pass =
      DecodeStepTime(timing, engine.running, engine.context_tokens);
  const Duration before = engine.prefill_backlog + pass;
  if (engine.short_running == 0)
    return before + part <= engine.min_event_gap_limit;
  return before + part <=
         FractionOf(engine.min_event_gap_limit, kPauseBesideShort);
}

// The engines that a long prompt may use at some time soon: those that short
// prompts leave alone.
std::vector<const EngineView*> LongEngines(
    const EngineTiming& timing, const std::vector<EngineView>& pool) {
  const std::size_t kept = ShortEngines(timing, pool);
  std::vector<const EngineView*> open;
  for (std::size_t i = 0; i < pool.size(); ++i) {
    const bool free_of_short = i >= kept && pool[i].short_running == 0;
    const bool may_help =
        pool[i].running < timing.slots && pool[i].helper_parts < timing.slots;
    if (free_of_short && may_help && !pool[i].suspected)
      open.push_back(&pool[i]);
  }
  if (open.empty()) {
    // Short prompts are everywhere: the last engines have the fewest.
    for (auto it = pool.rbegin();
         it != pool.rend() && open.size() < kMinLongPromptEngines; ++it) {
      const bool room = it->running < timing.slots;
      if (room && !it->suspected) open.push_back(&*it);
    }
  }
  return open;
}

// Engines with short prompts that have room for a small part beside them.
std::vector<const EngineView*> BesideShort(
    const EngineTiming& timing, const std::vector<EngineView>& pool,
    const std::vector<const EngineView*>& open) {
  std::vector<const EngineView*> beside;
  for (const EngineView& it : pool) {
    const bool known = std::find(open.begin(), open.end(), &it) != open.end();
    if (known || it.suspected || it.helper_parts >= timing.slots) continue;
    // One without any is kept for those that come.
    if (it.short_running == 0) continue;
    if (KeepsPauses(timing, it, kSmallestPart)) beside.push_back(&it);
  }
  return beside;
}

// Shares a prompt's memory out: the rest after the tickets stays at `first`.
// False where there is not enough.
bool ShareMemory(const EngineTiming& timing, std::int64_t needed,
                 const EngineView& first,
                 const std::vector<const EngineView*>& helpers,
                 std::vector<std::int64_t>& tokens) {
  const auto free = [&](const EngineView& it) {
    return std::max<std::int64_t>(UsableMemoryTokens(timing) - it.memory_used,
                                  0);
  };
  std::int64_t rest = needed - free(first);
  if (rest <= 0) return true;
  tokens.assign(helpers.size(), 0);
  for (std::size_t i = 0; i < helpers.size() && rest > 0; ++i) {
    const std::int64_t most = free(*helpers[i]) / kBlockTokens * kBlockTokens;
    const std::int64_t whole =
        (rest + kBlockTokens - 1) / kBlockTokens * kBlockTokens;
    tokens[i] = std::min(most, whole);
    rest -= tokens[i];
  }
  return rest <= 0;
}

// Can't keep its objective, however many engines read it.
bool IsLate(Duration read, const PlacementQuery& query) {
  return read / static_cast<Duration::rep>(kMaxHelpersPerRequest + 1) >
         query.until_due;
}

// Enough to be read within half of the time that is left.
std::size_t EnginesInTime(Duration read, Duration time_left) {
  constexpr Duration kLeastLeft = milliseconds(100);
  return static_cast<std::size_t>(read / std::max(time_left / 2, kLeastLeft)) +
         1;
}

// How many engines a prompt is to be read by, of those that have room soon. One
// that can't keep its objective, however many read it, gets no more than it
// needs before its deadline: 71 s of reading, spread at once over all that
// could be named, came 1.9 s late all the same, and took the engines' time of
// eight prompts of the usual 8.7 s.
std::size_t WantedEngines(const std::vector<const EngineView*>& open,
                          Duration read, const PlacementQuery& query) {
  auto parts = static_cast<std::size_t>(read / kLeastPart);
  if (IsLate(read, query)) {
    parts = std::min(parts, EnginesInTime(read, query.time_left));
  }
  return std::max<std::size_t>(
      std::min({open.size(), parts, kMaxHelpersPerRequest + 1}), 1);
}

// The engine that reads the first part and writes the answer. One that has
// requests of its own is taken before an empty one, so that few engines have
// writers, who pause for every part that is read there. Where none has the
// memory for all of a prompt that no engine could hold, the one with the most.
const EngineView* PickWriter(const EngineTiming& timing,
                             const std::vector<const EngineView*>& able,
                             const PlacementQuery& query) {
  const std::int64_t needed = query.prompt_tokens + query.answer_tokens;
  const EngineView* best = nullptr;
  for (const EngineView* it : able) {
    if (it->running >= RequestsBeforeNextEngine(timing)) continue;
    if (it->memory_used + needed > UsableMemoryTokens(timing)) continue;
    if (best == nullptr || it->memory_used > best->memory_used) best = it;
  }
  if (best != nullptr || needed <= UsableMemoryTokens(timing)) return best;
  for (const EngineView* it : able) {
    if (best == nullptr || it->memory_used < best->memory_used) best = it;
  }
  return best;
}

// The engines that read one long prompt together.
struct Gang {
  const EngineView* writer = nullptr;
  std::vector<const EngineView*> helpers;
};

// A longer part of a prompt that is late anyway goes to engines that have
// nothing else: they read the newest part first, so that whatever is late there
// by the estimate's error is late by the whole part. One prompt of 71 s of
// reading, 4.2 s on each of 17 engines, made the first tokens of four others 4
// to 7 s late and five streams pause for 3 to 4 s. One that can be in time does
// not wait for idle engines: small pools seldom have enough of them.
constexpr Duration kLongPart = seconds(1);

bool MayTakePart(const EngineTiming& timing, const EngineView& engine,
                 Duration part, bool is_late) {
  const bool idle = engine.running == 0 && engine.helper_parts == 0;
  if (is_late && part > kLongPart && !idle) return false;
  return KeepsPauses(timing, engine, part);
}

// A gang of `size` from those whose writers don't pause too long for parts of
// that size. Nothing of `writer` where there are too few, or no memory.
Gang PickGang(const EngineTiming& timing, const PlacementQuery& query,
              const std::vector<const EngineView*>& ready, std::size_t size) {
  const Duration read = PrefillTime(timing, query.prompt_tokens);
  const Duration part = read / static_cast<Duration::rep>(size);
  const bool is_late = IsLate(read, query);
  std::vector<const EngineView*> able;
  std::copy_if(ready.begin(), ready.end(), std::back_inserter(able),
               [&](const EngineView* it) {
                 return MayTakePart(timing, *it, part, is_late);
               });
  Gang gang;
  if (able.size() < size) return gang;
  gang.writer = PickWriter(timing, able, query);
  if (gang.writer == nullptr) return gang;
  for (const EngineView* it : able) {
    if (it != gang.writer && it->prefilling == 0) gang.helpers.push_back(it);
  }
  if (gang.helpers.size() + 1 < size) return Gang{};
  // Those without requests of their own first, then those with the most memory.
  std::stable_sort(gang.helpers.begin(), gang.helpers.end(),
                   [](const EngineView* a, const EngineView* b) {
                     if (a->running != b->running) {
                       return a->running < b->running;
                     }
                     return a->memory_used < b->memory_used;
                   });
  gang.helpers.resize(size - 1);
  return gang;
}

// A gang of about `wanted`: fewer if some are busy, or else more, whose smaller
// parts more engines can take. Nothing of `writer` where there is none.
Gang FindGang(const EngineTiming& timing, const PlacementQuery& query,
              const std::vector<const EngineView*>& ready, std::size_t wanted) {
  const auto least = static_cast<std::size_t>(
      std::ceil(kLeastGang * static_cast<double>(wanted)));
  for (std::size_t n = std::min(wanted, ready.size()); n >= least; --n) {
    Gang gang = PickGang(timing, query, ready, n);
    if (gang.writer != nullptr) return gang;
  }
  const auto parts = static_cast<std::size_t>(
      PrefillTime(timing, query.prompt_tokens) / kSmallestPart);
  const std::size_t most =
      std::min({parts, ready.size(), kMaxHelpersPerRequest + 1});
  for (std::size_t n = wanted + 1; n <= most; ++n) {
    Gang gang = PickGang(timing, query, ready, n);
    if (gang.writer != nullptr) return gang;
  }
  return {};
}

// Why no gang was found, for those who read the log and for the order of those
// that wait.
Shortage ShortageOf(const EngineTiming& timing, const PlacementQuery& query,
                    const std::vector<const EngineView*>& open) {
  const std::int64_t needed = query.prompt_tokens + query.answer_tokens;
  const bool memory =
      needed > UsableMemoryTokens(timing) ||
      std::any_of(open.begin(), open.end(), [&](const EngineView* it) {
        return it->memory_used + needed <= UsableMemoryTokens(timing);
      });
  return memory ? Shortage::kEngines : Shortage::kMemory;
}

}  // namespace

PlacementResult PlaceLongPrompt(const EngineTiming& timing,
                                const std::vector<EngineView>& pool,
                                const PlacementQuery& query) {
  const std::int64_t needed = query.prompt_tokens + query.answer_tokens;
  const auto most_engines = static_cast<std::int64_t>(
      std::min(pool.size(), kMaxHelpersPerRequest + 1));
  if (needed > most_engines * UsableMemoryTokens(timing)) return TooLarge{};
  const auto open = LongEngines(timing, pool);
  const Duration read = PrefillTime(timing, query.prompt_tokens);
  const std::size_t wanted = WantedEngines(open, read, query);
  std::vector<const EngineView*> ready = BesideShort(timing, pool, open);
  ready.insert(ready.begin(), open.begin(), open.end());
  std::erase_if(ready, [](const EngineView* it) {
    return it->prefill_backlog > kMostLongBacklog;
  });
  const Gang gang = FindGang(timing, query, ready, wanted);
  if (gang.writer == nullptr)
    return NoCapacityNow{ShortageOf(timing, query, open)};
  Placement placed{.backend = gang.writer->id,
                   .helpers = {},
                   .helper_tokens = {},
                   .first_token = {}};
  Duration backlog = gang.writer->prefill_backlog;
  for (const EngineView* it : gang.helpers) {
    placed.helpers.push_back(it->id);
    backlog = std::max(backlog, it->prefill_backlog);
  }
  if (!ShareMemory(timing, needed, *gang.writer, gang.helpers,
                   placed.helper_tokens)) {
    return NoCapacityNow{Shortage::kCombinedMemory};
  }
  placed.first_token =
      backlog + read / static_cast<Duration::rep>(gang.helpers.size() + 1) +
      2 * DecodeStepTime(timing, gang.writer->running,
                         needed + gang.writer->context_tokens);
  return placed;
}

}  // namespace scaleshed::serving::internal
