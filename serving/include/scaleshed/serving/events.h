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
#include "scaleshed/serving/effects.h"
#include "scaleshed/serving/store_relay.h"
#include "scaleshed/serving/work.h"

namespace scaleshed::serving {

// A part of a prompt that other requests may share.
struct PromptPart {
  std::string id;  // as the client names it
  // Hash of the id, and of the account once the request is admitted: accounts
  // choose ids independently of each other.
  std::uint64_t fingerprint = 0;
};

// The part of a client's request that the reducer decides by. The driver parses
// it from the request and keeps the request's bytes.
struct RequestMetadata {
  static constexpr std::size_t kMaxSharedParts = 64;

  std::string id;  // chosen by the client, new for each of its sends
  std::string host;
  std::string path;  // without the query
  std::vector<std::string> keys;
  Duration deadline{};  // zero: not specified
  std::int64_t prompt_tokens = 0;
  std::int64_t answer_tokens = 0;
  std::string last_event_id;
  // The request fingerprint: a hash of method, host, path, query and body,
  // which stays the same when a client retries the request under a new id.
  // Zero: not specified.
  std::uint64_t fingerprint = 0;
  // The parts of the prompt but for the last one, which no other request has;
  // each id once, at most kMaxSharedParts.
  std::vector<PromptPart> shared_parts;
  // Peer address of the daemon that relays the request; empty: a client sent it
  // to this daemon.
  std::string relayed_by;
};

// A client's request has arrived; `key` names it in all later events and
// effects.
struct RequestArrived {
  RequestKey key = 0;
  RequestMetadata metadata;
  // MayBeServed() was false for it, and its body wasn't read.
  bool body_omitted = false;
};

// The client has disconnected before its response was complete.
struct ClientDisconnected {
  RequestKey key = 0;
};

// One complete event of an attempt's response stream.
struct StreamEvent {
  AttemptId attempt = 0;
  std::string id;
  std::string bytes;
};

// How a completely received response is classified.
enum class AnswerKind {
  kSuccess,
  kFailure,   // the backend server failed after it ran the request
  kNotRun,    // the backend server says that it did not run the request
  kReplaced,  // not run: another backend server has that address now
};
inline constexpr NameTable<AnswerKind, 4> kAnswerKindNames{{
    {AnswerKind::kSuccess, "success"},
    {AnswerKind::kFailure, "failure"},
    {AnswerKind::kNotRun, "not_run"},
    {AnswerKind::kReplaced, "gone"},
}};

// The response to an attempt is complete; the driver keeps it. A stream's
// response is complete when the stream has ended.
struct AttemptAnswered {
  AttemptId attempt = 0;
  AnswerKind kind = AnswerKind::kFailure;
  int status = 0;
  // The address of the backend server that refused the request, if it isn't the
  // one that the attempt was sent to.
  std::string refusing_address;
};

// Why an attempt brought no usable response.
enum class AttemptError {
  kNotSent,      // no byte was sent
  kInterrupted,  // sent; the response is missing, truncated or not attributable
};
inline constexpr NameTable<AttemptError, 2> kAttemptErrorNames{{
    {AttemptError::kNotSent, "not_sent"},
    {AttemptError::kInterrupted, "cut"},
}};

// The attempt has been waiting for its connection for some time, so that no
// byte was sent yet. Repeated while that lasts.
struct AttemptConnecting {
  AttemptId attempt = 0;
};
// The connection of an attempt that was reported as connecting stands, and the
// request leaves.
struct AttemptConnected {
  AttemptId attempt = 0;
};

// The relay, the daemon that a request was passed to, responds itself, since it
// has no backend server's response.
struct RelayRefused {
  AttemptId attempt = 0;
  Refusal reason = Refusal::kUnknown;
  bool may_have_run = false;
  Duration retry_after{};  // zero: not given
};

// An attempt has failed without a complete response.
struct AttemptFailed {
  AttemptId attempt = 0;
  AttemptError error = AttemptError::kInterrupted;
  std::string detail;
  bool has_bytes = false;  // bytes came, though no usable response
};

// The signals that a backend server gives about itself in the head of a
// response.
struct ServerSignals {
  // Requests a second that the server accepts from all daemons together; no
  // value: unlimited.
  std::optional<double> rate_limit;
  // The server is shutting down and takes no new work. A backend incarnation
  // never withdraws this.
  bool leaving = false;
  // The server refused the request and asked this daemon to send it nothing for
  // this long.
  Duration backoff{};
};

// The head of a response has arrived, whether or not the rest proves usable. A
// stream's head arrives long before its AttemptAnswered.
struct ResponseHeadReceived {
  AttemptId attempt = 0;
  ServerSignals signals;
  // The head has a rate limit that can't be parsed, so that a missing
  // `signals.rate_limit` doesn't mean that the server is unlimited.
  bool rate_limit_unreadable = false;
};

// The engine's response to ReserveMemory.
struct MemoryReservationAnswered {
  AttemptId attempt = 0;
  std::size_t helper_index = 0;
  bool granted = false;
};

// An engine's report on its own state, slightly out of date on arrival.
struct EngineReportReceived {
  BackendId backend = 0;
  // Factor by which the engine's steps take longer than configured.
  double slowdown = 1;
  // Start time of the backend incarnation that reports; zero: unknown.
  std::uint64_t start_unix_ms = 0;
};

// A backend server has responded to a health check.
struct HealthChecked {
  BackendId backend = 0;
  // How much longer the server is cold; zero: it is warm. No value: the
  // response can't be read, as `fault` says.
  std::optional<Duration> warm_up_left;
  std::string fault;
};

// What a liveness probe has found.
enum class ProbeResult {
  kAlive,         // a process at the address responds
  kRefused,       // no process listens at the address
  kConnected,     // a connection stood, but brought no usable response in time
  kInconclusive,  // none of these could be established
};
inline constexpr NameTable<ProbeResult, 4> kProbeResultNames{{
    {ProbeResult::kAlive, "answered"},
    {ProbeResult::kRefused, "refused"},
    {ProbeResult::kConnected, "connected"},
    {ProbeResult::kInconclusive, "nothing"},
}};
// A probe started by ProbeLiveness has finished.
struct LivenessProbed {
  BackendId backend = 0;
  ProbeResult result = ProbeResult::kInconclusive;
};

// The store returned this configuration. It was the newest one at `queried_at`,
// when the query was sent.
struct ConfigurationReceived {
  Configuration configuration;
  Time queried_at{};
};

// The store still held this revision of the configuration at `queried_at`.
struct ConfigurationConfirmed {
  StoreRevision revision;
  Time queried_at{};
};

// Events have been raised for all entries of backend servers that the store
// held at `queried_at`.
struct BackendsConfirmed {
  std::uint64_t epoch = 0;  // the store epoch that the response names
  Time queried_at{};
};

// Events have been raised for all changes up to this revision of the store.
struct BackendChangesComplete {
  StoreRevision revision;
};

// A response of the store names another store epoch than the previous one.
struct StoreEpochObserved {
  std::uint64_t epoch = 0;
};

// The store has recorded that the restore which began this epoch is reconciled;
// zero: that record is gone.
struct ReconciledEpochObserved {
  std::uint64_t epoch = 0;
};

// The store was queried for the configuration that ReadConfiguration wants,
// since no other daemon supplied it.
struct StoreQueried {};

// At least a part of a response of the store has reached this daemon, to any
// query, and it isn't a mere refusal.
struct StoreResponded {};

// This daemon's own query to the store got no response.
struct StoreUnreachable {};

// Another daemon has relayed what it knows of the store.
struct StoreRelayReceived {
  StoreRelay relay;
};

// The store holds this entry of a backend server.
struct BackendListed {
  BackendServer backend;
};

// The store no longer holds the entry of this backend server. `certain` is
// false if the store was unavailable just before, when the leases of living
// backend servers expire too.
struct BackendUnlisted {
  std::string id;
  bool certain = true;
  StoreRevision revision;  // revision of the store at which the entry is gone
};

// All entries of backend servers that the store holds; any other known entry is
// gone, with `certain` as in BackendUnlisted.
struct BackendsListed {
  std::vector<BackendServer> backends;
  bool certain = true;
  StoreRevision revision;  // revision of the store that was listed
  Time queried_at{};       // when the query was sent
};

// The crashes that the store holds for one fingerprint, as seen by a
// watch or by a write that met a conflict.
struct CrashesStored {
  StoredCrashes crashes;
};
// All crashes that the store holds; it has no entry for any other fingerprint.
struct AllCrashesListed {
  std::vector<StoredCrashes> crashes;
  StoreRevision revision;  // revision of the store that was listed
};
// The write started by SaveCrashes has ended, successfully or not. What it
// wrote is delivered as CrashesStored or AllCrashesListed.
struct SaveCrashesFinished {};

// The operators have requested the evacuation of a data centre in the store, or
// withdrawn it.
struct EvacuationStored {
  StoredEvacuation evacuation;
};
// All evacuations that the store holds; any other one is withdrawn.
struct AllEvacuationsListed {
  std::vector<StoredEvacuation> evacuations;
  StoreRevision revision;  // revision of the store that was listed
};
// A key by which the operators request an evacuation can't be read.
struct EvacuationKeyUnreadable {
  std::string key;
  std::string error;
};

// The address at which another daemon receives snapshots, as registered at the
// platform.
struct ListedPeer {
  std::string peer_address;
  std::string data_centre;  // empty: unknown
};
// All daemons that are registered at the platform.
struct PeersListed {
  std::vector<ListedPeer> peers;
};

// The store holds this daemon's entry at least until `valid_until`, according
// to its last response. `newly_written`: the entry was just written; otherwise
// it has been there without interruption since it was.
struct OwnEntryConfirmed {
  Time valid_until{};
  bool newly_written = false;
};
// This daemon's entry is gone from the store, or its removal was requested.
struct OwnEntryRemoved {};
// A restore may have lost this daemon's entry, which is being rewritten.
struct OwnEntryLost {};

// This daemon holds the lease of the warm-up granter at least until
// `valid_until`. `newly_taken`: it didn't hold it before.
struct WarmUpLeaseHeld {
  Time valid_until{};
  bool newly_taken = false;
};
// The call for the lease failed, for example as another daemon holds it. A
// lease that this daemon holds may still be valid.
struct WarmUpLeaseRefused {
  std::string reason;
};
// This daemon doesn't hold the lease any more.
struct WarmUpLeaseLost {
  std::string reason;
};

// The number of daemons that had an entry in the store at `queried_at`.
struct DaemonsCounted {
  std::size_t daemons = 0;
  Time queried_at{};
};

// A snapshot of another daemon's state has arrived.
struct SnapshotReceived {
  LoadSnapshot snapshot;
};

// Another daemon requests, changes or withdraws a placement.
struct PlacementRequestReceived {
  PlacementRequest request;
};
// A placer has responded to this daemon's request for a placement.
struct PlacementResponseReceived {
  PlacementResponse response;
};

// Time has passed: whatever is due by now is done.
struct Tick {};
// The daemon is to stop once its running requests are finished.
struct StopRequested {};

using EventBody = std::variant<
    RequestArrived, ClientDisconnected, StreamEvent, AttemptAnswered,
    AttemptConnecting, AttemptConnected, AttemptFailed, RelayRefused,
    ResponseHeadReceived, MemoryReservationAnswered, EngineReportReceived,
    LivenessProbed, ConfigurationReceived, ConfigurationConfirmed,
    BackendsConfirmed, BackendChangesComplete, StoreEpochObserved,
    ReconciledEpochObserved, StoreQueried, StoreResponded, StoreUnreachable,
    StoreRelayReceived, BackendListed, BackendUnlisted, BackendsListed,
    CrashesStored, AllCrashesListed, SaveCrashesFinished, EvacuationStored,
    AllEvacuationsListed, EvacuationKeyUnreadable, PeersListed,
    OwnEntryConfirmed, OwnEntryRemoved, OwnEntryLost, DaemonsCounted,
    HealthChecked, WarmUpLeaseHeld, WarmUpLeaseRefused, WarmUpLeaseLost,
    SnapshotReceived, PlacementRequestReceived, PlacementResponseReceived, Tick,
    StopRequested>;

// An input of the reducer: what has happened, and when. The reducer reads no
// clock, so `now` is the time that all its decisions go by.
struct Event {
  Time now;
  EventBody body;
};

}  // namespace scaleshed::serving

#endif  // SCALESHED_SERVING_EVENTS_H_
