#ifndef SCALESHED_SERVING_DISPATCH_H_
#define SCALESHED_SERVING_DISPATCH_H_

#include <cstdint>
#include <string>
#include <vector>

#include "scaleshed/core/types.h"
#include "scaleshed/serving/placement.h"
#include "scaleshed/serving/send_block.h"
#include "scaleshed/serving/work.h"

namespace scaleshed::serving {

// In a large fleet, two daemons place the prompts of all: the placers. The
// other daemons publish their active requests only to the placers, and request
// a placement from one of them. Any message may be lost, duplicated or late. A
// placer that is gone, frozen or wrong costs time, but breaks no promise to a
// client, as the requesting daemon itself checks and sends the prompt.

// A daemon's request to a placer to place one prompt. The daemon repeats it
// while no response comes, and at intervals while the prompt is queued.
struct PlacementRequest {
  std::string peer_address;       // of the requesting daemon
  std::uint64_t incarnation = 0;  // of the requesting daemon
  std::uint64_t id = 0;           // of the request, later of its ActiveRequest
  std::uint64_t attempt_number = 0;  // rises with each attempt at the request
  bool withdrawn = false;            // no placement is needed any more
  std::string request;               // the client's request id, for the log
  std::string service;
  std::int64_t prompt_tokens = 0;
  std::int64_t answer_tokens = 0;  // upper limit
  Time arrived{};
  Time due{};  // objective time
  Time deadline{};
  Duration max_event_gap{};         // the longest that meets the objective
  std::vector<BackendId> excluded;  // not to be used for this prompt
  // Servers that the requesting daemon backs off from.
  std::vector<BackendId> backing_off;
  std::uint64_t fingerprint = 0;  // zero: unknown
  // The requesting daemon has seen that a server may have crashed under this
  // fingerprint. The placer may learn that only after this request.
  bool crash_suspected = false;
  // Fingerprints of the prompt's parts that are crash-suspected, by what the
  // requesting daemon knows.
  std::vector<std::uint64_t> suspected_parts;
  // Rises with each placement request that the daemon sends. The response
  // echoes it, which bounds the age of a warm-up grant.
  std::uint64_t sequence = 0;
  // As Request::allowed_regions. A placer of an older build ignores them.
  AllowedRegions allowed_regions;
};

// What a placer did with a PlacementRequest.
enum class PlacementOutcome {
  kPlaced,
  kQueued,   // the placer sends another response once the prompt is placed
  kRefused,  // it can't be served before its deadline
  // It exceeds the largest group of engines. A placer of an older build says so
  // of a prompt that exceeds the engines which are there at that moment, too.
  kTooLarge,
};
inline constexpr NameTable<PlacementOutcome, 4> kPlacementOutcomeNames{{
    {PlacementOutcome::kPlaced, "placed"},
    {PlacementOutcome::kQueued, "waits"},
    {PlacementOutcome::kRefused, "refused"},
    {PlacementOutcome::kTooLarge, "too_large"},
}};

// A placer's response to a PlacementRequest, matched by `incarnation`, `id` and
// `attempt_number`. The requesting daemon ignores a response to an earlier
// attempt.
struct PlacementResponse {
  std::string peer_address;       // of the placer
  std::uint64_t incarnation = 0;  // as in the request
  std::uint64_t id = 0;
  std::uint64_t attempt_number = 0;
  PlacementOutcome outcome = PlacementOutcome::kQueued;
  Placement placement;  // if the outcome is kPlaced
  // Backend servers of the placement whose rate limits the placer has counted
  // the request against, or knows to be withdrawn.
  std::vector<BackendId> rate_limits_counted;
  // Cold backend servers of the placement that the placer, as the warm-up
  // granter, has counted the request against.
  std::vector<BackendId> warm_up_grants;
  std::uint64_t sequence = 0;  // of the request that led to the decision
  Shortage shortage{};         // why the prompt is queued or was refused
  Duration retry_after{};      // if the outcome is kRefused
};

}  // namespace scaleshed::serving

#endif  // SCALESHED_SERVING_DISPATCH_H_
