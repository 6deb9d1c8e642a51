#ifndef SCALESHED_DAEMON_INTERNAL_CLIENT_LIMITS_H_
#define SCALESHED_DAEMON_INTERNAL_CLIENT_LIMITS_H_

#include <cstdint>

#include "scaleshed/config/settings.h"

namespace scaleshed {

// What is left of a process's memory and descriptors to the connections that
// others open to it. The rest is for what the process opens itself: to backend
// servers, to the store and to other daemons.
struct ClientLimits {
  std::uint64_t max_bytes = 0;  // over all connections, see ConnectionBudget
  // Connections that are open at once, for each listener.
  std::size_t max_callers = 0;  // clients with requests
  std::size_t max_look_ups = 0;
  std::size_t max_peers = 0;   // other daemons
  std::size_t max_checks = 0;  // readiness and metrics, each
};

// By the settings; where these say nothing of descriptors, by the limit of the
// process. A single body of `max_body_bytes` is always within the bound.
ClientLimits ClientLimitsOf(const Settings& settings,
                            std::int64_t max_body_bytes);

}  // namespace scaleshed

#endif  // SCALESHED_DAEMON_INTERNAL_CLIENT_LIMITS_H_
