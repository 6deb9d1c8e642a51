#ifndef SCALESHED_CORE_EFFECTS_H_
#define SCALESHED_CORE_EFFECTS_H_

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "scaleshed/core/call.h"
#include "scaleshed/core/peer_messages.h"
#include "scaleshed/core/types.h"

namespace scaleshed {

// ---- Towards callers.

struct ReplyChunk {
  RequestKey key = 0;
  std::int64_t offset = 0;
  std::string text;
};

struct ReplyFinal {
  RequestKey key = 0;
  Final final;
};

// Nothing more will be asked of this request; its body can be freed.
struct ReleaseCall {
  RequestKey key = 0;
};

// ---- Towards backend servers.

// Starts one attempt. Rank 0 answers; higher ranks lend their memory to it.
struct StartStream {
  AttemptId attempt = 0;
  RequestKey key = 0;
  std::string engine;
  ModelCall call;
  int priority = 0;  // of kEnginePriorities
  Duration time_left{};
  std::int64_t offset = 0;
  std::uint64_t checksum = 0;
  int rank = 0;
  int group_size = 1;
  // The hold that becomes this stream, or zero.
  AttemptId hold = 0;
};

struct PlaceHold {
  AttemptId hold = 0;
  std::string engine;
  std::int64_t tokens = 0;
  Duration valid_for{};
};

// Connects again to a stream that was cut, to go on from `offset`.
struct ResumeStream {
  AttemptId attempt = 0;
  std::string engine;
  std::int64_t offset = 0;
};

// Ends a stream or hold; answered by CancelAnswer. The holder may be an
// incarnation that is over.
struct CancelAttempt {
  Incarnation holder;
  AttemptId attempt = 0;
  std::string backend;
};

struct SendService {
  AttemptId attempt = 0;
  RequestKey key = 0;
  std::string backend;
  Duration time_left{};
};

// ---- Towards peers and the platform.

struct SendPeer {
  std::string peer_address;
  PeerMessage message;
  // Where set, the driver fills the message's body from this request.
  RequestKey body_of = 0;
};

// The driver is to look for a configuration of at least this revision.
struct FetchConfiguration {
  std::uint64_t revision = 0;
};

struct WriteFinishedIds {
  Incarnation home;
  std::map<std::string, Outcome> ids;
};

struct ReadFinishedIds {
  Incarnation home;
};

// ---- Towards the process itself.

// A change of state worth a line in the log.
struct LogChange {
  std::string what;
  std::string subject;
  std::string detail;
};

enum class Counter {
  kAdmitted,
  kDone,
  kFailed,
  kNotRun,
  kUnknown,
  kRetries,
  kRetriesDenied,
  kForwarded,
  kDuplicates,
  kLateFrames,
  kCancels,
  kOrphansSwept,
  kEjections,
  kGroupsStarted,
};
inline constexpr NameTable<Counter, 14> kCounterNames{{
    {Counter::kAdmitted, "admitted"},
    {Counter::kDone, "done"},
    {Counter::kFailed, "failed"},
    {Counter::kNotRun, "not_run"},
    {Counter::kUnknown, "unknown"},
    {Counter::kRetries, "retries"},
    {Counter::kRetriesDenied, "retries_denied"},
    {Counter::kForwarded, "forwarded"},
    {Counter::kDuplicates, "duplicates"},
    {Counter::kLateFrames, "late_frames"},
    {Counter::kCancels, "cancels"},
    {Counter::kOrphansSwept, "orphans_swept"},
    {Counter::kEjections, "ejections"},
    {Counter::kGroupsStarted, "groups_started"},
}};

struct Count {
  Counter counter = Counter::kAdmitted;
};

// Time from admission to the first token, for the histograms.
struct ObserveFirstToken {
  std::string account;
  Priority priority = Priority::kStandard;
  std::int64_t prompt_tokens = 0;
  Duration elapsed{};
};

// No new connection may be accepted from here on.
struct CloseListener {};

// Everything is finished; the process may end.
struct Exit {};

using Effect =
    std::variant<ReplyChunk, ReplyFinal, ReleaseCall, StartStream, ResumeStream,
                 PlaceHold, CancelAttempt, SendService, SendPeer,
                 FetchConfiguration, WriteFinishedIds, ReadFinishedIds,
                 LogChange, Count, ObserveFirstToken, CloseListener, Exit>;
using Effects = std::vector<Effect>;

}  // namespace scaleshed

#endif  // SCALESHED_CORE_EFFECTS_H_
