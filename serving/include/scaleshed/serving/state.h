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
  std::uint64_t life = 1;  // rises with each start of the process
  std::uint64_t seed = 1;
  double capacity = 1;  // of its machine, against those of the others
  // A request with a key runs only while the configuration was the newest so
  // short a time ago.
  Duration key_freshness = seconds(5);
  // What the store has taken is in force here within this: a configuration, or
  // a backend server's word that it leaves.
  Duration news_within = seconds(2);
  // From the request to stop to the end of the process.
  Duration grace = seconds(8);
  RepeatBudgetOptions repeats;
};

// A backend server and what this daemon has seen of it.
struct Backend {
  BackendServer server;
  BackendId id = 0;
  // Of its entry as the store holds it, whatever is kept of it here.
  std::uint64_t entry_hash = 0;
  // It had gone; a copy of the store lists it again. No longer than until then
  // is it kept out for that.
  std::optional<Time> gone_until;
  // Set when its entry may have lapsed only because the store was away.
  std::optional<Time> gone_at;
  // New work is kept away: for what became of sends to it; for its reports.
  Time suspect_until{};
  Time slow_until{};
  int failures = 0;   // one after another
  Time report_due{};  // an engine's, whoever asks for it
  bool slow = false;  // as its last report told this daemon
  // Of recent answers, falling with each new one: how many, and how many were
  // failures.
  double answers = 0;
  double bad_answers = 0;
  // An engine's, whoever suspects it: until when it is kept out, and how often
  // in a row it was before. Zero: never, or it has written since.
  Time doubted_until{};
  int doubts = 0;

  Time avoided_until() const { return std::max(suspect_until, slow_until); }
};

// Another daemon, as it last told.
struct Member {
  LoadSnapshot snapshot;
  Time heard{};
};

// An entry of a backend server that changed, and when that was seen here.
struct SeenChange {
  BackendChange change;
  Time seen{};
  bool told = false;  // to those that don't ask
};

// The same of what it holds for a content.
struct SeenEndings {
  StoredEndings endings;
  Time seen{};
  bool told = false;
};

struct GoneEntry {
  StoreRevision revision;
  std::uint64_t born = 0;  // of the life that went; zero: not told
  Time seen{};
};

// What this daemon knows of the era that the store is in. The first one that is
// heard after the daemon's start counts as no restore.
struct StoreEra {
  std::uint64_t number = 0;
  bool heard = false;
  // The restore was heard of.
  std::optional<Time> restored_at;
  // The first revision that was heard of: whatever is later was written since
  // the restore.
  std::uint64_t first_number = 0;
  // What the store holds, as far as this era's answers and relays tell.
  ConfigurationStamp stored;
  // The operators have written their newest configuration again, or had the
  // time for it.
  bool settled = true;
  Time settles_at{};
  // The last era that the store itself says is settled; zero: not known.
  std::uint64_t noted = 0;
  Time note_due{};
  // The revisions that are known here are of this era.
  std::uint64_t adopted = 0;
  // When a daemon that starts asked for its configuration: proved with a word
  // of the others.
  std::optional<Time> first_proof;
};

// How this daemon keeps up with the store: by own questions, or by the relays
// of the daemons of its data centre that put them.
struct StoreFollowing {
  // When all entries of backend servers were last known to be the newest.
  Time backends_confirmed_at{};
  // The store last spoke, to this daemon or to one that told of it.
  Time heard_at{};
  // The first call made to it since it last spoke to this daemon.
  std::optional<Time> unanswered_since;
  Time returned_at{};  // it spoke to this daemon after a silence
  bool lags = false;   // as last logged
  // When configurations that are not known here were proved to be the newest.
  std::deque<std::pair<ConfigurationStamp, Time>> awaited;
  StoreEra era;
  bool begun = false;
  bool has_role = false;            // it is known who else is there
  Time role_at{};                   // since when
  bool watching = false;            // asks for its data centre
  bool leads = false;               // is the first of those who do
  std::set<std::string> askers;     // of its data centre, by peer address
  Time ask_due{};                   // not before, by this daemon itself
  Time unreachable_at{};            // its own last question failed
  int failures = 0;                 // one after another
  std::optional<Time> read_due;     // the configuration is known to be older
  ConfigurationStamp read_wanted;   // than this
  std::string read_from;            // who told of that
  Time read_at{};                   // last
  std::optional<Time> list_due;     // entries differ from an asker's
  Time listed_at{};                 // last
  std::deque<SeenChange> changes;   // of the last seconds
  std::deque<SeenEndings> endings;  // of the last seconds
  // What this daemon writes of the quarantine: not before; under way.
  Time save_due{};
  bool saving = false;
  // The store's revision up to which all changes are known: what is older and
  // not known here had gone by then.
  StoreRevision complete_at;
  // Revisions at which entries went, so that older news don't bring them back.
  std::map<std::string, GoneEntry> gone;
  // What was last told to those that don't ask.
  ConfigurationStamp told_configuration;
  Time relayed_proof{};
  Time relayed_at{};
  // Daemons that had an entry, and when that was asked.
  std::size_t entries = 0;
  Time entries_at{};
  // When snapshots left, by sequence, of the last seconds.
  std::deque<std::pair<std::uint64_t, Time>> sent_snapshots;
};

// A backend server at which a request's answer broke off: whether it is over is
// asked, and what was at it by then counts as present at its end if it is.
struct LifeCheck {
  std::string address;
  Time since{};
  Time ask_due{};
  int refusals = 0;  // one after another
  Time sign_at{};    // it last said something
  // What broke off there, and the attempt that did: one that several servers
  // worked on is asked about at each.
  std::map<std::uint64_t, AttemptId> contents;
};

