#ifndef SCALESHED_SERVING_SEND_BLOCK_H_
#define SCALESHED_SERVING_SEND_BLOCK_H_

#include <optional>
#include <set>
#include <string>

#include "scaleshed/core/types.h"

namespace scaleshed::serving {

// Why a backend server may not get a request now. If several reasons apply, the
// first in this order is given.
enum class SendBlock {
  kFaultyEntry,     // its entry in the store names no usable server
  kLeaving,         // it is shutting down
  kRestoredEntry,   // only an older backup of the store lists it
  kEvacuated,       // the operators have its data centre evacuated
  kOutsideRegions,  // it is in no region that the request allows
  kBackoff,         // it has asked this daemon for a backoff
  kWarmUp,          // it is cold, and the send has no warm-up grant
};
inline constexpr NameTable<SendBlock, 7> kSendBlockNames{{
    {SendBlock::kFaultyEntry, "unusable"},
    {SendBlock::kLeaving, "leaving"},
    {SendBlock::kRestoredEntry, "restored"},
    {SendBlock::kEvacuated, "evacuated"},
    {SendBlock::kOutsideRegions, "outside_regions"},
    {SendBlock::kBackoff, "resting"},
    {SendBlock::kWarmUp, "warm_up"},
}};

// The regions in which a request may run; no value: all.
using AllowedRegions = std::optional<std::set<std::string>>;

// What decides about a send besides the state of the backend server.
struct SendTerms {
  const AllowedRegions* allowed_regions = nullptr;  // null: all
  // This daemon itself sends now, so that its backoffs apply. Otherwise the
  // send is only planned, perhaps for another daemon.
  bool sends_now = false;
  // The send is counted against the warm-up limit of a cold server, or isn't
  // subject to it.
  bool has_warm_up_grant = false;
};

}  // namespace scaleshed::serving

#endif  // SCALESHED_SERVING_SEND_BLOCK_H_
