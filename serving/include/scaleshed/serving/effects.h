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

// An engine that reads a part of a prompt, with the name of the memory that is
// set aside there, if any.
struct PrefillHelper {
  std::string address;
  std::string reservation_id;
};

// Sends a request to a backend server.
struct StartAttempt {
  AttemptId attempt = 0;
  RequestKey key = 0;
  std::string address;
  std::string instance;  // the life that is meant
  std::string account;   // empty on public routes
  Duration time_left{};
  bool stream = false;
  // Empty: from the beginning, or where the client's own request says.
  std::string resume_after;
  std::vector<PrefillHelper> helpers;
};

// Breaks the connection, so that the backend server stops working.
struct CancelAttempt {
  AttemptId attempt = 0;
};

// Passes on a whole answer that the driver holds.
struct DeliverAnswer {
  RequestKey key = 0;
  AttemptId attempt = 0;
};

// Begins a stream's answer with status and headers of that attempt.
struct BeginStream {
  RequestKey key = 0;
  AttemptId attempt = 0;
};
struct ForwardEvent {
  RequestKey key = 0;
  std::string bytes;
};
struct EndStream {
  RequestKey key = 0;
};
// Ends an answer that has begun so that it can't be taken for whole.
struct AbortResponse {
  RequestKey key = 0;
};

// Why a request gets an answer of our own.
enum class Refusal {
  kNoConfiguration,
  kConfigurationStale,  // the configuration may be too old to go by
  kBackendListStale,    // the list of backend servers may
  kUnknownRoute,
  kUnknownKey,
  kInvalid,
  kNoBackend,
  kOverload,
  kRateLimited,  // the limits that the backend servers have named are used up
  kBackendsBackingOff,  // every backend server has asked this daemon for rest
  kStopping,
  kNotRun,   // every backend server that was asked declined
  kUnknown,  // it may have run, and no answer came
  kTimeLimit,
  kQuarantined,  // too many backend servers have ended under its content
};
inline constexpr NameTable<Refusal, 15> kRefusalNames{{
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
}};

struct Refuse {
  RequestKey key = 0;
  Refusal reason = Refusal::kInvalid;
  int status = 0;
  Duration retry_after{};  // zero: nothing is said
};

// Asks an engine to keep memory free under `ticket`, anew or for longer.
struct ReserveMemory {
  AttemptId attempt = 0;
  std::size_t helper_index = 0;
  std::string address;
  std::string reservation_id;
  std::int64_t tokens = 0;
  Duration lease_duration{};
};
struct ReleaseMemory {
  std::string address;
  std::string reservation_id;
};

// Asks an engine how it does. ReportSeen follows only where it answers.
struct FetchEngineReport {
  BackendId backend = 0;
  std::string address;
};

// Asks whether that life of a backend server is over. LifeSeen follows.
struct ProbeLiveness {
  BackendId backend = 0;
  std::string address;
};

// Tells other daemons; each message may be lost.
struct PublishSnapshot {
  std::vector<std::string> to;
  LoadSnapshot snapshot;
};

// Asks the store whether what is known is the newest: of the configuration and
// of all entries of backend servers. What is not comes as events of its own.
struct PollStore {
  StoreRevision configuration;
  // Ids and revisions of their entries.
  std::vector<std::pair<std::string, StoreRevision>> backends;
};
// Reads the configuration, of which one that new is known to be there.
struct ReadConfiguration {
  ConfigurationStamp wanted;
  // A daemon that has it, by peer address. The store is asked where that one
  // does not tell.
  std::string source_peer;
};
// Reads all that the store holds.
struct ListStore {};
// The store was restored from a copy: what this daemon has there may be lost.
struct RewriteOwnEntry {};
// Notes in the store that this era of it is settled. SettledEraSeen follows.
struct WriteReconciledEpoch {
  std::uint64_t epoch = 0;
};
// Whether to be told by the store of what changes there.
struct WatchStore {
  bool enabled = false;
};

// Writes these to the store, all or none, each under its condition; those
// without lives are taken away. EndingsSaved follows.
struct SaveCrashes {
  std::vector<StoredCrashes> crashes;
};

// One message to each; any may be lost.
struct RelayStoreState {
  std::vector<std::pair<std::string, StoreRelay>> messages;  // by receiver
};

struct RequestPlacement {
  std::string to;
  PlacementRequest request;
};
struct RespondToPlacement {
  std::string to;
  PlacementResponse response;
};

struct LogDecision {
  std::string event;
  std::vector<std::pair<std::string, std::string>> fields;
  // Goes as it should: may be left out where there are too many.
  bool routine = false;
};

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
};
inline constexpr NameTable<Counter, 19> kCounterNames{{
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
}};

struct IncrementCounter {
  Counter counter = Counter::kRequests;
};

// How long an answer or a stream's first event took.
struct ObserveLatency {
  std::string account;
  std::string route;
  Duration elapsed{};
};

// A newer configuration is in force: the limits for requests that begin from
// now on.
struct ApplyLimits {
  RequestLimits limits;
};

// Nothing is in work any more: the planned stop is complete.
struct Exit {};

using Effect =
    std::variant<StartAttempt, CancelAttempt, DeliverAnswer, BeginStream,
                 ForwardEvent, EndStream, AbortResponse, Refuse, ReserveMemory,
                 ReleaseMemory, FetchEngineReport, ProbeLiveness,
                 PublishSnapshot, PollStore, ReadConfiguration, ListStore,
                 RewriteOwnEntry, WriteReconciledEpoch, WatchStore, SaveCrashes,
                 RelayStoreState, RequestPlacement, RespondToPlacement,
                 LogDecision, IncrementCounter, ObserveLatency, ApplyLimits,
                 Exit>;
using Effects = std::vector<Effect>;

}  // namespace scaleshed::serving

#endif  // SCALESHED_SERVING_EFFECTS_H_
