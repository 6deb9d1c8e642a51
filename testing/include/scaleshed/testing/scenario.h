#ifndef SCALESHED_TESTING_SCENARIO_H_
#define SCALESHED_TESTING_SCENARIO_H_

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "scaleshed/core/result.h"
#include "scaleshed/core/types.h"

namespace scaleshed::testing {

// The small test language (docs/SCENARIOS.md): what there is, what happens, and
// what has to be seen. Two drivers run it: World for one daemon's reducer under
// a scripted clock, and Cluster for real processes.

struct EngineSpec {
  std::string name;
  std::int64_t memory_tokens = 400'000;
};

// Sends a request and goes on at once.
struct SendStep {
  std::string name;
  std::string account = "acme";
  std::string service;  // empty: a prompt to the model
  std::int64_t prompt_tokens = 1000;
  std::int64_t max_tokens = 10;
  Duration time_limit = seconds(30);
  // "self/x", "old/x" (an earlier incarnation of this daemon) or "PEER/x": an
  // id that its home handed out. Empty: the call may be repeated.
  std::string id;
  // Prompts with the same number begin alike; zero: with nothing shared.
  std::uint64_t prefix = 0;
  std::string to;  // real processes: the daemon that is asked
};

// Lets time pass. Scripted clock only.
struct RunStep {
  Duration duration{};
};

// Goes on when the request has its final answer, or its first token.
struct WaitStep {
  std::string request;
  bool first_token = false;
};

// The caller's connection closes before its answer is complete.
struct HangUpStep {
  std::string request;
};

enum class FaultKind {
  kKill,    // at once, with its memory
  kStart,   // again, as a new incarnation
  kFreeze,  // holds still, connections stand
  kThaw,    // goes on
  kCut,     // its connections break
  kLeave,   // says itself that it is leaving
  kUnlist,  // the platform's list drops it
  kStop,    // a planned stop (daemons)
};
inline constexpr NameTable<FaultKind, 8> kFaultKindNames{{
    {FaultKind::kKill, "kill"},
    {FaultKind::kStart, "start"},
    {FaultKind::kFreeze, "freeze"},
    {FaultKind::kThaw, "thaw"},
    {FaultKind::kCut, "cut"},
    {FaultKind::kLeave, "leave"},
    {FaultKind::kUnlist, "unlist"},
    {FaultKind::kStop, "stop"},
}};

// Happens to one process: an engine, a service, a daemon. "engine_of/NAME" is
// the engine that answers the request; the name stays with it when the request
// moves.
struct FaultStep {
  FaultKind kind = FaultKind::kKill;
  std::string target;
};

// What goes wrong on the way from and to one backend server from now on.
struct LinkStep {
  std::string target;
  int lose_frames = 0;   // the next n frames are lost
  int lose_cancels = 0;  // the next n cancels are lost
  int lose_answers = 0;  // the next n service answers are lost
  bool double_frames = false;
  bool cross_frames = false;  // frames arrive under the attempt before theirs
  Duration delay_frames{};
};

enum class PlatformMode { kUp, kDown, kLoseAnswers };
inline constexpr NameTable<PlatformMode, 3> kPlatformModeNames{{
    {PlatformMode::kUp, "up"},
    {PlatformMode::kDown, "down"},
    {PlatformMode::kLoseAnswers, "lose_answers"},
}};
struct PlatformStep {
  PlatformMode mode = PlatformMode::kUp;
};

// A configuration arrives. `limits_requests_per_second` is of account acme.
struct AcceptStep {
  std::uint64_t revision = 0;
  double requests_per_second = 1e6;
};

enum class PeerSays {
  kAlive,    // a heartbeat
  kLeaving,  // a heartbeat of one that leaves
  kRestart,  // a heartbeat of its next incarnation
  kSilent,   // from now on it answers nothing
  kForward,  // passes a call with an id of this daemon
  kFinal,    // the final answer to the call forwarded to it
};
inline constexpr NameTable<PeerSays, 6> kPeerSaysNames{{
    {PeerSays::kAlive, "alive"},
    {PeerSays::kLeaving, "leaving"},
    {PeerSays::kRestart, "restart"},
    {PeerSays::kSilent, "silent"},
    {PeerSays::kForward, "forward"},
    {PeerSays::kFinal, "final"},
}};
struct PeerStep {
  std::string peer;
  PeerSays says = PeerSays::kAlive;
  std::uint64_t revision = 0;  // of heartbeats
  std::string id;              // of a forwarded call
  std::string service;
  Outcome outcome = Outcome::kDone;  // of a final answer
};

// What has to be seen. Only what is set is checked.
struct ExpectStep {
  std::string request;
  std::optional<Outcome> outcome;
  std::optional<Reason> reason;
  std::optional<Duration> answered_within;  // of its sending
  std::optional<bool> answered;
  std::optional<bool> retry_after;  // whether the answer says when to come back
  std::string runs_of;  // an id, as in SendStep, or a request's name
  std::optional<int> runs_at_most;
  std::optional<int> runs_at_least;
  std::string backend;  // an engine or service, or "all"
  std::optional<std::int64_t> used_tokens;
  std::optional<bool> new_work;  // since the last fault at it
  std::optional<std::uint64_t> revision;
  std::optional<bool> ready;
  std::optional<bool> stopped;
  std::string daemon = "d1";  // that `stopped` is about; real processes
  std::string lookup_names;   // the look-up answers this instance
  std::string counter;
  std::optional<std::uint64_t> counter_at_least;
};

using Step =
    std::variant<SendStep, RunStep, WaitStep, HangUpStep, FaultStep, LinkStep,
                 PlatformStep, AcceptStep, PeerStep, ExpectStep>;

struct NumberedStep {
  int line = 0;
  Step step;
};

struct Scenario {
  std::string file;
  std::string name;
  int promise = 0;         // one to eight, as in docs/PROMISES.md
  bool processes = false;  // for Cluster rather than World
  std::vector<EngineSpec> engines;
  std::vector<std::string> services;
  std::vector<std::string> peers;
  int daemons = 1;
  Duration list_lag = seconds(1);
  std::vector<NumberedStep> steps;
};

// Every failed expectation, as "file:line: expected ..., got ...".
using Failures = std::vector<std::string>;

// The error is "file:line: what is wrong".
Result<Scenario, std::string> LoadScenario(const std::string& file);

}  // namespace scaleshed::testing

#endif  // SCALESHED_TESTING_SCENARIO_H_
