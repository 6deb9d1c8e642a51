#ifndef SCALESHED_SERVING_EFFECTS_H_
#define SCALESHED_SERVING_EFFECTS_H_

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "scaleshed/core/types.h"
#include "scaleshed/serving/configuration.h"
#include "scaleshed/serving/dispatch.h"
#include "scaleshed/serving/quarantine.h"
#include "scaleshed/serving/store_relay.h"
#include "scaleshed/serving/work.h"

namespace scaleshed::serving {

// An engine that prefills a part of another engine's prompt. `reservation_id`
// names the memory reserved there for it; empty: none.
struct PrefillHelper {
  std::string address;
  std::string reservation_id;
};

// Sends a request to a backend server. AttemptAnswered or AttemptFailed follows
// unless CancelAttempt ends the attempt first.
struct StartAttempt {
  AttemptId attempt = 0;
  RequestKey key = 0;
  std::string address;
  std::string instance;  // instance id of the backend server
  std::string account;   // empty on public routes
  Duration time_left{};
  bool stream = false;
  // Id of the last event that the client has received. Empty: the stream starts
  // at its beginning, or where the client's own request says.
  std::string resume_after;
  std::vector<PrefillHelper> helpers;
};

// Passes a request to another daemon, which sends it to a backend server.
// AttemptAnswered, AttemptFailed or RelayRefused follows unless CancelAttempt
// ends the attempt first.
struct StartRelay {
  AttemptId attempt = 0;
  RequestKey key = 0;
  std::string to;  // peer address
  Duration time_left{};
  bool stream = false;
  std::string resume_after;  // see StartAttempt
};

// Closes the attempt's connection, so that the backend server stops running the
// request.
struct CancelAttempt {
  AttemptId attempt = 0;
};

// Sends the client the complete response that the driver keeps for the attempt.
struct DeliverAnswer {
  RequestKey key = 0;
  AttemptId attempt = 0;
};

// Starts a streamed response with the status and headers of the attempt's
// response.
struct BeginStream {
  RequestKey key = 0;
  AttemptId attempt = 0;
};
// Sends the client one event of a stream.
struct ForwardEvent {
  RequestKey key = 0;
  std::string bytes;
};
// Ends a streamed response as complete.
struct EndStream {
  RequestKey key = 0;
};
// Ends a response that has started in such a way that the client can't take it
// for complete.
struct AbortResponse {
  RequestKey key = 0;
};

// Why the daemon itself responds to a request with an error.
enum class Refusal {
  kNoConfiguration,
  kConfigurationStale,  // the configuration may be too old to be used
  kBackendListStale,    // the list of backend servers may be too old to be used
  kUnknownRoute,
  kUnknownKey,
  kInvalid,
  kNoBackend,
  kOverload,
  kRateLimited,         // the rate limits of the backend servers are used up
  kBackendsBackingOff,  // every backend server has asked for a backoff
  kStopping,
  kNotRun,   // every backend server that got the request declined it
  kUnknown,  // the request may have run, and no response came
  kTimeLimit,
  // Too many crashes count against the request's fingerprint or a prompt part.
  kQuarantined,
  kUnreachable,     // no daemon is known to reach the servers of the service
  kRelayLimit,      // this daemon serves no more requests for other daemons
  kEvacuated,       // all servers of the service are in evacuated data centres
  kNoHome,          // no server of the service is in a region that is allowed
  kWarmingUp,       // the servers are cold and already get what they bear
  kMissingEngines,  // too few engines are there now for the prompt's memory
};
inline constexpr NameTable<Refusal, 21> kRefusalNames{{
    {Refusal::kNoConfiguration, "no_configuration"},
    {Refusal::kConfigurationStale, "configuration_not_fresh"},
    {Refusal::kBackendListStale, "list_not_fresh"},
    {Refusal::kUnknownRoute, "unknown_route"},
    {Refusal::kUnknownKey, "unknown_key"},
    {Refusal::kInvalid, "invalid"},
    {Refusal::kNoBackend, "no_backend"},
    {Refusal::kOverload, "overload"},
    {Refusal::kRateLimited, "limited"},
    {Refusal::kBackendsBackingOff, "resting"},
    {Refusal::kStopping, "stopping"},
    {Refusal::kNotRun, "not_run"},
    {Refusal::kUnknown, "unknown"},
    {Refusal::kTimeLimit, "time_limit"},
    {Refusal::kQuarantined, "quarantined"},
    {Refusal::kUnreachable, "unreachable"},
    {Refusal::kRelayLimit, "relay_limit"},
    {Refusal::kEvacuated, "evacuated"},
    {Refusal::kNoHome, "no_home"},
    {Refusal::kWarmingUp, "warming_up"},
    {Refusal::kMissingEngines, "missing_engines"},
}};

// Responds to a request with an error of the daemon's own.
struct Refuse {
  RequestKey key = 0;
  Refusal reason = Refusal::kInvalid;
  int status = 0;
  Duration retry_after{};  // zero: the response has no Retry-After
};

// Asks an engine to create or extend a memory reservation under
// `reservation_id`, for `lease_duration`. MemoryReservationAnswered follows.
struct ReserveMemory {
  AttemptId attempt = 0;
  std::size_t helper_index = 0;
  std::string address;
  std::string reservation_id;
  std::int64_t tokens = 0;
  Duration lease_duration{};
};
// Ends a memory reservation before its lease expires.
struct ReleaseMemory {
  std::string address;
  std::string reservation_id;
};

// Fetches an engine's report on its own state. EngineReportReceived follows
// only if the engine responds.
struct FetchEngineReport {
  BackendId backend = 0;
  std::string address;
};

// Probes whether this backend incarnation has ended. LivenessProbed follows.
struct ProbeLiveness {
  BackendId backend = 0;
  std::string address;
};

// Sends a snapshot of this daemon's state to other daemons; each message may be
// lost.
struct PublishSnapshot {
  std::vector<std::string> to;
  LoadSnapshot snapshot;
};

// Queries the store whether the known configuration and the known entries of
// backend servers are the newest. Whatever is newer is delivered by events such
// as ConfigurationReceived and BackendListed.
struct PollStore {
  StoreRevision configuration;
  // Id and entry revision of each known backend server.
  std::vector<std::pair<std::string, StoreRevision>> backends;
  // The data centres whose evacuation is to be confirmed, with the revision of
  // the request; a revision of zero: there is none.
  std::vector<std::pair<std::string, StoreRevision>> evacuations;
};
// Reads the configuration, which is known to exist in a version at least as new
// as `wanted`.
struct ReadConfiguration {
  ConfigurationStamp wanted;
  // Peer address of a daemon that has the configuration. The store is queried
  // if that daemon doesn't supply it.
  std::string source_peer;
};
// Lists all entries of the store.
struct ListStore {};
// Rewrites this daemon's own entry, which may be lost because the store was
// restored from a backup.
struct RewriteOwnEntry {};
// Records in the store that this epoch is reconciled. ReconciledEpochObserved
// follows.
struct WriteReconciledEpoch {
  std::uint64_t epoch = 0;
};
// Take, renew and release the lease of the warm-up granter, which one daemon
// holds at a time. WarmUpLeaseHeld, WarmUpLeaseRefused or WarmUpLeaseLost
// follows the first two.
struct AcquireWarmUpLease {};
struct RenewWarmUpLease {};
struct ReleaseWarmUpLease {};
// Asks a backend server by a health check whether it is cold. HealthChecked
// follows only if the server responds.
struct CheckHealth {
  BackendId backend = 0;
  std::string address;
  std::string path;
};
// Starts or ends this daemon's watch of the store's changes.
struct WatchStore {
  bool enabled = false;
};

// Writes these crashes to the store, all or none, each on condition that its
// entry is unchanged; an entry without incarnations is deleted.
// SaveCrashesFinished follows.
struct SaveCrashes {
  std::vector<StoredCrashes> crashes;
};

// Sends other daemons what this one knows of the store, in one message each;
// any message may be lost.
struct RelayStoreState {
  std::vector<std::pair<std::string, StoreRelay>> messages;  // by receiver
};

// Requests a placement from a placer, or withdraws the request; the message may
// be lost.
struct RequestPlacement {
  std::string to;
  PlacementRequest request;
};
// Responds to another daemon's placement request; the message may be lost.
struct RespondToPlacement {
  std::string to;
  PlacementResponse response;
};

// Writes a log line.
struct LogDecision {
  std::string event;
  std::vector<std::pair<std::string, std::string>> fields;
  // The line reports normal operation and may be dropped under a high log
  // volume.
  bool routine = false;
};

// The daemon's counters, as exported in its metrics.
enum class Counter {
  kRequests,
  kDelivered,
  kRefused,
  kAbortedResponses,
  kClientsDisconnected,
  kSends,
  kRetries,
  kRetriesDenied,
  kResumed,
  kSuspicions,
  kHelped,
  kMemoryReservations,
  kPlacementsRequested,
  kPlacersTimedOut,
  kPlacedLocally,
  kPlacedForOthers,
  kCrashes,
  kQuarantined,
  kCrashSuspected,
  kRelayed,
  kRelayedForOthers,
  kRelaysFailed,
  kEvacuationKeysUnreadable,
  kWarmUpGrants,
  kWarmUpGrantsVoid,
  kWarmUpsUnreadable,
  kPlacedOutsideRegions,
  kStalledAttempts,
  kHedges,
  kHedgesLeft,
};
inline constexpr NameTable<Counter, 30> kCounterNames{{
    {Counter::kRequests, "requests"},
    {Counter::kDelivered, "delivered"},
    {Counter::kRefused, "refused"},
    {Counter::kAbortedResponses, "broken"},
    {Counter::kClientsDisconnected, "clients_gone"},
    {Counter::kSends, "sends"},
    {Counter::kRetries, "repeats"},
    {Counter::kRetriesDenied, "repeats_denied"},
    {Counter::kResumed, "resumed"},
    {Counter::kSuspicions, "suspicions"},
    {Counter::kHelped, "helped"},
    {Counter::kMemoryReservations, "tickets"},
    {Counter::kPlacementsRequested, "places_asked"},
    {Counter::kPlacersTimedOut, "placers_silent"},
    {Counter::kPlacedLocally, "placed_alone"},
    {Counter::kPlacedForOthers, "placed_for_others"},
    {Counter::kCrashes, "endings"},
    {Counter::kQuarantined, "quarantined"},
    {Counter::kCrashSuspected, "in_doubt"},
    {Counter::kRelayed, "relayed"},
    {Counter::kRelayedForOthers, "relayed_for_others"},
    {Counter::kRelaysFailed, "relays_failed"},
    {Counter::kEvacuationKeysUnreadable, "evacuation_keys_unreadable"},
    {Counter::kWarmUpGrants, "warm_up_grants"},
    {Counter::kWarmUpGrantsVoid, "warm_up_grants_void"},
    {Counter::kWarmUpsUnreadable, "warm_ups_unreadable"},
    {Counter::kPlacedOutsideRegions, "placed_outside_regions"},
    {Counter::kStalledAttempts, "stalled"},
    {Counter::kHedges, "hedges"},
    {Counter::kHedgesLeft, "hedges_left"},
}};

// Adds one to a counter.
struct IncrementCounter {
  Counter counter = Counter::kRequests;
};

// Records how long a response, or the first event of a stream, took.
struct ObserveLatency {
  std::string account;
  std::string route;
  Duration elapsed{};
};

// A newer configuration is in force; these limits apply to requests that start
// from now on.
struct ApplyLimits {
  RequestLimits limits;
};

// No request is running any more, so that the requested stop is complete and
// the process may exit.
struct Exit {};

using Effect =
    std::variant<StartAttempt, StartRelay, CancelAttempt, DeliverAnswer,
                 BeginStream, ForwardEvent, EndStream, AbortResponse, Refuse,
                 ReserveMemory, ReleaseMemory, FetchEngineReport, ProbeLiveness,
                 PublishSnapshot, PollStore, ReadConfiguration, ListStore,
                 RewriteOwnEntry, WriteReconciledEpoch, WatchStore, SaveCrashes,
                 AcquireWarmUpLease, RenewWarmUpLease, ReleaseWarmUpLease,
                 CheckHealth, RelayStoreState, RequestPlacement,
                 RespondToPlacement, LogDecision, IncrementCounter,
                 ObserveLatency, ApplyLimits, Exit>;
using Effects = std::vector<Effect>;

}  // namespace scaleshed::serving

#endif  // SCALESHED_SERVING_EFFECTS_H_
