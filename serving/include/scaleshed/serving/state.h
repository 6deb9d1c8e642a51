#ifndef SCALESHED_SERVING_STATE_H_
#define SCALESHED_SERVING_STATE_H_

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "scaleshed/core/types.h"
#include "scaleshed/serving/configuration.h"
#include "scaleshed/serving/effects.h"
#include "scaleshed/serving/events.h"
#include "scaleshed/serving/placement.h"
#include "scaleshed/serving/repeat_budget.h"
#include "scaleshed/serving/work.h"

namespace scaleshed::serving {

struct ServingOptions {
  std::string instance;      // its address for clients
  std::string peer_address;  // for snapshots
  std::string data_centre;
  std::uint64_t life = 1;  // rises with each start of the process
  std::uint64_t seed = 1;
  // A request with a key runs only while the configuration was the newest so
  // short a time ago.
  Duration key_freshness = seconds(5);
  // From the request to stop to the end of the process.
  Duration grace = seconds(8);
  RepeatBudgetOptions repeats;
};

// A backend server and what this daemon has seen of it.
struct Backend {
  BackendServer server;
  BackendId id = 0;
  // Set when its entry may have lapsed only because the store was away.
  std::optional<Time> gone_at;
  Time suspect_until{};
  int failures = 0;   // one after another
  Time report_due{};  // an engine's, whoever asks for it
  bool slow = false;  // as its last report told this daemon
  // Of recent answers, falling with each new one: how many, and how many were
  // failures.
  double answers = 0;
  double bad_answers = 0;
};

// Another daemon, as it last told.
struct Member {
  LoadSnapshot snapshot;
  Time heard{};
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
  Duration read{};                    // what its prompt takes on one engine

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
  int runs = 0;      // sends that may have run, the one in work among them
  int arrivals = 0;  // sends that reached a backend server
  int refusals = 0;  // sends that did not run
  bool may_have_run = false;
  std::set<BackendId> tried;

  bool begun = false;  // the client has got a part of the answer
  std::string last_event_id;
};

struct State {
  explicit State(ServingOptions serving_options)
      : options(std::move(serving_options)), random(options.seed) {}

  ServingOptions options;
  Time now{};
  Time ticked_at{};
  std::mt19937_64 random;

  std::optional<ConfigurationIndex> configuration;
  // When the configuration in force was last known to be the newest.
  Time confirmed_at{};

  std::map<std::string, Backend> backends;  // by instance id
  std::map<std::string, Member> members;    // by peer address
  std::set<std::string> listed_peers;
  std::map<std::string, RepeatBudget> budgets;  // by service

  std::map<RequestKey, Request> requests;
  std::map<AttemptId, RequestKey> attempts;
  std::uint64_t last_id = 0;  // of attempts

  std::uint64_t sequence = 0;  // of snapshots
  bool changed = false;        // since the last snapshot
  Time published_at{};

  std::optional<Time> stop_at;
  bool exited = false;
  Effects effects;
};

}  // namespace scaleshed::serving

#endif  // SCALESHED_SERVING_STATE_H_
