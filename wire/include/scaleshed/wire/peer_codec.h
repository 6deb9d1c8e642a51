#ifndef SCALESHED_WIRE_PEER_CODEC_H_
#define SCALESHED_WIRE_PEER_CODEC_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "scaleshed/core/peer_messages.h"
#include "scaleshed/core/result.h"
#include "scaleshed/wire/errors.h"

namespace scaleshed {

// A message with its sender.
struct PeerEnvelope {
  Incarnation from;
  PeerMessage message;
};

// `unix_us` is the wall clock in microseconds. A forwarded call carries its
// deadline in wall time, so that one that waited in a paused process arrives
// with no time left.
std::string EncodePeer(const PeerEnvelope& envelope, std::int64_t unix_us);
Result<PeerEnvelope, WireError> DecodePeer(std::string_view bytes,
                                           std::int64_t unix_us);

// What a driver keeps of a caller's request beside the core's CallSpec.
struct CallBody {
  std::string method;
  std::string path;
  std::string content_type;
  std::string body;
  bool operator==(const CallBody&) const = default;
};

std::string EncodeCallBody(const CallBody& body);
Result<CallBody, WireError> DecodeCallBody(std::string_view bytes);

}  // namespace scaleshed

#endif  // SCALESHED_WIRE_PEER_CODEC_H_
