#ifndef SCALESHED_CORE_EVENTS_H_
#define SCALESHED_CORE_EVENTS_H_

#include <array>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "scaleshed/core/call.h"
#include "scaleshed/core/fleet.h"
#include "scaleshed/core/peer_messages.h"
#include "scaleshed/core/types.h"

namespace scaleshed {

// ---- From callers.

struct Submit {
  RequestKey key = 0;
  CallSpec spec;
};

// The caller's connection closed before the final answer.
struct CallerGone {
  RequestKey key = 0;
};

// ---- From backend servers.

// One token of an answer. `offset` counts tokens from the start of the answer,
// over all attempts. `checksum` is chained over the request's own seed and all
// tokens up to this one, so that a frame of another answer can't take its
// place.
struct StreamFrame {
  AttemptId attempt = 0;
  std::int64_t offset = 0;
  std::string text;
  std::uint64_t checksum = 0;
};

// The end of an answer, with the count and checksum over all of its tokens.
struct StreamEnd {
  AttemptId attempt = 0;
  std::int64_t tokens = 0;
  std::uint64_t checksum = 0;
};

enum class AttemptError {
  kNotSent,    // no byte left for the backend server
  kRefused,    // the backend server confirms that it did not start
  kLeaving,    // as kRefused, since the backend server is leaving
  kCut,        // sent; the answer broke off or never came
  kRejected,   // the backend server finds the request itself wrong
  kTimeLimit,  // the backend server stopped at the time limit
};
inline constexpr NameTable<AttemptError, 6> kAttemptErrorNames{{
    {AttemptError::kNotSent, "not_sent"},
    {AttemptError::kRefused, "refused"},
    {AttemptError::kLeaving, "leaving"},
    {AttemptError::kCut, "cut"},
    {AttemptError::kRejected, "rejected"},
    {AttemptError::kTimeLimit, "time_limit"},
}};

struct AttemptFailed {
  AttemptId attempt = 0;
  AttemptError error = AttemptError::kCut;
  Duration retry_after{};
  std::string detail;
};

enum class HoldState { kGranted, kPending, kRefused };
inline constexpr NameTable<HoldState, 3> kHoldStateNames{{
    {HoldState::kGranted, "granted"},
    {HoldState::kPending, "pending"},
    {HoldState::kRefused, "refused"},
}};

// Answers PlaceHold.
struct HoldAnswer {
  AttemptId hold = 0;
  HoldState state = HoldState::kRefused;
};

// Answers CancelAttempt. Not confirmed means that no answer came.
struct CancelAnswer {
  Incarnation holder;
  AttemptId attempt = 0;
  bool confirmed = false;
};

struct ServiceAnswer {
  AttemptId attempt = 0;
  int status = 0;
  std::string content_type;
  std::string body;
};

// One stream or hold in an engine's report.
struct HolderEntry {
  AttemptId attempt = 0;
  Incarnation holder;
  bool operator==(const HolderEntry&) const = default;
};

// What a backend server says of itself, some time ago.
struct Report {
  std::uint64_t incarnation = 0;
  bool leaving = false;
  // Prefill work that is accepted and not done, by engine priority.
  std::array<Duration, kEnginePriorities> backlog{};
  std::int64_t used_tokens = 0;
  std::int64_t held_tokens = 0;
  std::int64_t memory_tokens = 0;
  std::int64_t active = 0;
  std::vector<HolderEntry> entries;
  // What changed in the cache from event `cache_first` to `cache_sequence`. A
  // `cache_first` after the last report's sequence and one says that events
  // were lost.
  std::uint64_t cache_first = 0;
  std::uint64_t cache_sequence = 0;
  std::vector<std::uint64_t> cache_added;
  std::vector<std::uint64_t> cache_removed;
  bool operator==(const Report&) const = default;
};

struct ReportArrived {
  std::string backend;
  Report report;
};

// ---- From the platform.

struct InstancesListed {
  std::vector<Instance> instances;
};

struct ConfigurationLoaded {
  Configuration configuration;
};

// The ids that a stopped incarnation left, or nothing where it left none.
struct FinishedIdsRead {
  Incarnation home;
  bool readable = false;
  std::optional<std::map<std::string, Outcome>> ids;
};

struct FinishedIdsWritten {
  bool ok = false;
};

// ---- From peers and the process itself.

struct PeerReceived {
  Incarnation from;
  PeerMessage message;
  // A fresh key, for the request that a ForwardCall brings.
  RequestKey key = 0;
};

struct Tick {};

struct StopRequested {};

using EventBody =
    std::variant<Submit, CallerGone, StreamFrame, StreamEnd, AttemptFailed,
                 HoldAnswer, CancelAnswer, ServiceAnswer, ReportArrived,
                 InstancesListed, ConfigurationLoaded, FinishedIdsRead,
                 FinishedIdsWritten, PeerReceived, Tick, StopRequested>;

// Everything that can happen to a daemon, with the time at which it did.
struct Event {
  Time now;
  EventBody body;
};

}  // namespace scaleshed

#endif  // SCALESHED_CORE_EVENTS_H_
