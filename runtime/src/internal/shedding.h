#ifndef SCALESHED_RUNTIME_INTERNAL_SHEDDING_H_
#define SCALESHED_RUNTIME_INTERNAL_SHEDDING_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "scaleshed/runtime/connection_budget.h"
#include "scaleshed/runtime/http_server.h"

namespace scaleshed::internal {

// What is known of a connection when some have to give up what they hold.
struct ConnectionLoad {
  ConnectionStage stage = ConnectionStage::kIdle;
  bool reads_head = false;
  bool reads_body = false;
  std::uint64_t read_ahead_bytes = 0;  // behind the request in work
  std::uint64_t request_bytes = 0;     // of the request that is being read
  std::uint64_t unsent_bytes = 0;      // of answers
  // Bytes a second of the request, and of the answers; nothing: too early to
  // say.
  std::optional<double> request_rate;
  std::optional<double> answer_rate;
  // When the request that is being read began, or the connection's rest.
  Time since{};
  bool lingering = false;  // all is sent, and its client is to close
  bool served = false;     // a request was answered on it
};

struct ShedChoice {
  std::size_t index = 0;  // of the connection
  ShedReason reason = ShedReason::kNewestRequest;
};

// Chooses what is given up for memory. With `only_large`, connections that hold
// no more than ConnectionBudget::kSmallBytes are left as they are. Returns
// nothing if no connection holds anything that it could give up.
std::optional<ShedChoice> ChooseForMemory(
    const std::vector<ConnectionLoad>& loads, bool only_large);

// Chooses which connection is closed for a new one; nothing if all are in use.
std::optional<ShedChoice> ChooseForConnection(
    const std::vector<ConnectionLoad>& loads);

}  // namespace scaleshed::internal

#endif  // SCALESHED_RUNTIME_INTERNAL_SHEDDING_H_
