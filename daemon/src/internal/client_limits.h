#ifndef SCALESHED_DAEMON_INTERNAL_CLIENT_LIMITS_H_
#define SCALESHED_DAEMON_INTERNAL_CLIENT_LIMITS_H_

#include <cstdint>

#include "scaleshed/config/settings.h"

namespace scaleshed {

// What is left of a process's memory to the connections that others open to it.
struct ClientLimits {
  std::uint64_t max_bytes = 0;  // over all connections, see ConnectionBudget
};

// By the settings. A single body of `max_body_bytes` is always within the
// bound.
ClientLimits ClientLimitsOf(const Settings& settings,
                            std::int64_t max_body_bytes);

}  // namespace scaleshed

#endif  // SCALESHED_DAEMON_INTERNAL_CLIENT_LIMITS_H_
