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
#include "scaleshed/serving/slack_share.h"
#include "scaleshed/serving/start_meter.h"
#include "scaleshed/serving/work.h"

namespace scaleshed::serving {

struct ServingOptions {
  std::string instance;      // its address for clients
  std::string peer_address;  // for snapshots
  std::string data_centre;
  std::uint64_t incarnation = 1;  // rises with each start of the process
  std::uint64_t seed = 1;
  double capacity = 1;  // of its machine, against those of the others
  // A request with a key runs only while the configuration was the newest so
  // short a time ago.
  Duration key_freshness = seconds(5);
  // What the store has taken is in force here within this: a configuration, or
  // a backend server's word that it leaves.
  Duration propagation_limit = seconds(2);
  // From the request to stop to the end of the process.
  Duration shutdown_grace = seconds(8);
  RetryBudgetOptions retry_budget;
};

// A backend server and what this daemon has seen of it.
struct Backend {
  BackendServer server;
  BackendId id = 0;
  // Of its entry as the store holds it, whatever is kept of it here.
  std::uint64_t entry_hash = 0;
  // It had gone; a copy of the store lists it again. No longer than until then
  // is it kept out for that.
  std::optional<Time> tombstone_until;
  // Set when its entry may have lapsed only because the store was away.
  std::optional<Time> gone_at;
  // New work is kept away: for what became of sends to it; for its reports.
  Time suspect_until{};
  Time slow_until{};
  int consecutive_failures = 0;  // one after another
  Time report_due{};             // an engine's, whoever asks for it
  bool slow = false;             // as its last report told this daemon
  // Of recent answers, falling with each new one: how many, and how many were
  // failures.
  double recent_responses = 0;
  double recent_failed_responses = 0;
  // An engine's, whoever suspects it: until when it is kept out, and how often
  // in a row it was before. Zero: never, or it has written since.
  Time suspected_until{};
  int consecutive_suspicions = 0;

