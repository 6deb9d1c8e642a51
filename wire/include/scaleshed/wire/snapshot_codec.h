#ifndef SCALESHED_WIRE_SNAPSHOT_CODEC_H_
#define SCALESHED_WIRE_SNAPSHOT_CODEC_H_

#include <optional>
#include <string>

#include "scaleshed/core/types.h"
#include "scaleshed/serving/work.h"

namespace scaleshed {

// A snapshot as bytes. Times are told relative to `now`, and read relative to
// the receiver's, so that daemons' clocks need not agree.
std::string EncodeSnapshot(const serving::LoadSnapshot& snapshot, Time now);
// Nothing where the bytes are no snapshot.
std::optional<serving::LoadSnapshot> DecodeSnapshot(const std::string& bytes,
                                                    Time now);

}  // namespace scaleshed

#endif  // SCALESHED_WIRE_SNAPSHOT_CODEC_H_
