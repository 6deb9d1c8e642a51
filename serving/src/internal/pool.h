#ifndef SCALESHED_SERVING_INTERNAL_POOL_H_
#define SCALESHED_SERVING_INTERNAL_POOL_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "scaleshed/serving/placement.h"

// Limits that the placement of short and of long prompts share.
namespace scaleshed::serving::internal {

// Engines that short prompts use last, in pools of more than twice as many.
inline constexpr std::size_t kMinLongPromptEngines = 4;

// The engine protocol's limit on the prefill helpers of one request.
inline constexpr std::size_t kMaxHelpersPerRequest = 16;

// The number of requests that an engine gets before the next one in the order
// of the pool is used.
std::int64_t RequestsBeforeNextEngine(const EngineTiming& timing);
// The tokens of an engine's memory that placement may use.
std::int64_t UsableMemoryTokens(const EngineTiming& timing);
// The tokens of memory that one prompt may use in a pool of that many engines.
std::int64_t GroupMemoryTokens(const EngineTiming& timing, std::size_t engines);
// Whether a request exceeds the memory of as many engines as one may use, so
// that it never fits, whatever engines there are.
bool ExceedsLargestGroup(const EngineTiming& timing, std::int64_t tokens);

// Places a prompt whose prefill takes longer than kShortPromptPrefillLimit.
// Defined in long_placement.cc.
PlacementResult PlaceLongPrompt(const EngineTiming& timing,
                                const std::vector<EngineView>& pool,
                                const PlacementQuery& query);

}  // namespace scaleshed::serving::internal

#endif  // SCALESHED_SERVING_INTERNAL_POOL_H_
