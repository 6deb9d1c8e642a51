#ifndef SCALESHED_SERVING_STATE_H_
#define SCALESHED_SERVING_STATE_H_

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "scaleshed/core/types.h"
#include "scaleshed/serving/configuration.h"
#include "scaleshed/serving/dispatch.h"
#include "scaleshed/serving/effects.h"
#include "scaleshed/serving/events.h"
#include "scaleshed/serving/placement.h"
#include "scaleshed/serving/quarantine.h"
#include "scaleshed/serving/repeat_budget.h"
#include "scaleshed/serving/send_block.h"
#include "scaleshed/serving/service_paths.h"
#include "scaleshed/serving/slack_share.h"
#include "scaleshed/serving/start_meter.h"
#include "scaleshed/serving/warm_up_meter.h"
#include "scaleshed/serving/work.h"

namespace scaleshed::serving {

// What a daemon's decisions need to know of the daemon itself. The options
// don't change while the process runs.
struct ServingOptions {
  std::string instance;      // this daemon's address for clients
  std::string peer_address;  // this daemon's address for other daemons
  std::string data_centre;
  std::string region;                          // empty: unknown
  std::map<std::string, std::string> regions;  // by data centre
  std::uint64_t incarnation = 1;  // rises with each start of the process
  std::uint64_t seed = 1;
  double capacity = 1;  // of its machine, relative to other daemons' machines
  // A request with an API key runs only if the configuration was confirmed to
  // be the newest at most this long ago.
  Duration key_freshness = seconds(5);
  // Limit on the time from a change in the store, such as a new configuration
  // or a backend server that is leaving, until this daemon applies it.
  Duration propagation_limit = seconds(2);
  // Whether the operators bound how long an evacuation may take to be applied.
  bool bounds_evacuations = false;
  // A cold backend server gets, from all daemons together and within any one
  // second, at most WarmUpLimits::per_second times the first plus the second.
  double warm_up_overage = 1;
  double warm_up_slack = 0;
  // Time from the request to stop until the process exits.
  Duration shutdown_grace = seconds(8);
  RetryBudgetOptions retry_budget;
};

// A backend server that the store lists, and what this daemon has observed of
// its current incarnation. A new incarnation under the same instance id
// replaces it.
struct Backend {
  BackendServer server;
  BackendId id = 0;
  // Hash of the server's entry as the store holds it, which may differ from
  // `server`.
  std::uint64_t entry_hash = 0;
  // Set if the entry was deleted and a backup, from which the store was
  // restored, lists it again: the server gets no requests for that reason until
  // this time.
  std::optional<Time> tombstone_until;
  // Set when the entry disappeared from the store, possibly only because its
  // lease expired while the store was unavailable: when to drop the server
  // unless its entry comes back.
  std::optional<Time> gone_at;
  // The server gets no new requests until these times: the first because of
  // this daemon's own failed attempts, the second because of a slow engine's
  // reports or a backoff that the server asked for.
  Time suspect_until{};
  Time slow_until{};
  int consecutive_failures = 0;  // failed attempts since the last success
  // When the engine's report is next to be fetched, by whichever daemon does
  // that.
  Time report_due{};
  bool slow = false;  // whether the last report here showed a slow engine
  // Exponentially decaying counts of responses and of failed responses.
  double recent_responses = 0;
  double recent_failed_responses = 0;
  // For engines, by the suspicions of all daemons: the time until which the
  // engine gets no new requests, and the number of further suspicions in a row
  // after the first. Both are zero if no daemon suspected the engine, or if it
  // has decoded since.
  Time suspected_until{};
  int consecutive_suspicions = 0;

