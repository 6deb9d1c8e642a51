#ifndef SCALESHED_TESTING_SRC_INTERNAL_CONNECTION_OWNER_H_
#define SCALESHED_TESTING_SRC_INTERNAL_CONNECTION_OWNER_H_

#include <netinet/in.h>
#include <sys/types.h>

#include <optional>
#include <vector>

namespace scaleshed::testing {

// Returns which of these processes holds the TCP connection between these two
// addresses of this machine, at the end `local`; nothing if none does.
std::optional<pid_t> OwnerOfConnection(const sockaddr_in& local,
                                       const sockaddr_in& remote,
                                       const std::vector<pid_t>& processes);

}  // namespace scaleshed::testing

#endif  // SCALESHED_TESTING_SRC_INTERNAL_CONNECTION_OWNER_H_
