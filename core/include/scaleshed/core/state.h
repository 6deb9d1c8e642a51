#ifndef SCALESHED_CORE_STATE_H_
#define SCALESHED_CORE_STATE_H_

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "scaleshed/core/backend.h"
#include "scaleshed/core/call.h"
#include "scaleshed/core/effects.h"
#include "scaleshed/core/fair_queue.h"
#include "scaleshed/core/fleet.h"
#include "scaleshed/core/id_ledger.h"
#include "scaleshed/core/limits.h"
#include "scaleshed/core/membership.h"
#include "scaleshed/core/policy.h"
#include "scaleshed/core/retry.h"
#include "scaleshed/core/types.h"

namespace scaleshed {

struct ReducerOptions {
  Member self;
  std::uint64_t seed = 1;
  // Event time and the minutes since the epoch at it, when the daemon started.
  Time started{};
  std::int64_t started_minute = 0;
  // How long a caller may keep the answer to a look-up.
  Duration look_up_keep = seconds(5);
  // Ids are accepted for this many minutes after they were handed out.
  std::int64_t id_retention_minutes = 15;
  Duration hold_valid_for = seconds(4);
  Duration allowance_valid_for = seconds(3);
  // How long a stopping daemon tries to leave its finished ids.
  Duration leave_ids_for = seconds(10);
  double retry_share = 0.2;
  MembershipOptions membership;
};

// One try of a request at one backend server.
struct Attempt {
  enum class Stage { kHolding, kHeld, kStreaming, kCalling };
  AttemptId id = 0;
  std::string backend;
  Stage stage = Stage::kStreaming;
  int rank = 0;
  // When a hold is to be asked for again, so that it does not expire.
  Time renew_at{};
  // A stream that has not moved by then is taken for lost.
  Time progress_by = Time::max();
  bool resumed = false;
};

// Where the answer goes.
struct CallerOrigin {};
struct PeerOrigin {
  Incarnation peer;
  RequestKey key = 0;
};
// Nobody waits any more; the outcome is only recorded.
struct NoOrigin {};
using Origin = std::variant<CallerOrigin, PeerOrigin, NoOrigin>;

enum class Phase {
  kQueued,      // waits for an engine
  kReserving,   // collects the holds of a group
  kRunning,     // at least one attempt is with a backend server
  kForwarded,   // the home daemon has it
  kReadingIds,  // the home is over; its finished ids are being read
  kAttached,    // another request with the same id is running
};
inline constexpr NameTable<Phase, 6> kPhaseNames{{
    {Phase::kQueued, "queued"},
    {Phase::kReserving, "reserving"},
    {Phase::kRunning, "running"},
    {Phase::kForwarded, "forwarded"},
    {Phase::kReadingIds, "reading_ids"},
    {Phase::kAttached, "attached"},
}};

// One request from admission to its final answer.
struct Request {
  RequestKey key = 0;
  CallSpec spec;
  Origin origin;
  Phase phase = Phase::kQueued;
  Time arrived{};
  Time deadline{};
  Priority priority = Priority::kStandard;
  // Whether the account's limiter counts it, and with how many tokens.
  bool limited = false;
  std::int64_t limited_tokens = 0;
  std::vector<Attempt> attempts;
  // Whether some attempt that is over may have started at a backend server.
  bool may_have_started = false;
  int failures = 0;
  int refusals = 0;  // by engines without room; no failures
  std::string avoid;
  std::int64_t next_offset = 0;
  // Over the tokens passed on, from zero: what the caller is told.
  std::uint64_t checksum = 0;
  // The same from a seed of the request's own: what engines' frames carry.
  std::uint64_t guard = 0;
  Incarnation home;
  // Requests with the same id, to be told the same outcome.
  std::vector<RequestKey> attached;

  const ModelCall* model_call() const {
    return std::get_if<ModelCall>(&spec.call);
  }
};

// A cancel that its backend server has not confirmed.
struct PendingCancel {
  std::string backend;
  // The backend server's incarnation when the attempt was made, where known.
  std::uint64_t backend_incarnation = 0;
  Time next_try{};
  int tries = 0;
};

enum class StopPhase {
  kServing,
  kLeaving,  // look-ups name others; kept answers still lead here
  kClosed,   // nothing new is taken; the finished ids are being left
  kStopped,
};
inline constexpr NameTable<StopPhase, 4> kStopPhaseNames{{
    {StopPhase::kServing, "serving"},
    {StopPhase::kLeaving, "leaving"},
    {StopPhase::kClosed, "closed"},
    {StopPhase::kStopped, "stopped"},
}};

using Pool = std::map<std::string, Backend>;

// Everything that one daemon knows. Only Reduce() changes it.
struct State {
  explicit State(ReducerOptions reducer_options)
      : options(std::move(reducer_options)),
        random(options.seed),
        membership(options.self, options.membership),
        ids(options.id_retention_minutes),
        retries(options.retry_share) {}

  ReducerOptions options;
  Time now{};
  std::mt19937_64 random;

  Configuration configuration;
  Policy policy;
  bool ready = false;
  bool listed = false;
  Time next_fetch{};

  Membership membership;
  // Backend servers by service, then name; and the service of each name.
  std::map<std::string, Pool> pools;
  std::unordered_map<std::string, std::string> service_of;

  std::unordered_map<RequestKey, Request> requests;
  std::unordered_map<AttemptId, RequestKey> attempts;
  std::set<std::pair<Time, RequestKey>> deadlines;
  AttemptId last_attempt = 0;
  FairQueue queue;
  IdLedger ids;
  RetryBudget retries;
  std::map<std::pair<Incarnation, AttemptId>, PendingCancel> cancels;

  std::map<std::string, AccountLimiter> limiters;
  std::map<std::string, AllowanceOwner> owned;
  Time next_allowance{};
  Time next_ledger_expiry{};

  StopPhase stop = StopPhase::kServing;
  Time stop_since{};
  Time next_ids_write{};
  // The finished ids are left, or it was given up.
  bool ids_left = false;
};

// Bytes of state for one request in flight, for docs/CAPACITY.md.
std::size_t RequestStateBytes(const Request& request);

}  // namespace scaleshed

#endif  // SCALESHED_CORE_STATE_H_