// A prompt of another daemon that this one places.
struct AskedPlace {
  PlaceQuestion question;
  Duration read{};  // what the prompt takes on one engine
  Time renewed{};   // last asked
  Time look_at{};   // not before, while it waits
  std::optional<Shortage> waits_for;
  // Once placed: what that daemon will tell of it soon.
  std::optional<Placed> placed;
  std::vector<BackendId> counted;  // PlaceAnswer::counted
  Work work;
  Time placed_at{};
};

// What this daemon last told of itself but for its work.
struct ToldHeader {
  bool serving = false;
  bool asks_store = false;
  bool is_hub = false;
  bool places = false;
  ConfigurationStamp configuration;
  std::uint64_t era = 0;
  bool settled = true;
  bool operator==(const ToldHeader&) const = default;
};

// Who places prompts, and for whom.
struct Dispatching {
  // Few daemons: each hears all and places its own.
  bool all_place = true;
  bool is_hub = false;
  std::vector<std::string> placers;  // by peer address, the first first
  // Hubs that are asked while no placer answers, in this order.
  std::vector<std::string> stand_ins;
  // This daemon was asked as one of these, and places until then.
  Time stands_in_until{};
  // When the first of the questions under way counts as unanswered.
  std::optional<Time> answer_due;
  // Placers that did not answer are passed over until then.
  std::map<std::string, Time> doubted_until;
  // Of other daemons, by their peer address and their id.
  std::map<std::pair<std::string, std::uint64_t>, AskedPlace> asked;
};

// A limit as this daemon knows it, and what the server has got since.
struct KnownLimit {
  ServerLimit named;
  StartMeter meter;
  bool own = false;   // it was named to this daemon
  bool news = false;  // to be told with the next snapshot
};

// That a backend server said that it leaves.
struct KnownLeaving {
  Time heard{};
  bool news = false;  // to be told with the next snapshot
};

struct Memory {
  std::string address;
  std::string ticket;
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
  RequestFacts facts;
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
  bool placer_answered = false;
  std::uint64_t round = 0;  // attempts so far
  Duration read{};          // what its prompt takes on one engine

  AttemptId attempt = 0;  // zero: none
  BackendId backend = 0;
  std::string backend_name;
  Work work;
  std::vector<Memory> memory;  // by helper
  Time progress_by{};
  Time sent_at{};             // the attempt in work
  Duration expected_first{};  // of that attempt, when it was sent
  Duration first_after{};     // what it took
  Duration longest_seen{};    // pause between events
  Time last_event_at{};
  // Last that its backend server was seen to live, the send itself at first.
  Time sign_at{};
  Time ask_sign_at{};  // not before, for a sign of it
  int runs = 0;        // sends that may have run, the one in work among them
  int arrivals = 0;    // sends that reached a backend server
  int refusals = 0;    // sends that did not run
  bool may_have_run = false;
  bool repeat_planned = false;  // its next send is a repeat that is allowed
  std::set<BackendId> tried;

  bool begun = false;  // the client has got a part of the answer
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
  std::size_t heard = 0;
  std::size_t listed = 0;
  std::size_t entries = 0;
  bool operator==(const DaemonCount&) const = default;
};

struct State {
  explicit State(ServingOptions serving_options)
      : options(std::move(serving_options)),
        random(options.seed),
        slack(options.repeats.window) {}

  ServingOptions options;
  Time now{};
  Time started_at{};  // its first event
  Time ticked_at{};
  Time looked_at{};  // around, at the other daemons
  std::mt19937_64 random;

  std::optional<ConfigurationIndex> configuration;
  // When the configuration in force was last known to be the newest.
  Time confirmed_at{};
  StoreFollowing store;

  std::map<std::string, Backend> backends;  // by instance id
  Quarantine quarantine;
  bool endings_news = false;  // since the last snapshot
  std::map<BackendId, LifeCheck> life_checks;
  std::map<BackendId, Time> ended_lives;      // known to be over, since
  std::map<BackendId, KnownLimit> limits;     // by life
  std::map<BackendId, KnownLeaving> leaving;  // lives that said so
  // Lives that asked this daemon for rest, and until when.
  std::map<BackendId, Time> rests;
  std::map<std::string, Member> members;            // by peer address
  std::map<std::string, std::string> listed_peers;  // to their data centres
  bool peers_listed = false;
  Dispatching dispatch;
  DaemonCount counted;                          // as last logged
  std::map<std::string, RepeatBudget> budgets;  // by service
  SlackShare slack;

  std::deque<EarlyRequest> early;  // in the order of their arrival
  std::map<RequestKey, Request> requests;
  std::map<AttemptId, RequestKey> attempts;
  std::uint64_t last_id = 0;  // of attempts

  std::uint64_t sequence = 0;  // of snapshots
  bool changed = false;        // since the last snapshot
  Time published_at{};
  std::map<std::uint64_t, Work> told_works;  // by id, as others know them
  std::map<std::string, Time> whole_due;     // by peer address
  ToldHeader told_header;
  std::vector<Suspicion> told_suspicions;
  std::vector<std::uint64_t> told_asked;

  std::optional<Time> stop_at;
  bool exited = false;
  Effects effects;
};

}  // namespace scaleshed::serving

#endif  // SCALESHED_SERVING_STATE_H_
