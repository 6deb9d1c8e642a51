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

// The time that one engine with nothing else to do takes to prefill a prompt.
Duration PrefillTime(const EngineTiming& timing, std::int64_t prompt_tokens);
// The time in which an engine that decodes `decoding` requests and prefills
// none produces one event of each stream: `tokens_per_event` engine steps.
Duration DecodeStepTime(const EngineTiming& timing, std::int64_t decoding,
                        std::int64_t context_tokens);

// A prompt that one engine prefills within this limit counts as short: a single
// engine prefills all of it, beside other short prompts. The limit is half of
// the shortest objective in the operators' configurations.
inline constexpr Duration kShortPromptPrefillLimit = milliseconds(150);

// The number of a pool's engines that are left for long prompts while
// `short_prompts` short ones are active.
std::size_t EnginesForLongPrompts(const EngineTiming& timing,
                                  std::size_t engines,
                                  std::size_t short_prompts);

// The load of one engine of a pool, as placement sees it. BuildPoolView() fills
// it from the active requests of all daemons; the caller sets `id` and
// `suspected`.
struct EngineView {
  BackendId id = 0;
  bool suspected = false;          // gets no new work
  std::int64_t running = 0;        // active requests, prefilling or decoding
  std::int64_t short_running = 0;  // active requests with short prompts
  std::int64_t decoding = 0;       // active requests past their first token
  std::int64_t prefilling = 0;     // active requests before their first token
  std::int64_t helper_parts = 0;   // parts of other engines' prompts to prefill
  // The shortest of the event gaps that the active requests allow.
  Duration min_event_gap_limit = Duration::max();
  Duration prefill_backlog{};       // prefill work that is queued or under way
  std::int64_t memory_used = 0;     // tokens
  std::int64_t context_tokens = 0;  // of the decoding requests
};

// Adds the load that the active requests in `active_requests` cause to
// `engines`, which must be sorted by id. The order by id is the same for every
// daemon, so that all of them fill the same engines first.
std::vector<EngineView> BuildPoolView(
    const EngineTiming& timing, std::vector<EngineView> engines,
    const std::vector<const ActiveRequest*>& active_requests, Time now);

// What PlacePrompt() needs to know of the prompt to place.
struct PlacementQuery {
  std::int64_t prompt_tokens = 0;
  std::int64_t answer_tokens = 0;  // upper limit
  std::uint64_t tie_breaker = 0;   // chooses among equally good engines
  // Time left until the objective and until the deadline; Duration::max(): not
  // taken into account.
  Duration until_due = Duration::max();
  Duration time_left = Duration::max();
};

// The engine that serves a prompt and, for a long prompt, its prefill helpers.
struct Placement {
  BackendId backend = 0;
  std::vector<BackendId> helpers;
  // Tokens of memory to reserve at each helper, in the order of `helpers`;
  // empty if none are needed. A helper with zero only prefills.
  std::vector<std::int64_t> helper_tokens;
  Duration first_token{};  // expected time until the first token
};
// Why a prompt can't be placed now.
enum class Shortage {
  kQueueOrder,      // other waiting prompts go first
  kEngines,         // too few engines have a short enough backlog
  kMemory,          // no engine has enough free memory
  kCombinedMemory,  // several engines together lack the free memory
  // No backend server takes work, or no engine has room for a short prompt.
  kBackends,
  kFreshness,       // the list of backend servers is too old to be used
  kCrashCheck,      // a crash check of its fingerprint is under way
  kRateLimit,       // the rate limits of all eligible servers are used up
  kBackoff,         // the sender backs off from all eligible servers
  kWarmUp,          // all eligible servers are cold and get what they bear
  kRegions,         // no backend server is in a region that is allowed
  kPlacers,         // the fleet has just started and has no placer yet
  kMissingEngines,  // too few engines are there for the prompt's memory
};
inline constexpr NameTable<Shortage, 13> kShortageNames{{
    {Shortage::kQueueOrder, "turn"},
    {Shortage::kEngines, "engines"},
    {Shortage::kMemory, "memory"},
    {Shortage::kCombinedMemory, "tickets"},
    {Shortage::kBackends, "backends"},
    {Shortage::kFreshness, "proof"},
    {Shortage::kCrashCheck, "verdict"},
    {Shortage::kRateLimit, "limit"},
    {Shortage::kBackoff, "rest"},
    {Shortage::kWarmUp, "warm_up"},
    {Shortage::kRegions, "regions"},
    {Shortage::kPlacers, "placers"},
    {Shortage::kMissingEngines, "missing_engines"},
}};

// The prompt can't be placed now; capacity is expected later.
struct NoCapacityNow {
  Shortage shortage = Shortage::kEngines;
};
// The prompt exceeds the memory of the largest group of engines that one prompt
// may use.
struct TooLarge {};
// What PlacePrompt() returns.
using PlacementResult = std::variant<Placement, NoCapacityNow, TooLarge>;

// Chooses the engines for a prompt. Short prompts fill the engines in the order
// of the pool, one after another. Long prompts are split into equal parts,
// which as many of the other engines prefill as bring the first token soonest,
// so that streams of short prompts have no long event gaps because of them.
PlacementResult PlacePrompt(const EngineTiming& timing,
                            const std::vector<EngineView>& pool,
                            const PlacementQuery& query);

}  // namespace scaleshed::serving

#endif  // SCALESHED_SERVING_PLACEMENT_H_
