#include "internal/client_limits.h"

#include <algorithm>

namespace scaleshed {
namespace {

constexpr double kBytesPerMb = 1024 * 1024;
// A share of the machine's memory.
constexpr double kMemoryShare = 0.4;
// A body, the copy that is sent on, and the room that large requests leave to
// small ones.
constexpr std::uint64_t kBodiesAtLeast = 4;

}  // namespace

ClientLimits ClientLimitsOf(const Settings& settings,
                            std::int64_t max_body_bytes) {
  const auto memory = static_cast<std::uint64_t>(settings.memory_mb *
                                                 kBytesPerMb * kMemoryShare);
  return {.max_bytes =
              std::max(memory, kBodiesAtLeast *
                                   static_cast<std::uint64_t>(max_body_bytes))};
}

}  // namespace scaleshed
