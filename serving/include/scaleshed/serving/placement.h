#ifndef SCALESHED_SERVING_PLACEMENT_H_
#define SCALESHED_SERVING_PLACEMENT_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "scaleshed/core/types.h"
#include "scaleshed/serving/configuration.h"
#include "scaleshed/serving/work.h"

namespace scaleshed::serving {

// How long one engine with nothing else to do reads a prompt.
Duration PrefillTime(const EngineTiming& timing, std::int64_t prompt_tokens);
// How long a pass lasts in which `writers` requests write, without reading.
Duration DecodeStepTime(const EngineTiming& timing, std::int64_t writers,
                        std::int64_t context_tokens);

// A prompt that one engine reads within this is short: it is read whole, on an
// engine with others of its kind. Half of the shortest objective of the sites.
inline constexpr Duration kShortPromptPrefillLimit = milliseconds(150);

// How many of a pool's engines long prompts get beside so many short ones.
std::size_t EnginesForLongPrompts(const EngineTiming& timing,
                                  std::size_t engines,
                                  std::size_t short_prompts);

// What is known of one engine of a pool.
struct EngineView {
  BackendId id = 0;
  bool suspected = false;
  std::int64_t running = 0;        // requests that it has, reading or writing
  std::int64_t short_running = 0;  // of these, those with short prompts
  std::int64_t decoding = 0;       // of these, those past their first token
  std::int64_t prefilling = 0;     // of these, those before it
  std::int64_t helper_parts = 0;   // parts of other engines' prompts
  Duration min_event_gap_limit =
      Duration::max();         // that keeps one of them in time
  Duration prefill_backlog{};  // of reading that it has before it
  std::int64_t memory_used = 0;
  std::int64_t context_tokens = 0;  // of those that write
};

// All engines of a pool that take work, by their ids, an order that is the same
// for every daemon, with what `works` says they have.
std::vector<EngineView> BuildPoolView(
    const EngineTiming& timing, std::vector<EngineView> engines,
    const std::vector<const ActiveRequest*>& works, Time now);

struct PlacementQuery {
  std::int64_t prompt_tokens = 0;
  std::int64_t answer_tokens = 0;
  std::uint64_t tie_breaker = 0;  // decides among engines that are as good
  // What is left of its objective, and of its time; none: not looked at.
  Duration until_due = Duration::max();
  Duration time_left = Duration::max();
};

struct Placement {
  BackendId backend = 0;
  std::vector<BackendId> helpers;
  // Tokens to be set aside at each helper; empty where none are needed. Zero:
  // that helper only reads.
  std::vector<std::int64_t> helper_tokens;
  Duration first_token{};  // as expected
};
// Why there is no room now.
enum class Shortage {
  kQueueOrder,      // others that wait go first
  kEngines,         // too few engines have little before them
  kMemory,          // no engine has the memory
  kCombinedMemory,  // nor have several together
  kBackends,        // none takes work
  kFreshness,       // who takes work is not known well enough
  kCrashCheck,      // whether a server has ended under it is being asked
  kRateLimit,  // those that could take it have named limits, which are used up
  kBackoff,    // those that could take it want rest from who sends it
};
inline constexpr NameTable<Shortage, 9> kShortageNames{{
    {Shortage::kQueueOrder, "turn"},
    {Shortage::kEngines, "engines"},
    {Shortage::kMemory, "memory"},
    {Shortage::kCombinedMemory, "tickets"},
    {Shortage::kBackends, "backends"},
    {Shortage::kFreshness, "proof"},
    {Shortage::kCrashCheck, "verdict"},
    {Shortage::kRateLimit, "limit"},
    {Shortage::kBackoff, "rest"},
}};

// Room is expected later.
struct NoCapacityNow {
  Shortage shortage = Shortage::kEngines;
};
// Not even an empty pool could take it.
struct TooLarge {};
using PlacementResult = std::variant<Placement, NoCapacityNow, TooLarge>;

// Where a prompt goes. Short prompts fill the first engines of the order, one
// after another; long ones are read in even parts by as many of the others as
// bring the first token soonest, so that those who write short answers don't
// pause for them.
PlacementResult PlacePrompt(const EngineTiming& timing,
                            const std::vector<EngineView>& pool,
                            const PlacementQuery& query);

}  // namespace scaleshed::serving

#endif  // SCALESHED_SERVING_PLACEMENT_H_
