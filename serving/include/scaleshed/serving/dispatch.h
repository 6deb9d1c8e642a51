#ifndef SCALESHED_SERVING_DISPATCH_H_
#define SCALESHED_SERVING_DISPATCH_H_

#include <cstdint>
#include <string>
#include <vector>

#include "scaleshed/core/types.h"
#include "scaleshed/serving/placement.h"
#include "scaleshed/serving/work.h"

namespace scaleshed::serving {

// Where there are many daemons, two of them place the prompts of all: the
// placers. The others tell only these what they have at engines, and ask one of
// them where a prompt goes. Any message may be lost, doubled or late; a placer
// that is gone, frozen or wrong costs time, never a promise to a client, as the
// daemon that asked checks and sends for itself.

// Where does this prompt go? Asked again while no answer comes, and now and
// then while the answer is to wait.
struct PlacementRequest {
  std::string peer_address;       // who asks
  std::uint64_t incarnation = 0;  // of that daemon
  std::uint64_t id = 0;           // of its request, and of the work it will be
  std::uint64_t attempt_number = 0;  // rises with each attempt at the request
  bool withdrawn = false;            // nobody waits for it any more
  std::string request;               // the client's id of it, for the log
  std::string service;
  std::int64_t prompt_tokens = 0;
  std::int64_t answer_tokens = 0;  // at most
  Time arrived{};
  Time due{};  // the objective
  Time deadline{};
  Duration max_event_gap{};            // that keeps its answer in time
  std::vector<BackendId> excluded;     // not there again
  std::vector<BackendId> backing_off;  // these want rest from who asks
  std::uint64_t fingerprint = 0;       // zero: not told
  // Who asks has seen that a server may have ended under it, and the placer may
  // hear that later than this.
  bool crash_suspected = false;
};

enum class PlacementOutcome {
  kPlaced,
  kQueued,   // in line; the placement follows by itself
  kRefused,  // can't be served before its deadline
  kTooLarge,
};
inline constexpr NameTable<PlacementOutcome, 4> kPlacementOutcomeNames{{
    {PlacementOutcome::kPlaced, "placed"},
    {PlacementOutcome::kQueued, "waits"},
    {PlacementOutcome::kRefused, "refused"},
    {PlacementOutcome::kTooLarge, "too_large"},
}};

struct PlacementResponse {
  std::string peer_address;       // who placed
  std::uint64_t incarnation = 0;  // as in the question
  std::uint64_t id = 0;
  std::uint64_t attempt_number = 0;
  PlacementOutcome outcome = PlacementOutcome::kQueued;
  Placement placement;  // where it is
  // Servers there whose limits the placer knows, or that these are over: it has
  // counted the request against them.
  std::vector<BackendId> rate_limits_counted;
  Shortage shortage{};     // what it waits for, or was refused for
  Duration retry_after{};  // after a refusal
};

}  // namespace scaleshed::serving

#endif  // SCALESHED_SERVING_DISPATCH_H_
