#ifndef SCALESHED_WIRE_DATAGRAM_CODEC_H_
#define SCALESHED_WIRE_DATAGRAM_CODEC_H_

#include <optional>
#include <string>

#include "scaleshed/core/types.h"
#include "scaleshed/serving/dispatch.h"
#include "scaleshed/serving/events.h"
#include "scaleshed/serving/store_relay.h"
#include "scaleshed/serving/work.h"

namespace scaleshed {

// What daemons tell each other, as bytes. Times of a snapshot are told relative
// to `now`, and read relative to the receiver's, so that daemons' clocks need
// not agree.
std::string EncodeDatagram(const serving::LoadSnapshot& snapshot, Time now);
std::string EncodeDatagram(const serving::StoreRelay& relay);
std::string EncodeDatagram(const serving::PlacementRequest& question, Time now);
std::string EncodeDatagram(const serving::PlacementResponse& answer);
// The event that brings what was encoded; nothing where the bytes are none.
std::optional<serving::EventBody> DecodeDatagram(const std::string& bytes,
                                                 Time now);

}  // namespace scaleshed

#endif  // SCALESHED_WIRE_DATAGRAM_CODEC_H_