  // Returns the time until which this daemon's own observations keep new
  // requests away from the server.
  Time avoided_until() const { return std::max(suspect_until, slow_until); }
};

// Another daemon: what it last published and when that was received. A full
// snapshot replaces the content, an incremental one changes parts of it.
struct Member {
  LoadSnapshot snapshot;
  Time received_at{};
  Time paths_received_at{};  // the snapshot's paths
};

// A changed store entry of a backend server and when this daemon observed it.
// A store poller keeps recent changes to relay them to the daemons of its data
// centre.
struct ObservedChange {
  BackendChange change;
  Time observed_at{};
  bool relayed = false;  // to daemons that don't poll the store
};

// The crashes that the store holds for one fingerprint, and when this
// daemon observed them. They are relayed like an ObservedChange.
struct ObservedCrashes {
  StoredCrashes crashes;
  Time observed_at{};
  bool relayed = false;
};

// A deleted store entry of a backend server. While it is kept, changes older
// than `revision` don't bring the entry back.
struct Tombstone {
  StoreRevision revision;
  // Start time of the incarnation whose entry was deleted; zero if unknown.
  std::uint64_t start_unix_ms = 0;
  Time observed_at{};
};

// The evacuation of a data centre as the operators requested or withdrew it:
// while it is in force, the data centre's backend servers get nothing new.
struct KnownEvacuation {
  bool in_force = false;
  // Of the store, at which the operators last requested or withdrew it.
  StoreRevision revision;
  Time observed_at{};  // when this daemon learned of that
  // When the first daemon known to this one learned of the last withdrawal.
  Time withdrawn_at{};
  // Set while the evacuation stays in force although a store that was restored
  // from a backup lacks the request: the revision at which it lacked it. It
  // counts as withdrawn once the restore is settled.
  std::optional<StoreRevision> missing_at;
  bool unpublished = false;  // goes into the next snapshot
  bool unrelayed = false;    // goes into the next relay, at once
  bool draining = false;     // requests of this daemon still run there
};

// Where it is known from that a backend server is cold.
enum class WarmUpSource {
  kEntry,      // the server's entry in the store
  kHealth,     // the answer to a health check
  kReopened,   // its data centre's evacuation was withdrawn
  kRestarted,  // it started again, and nothing else is known yet
};
inline constexpr NameTable<WarmUpSource, 4> kWarmUpSourceNames{{
    {WarmUpSource::kEntry, "entry"},
    {WarmUpSource::kHealth, "health"},
    {WarmUpSource::kReopened, "reopened"},
    {WarmUpSource::kRestarted, "restarted"},
}};

// A backend incarnation that is cold: until `until` it bears only the rate of
// its service's WarmUpLimits.
struct WarmUp {
  Time until{};
  WarmUpSource source = WarmUpSource::kEntry;
  Time learned_at{};  // when this daemon last learned of it
  // The server was warm in the same incarnation, so that some daemons may still
  // send to it without a grant: no grants are given before this time.
  Time grants_from{};
  Time checked_at{};  // the last health check that this daemon made
  // A health check showed that the server is warm, while other daemons may
  // presume until this time that it is cold.
  Time presumed_until{};
};

// This daemon's part in granting requests to cold backend servers. One daemon
// at a time, the warm-up granter, holds a lease in the store for it.
struct WarmUpGranting {
  // Held by this daemon's own clock, counted from before the call that took or
  // renewed it; unset: not held.
  std::optional<Time> lease_until;
  Time granting_from{};        // of the current lease
  std::uint64_t epoch = 0;     // of the store that granted the lease
  Time call_due{};             // earliest next call for the lease
  Time cold_known_at{};        // when a cold server was last known
  bool published = false;      // as the other daemons know it
  std::string logged_refusal;  // reason of the last refusal
  std::map<BackendId, WarmUpMeter> meters;
};

// What this daemon knows of the current store epoch, which counts how often the
// store was restored from a backup. The first epoch that a daemon observes
// after its start doesn't count as a restore. An epoch is reconciled once the
// store holds again what the restore lost, or the time for rewriting it has
// passed.
struct StoreEpoch {
  std::uint64_t number = 0;
  bool known = false;
  // When this daemon learned of the restore.
  std::optional<Time> restored_at;
  // The first revision observed in this epoch. Entries with later revisions
  // were written after the restore.
  std::uint64_t first_revision_number = 0;
  // The configuration that the store holds according to this epoch's responses
  // and relays.
  ConfigurationStamp stored_configuration;
  // Whether the operators have rewritten their newest configuration since the
  // restore, or the time for it has passed; `reconciled_at` ends that time.
  bool reconciled = true;
  Time reconciled_at{};
  // The last reconciled epoch that the store has recorded; zero if unknown.
  // This daemon doesn't write the record before `record_due`.
  std::uint64_t recorded_reconciled = 0;
  Time record_due{};
  // The epoch of the revisions that this daemon knows.
  std::uint64_t revisions_epoch = 0;
  // When this daemon, right after its start, sent the query that its
  // configuration answers. The confirmation takes effect once other daemons'
  // snapshots show whether the store was just restored.
  std::optional<Time> first_confirmation;
};

// How this daemon follows the store: by its own polls and watch, or by the
// relays of the store pollers of its data centre.
struct StoreFollowing {
  // Freshness confirmation of the backend servers: when all their entries were
  // last known to be the newest.
  Time backends_confirmed_at{};
  // The store's last response to this daemon or to one that published it.
  Time last_response_at{};
  // When this daemon sent its first query since the store's last response to
  // it; unset while none is unanswered.
  std::optional<Time> unanswered_query_since;
  Time recovered_at{};  // first response to this daemon after unresponsiveness
  // Whether the last logged state was lagging: the configuration or the list of
  // backend servers is too old to be used.
  bool logged_as_lagging = false;
  // Configurations that this daemon doesn't have yet, and when each was
  // confirmed to be the newest.
  std::deque<std::pair<ConfigurationStamp, Time>> awaited_configurations;
  StoreEpoch epoch;
  bool started = false;
  // Duties are assigned once the other daemons of the data centre are known,
  // which they have been since `role_since`.
  bool has_role = false;
  Time role_since{};
  bool watching = false;  // this daemon is a store poller
  // This daemon is the poller of this data centre that polls first, is the
  // first to write crashes to the store, and writes the reconciled epoch to it.
  bool is_lead_poller = false;
  std::set<std::string> pollers;  // of this data centre, by peer address
  Time poll_due{};                // earliest time of this daemon's next poll
  Time unreachable_at{};          // when this daemon's last query failed
  int consecutive_failures = 0;   // queries that failed since the last success
  // Set while this daemon's configuration is known to be older than
  // `read_wanted`: when to read the newer one. `read_from` is the peer that
  // published it.
  std::optional<Time> read_due;
  ConfigurationStamp read_wanted;
  std::string read_from;
  Time read_at{};  // last read of the configuration
  // Set when the entries here differ from a store poller's: when to list all.
  std::optional<Time> list_due;
  // Start of the current list interval: the last list plus a random delay.
  Time listed_at{};
  std::deque<ObservedChange> changes;   // observed in the last seconds
  std::deque<ObservedCrashes> crashes;  // observed in the last seconds
  // Saving of the quarantine's crashes: earliest time of the next write, and
  // whether a write is in flight.
  Time save_due{};
  bool saving = false;
  // The store's revision up to which all changes are known. An entry that is
  // unknown here and has an older revision was deleted by then.
  StoreRevision complete_up_to;
  // Deleted entries by id, kept so that older changes don't bring them back.
  std::map<std::string, Tombstone> tombstones;
  // What this daemon last relayed to daemons that don't poll the store, and
  // when.
  ConfigurationStamp relayed_configuration;
  Time relayed_confirmation{};
  Time relayed_at{};
  // Number of daemons with a store entry, and when that was queried.
  std::size_t daemon_entries = 0;
  Time daemon_entries_at{};
  // Sequence numbers and send times of the snapshots of the last seconds.
  std::deque<std::pair<std::uint64_t, Time>> sent_snapshots;
};

// A prompt part of a request that was interrupted at a backend server.
struct SuspectedPart {
  std::string id;                // as the client names it
  bool under_suspicion = false;  // see Crash
  BackendId incident = 0;        // see Crash; of the first attempt
};

// An attempt that was interrupted at a server.
struct InterruptedAttempt {
  AttemptId id = 0;
  BackendId incident = 0;  // see Crash
};

// A liveness check of a backend incarnation at which a response was
// interrupted. It probes the server's address until the server proves alive,
// its process proves ended, or too much time has passed. If the process has
// ended, a crash is recorded for every request that was interrupted there. For
// a limited time it is also a crash check: other requests with its fingerprints
// wait for its result.
struct LivenessCheck {
  std::string address;
  Time since{};
  Time probe_due{};
  int consecutive_refusals = 0;  // refused connections in a row
  Time last_alive_at{};          // last liveness signal
  // The attempts that were interrupted at this server, by request fingerprint.
  // An attempt that involved several servers has a check for each of them.
  std::map<std::uint64_t, InterruptedAttempt> attempts_by_fingerprint;
  // The prompt parts of these attempts, by fingerprint, without those of
  // responses that had got past their beginning.
  std::map<std::uint64_t, SuspectedPart> parts;
};

// A response that was complete so soon that its server may still crash because
// of it. If the server still runs at `due`, the response clears the parts.
struct PendingClearance {
  std::vector<PromptPart> parts;
  std::string request;
  BackendId backend = 0;
  Time began{};
  Time due{};
};

// A prompt of another daemon for which this daemon, as its placer, decides the
// placement. It is dropped when the other daemon withdraws it, stops requesting
// it or publishes the active request that came of it.
struct RemotePlacement {
  PlacementRequest request;
  Duration prefill_time{};
  Time last_requested_at{};           // when the last request for it came
  Time retry_at{};                    // earliest next decision while it waits
  std::optional<Shortage> waits_for;  // what it lacked at the last decision
  // Set once it is placed; `active_request` is then what the other daemon is
  // expected to publish of it soon.
  std::optional<Placement> placement;
  // See PlacementResponse::rate_limits_counted.
  std::vector<BackendId> rate_limits_counted;
  std::vector<BackendId> warm_up_grants;
  ActiveRequest active_request;
  Time placed_at{};
};

// The fields of this daemon's last snapshot that describe the daemon itself
// rather than its active requests. A difference from the current values makes a
// new snapshot due.
struct PublishedHeader {
  bool serving = false;
  bool polls_store = false;
  bool is_hub = false;
  bool places = false;
  bool withdrawn = false;
  bool grants_warm_ups = false;
  ConfigurationStamp configuration;
  std::uint64_t epoch = 0;
  bool reconciled = true;
  bool operator==(const PublishedHeader&) const = default;
};

// Which daemons decide placements and for whom, and the prompts that this
// daemon places for others. UpdatePlacementDuties() keeps it up to date.
struct PlacementDuties {
  // True in a small fleet: every daemon receives the active requests of all
  // others and places its own prompts.
  bool place_locally = true;
  bool is_hub = false;
  std::vector<std::string> placers;  // peer addresses in order of preference
  // Hubs that get placement requests while no placer responds, in this order.
  std::vector<std::string> fallback_placers;
  // This daemon got a request as a fallback placer and places for others until
  // this time.
  Time fallback_until{};
  std::uint64_t last_sequence = 0;  // PlacementRequest::sequence
  // When the earliest pending placement request times out.
  std::optional<Time> response_due;
  // Placers that didn't respond, and until when each is skipped.
  std::map<std::string, Time> placers_suspected_until;
  // Prompts of other daemons, by the daemon's peer address and the request id.
  std::map<std::pair<std::string, std::uint64_t>, RemotePlacement>
      remote_placements;
};

// A rate limit that a backend server advertises, and a token bucket over the
// requests that all daemons together sent to the server.
struct KnownLimit {
  ServerLimit limit;
  StartRateLimiter rate_limiter;
  bool received_directly = false;  // advertised to this daemon itself
  bool unpublished = false;        // goes into the next snapshot
};

// Record that a backend server said that it is leaving. An incarnation never
// withdraws this.
struct KnownLeaving {
  Time received_at{};
  bool unpublished = false;  // goes into the next snapshot
};

// Memory that an engine at `address` keeps free for a request under
// `reservation_id`. The daemon renews the lease until the request ends.
struct MemoryReservation {
  std::string address;
  std::string reservation_id;
  std::int64_t tokens = 0;
  bool granted = false;
  Time renew_at{};
};

// Stage that a request has reached at this daemon.
enum class Phase {
  kWaiting,    // waits for capacity or for a placement
  kReserving,  // reserves memory at a group of engines
  kRunning,    // has been sent to a backend server
  kRelayed,    // has been passed to another daemon, which sends it
};
inline constexpr NameTable<Phase, 4> kPhaseNames{{
    {Phase::kWaiting, "waiting"},
    {Phase::kReserving, "reserving"},
    {Phase::kRunning, "running"},
    {Phase::kRelayed, "relayed"},
}};

// One attempt at a request: at a backend server, or at the daemon that it was
// relayed to.
struct Attempt {
  AttemptId id = 0;  // zero: none
  BackendId backend = 0;
  std::string backend_name;
  ActiveRequest active_request;
  std::vector<MemoryReservation> memory_reservations;  // by helper
  std::string relay;  // peer address of the daemon that it was relayed to
  Time progress_deadline{};
  Time sent_at{};
  Duration expected_time_to_first_token{};  // computed at the send
  Time first_event_at{};                    // zero: none has come
  // Prompt parts that were crash-suspected at the send.
  std::set<std::uint64_t> suspected_at_send;
  // Last liveness signal of the backend server; at first the send.
  Time backend_alive_at{};
  bool stands = false;  // was sent, and neither it nor its connection has ended
  bool answered = false;    // some part of a response has come
  bool connecting = false;  // no byte was sent, as no connection stands yet
  // The response has got past its beginning, which clears the prompt's parts.
  bool cleared_parts = false;
  Time probe_due{};  // earliest next liveness probe of the backend server
  // Earliest next try to hedge the attempt while it stalls; zero: it doesn't.
  Time hedge_due{};
};

// A client's request that this daemon serves, from its admission until the
// response ends or fails. It may have several attempts, in sequence or, while
// one stalls, beside each other. The first that goes on serves the client.
struct Request {
  RequestKey key = 0;
  RequestMetadata metadata;
  Route route;
  std::string service;
  std::string account;
  AllowedRegions allowed_regions;  // by the route and the account
  Time arrived{};
  Time due{};       // objective time for the first token
  Time deadline{};  // the client's or the route's, whichever is earlier
  Phase phase = Phase::kWaiting;
  Time retry_at{};                    // earliest next decision while waiting
  std::optional<Shortage> waits_for;  // as last logged
  std::string placer;  // peer address of the last placer used; empty: none
  bool placer_responded = false;
  // A placer doesn't know the allowed regions, so that this daemon places the
  // request itself.
  bool places_locally = false;
  // The last placement request and when it was sent.
  std::uint64_t placement_sequence = 0;
  Time placement_requested_at{};
  // The cold servers of the current attempt that the warm-up granter counted it
  // against, and until when it may be sent to them.
  std::vector<BackendId> warm_up_grants;
  Time warm_up_grants_until{};
  std::uint64_t attempt_number = 0;  // placements tried so far
  Duration prefill_time{};

