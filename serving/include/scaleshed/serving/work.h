#ifndef SCALESHED_SERVING_WORK_H_
#define SCALESHED_SERVING_WORK_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "scaleshed/core/types.h"
#include "scaleshed/serving/evacuation.h"
#include "scaleshed/serving/store_revision.h"

namespace scaleshed::serving {

// Names a backend incarnation, one run of a backend server's process, between
// daemons: a hash of the server's instance id and the start time of its
// process.
using BackendId = std::uint64_t;

// A request that a daemon has at a backend server. Daemons publish their active
// requests to those who place prompts, so that these know the load of each
// engine.
struct ActiveRequest {
  std::uint64_t id = 0;  // unique within a daemon's incarnation
  BackendId backend = 0;
  // The prefill helpers: engines besides `backend` that prefill a part of the
  // prompt.
  std::vector<BackendId> helpers;
  std::int64_t prompt_tokens = 0;
  std::int64_t answer_tokens = 0;  // upper limit
  Time started_at{};               // on the receiving daemon's clock
  bool decoding = false;           // past its first token
  Duration max_event_gap{};        // the longest that meets the objective
  // Tokens of memory reserved at each helper, in the order of `helpers`.
  std::vector<std::int64_t> helper_tokens;
  std::uint64_t fingerprint = 0;  // zero: unknown
  // Fingerprints of the request's prompt parts that are crash-suspected, in
  // ascending order. Empty once the response has got past its beginning.
  std::vector<std::uint64_t> suspected_parts;
  bool operator==(const ActiveRequest&) const = default;
};

// A request that waits for engines or for a rate limit. Daemons publish these
// to order waiting requests over all daemons.
struct WaitingRequest {
  std::uint64_t id = 0;
  std::string service;
  Time queue_key{};                // lower keys go first
  Duration prefill_time{};         // of the prompt on one engine
  bool awaits_rate_limit = false;  // the servers' rate limits are used up
  bool operator==(const WaitingRequest&) const = default;
};

// A backend server that a daemon keeps out of new work until a time, because it
// failed, was slow or asked for a backoff.
struct Suspicion {
  BackendId backend = 0;
  Time until{};
  bool failed = false;  // false: it was slow or asked for a backoff
  bool operator==(const Suspicion&) const = default;
};

// The text form of a request fingerprint or of a BackendId in logs, in the
// store and for operators; empty for zero.
std::string FingerprintText(std::uint64_t fingerprint);

// What a crash is held against: a whole request, or a part of its prompt that
// other requests may share.
enum class SuspectKind { kRequest, kPart };
inline constexpr NameTable<SuspectKind, 2> kSuspectKindNames{{
    {SuspectKind::kRequest, "request"},
    {SuspectKind::kPart, "part"},
}};

// A backend incarnation that ended while it ran a request with the given
// fingerprint (RequestMetadata::fingerprint or PromptPart::fingerprint), which
// doesn't prove that the request or the part was the cause. `cleared` is set
// once a response or an operator has shown that it wasn't.
struct Crash {
  std::uint64_t fingerprint = 0;
  BackendId incarnation = 0;
  bool cleared = false;
  SuspectKind kind = SuspectKind::kRequest;
  // The fingerprint was crash-suspected when the request was sent, so that the
  // request ran in isolation.
  bool under_suspicion = false;
  // The incarnation that the interrupted attempt was sent to, for which this
  // one may only have prefilled. Crashes of one fingerprint with the same
  // incident count once. Zero, from a daemon of an older build: `incarnation`
  // itself.
  BackendId incident = 0;
  // Servers that ran no such request crashed at about the same time, too, so
  // that this crash says little of the fingerprint.
  bool among_others = false;
  // When the attempt was interrupted, on the receiving daemon's clock; zero:
  // unknown.
  Time interrupted_at{};
  bool operator==(const Crash&) const = default;
};

// The rate limit that a backend incarnation last advertised: the requests per
// second that it takes from all daemons together. No value: it advertises no
// limit any more.
struct ServerLimit {
  BackendId backend = 0;
  std::optional<double> per_second;
  Time received_at{};
};

// What a daemon publishes of its network path to the backend servers of one
// service.
struct PublishedPath {
  std::string service;
  Time answered{};        // when its latest answered call began
  bool doubtful = false;  // its calls fail, probably because of the path
  bool operator==(const PublishedPath&) const = default;
};

// What a daemon publishes about itself: a full snapshot at intervals, and an
// incremental one at each change. The effect of a lost snapshot lasts only
// until the next full one. A heartbeat is a snapshot without active requests.
struct LoadSnapshot {
  std::string instance;      // address for clients
  std::string peer_address;  // address for messages between daemons
  std::string data_centre;
  std::uint64_t incarnation = 0;  // of the daemon; rises with each start
  std::uint64_t sequence = 0;     // rises within the incarnation
  bool serving = false;           // it admits requests
  bool polls_store = false;       // may poll the store for its data centre
  // The daemon is a hub: one of the few daemons of its data centre that send
  // heartbeats to all daemons, and from which the placers are chosen.
  bool is_hub = false;
  // The daemon places prompts of others: daemons that receive this publish
  // their active requests to it.
  bool places = false;
  bool relays = false;  // serves requests that other daemons relay to it
  // The daemon has lost its paths to the backend servers, so that clients
  // should use other daemons.
  bool withdrawn = false;
  // The daemon is the warm-up granter: it decides which requests go to cold
  // backend servers.
  bool grants_warm_ups = false;
  double capacity = 1;  // of the machine; the strongest take on duties first
  ConfigurationStamp configuration;  // the one in use
  std::uint64_t epoch = 0;           // store epoch, as last seen
  // For this long after a restore of the store, the daemon accepts no response
  // of the store as confirmation that its configuration is the newest.
  Duration reconciling_for{};
  // In an incremental snapshot, `active_requests` are those that began or
  // changed since the last snapshot, and `finished_ids` those that finished.
  // All other fields are complete in each snapshot, except `crashes`,
  // `limits`, `leaving` and `paths`.
  bool incremental = false;
  std::vector<ActiveRequest> active_requests;
  std::vector<std::uint64_t> finished_ids;
  std::vector<WaitingRequest> waiting;
  std::vector<Suspicion> suspicions;
  std::vector<Crash> crashes;  // of the last seconds
  // `limits` and `leaving` have only recent changes in an incremental snapshot.
  // `leaving` are backend incarnations that announced to this daemon, or to one
  // that published it, that they are shutting down.
  std::vector<ServerLimit> limits;
  std::vector<BackendId> leaving;
  // Fingerprints of requests and of prompt parts for which this daemon has a
  // crash check under way.
  std::vector<std::uint64_t> crash_checks;
  std::vector<std::uint64_t> part_checks;
  // The paths that this daemon or another one doubts, as those that nobody
  // doubts would only add to the size of each heartbeat. An incremental
  // snapshot has them only if this daemon began or ceased to doubt one.
  std::vector<PublishedPath> paths;
  // Evacuations in force or recently withdrawn; in an incremental snapshot only
  // those that changed.
  std::vector<StoredEvacuation> evacuations;
};

}  // namespace scaleshed::serving

#endif  // SCALESHED_SERVING_WORK_H_