  Time avoided_until() const { return std::max(suspect_until, slow_until); }
};

// Another daemon, as it last told.
struct Member {
  LoadSnapshot snapshot;
  Time received_at{};
};

// An entry of a backend server that changed, and when that was seen here.
struct ObservedChange {
  BackendChange change;
  Time observed_at{};
  bool relayed = false;  // to those that don't ask
};

// The same of what it holds for a content.
struct ObservedCrashes {
  StoredCrashes crashes;
  Time observed_at{};
  bool relayed = false;
};

struct Tombstone {
  StoreRevision revision;
  std::uint64_t start_unix_ms = 0;  // of the life that went; zero: not told
  Time observed_at{};
};

// What this daemon knows of the era that the store is in. The first one that is
// heard after the daemon's start counts as no restore.
struct StoreEpoch {
  std::uint64_t number = 0;
  bool known = false;
  // The restore was heard of.
  std::optional<Time> restored_at;
  // The first revision that was heard of: whatever is later was written since
  // the restore.
  std::uint64_t first_revision_number = 0;
  // What the store holds, as far as this era's answers and relays tell.
  ConfigurationStamp stored_configuration;
  // The operators have written their newest configuration again, or had the
  // time for it.
  bool reconciled = true;
  Time reconciled_at{};
  // The last era that the store itself says is settled; zero: not known.
  std::uint64_t recorded_reconciled = 0;
  Time record_due{};
  // The revisions that are known here are of this era.
  std::uint64_t revisions_epoch = 0;
  // When a daemon that starts asked for its configuration: proved with a word
  // of the others.
  std::optional<Time> first_confirmation;
};

// How this daemon keeps up with the store: by own questions, or by the relays
// of the daemons of its data centre that put them.
struct StoreFollowing {
  // When all entries of backend servers were last known to be the newest.
  Time backends_confirmed_at{};
  // The store last spoke, to this daemon or to one that told of it.
  Time last_response_at{};
  // The first call made to it since it last spoke to this daemon.
  std::optional<Time> unanswered_query_since;
  Time recovered_at{};             // it spoke to this daemon after a silence
  bool logged_as_lagging = false;  // as last logged
  // When configurations that are not known here were proved to be the newest.
  std::deque<std::pair<ConfigurationStamp, Time>> awaited_configurations;
  StoreEpoch epoch;
  bool started = false;
  bool has_role = false;               // it is known who else is there
  Time role_since{};                   // since when
  bool watching = false;               // asks for its data centre
  bool is_lead_poller = false;         // is the first of those who do
  std::set<std::string> pollers;       // of its data centre, by peer address
  Time poll_due{};                     // not before, by this daemon itself
  Time unreachable_at{};               // its own last question failed
  int consecutive_failures = 0;        // one after another
  std::optional<Time> read_due;        // the configuration is known to be older
  ConfigurationStamp read_wanted;      // than this
  std::string read_from;               // who told of that
  Time read_at{};                      // last
  std::optional<Time> list_due;        // entries differ from an asker's
  Time listed_at{};                    // last
  std::deque<ObservedChange> changes;  // of the last seconds
  std::deque<ObservedCrashes> crashes;  // of the last seconds
  // What this daemon writes of the quarantine: not before; under way.
  Time save_due{};
  bool saving = false;
  // The store's revision up to which all changes are known: what is older and
  // not known here had gone by then.
  StoreRevision complete_up_to;
  // Revisions at which entries went, so that older news don't bring them back.
  std::map<std::string, Tombstone> tombstones;
  // What was last told to those that don't ask.
  ConfigurationStamp relayed_configuration;
  Time relayed_confirmation{};
  Time relayed_at{};
  // Daemons that had an entry, and when that was asked.
  std::size_t daemon_entries = 0;
  Time daemon_entries_at{};
  // When snapshots left, by sequence, of the last seconds.
  std::deque<std::pair<std::uint64_t, Time>> sent_snapshots;
};

// A backend server at which a request's answer broke off: whether it is over is
// asked, and what was at it by then counts as present at its end if it is.
struct LivenessCheck {
  std::string address;
  Time since{};
  Time probe_due{};
  int consecutive_refusals = 0;  // one after another
  Time last_alive_at{};          // it last said something
  // What broke off there, and the attempt that did: one that several servers
  // worked on is asked about at each.
  std::map<std::uint64_t, AttemptId> attempts_by_fingerprint;
};

// A prompt of another daemon that this one places.
struct RemotePlacement {
  PlacementRequest request;
  Duration prefill_time{};   // what the prompt takes on one engine
  Time last_requested_at{};  // last asked
  Time retry_at{};           // not before, while it waits
  std::optional<Shortage> waits_for;
  // Once placed: what that daemon will tell of it soon.
  std::optional<Placement> placement;
  std::vector<BackendId> rate_limits_counted;  // PlaceAnswer::counted
  ActiveRequest active_request;
  Time placed_at{};
};

// What this daemon last told of itself but for its work.
struct PublishedHeader {
  bool serving = false;
  bool polls_store = false;
  bool is_hub = false;
  bool places = false;
  ConfigurationStamp configuration;
  std::uint64_t epoch = 0;
  bool reconciled = true;
  bool operator==(const PublishedHeader&) const = default;
};

// Who places prompts, and for whom.
struct PlacementDuties {
  // Few daemons: each hears all and places its own.
  bool place_locally = true;
  bool is_hub = false;
  std::vector<std::string> placers;  // by peer address, the first first
  // Hubs that are asked while no placer answers, in this order.
  std::vector<std::string> fallback_placers;
  // This daemon was asked as one of these, and places until then.
  Time fallback_until{};
  // When the first of the questions under way counts as unanswered.
  std::optional<Time> response_due;
  // Placers that did not answer are passed over until then.
  std::map<std::string, Time> placers_suspected_until;
  // Of other daemons, by their peer address and their id.
  std::map<std::pair<std::string, std::uint64_t>, RemotePlacement>
      remote_placements;
};

// A limit as this daemon knows it, and what the server has got since.
struct KnownLimit {
  ServerLimit limit;
  StartRateLimiter rate_limiter;
  bool received_directly = false;  // it was named to this daemon
  bool unpublished = false;        // to be told with the next snapshot
};

// That a backend server said that it leaves.
struct KnownLeaving {
  Time received_at{};
  bool unpublished = false;  // to be told with the next snapshot
};

struct MemoryReservation {
  std::string address;
  std::string reservation_id;
  std::int64_t tokens = 0;
  bool granted = false;
  Time renew_at{};
};

enum class Phase {
  kWaiting,    // for room
  kReserving,  // memory at several engines
  kRunning,    // at a backend server
};
inline constexpr NameTable<Phase, 3> kPhaseNames{{
    {Phase::kWaiting, "waiting"},
    {Phase::kReserving, "reserving"},
    {Phase::kRunning, "running"},
}};

struct Request {
  RequestKey key = 0;
  RequestMetadata metadata;
  Route route;
  std::string service;
  std::string account;
  Time arrived{};
  Time due{};       // the objective
  Time deadline{};  // the client's or the route's, whichever is first
  Phase phase = Phase::kWaiting;
  Time retry_at{};                    // not before, while waiting
  std::optional<Shortage> waits_for;  // as last logged
  std::string placer;                 // last asked; empty: none
  bool placer_responded = false;
  std::uint64_t attempt_number = 0;  // attempts so far
  Duration prefill_time{};           // what its prompt takes on one engine