  Attempt current;
  // Attempts that brought nothing for too long, and whose connections stand.
  // The current attempt hedges them.
  std::vector<Attempt> stalled;
  std::set<std::string> tried_relays;  // daemons not to relay it to again
  Duration time_to_first_token{};      // of the last attempt that brought one
  Duration longest_event_gap{};
  Time last_event_at{};
  int possible_runs = 0;  // sends that may have run, with the current one
  // Counts the first event of each stream and each end of an attempt that may
  // have reached a backend server; zero if no send has reached one.
  int delivered_sends = 0;
  // Sends that didn't run: the server declined them or no byte was sent.
  int declined_sends = 0;
  bool may_have_run = false;
  bool retry_reserved = false;   // the next send is a reserved retry
  std::set<BackendId> excluded;  // not used again for this request

  bool response_started = false;  // the client has received a part of it
  std::string last_event_id;
};

// A request that arrived before this daemon knew a configuration and the
// backend servers. It is admitted once they are known, and refused if that
// takes too long.
struct EarlyRequest {
  RequestArrived request;
  Time arrived{};
};

// How many daemons there are, by three sources of different freshness.
struct DaemonCount {
  std::size_t live = 0;    // live daemons, including this one
  std::size_t listed = 0;  // listed in the store, without this one
  // Daemons with a store entry when this daemon, or one that published the
  // count, last counted them.
  std::size_t entries = 0;
  bool operator==(const DaemonCount&) const = default;
};

// This daemon's network path to the backend servers of a service, and the
// probes that it sends to tell whether the path or a server is at fault.
struct TrackedPath {
  ServicePath evidence;
  Time probe_due = Time::max();
  bool probe_asked_for = false;  // probe it even if no call was missed
  Time doubted_at{};             // when it last became doubtful
  // When a request of the service that was relayed last got an answer.
  Time relay_answered_at{};
  // When a connection that stood last brought nothing in time, and when another
  // daemon was last known to be answered in time meanwhile.
  Time silent_at{};
  Time others_timely_at{};
  std::map<BackendId, Time> probes;  // under way, by the time of their start
};

// All that a daemon's decisions depend on. Reduce() changes it, one event at a
// time; `effects` collects what the current event causes.
struct State {
  explicit State(ServingOptions serving_options)
      : options(std::move(serving_options)),
        random(options.seed),
        slack_share(options.retry_budget.window) {}

