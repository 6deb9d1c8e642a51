#include "internal/client_limits.h"

#include <sys/resource.h>

#include <algorithm>

namespace scaleshed {
namespace {

constexpr double kBytesPerMb = 1024 * 1024;
// Shares of a process's memory and sockets.
constexpr double kMemoryShare = 0.4;
constexpr double kCallerShare = 0.4;
constexpr double kLookUpShare = 0.1;
constexpr double kPeerShare = 0.1;
// A body, the copy that is sent on, and the room that large requests leave to
// small ones.
constexpr std::uint64_t kBodiesAtLeast = 4;
// Descriptors that aren't sockets, where there are that many.
constexpr std::uint64_t kFileDescriptors = 200;
// The platform and whoever reads metrics keep a few connections.
constexpr std::size_t kMaxChecks = 16;

std::uint64_t MaxDescriptors(const Settings& settings) {
  rlimit allowed{};
  getrlimit(RLIMIT_NOFILE, &allowed);
  const std::uint64_t most = allowed.rlim_cur;
  if (!settings.max_descriptors) return most;
  return std::min(most, static_cast<std::uint64_t>(*settings.max_descriptors));
}

std::size_t Share(std::uint64_t sockets, double share) {
  return std::max<std::size_t>(
      static_cast<std::size_t>(static_cast<double>(sockets) * share), 1);
}

}  // namespace

ClientLimits ClientLimitsOf(const Settings& settings,
                            std::int64_t max_body_bytes) {
  const std::uint64_t descriptors = MaxDescriptors(settings);
  const std::uint64_t sockets =
      descriptors - std::min(kFileDescriptors, descriptors / 2);
  const auto memory = static_cast<std::uint64_t>(settings.memory_mb *
                                                 kBytesPerMb * kMemoryShare);
  return {
      .max_bytes = std::max(
          memory, kBodiesAtLeast * static_cast<std::uint64_t>(max_body_bytes)),
      .max_callers = Share(sockets, kCallerShare),
      .max_look_ups = Share(sockets, kLookUpShare),
      .max_peers = Share(sockets, kPeerShare),
      .max_checks = kMaxChecks};
}

}  // namespace scaleshed
