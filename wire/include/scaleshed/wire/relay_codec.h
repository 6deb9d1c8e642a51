#ifndef SCALESHED_WIRE_RELAY_CODEC_H_
#define SCALESHED_WIRE_RELAY_CODEC_H_

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "scaleshed/serving/effects.h"

namespace scaleshed {

// Where a daemon takes the requests that other daemons relay to it, on the HTTP
// listener for daemons.
inline constexpr char kRelayPath[] = "/relay";
// Headers that the response to a relayed request carries beside the backend
// server's own.
inline constexpr char kRelayOutcomeHeader[] = "Relay-Outcome";
inline constexpr char kRelayRetryHeader[] = "Relay-Retry-Ms";

// A client's request on its way from the daemon that read it to the daemon that
// sends it to a backend server.
struct RelayEnvelope {
  std::string origin;  // peer address of the daemon that read the request
  std::string method;
  std::string target;  // path and query
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

std::string EncodeRelay(RelayEnvelope envelope);
// Returns nothing if the bytes are no envelope with an origin, a method and a
// target.
std::optional<RelayEnvelope> DecodeRelay(const std::string& bytes);

// What the relay, the daemon that took over a request, says of it.
struct RelayOutcome {
  // Why that daemon itself responds; nothing: the response is a backend
  // server's.
  std::optional<serving::Refusal> refusal;
  Duration retry_after{};  // zero: not given
};

// The values of kRelayOutcomeHeader and kRelayRetryHeader.
std::string RelayOutcomeText(const RelayOutcome& outcome);
std::string RelayRetryText(const RelayOutcome& outcome);
// Returns nothing if `outcome` names no outcome that this version knows.
std::optional<RelayOutcome> ParseRelayOutcome(const std::string& outcome,
                                              const std::string& retry_ms);

}  // namespace scaleshed

#endif  // SCALESHED_WIRE_RELAY_CODEC_H_