  ServingOptions options;
  Time now{};
  Time started_at{};        // the first event
  Time ticked_at{};         // the last tick
  Time roles_updated_at{};  // the last update of duties
  std::mt19937_64 random;

  std::optional<ConfigurationIndex> configuration;
  // Freshness confirmation of the configuration in force: when it was last
  // known to be the newest.
  Time confirmed_at{};
  StoreFollowing store;

  std::map<std::string, Backend> backends;             // by instance id
  std::map<std::string, KnownEvacuation> evacuations;  // by data centre
  std::map<BackendId, WarmUp> warm_ups;
  WarmUpGranting warm_up_granting;
  Quarantine quarantine;
  Quarantine part_quarantine{{.kind = SuspectKind::kPart,
                              .max_crashes_per_message = 192,
                              .min_crashes_to_save = 2}};
  // For each prompt part that a response has recently cleared here, when that
  // response began.
  std::map<std::uint64_t, Time> part_clearances;
  std::deque<PendingClearance> pending_clearances;  // the earliest first
  // Which prompt parts are crash-suspected may have changed since this daemon
  // last updated its active requests.
  bool suspected_parts_changed = false;
  bool has_unpublished_crashes = false;  // since the last snapshot
  // This daemon has lost its paths to all services that have several servers,
  // while other daemons reach them.
  bool withdrawn = false;
  std::map<BackendId, LivenessCheck> liveness_checks;
  // Backend incarnations that are known to have ended, and since when.
  std::map<BackendId, Time> ended_incarnations;
  std::map<BackendId, KnownLimit> limits;
  std::map<BackendId, KnownLeaving> leaving;
  // Backend servers that this daemon backs off from, and until when.
  std::map<BackendId, Time> backoffs;
  // This daemon's network path to the servers of each service that it has
  // called, and the services whose path it doubts.
  std::map<std::string, TrackedPath> paths;
  std::set<std::string> doubtful_services;
  // Daemons that a relayed request didn't reach, and until when each is passed
  // over.
  std::map<std::string, Time> relays_avoided_until;
  std::map<std::string, Member> members;  // by peer address
  // Data centre by peer address.
  std::map<std::string, std::string> listed_peers;
  bool peers_listed = false;
  PlacementDuties dispatch;
  DaemonCount logged_daemon_count;
  std::map<std::string, RetryBudget> retry_budgets;  // by service
  SlackShare slack_share;

  std::deque<EarlyRequest> early_requests;  // in order of arrival
  std::map<RequestKey, Request> requests;
  std::map<AttemptId, RequestKey> attempts;
  std::uint64_t last_attempt_id = 0;

  std::uint64_t snapshot_sequence = 0;
  bool has_unpublished_changes = false;  // since the last snapshot
  Time published_at{};
  std::map<std::uint64_t, ActiveRequest>
      published_requests;  // by id, as the other daemons know them
  std::map<std::string, Time> full_snapshot_due;  // by peer address
  PublishedHeader published_header;
  std::vector<Suspicion> published_suspicions;
  std::set<std::string> published_doubtful_services;
  std::vector<std::uint64_t> published_crash_checks;
  std::vector<std::uint64_t> published_part_checks;

  std::optional<Time> stop_at;
  bool exited = false;
  Effects effects;
};

}  // namespace scaleshed::serving

#endif  // SCALESHED_SERVING_STATE_H_
