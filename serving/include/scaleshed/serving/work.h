#ifndef SCALESHED_SERVING_WORK_H_
#define SCALESHED_SERVING_WORK_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "scaleshed/core/types.h"
#include "scaleshed/serving/store_revision.h"

namespace scaleshed::serving {

// A backend server's life, as daemons name it to each other: a hash of the
// instance id under which it is listed.
using BackendId = std::uint64_t;

// One request that a daemon has at a backend server. Every daemon knows those
// of all, so that each sees what an engine has before it.
struct ActiveRequest {
  std::uint64_t id = 0;  // of one daemon's life
  BackendId backend = 0;
  // Engines that read parts of the prompt besides `backend`.
  std::vector<BackendId> helpers;
  std::int64_t prompt_tokens = 0;
  std::int64_t answer_tokens = 0;  // at most
  Time started_at{};               // on the clock of the daemon that reads it
  bool decoding = false;           // the first event has come
  Duration max_event_gap{};        // that keeps its answer in time
  // Tokens of its memory that lie at helpers, in their order.
  std::vector<std::int64_t> helper_tokens;
  std::uint64_t fingerprint = 0;  // of its request; zero: not told
  bool operator==(const ActiveRequest&) const = default;
};

// A request that waits for engines or for a limit, for one order over all
// daemons.
struct WaitingRequest {
  std::uint64_t id = 0;
  std::string service;
  Time queue_key{};                // lower ones go first
  Duration prefill_time{};         // what its prompt takes on one engine
  bool awaits_rate_limit = false;  // of servers whose limits are used up
  bool operator==(const WaitingRequest&) const = default;
};

// What a daemon has seen go wrong at a backend server.
struct Suspicion {
  BackendId backend = 0;
  Time until{};
  bool failed = false;  // not only slow
  bool operator==(const Suspicion&) const = default;
};

// A content, or a life, as it stands in logs, the store and for operators;
// empty: zero.
std::string FingerprintText(std::uint64_t content);

// A life of a backend server that ended while it had a request of that content
// (RequestFacts::content) in work. `forgiven`: a whole answer or an operator
// has shown since that the content is not the cause.
struct Crash {
  std::uint64_t fingerprint = 0;
  BackendId incarnation = 0;
  bool cleared = false;
  bool operator==(const Crash&) const = default;
};

// What a life of a backend server last named as the requests a second that it
// takes from all daemons together; nothing: it names no limit any more.
struct ServerLimit {
  BackendId backend = 0;
  std::optional<double> per_second;
  Time received_at{};
};

// What a daemon tells the others about itself: now and then all of it, at each
// change only what changed. One that is lost does harm only until the next
// whole one.
struct LoadSnapshot {
  std::string instance;      // the daemon's address for clients
  std::string peer_address;  // and for these messages
  std::string data_centre;
  std::uint64_t incarnation = 0;  // rises with each start
  std::uint64_t sequence = 0;     // rises within a life
  bool serving = false;           // clients may be sent to it
  bool polls_store = false;       // may put the questions for its data centre
  // One of the few of its data centre that all daemons hear, of which the
  // placers are.
  bool is_hub = false;
  // It places prompts of others: whoever hears it tells it what it has.
  bool places = false;
  double capacity = 1;  // of its machine; more of it takes on duties first
  ConfigurationStamp configuration;  // that it has
  std::uint64_t epoch = 0;           // of the store, as last heard
  // For so long it takes nothing of the store for proof that the configuration
  // is the newest, as a restore has just shown.
  Duration reconciling_for{};
  // Of a partial one: `works` are those that began or changed, and `ended`
  // those that are over since the last one; all else is whole in each, but for
  // `limits` and `leaving`.
  bool incremental = false;
  std::vector<ActiveRequest> active_requests;
  std::vector<std::uint64_t> finished_ids;
  std::vector<WaitingRequest> waiting;
  std::vector<Suspicion> suspicions;
  std::vector<Crash> crashes;  // news of the last seconds
  // Of a partial one: news only. `leaving`: lives of backend servers that said
  // that they leave, to it or to one that told it.
  std::vector<ServerLimit> limits;
  std::vector<BackendId> leaving;
  // Contents of which it asks right now whether one more has ended under them.
  std::vector<std::uint64_t> crash_checks;
};

}  // namespace scaleshed::serving

#endif  // SCALESHED_SERVING_WORK_H_
