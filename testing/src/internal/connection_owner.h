#ifndef SCALESHED_TESTING_SRC_INTERNAL_CONNECTION_OWNER_H_
#define SCALESHED_TESTING_SRC_INTERNAL_CONNECTION_OWNER_H_

#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace scaleshed::testing {

// Returns which of these processes holds the end of a TCP connection over
// loopback that has that local port; nothing if none does.
std::optional<pid_t> OwnerOfConnection(std::uint16_t local_port,
                                       const std::vector<pid_t>& processes);

}  // namespace scaleshed::testing

#endif  // SCALESHED_TESTING_SRC_INTERNAL_CONNECTION_OWNER_H_
