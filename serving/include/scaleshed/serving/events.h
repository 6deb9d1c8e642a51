#ifndef SCALESHED_SERVING_EVENTS_H_
#define SCALESHED_SERVING_EVENTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "scaleshed/core/types.h"
#include "scaleshed/serving/configuration.h"
#include "scaleshed/serving/dispatch.h"
#include "scaleshed/serving/store_relay.h"
#include "scaleshed/serving/work.h"

namespace scaleshed::serving {

// What deciding needs to know of a request. The driver keeps its bytes.
struct RequestMetadata {
  std::string id;  // the client's, new for each of its attempts
  std::string host;
  std::string path;  // without the query
  std::vector<std::string> keys;
  Duration deadline{};  // zero: not told
  std::int64_t prompt_tokens = 0;
  std::int64_t answer_tokens = 0;
  std::string last_event_id;
  // A hash of what a client sends again under a new id: method, host, path,
  // query and body. Zero: not told.
  std::uint64_t fingerprint = 0;
};

struct RequestArrived {
  RequestKey key = 0;
  RequestMetadata metadata;
};

// Before its answer was complete.
struct ClientDisconnected {
  RequestKey key = 0;
};

// A whole event of a stream.
struct StreamEvent {
  AttemptId attempt = 0;
  std::string id;
  std::string bytes;
};

// How an answer that came whole is to be taken.
enum class AnswerKind {
  kSuccess,
  kFailure,   // the backend server's own, after it ran the request
  kNotRun,    // the backend server says that it did not run it
  kReplaced,  // as kNotRun: another backend server has that address
};
inline constexpr NameTable<AnswerKind, 4> kAnswerKindNames{{
    {AnswerKind::kSuccess, "success"},
    {AnswerKind::kFailure, "failure"},
    {AnswerKind::kNotRun, "not_run"},
    {AnswerKind::kReplaced, "gone"},
}};

// The whole answer is there; the driver keeps it. For a stream: its end.
struct AttemptAnswered {
  AttemptId attempt = 0;
  AnswerKind kind = AnswerKind::kFailure;
  int status = 0;
  // The address of the backend server that a refusal is due to, if not the one
  // that was asked.
  std::string refusing_address;
};

enum class AttemptError {
  kNotSent,      // no byte left
  kInterrupted,  // sent; the answer broke off, never came or belongs to nobody
};
inline constexpr NameTable<AttemptError, 2> kAttemptErrorNames{{
    {AttemptError::kNotSent, "not_sent"},
    {AttemptError::kInterrupted, "cut"},
}};

struct AttemptFailed {
  AttemptId attempt = 0;
  AttemptError error = AttemptError::kInterrupted;
  std::string detail;
};

// What a backend server says of itself in the head of an answer.
struct ServerSignals {
  // Requests a second that it takes from all daemons together; nothing: as many
  // as come.
  std::optional<double> rate_limit;
  // It is about to end and wants no new work. Never taken back by a life.
  bool leaving = false;
  // It refused, and wants nothing from this daemon for so long.
  Duration backoff{};
};

// The head of an answer has come, whether or not the rest can be used. For a
// stream: long before AttemptAnswered.
struct ResponseHeadReceived {
  AttemptId attempt = 0;
  ServerSignals signals;
  // That it names no limit doesn't count: it names something.
  bool rate_limit_unreadable = false;
};

// The answer to ReserveMemory.
struct MemoryReservationAnswered {
  AttemptId attempt = 0;
  std::size_t helper_index = 0;
  bool granted = false;
};

// What an engine says of itself, a little late.
struct EngineReportReceived {
  BackendId backend = 0;
  double slowdown = 1;  // its passes take so many times as long as they should
  std::uint64_t start_unix_ms = 0;  // the life that says so; zero: not told
};

// What became of AskLife.
enum class ProbeResult {
  kAlive,         // something listens there and speaks
  kRefused,       // nobody listens there
  kInconclusive,  // neither was seen
};
inline constexpr NameTable<ProbeResult, 3> kProbeResultNames{{
    {ProbeResult::kAlive, "answered"},
    {ProbeResult::kRefused, "refused"},
    {ProbeResult::kInconclusive, "nothing"},
}};
struct LivenessProbed {
  BackendId backend = 0;
  ProbeResult result = ProbeResult::kInconclusive;
};

// A configuration that is stored. `asked` is when the question was put whose
// answer it is: then it was the newest.
struct ConfigurationReceived {
  Configuration configuration;
  Time queried_at{};
};

// The store still held that revision of the configuration at `asked`.
struct ConfigurationConfirmed {
  StoreRevision revision;
  Time queried_at{};
};

// All entries of backend servers that were there at `asked` have been told.
struct BackendsConfirmed {
  std::uint64_t epoch = 0;  // of the store that said so
  Time queried_at{};
};

// All changes up to that revision of the store have been told.
struct BackendChangesComplete {
  StoreRevision revision;
};

// An answer of the store names another era than the one before.
struct StoreEpochObserved {
  std::uint64_t epoch = 0;
};

// The store holds a note that the daemons got over the restore that began that
// era; zero: the note is gone.
struct ReconciledEpochObserved {
  std::uint64_t epoch = 0;
};

// The store was asked for what ReadConfiguration wants, as no daemon told it.
struct StoreQueried {};

// Something of an answer of the store came to this daemon, of whichever, that
// is more than a refusal to answer.
struct StoreResponded {};

// This daemon's own question to the store brought no answer.
struct StoreUnreachable {};

struct StoreRelayReceived {
  StoreRelay relay;
};

struct BackendListed {
  BackendServer backend;
};

// Its entry is gone. `certain` unless the store was away just before, when
// entries of living backend servers lapse too.
struct BackendUnlisted {
  std::string id;
  bool certain = true;
  StoreRevision revision;  // of the store when the entry was gone
};

// All entries there are; others are gone.
struct BackendsListed {
  std::vector<BackendServer> backends;
  bool certain = true;
  StoreRevision revision;  // of the store
  Time queried_at{};       // when the question was put
};

// What the store holds for a content, as a watch or a conflict tells it.
struct CrashesStored {
  StoredCrashes crashes;
};
// All that it holds; others have no entry.
struct AllCrashesListed {
  std::vector<StoredCrashes> crashes;
  StoreRevision revision;  // of the store
};
// The call of SaveEndings is over. What it wrote comes as EndingsStored, or in
// a list.
struct SaveCrashesFinished {};

// Where other daemons take snapshots, as registered at the platform.
struct ListedPeer {
  std::string peer_address;
  std::string data_centre;  // empty: not told
};
struct PeersListed {
  std::vector<ListedPeer> peers;
};

// The store holds this daemon's entry until then, as far as it said. `anew`: it
// was just written; else it has stood since it was.
struct OwnEntryConfirmed {
  Time valid_until{};
  bool newly_written = false;
};
// This daemon's entry is gone, or was asked to be taken away.
struct OwnEntryRemoved {};
// A restore may have lost this daemon's entry; it is being written again.
struct OwnEntryLost {};

// So many daemons had an entry at `asked`.
struct DaemonsCounted {
  std::size_t daemons = 0;
  Time queried_at{};
};

struct SnapshotReceived {
  LoadSnapshot snapshot;
};

struct PlacementRequestReceived {
  PlacementRequest request;
};
struct PlacementResponseReceived {
  PlacementResponse response;
};

struct Tick {};
struct StopRequested {};

using EventBody = std::variant<
    RequestArrived, ClientDisconnected, StreamEvent, AttemptAnswered,
    AttemptFailed, ResponseHeadReceived, MemoryReservationAnswered,
    EngineReportReceived, LivenessProbed, ConfigurationReceived,
    ConfigurationConfirmed, BackendsConfirmed, BackendChangesComplete,
    StoreEpochObserved, ReconciledEpochObserved, StoreQueried, StoreResponded,
    StoreUnreachable, StoreRelayReceived, BackendListed, BackendUnlisted,
    BackendsListed, CrashesStored, AllCrashesListed, SaveCrashesFinished,
    PeersListed, OwnEntryConfirmed, OwnEntryRemoved, OwnEntryLost,
    DaemonsCounted, SnapshotReceived, PlacementRequestReceived,
    PlacementResponseReceived, Tick, StopRequested>;

struct Event {
  Time now;
  EventBody body;
};

}  // namespace scaleshed::serving

#endif  // SCALESHED_SERVING_EVENTS_H_
