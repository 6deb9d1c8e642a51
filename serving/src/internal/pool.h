#ifndef SCALESHED_SERVING_INTERNAL_POOL_H_
#define SCALESHED_SERVING_INTERNAL_POOL_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "scaleshed/serving/placement.h"

// What the placing of short and of long prompts shares.
namespace scaleshed::serving::internal {

// Engines that stay open to long prompts under any number of short ones.
inline constexpr std::size_t kMinLongPromptEngines = 4;

// Helpers that one request may name, as the engines' protocol says.
inline constexpr std::size_t kMaxHelpersPerRequest = 16;

// Requests that an engine gets before the next one in the order is used.
std::int64_t RequestsBeforeNextEngine(const EngineTiming& timing);
// Tokens of an engine's memory that are handed out.
std::int64_t UsableMemoryTokens(const EngineTiming& timing);

// long_placement.cc
PlacementResult PlaceLongPrompt(const EngineTiming& timing,
                                const std::vector<EngineView>& pool,
                                const PlacementQuery& query);

}  // namespace scaleshed::serving::internal

#endif  // SCALESHED_SERVING_INTERNAL_POOL_H_