  AttemptId attempt = 0;  // zero: none
  BackendId backend = 0;
  std::string backend_name;
  ActiveRequest active_request;
  std::vector<MemoryReservation> memory_reservations;  // by helper
  Time progress_deadline{};
  Time sent_at{};                           // the attempt in work
  Duration expected_time_to_first_token{};  // of that attempt, when it was sent
  Duration time_to_first_token{};           // what it took
  Duration longest_event_gap{};             // pause between events
  Time last_event_at{};
  // Last that its backend server was seen to live, the send itself at first.
  Time backend_alive_at{};
  Time probe_due{};       // not before, for a sign of it
  int possible_runs = 0;  // sends that may have run, the one in work among them
  int delivered_sends = 0;  // sends that reached a backend server
  int declined_sends = 0;   // sends that did not run
  bool may_have_run = false;
  bool retry_reserved = false;  // its next send is a repeat that is allowed
  std::set<BackendId> excluded;

  bool response_started = false;  // the client has got a part of the answer
  std::string last_event_id;
};

// A request that came before this daemon knew by what to decide.
struct EarlyRequest {
  RequestArrived request;
  Time arrived{};
};

// How many daemons there are: that this one hears, itself among them; that it
// knows by name from the store, without this one; that had an entry there when
// they were last counted, by this daemon or one that told it.
struct DaemonCount {
  std::size_t live = 0;
  std::size_t listed = 0;
  std::size_t entries = 0;
  bool operator==(const DaemonCount&) const = default;
};

struct State {
  explicit State(ServingOptions serving_options)
      : options(std::move(serving_options)),
        random(options.seed),
        slack_share(options.retry_budget.window) {}

  ServingOptions options;
  Time now{};
  Time started_at{};  // its first event
  Time ticked_at{};
  Time roles_updated_at{};  // around, at the other daemons
  std::mt19937_64 random;

  std::optional<ConfigurationIndex> configuration;
  // When the configuration in force was last known to be the newest.
  Time confirmed_at{};
  StoreFollowing store;

  std::map<std::string, Backend> backends;  // by instance id
  Quarantine quarantine;
  bool has_unpublished_crashes = false;  // since the last snapshot
  std::map<BackendId, LivenessCheck> liveness_checks;
  std::map<BackendId, Time> ended_incarnations;  // known to be over, since
  std::map<BackendId, KnownLimit> limits;        // by life
  std::map<BackendId, KnownLeaving> leaving;     // lives that said so
  // Lives that asked this daemon for rest, and until when.
  std::map<BackendId, Time> backoffs;
  std::map<std::string, Member> members;            // by peer address
  std::map<std::string, std::string> listed_peers;  // to their data centres
  bool peers_listed = false;
  PlacementDuties dispatch;
  DaemonCount logged_daemon_count;                   // as last logged
  std::map<std::string, RetryBudget> retry_budgets;  // by service
  SlackShare slack_share;

  std::deque<EarlyRequest> early_requests;  // in the order of their arrival
  std::map<RequestKey, Request> requests;
  std::map<AttemptId, RequestKey> attempts;
  std::uint64_t last_attempt_id = 0;  // of attempts

  std::uint64_t snapshot_sequence = 0;   // of snapshots
  bool has_unpublished_changes = false;  // since the last snapshot
  Time published_at{};
  std::map<std::uint64_t, ActiveRequest>
      published_requests;                         // by id, as others know them
  std::map<std::string, Time> full_snapshot_due;  // by peer address
  PublishedHeader published_header;
  std::vector<Suspicion> published_suspicions;
  std::vector<std::uint64_t> published_crash_checks;

  std::optional<Time> stop_at;
  bool exited = false;
  Effects effects;
};

}  // namespace scaleshed::serving

#endif  // SCALESHED_SERVING_STATE_H_
