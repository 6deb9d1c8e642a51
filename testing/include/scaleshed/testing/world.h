#ifndef SCALESHED_TESTING_WORLD_H_
#define SCALESHED_TESTING_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "scaleshed/core/reducer.h"
#include "scaleshed/testing/engine_model.h"
#include "scaleshed/testing/scenario.h"

namespace scaleshed::testing {

struct WorldOptions {
  std::vector<EngineSpec> engines;
  std::vector<std::string> services;
  std::vector<std::string> peers;
  Duration list_lag = seconds(1);
  Duration latency = milliseconds(1);
  Duration report_interval = milliseconds(250);
  PolicyKind policy = PolicyKind::kLengthAware;
  double short_weight = 0.5;
  std::uint64_t seed = 1;
  // Bodies of the accounts in force from the start; "acme" where empty.
  std::map<std::string, AccountTemplate> accounts;
};

// What one caller saw.
struct CallerView {
  SendStep sent;
  RequestKey key = 0;
  std::string id;  // in full; empty where the call may be repeated
  Time sent_at{};
  std::vector<std::uint64_t> prefixes;
  std::int64_t tokens = 0;
  std::optional<Time> first_token_at;
  bool hung_up = false;
  std::optional<Final> final;
  Time answered_at{};
};

// One daemon's reducer under a scripted clock, with small fakes at its
// interfaces: engines (EngineModel), services, the platform's list, callers,
// and peers that say what a scenario writes.
//
// After every event the promises are checked as invariants; what does not hold
// is in violations(). Deterministic for a seed. Not thread safe.
class World {
 public:
  explicit World(WorldOptions options);

  // ---- What happens. Times are virtual.
  void Send(const SendStep& step);
  void Run(Duration duration);
  // Runs until `done`, for `most` at the longest. False where it did not come.
  bool RunUntil(const std::function<bool()>& done, Duration most);
  void Apply(const HangUpStep& step);
  void Apply(const FaultStep& step);
  void Apply(const LinkStep& step);
  void Apply(const PlatformStep& step);
  void Apply(const AcceptStep& step);
  void Apply(const PeerStep& step);
  // No load report arrives for so long.
  void StopReports(Duration duration) {
    reports_stopped_until_ = now_ + duration;
  }
  // Ends all faults, runs until all is quiet, and checks that no memory is
  // left in use.
  void Settle();

  // ---- What is seen.
  const std::map<std::string, CallerView>& callers() const { return callers_; }
  const std::vector<std::string>& violations() const { return violations_; }
  const State* state() const { return daemon_.get(); }
  Time now() const { return now_; }
  std::uint64_t Counted(Counter counter) const;
  int RunsOf(const std::string& id_or_request) const;
  std::int64_t UsedTokens(const std::string& engine);
  bool HadNewWork(const std::string& backend);
  bool exited() const { return exited_; }
  // The request's answer so far is checked token by token against this.
  std::string ExpectedToken(const CallerView& caller, std::int64_t index) const;
  std::string ResolveId(const std::string& id) const;

 private:
  struct Engine {
    std::unique_ptr<EngineModel> model;
    EngineSpec spec;
    bool alive = true;
    bool frozen = false;
    LinkStep link;
    AttemptId previous_attempt = 0;
  };
  struct Service {
    bool alive = true;
    bool frozen = false;
    bool leaving = false;
    std::uint64_t incarnation = 1;
    LinkStep link;
    std::vector<std::function<void()>> held;
  };
  struct Peer {
    Incarnation incarnation;
    std::uint64_t version = 1;
    bool silent = false;
    std::uint64_t revision = 0;
    MemberState state = MemberState::kAlive;
    std::optional<ForwardCall> forwarded;
  };
  struct Scheduled {
    Time at;
    std::uint64_t order = 0;
    std::function<void()> work;
    bool operator>(const Scheduled& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  void StartDaemon();
  void After(Duration delay, std::function<void()> work);
  // Gives the daemon an event, unless it is dead; later where it is paused.
  void Feed(EventBody body);
  void Carry(const Effect& effect);
  void StepTo(Time until);
  Time NextTime() const;
  void Tick();
  void PollReports();
  void ListInstances();
  std::vector<Instance> Listed() const;
  void Deliver(const std::string& engine,
               const std::vector<EngineModel::Output>& out);
  void DeliverLine(const std::string& engine, const EngineModel::Output& line);
  void BreakConnections(const std::string& engine);
  // The process that "engine_of/REQUEST" stands for; other names are their own.
  std::string Resolve(const std::string& target);
  void KillDaemon();
  void ApplyToDaemon(FaultKind kind);
  void ApplyToEngine(FaultKind kind, const std::string& name);
  void ApplyToService(FaultKind kind, const std::string& name);

  void Answer(const Incarnation& sender, EventBody body);
  void OnStartStream(const StartStream& effect);
  void OnResume(const ResumeStream& effect);
  void OnHold(const PlaceHold& effect);
  void OnCancel(const CancelAttempt& effect);
  void OnService(const SendService& effect);
  void OnPeerMessage(const SendPeer& effect);
  void OnReply(const ReplyChunk& chunk);
  void OnFinal(const ReplyFinal& reply);

  // A request that reached `backend` at `arrived` runs there now.
  void NoteRun(RequestKey key, const std::string& backend, Time arrived);
  void CheckInvariants();
  void Violate(const std::string& what);
  CallerView* FindCaller(RequestKey key);
  Member MemberOf(const Peer& peer, const std::string& name) const;

  WorldOptions options_;
  Time now_{};
  std::priority_queue<Scheduled, std::vector<Scheduled>, std::greater<>> queue_;
  std::uint64_t last_order_ = 0;
  std::map<std::string, Engine> engines_;
  std::uint64_t last_engine_incarnation_ = 1;
  std::map<std::string, Service> services_;
  std::map<std::string, Peer> peers_;
  std::set<std::string> unlisted_;
  PlatformMode platform_ = PlatformMode::kUp;
  std::map<Incarnation, std::map<std::string, Outcome>> left_ids_;

  std::unique_ptr<State> daemon_;
  std::uint64_t incarnation_ = 0;
  bool paused_ = false;
  bool exited_ = false;
  std::vector<EventBody> held_events_;
  Time next_tick_{};
  Time next_report_{};
  Time next_list_{};
  Time reports_stopped_until_{};
  Configuration accepted_;
  std::uint64_t highest_revision_ = 0;

  std::map<std::string, CallerView> callers_;
  std::map<RequestKey, std::string> caller_of_;
  RequestKey last_key_ = 0;
  // Runs by request key, and by id.
  std::map<RequestKey, int> runs_;
  std::map<std::string, int> id_runs_;
  std::set<RequestKey> refused_;
  std::set<std::string> refused_ids_;
  std::map<std::string, Time> leaving_since_;
  std::set<std::string> new_work_;
  std::map<Counter, std::uint64_t> counters_;
  std::map<AttemptId, RequestKey> key_of_attempt_;
  std::map<RequestKey, std::string> engine_of_;
  std::map<std::string, std::string> resolved_;
  std::vector<std::string> violations_;
};

// Runs a scenario that is not for real processes. Violations of the invariants
// count as failures too.
Failures RunScripted(const Scenario& scenario);

}  // namespace scaleshed::testing

#endif  // SCALESHED_TESTING_WORLD_H_
