#ifndef SCALESHED_SERVING_TEST_SIMULATED_FLEET_H_
#define SCALESHED_SERVING_TEST_SIMULATED_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "scaleshed/testing/server_ledger.h"
#include "serving_harness.h"

namespace scaleshed::serving::test {

// What a daemon's calls to backend servers meet on their way.
enum class ServerLink {
  kOpen,
  kRefused,  // each new connection is refused
  kReset,    // each new connection stands and is reset after the request
  kSilent,   // no new connection stands, and nothing says so
};

// Size of a SimulatedFleet and the faults that it injects at random.
struct SimulatedFleetOptions {
  int daemons = 32;
  int data_centres = 4;
  int engines = 24;
  // Number of machines with more capacity in each data centre.
  int strong_per_data_centre = 1;
  // Whether the store confirms what is newest only to daemons that query it;
  // otherwise it confirms it to all.
  bool store_confirms_to_pollers = false;
  // Whether all daemons hold their slack shares from the start.
  bool hold_slack_share = false;
  int plain_servers = 0;  // servers of a plain service
  // Share of the messages between daemons that are lost.
  double message_loss_share = 0;
  // Share of the streams that are interrupted after their first event.
  double stream_reset_share = 0;
  // Of both services.
  WarmUpLimits warm_up{};
  double warm_up_overage = 1;
  double warm_up_slack = 0;
};

// The regions of a SimulatedFleet.
struct SimulatedRegions {
  std::map<std::string, std::string> regions;  // by data centre
  // Changes the configuration that all daemons get.
  std::function<void(Configuration&)> configure;
  // Whether placement requests lose their allowed regions, as if the placers
  // were of a build that doesn't know them.
  bool placers_ignore_regions = false;
};

// Many daemons under one scripted clock in one process, with a simulated store
// and simulated backend servers. Messages between daemons take a millisecond,
// the store responds at once, engines send their first event after 100 ms and
// complete after 400 ms, and plain servers respond after 60 ms. A test sends
// requests, injects faults and lets time pass; the fleet counts what is sent
// and keeps a ledger of how the daemons follow server signals.
class SimulatedFleet {
 public:
  explicit SimulatedFleet(const SimulatedFleetOptions& options,
                          SimulatedRegions regions = {})
      : options_(options), regions_(std::move(regions)) {
    for (int i = 0; i < options.daemons; ++i) {
      AddDaemon(i);
      Feed(i, Peers());
    }
    AdvanceTime(seconds(4));
  }

  static std::string PeerOf(int i) { return "p" + std::to_string(i); }
  std::string CentreOf(int i) const {
    return "z" + std::to_string(i % options_.data_centres);
  }
  State& state(int i) { return *nodes_.at(static_cast<std::size_t>(i)).state; }
  // Returns the index of the preferred placer, or -1 if there is none.
  int FirstPlacer() {
    const auto& placers = state(0).dispatch.placers;
    return placers.empty() ? -1 : IndexOf(placers.front());
  }
  // Makes a daemon process nothing and send nothing from now on, or undoes
  // that.
  void FreezeDaemon(int i, bool frozen = true) {
    nodes_.at(static_cast<std::size_t>(i)).frozen = frozen;
    ledger_.Excuse(PeerOf(i));
  }

  // Ends a daemon's process for good: its connections are reset, new ones to it
  // are refused.
  void KillDaemon(int i) {
    Node& node = nodes_.at(static_cast<std::size_t>(i));
    node.dead = true;
    FreezeDaemon(i);
    for (auto& [id, engine] : engines_) {
      std::erase_if(engine.attempts,
                    [&](const Attempt& it) { return it.daemon == i; });
    }
  }
  // Removes the store entries of killed daemons, as their leases end.
  void UnlistKilled() {
    for (int i = 0; i < options_.daemons; ++i) Feed(i, Peers());
  }
  // Drops all messages between the daemons of a data centre and all others, and
  // their calls to the store and to backend servers.
  void PartitionDataCentre(const std::string& data_centre) {
    partitioned_ = data_centre;
    for (int i = 0; i < options_.daemons; ++i) {
      if (CentreOf(i) != data_centre) continue;
      SetServerLink(i, ServerLink::kSilent);
      SetStoreLink(i, false);
      ledger_.Excuse(PeerOf(i));
    }
  }
  // Lets a daemon's calls to the store fail, or undoes that.
  void SetStoreLink(int i, bool open) {
    nodes_.at(static_cast<std::size_t>(i)).store_link = open;
  }

  // Makes an engine accept requests without ever responding, or undoes that.
  void HangEngine(const std::string& engine, bool hangs = true) {
    hangs ? (void)hanging_.insert(engine) : (void)hanging_.erase(engine);
  }

  // Makes a server advertise a rate limit in its responses from now on, or
  // none.
  void SetRateLimit(const std::string& server,
                    std::optional<double> per_second) {
    engines_.at(server).limit = per_second;
    ledger_.NameLimit(now_, server, per_second);
  }
  // Makes a server say in its responses from now on that it is leaving.
  void SetLeaving(const std::string& server) {
    engines_.at(server).leaving = true;
  }
  // Makes a server refuse all requests and ask for that backoff each time; zero
  // ends it.
  void SetBackoff(const std::string& server, Duration rest) {
    engines_.at(server).rest = rest;
  }
  // Starts a new incarnation of a server that is cold for `left`, or makes the
  // running one cold. All daemons learn it `delay` later.
  void StartCold(const std::string& server, Duration left,
                 Duration delay = milliseconds(5)) {
    ++engines_.at(server).born;
    MakeCold(server, left, delay);
  }
  void MakeCold(const std::string& server, Duration left,
                Duration delay = milliseconds(5)) {
    Engine& engine = engines_.at(server);
    engine.cold_until = now_ + left;
    engine.revision = ++revision_;
    for (int i = 0; i < options_.daemons; ++i) {
      After(delay, i, BackendListed{EntryOf(server, engine)});
    }
  }
  // Returns the requests that servers got, as decoder or helper, while they
  // were cold: when each of them came, by server.
  const std::map<std::string, std::vector<Time>>& cold_arrivals() const {
    return cold_arrivals_;
  }
  // Returns the daemon that the store names as the warm-up granter; -1: none.
  int granter() const { return granter_until_ > now_ ? granter_ : -1; }
  // Stops a daemon's process, or lets it go on with all that came meanwhile.
  void PauseDaemon(int i, bool paused) {
    Node& node = nodes_.at(static_cast<std::size_t>(i));
    node.paused = paused;
    ledger_.Excuse(PeerOf(i));
    if (paused) return;
    for (EventBody& it : std::exchange(node.backlog, {}))
      Feed(i, std::move(it));
  }
  const testing::ServerLedger& ledger() const { return ledger_; }
  // Drops all messages between a daemon and the others, or delivers them again.
  void IsolateDaemon(int i, bool isolated) {
    nodes_.at(static_cast<std::size_t>(i)).isolated = isolated;
    if (isolated) ledger_.Excuse(PeerOf(i));
  }

  // Changes the link between a daemon and all backend servers. Responses that
  // are under way still arrive.
  void SetServerLink(int i, ServerLink link) {
    nodes_.at(static_cast<std::size_t>(i)).server_link = link;
  }

  // Makes all servers take connections at once and respond after `delay`, to
  // probes as well; zero: as usual.
  void SetServerDelay(Duration delay) { server_delay_ = delay; }

  // Resets a daemon's connections to all backend servers.
  void ResetServerConnections(int i) {
    for (auto& [id, engine] : engines_) {
      for (const Attempt& it : engine.attempts) {
        if (it.daemon == i)
          After(milliseconds(1), i, AttemptFailed{.attempt = it.id});
      }
      std::erase_if(engine.attempts,
                    [&](const Attempt& it) { return it.daemon == i; });
    }
  }

  // Kills a daemon's process and starts a new incarnation, which knows what the
  // store holds.
  void RestartDaemon(int i) {
    ledger_.Excuse(PeerOf(i));
    Node& node = nodes_.at(static_cast<std::size_t>(i));
    const std::uint64_t life = node.state->options.incarnation + 1;
    node.state = NewState(i, life);
    std::erase_if(messages_underway_,
                  [&](const auto& it) { return it.second.to == i; });
    for (auto& [id, engine] : engines_) {
      std::erase_if(engine.attempts,
                    [&](const Attempt& it) { return it.daemon == i; });
    }
    TellAll(i);
    Feed(i, Peers());
  }
  // While the store is unreachable, it refuses writes and sends no changes.
  void SetStoreUnreachable(bool cut) { store_cut_ = cut; }
  using StoredKey = std::pair<SuspectKind, std::uint64_t>;
  const std::map<StoredKey, StoredCrashes>& stored() const { return stored_; }
  std::size_t saves() const { return saves_; }

  // Makes requests with a fingerprint poison requests: an engine that starts
  // one crashes kDeathAfter later, and its next incarnation starts at the same
  // address kDownFor after that.
  void MakeCrashing(std::uint64_t content) { deadly_.insert(content); }
  // Makes prompts with a part poison requests: an engine crashes shortly after
  // it sent the first event of a response to one. Undone by `crashing` false.
  void MakePartCrashing(const std::string& part, bool crashing = true) {
    crashing ? (void)deadly_parts_.insert(part)
             : (void)deadly_parts_.erase(part);
  }
  // Crashes an engine that runs, whatever it runs.
  void CrashEngine(const std::string& engine) {
    if (!IsDown(engine)) EndEngine(engines_.at(engine));
  }
  // Ends all servers of a region and deletes their entries from the store.
  void RemoveServers(const std::string& region) {
    ++revision_;
    std::erase_if(engines_, [&](const auto& it) {
      const auto& [id, engine] = it;
      if (RegionOfCentre(engine.data_centre) != region) return false;
      for (int i = 0; i < options_.daemons; ++i) {
        Feed(i, BackendUnlisted{.id = id, .revision = {.number = revision_}});
      }
      return true;
    });
  }
  // Returns the ids of the engines that run.
  std::vector<std::string> RunningEngines() const {
    std::vector<std::string> ids;
    for (const auto& [id, it] : engines_) {
      if (it.back == Time::max()) ids.push_back(id);
    }
    return ids;
  }
  // Return, in order of time, when engines crashed and when poison requests
  // were sent.
  const std::vector<Time>& crash_times() const { return ends_; }
  const std::vector<Time>& crashing_send_times() const { return deadly_sends_; }
  Time now() const { return now_; }

  // Sends a prompt to a daemon.
  RequestKey SendPrompt(int daemon, std::int64_t prompt,
                        Duration deadline = seconds(15),
                        std::uint64_t content = 0) {
    return Arrive(daemon, {.path = "/stream/x",
                           .deadline = deadline,
                           .prompt_tokens = prompt,
                           .answer_tokens = 500,
                           .fingerprint = content});
  }
  // Sends a prompt with shared parts to a daemon.
  RequestKey SendPromptWithParts(int daemon, std::uint64_t content,
                                 const std::vector<std::string>& parts,
                                 const std::string& route = "stream",
                                 std::int64_t prompt = 3000) {
    RequestMetadata facts{.path = "/" + route + "/x",
                          .deadline = seconds(10),
                          .prompt_tokens = prompt,
                          .answer_tokens = 500,
                          .fingerprint = content};
    for (const std::string& it : parts) {
      facts.shared_parts.push_back({.id = it, .fingerprint = HashBytes(it)});
    }
    return Arrive(daemon, std::move(facts));
  }
  // Sends a request for the plain service to a daemon.
  RequestKey SendPlainRequest(int daemon, Duration deadline = seconds(4)) {
    return Arrive(daemon, {.path = "/safe/x", .deadline = deadline});
  }

  // Advances the clock in steps of a millisecond, with all messages, server
  // events and ticks that are due.
  void AdvanceTime(Duration time) {
    const Time until = now_ + time;
    while (now_ < until) {
      now_ += milliseconds(1);
      Deliver();
      PlayEngines();
      for (int i = 0; i < options_.daemons; ++i) {
        if (NextWake(state(i)) <= now_) Feed(i, Tick{});
      }
      // The store confirms every 500 ms that what the daemons know is newest.
      if ((now_ - kStart) % milliseconds(500) == Duration::zero()) ProveAll();
    }
  }

  // Returns how long each request waited for its last send. sends() returns the
  // number of sends to each server.
  const std::map<RequestKey, Duration>& waits() const { return waits_; }
  const std::map<std::string, int>& sends() const { return sends_; }
  // Returns the number of prefill helpers of each send of a request, in order.
  const std::map<RequestKey, std::vector<std::size_t>>& helpers() const {
    return helpers_;
  }
  const std::map<RequestKey, int>& refusals() const { return refusals_; }
  // A refusal that a daemon returned, and how long after the request's arrival.
  struct Refused {
    Refuse refusal;
    Duration after{};
  };
  const std::vector<Refused>& refused() const { return refused_; }
  // Returns the status of a request's last refusal; zero if there is none.
  int refusal_status(RequestKey key) const {
    const auto it = refusal_statuses_.find(key);
    return it == refusal_statuses_.end() ? 0 : it->second;
  }
  // Returns the requests whose responses had begun and were broken off.
  const std::set<RequestKey>& aborted() const { return aborted_; }
  // Returns the requests that got a complete response.
  const std::set<RequestKey>& answered() const { return answered_; }
  // Returns the number of log lines of an event so far.
  std::size_t log_line_count(const std::string& what) const {
    const auto it = lines_.find(what);
    return it == lines_.end() ? 0 : it->second;
  }
  // Return how often a daemon fetched an engine's report, and how often daemons
  // queried the store.
  std::size_t reports_fetched(int i) const {
    const auto it = reports_fetched_.find(i);
    return it == reports_fetched_.end() ? 0 : it->second;
  }
  std::size_t store_queries() const { return store_queries_; }
  // Return the number of sends to servers, and of requests relayed to daemons,
  // by the region that they went to.
  const std::map<std::string, int>& sends_by_region() const {
    return sends_by_region_;
  }
  const std::map<std::string, int>& relays_by_region() const {
    return relays_by_region_;
  }
  // Returns the number of requests that daemons passed to each other.
  std::size_t relays() const { return relays_; }
  std::size_t messages() const { return messages_; }
  std::size_t messages_to(int i) const {
    return nodes_.at(static_cast<std::size_t>(i)).heard;
  }

 private:
  static constexpr Duration kDeathAfter = milliseconds(150);
  static constexpr Duration kPartCrashAfter = milliseconds(160);
  static constexpr Duration kDownFor = seconds(2);
  static constexpr Duration kConnectTimeout = milliseconds(1500);
  static constexpr Duration kProbeTimeout = milliseconds(300);
  static constexpr Duration kReportTimeout = milliseconds(600);
  static constexpr Duration kPlainWork = milliseconds(60);
  static constexpr Duration kFirstEvent = milliseconds(100);
  static constexpr Duration kConnectingInterval = milliseconds(150);

  struct Attempt {
    int daemon = 0;
    AttemptId id = 0;
  };
  struct Engine {
    std::string service = "llm";
    std::optional<double> limit;
    bool leaving = false;
    Duration rest{};
    std::string address;
    std::string data_centre;
    std::uint64_t revision = 1;
    int life = 0;
    Time dies = Time::max();  // set while it runs a poison request
    Time back = Time::max();  // set while it is down
    std::uint64_t born = 0;
    Time cold_until{};
    std::vector<Attempt> attempts;
  };

  struct Node {
    std::unique_ptr<State> state;
    bool frozen = false;
    bool dead = false;
    bool isolated = false;
    bool store_link = true;
    bool paused = false;
    std::vector<EventBody> backlog;  // that came while it was paused
    ServerLink server_link = ServerLink::kOpen;
    std::size_t heard = 0;  // messages received
  };
  struct Message {
    int to = 0;
    EventBody body;
    std::string server;
  };

  PeersListed Peers() const {
    PeersListed peers;
    for (int i = 0; i < options_.daemons; ++i) {
      const auto n = static_cast<std::size_t>(i);
      if (n < nodes_.size() && nodes_[n].dead) continue;
      peers.peers.push_back(
          {.peer_address = PeerOf(i), .data_centre = CentreOf(i)});
    }
    return peers;
  }

  static int IndexOf(const std::string& peer) {
    return std::stoi(peer.substr(1));
  }

  std::string RegionOfCentre(const std::string& data_centre) const {
    const auto it = regions_.regions.find(data_centre);
    return it == regions_.regions.end() ? "" : it->second;
  }

  std::unique_ptr<State> NewState(int i, std::uint64_t life) const {
    const bool strong =
        i / options_.data_centres < options_.strong_per_data_centre;
    auto state = std::make_unique<State>(
        ServingOptions{.instance = "f" + std::to_string(i),
                       .peer_address = PeerOf(i),
                       .data_centre = CentreOf(i),
                       .region = RegionOfCentre(CentreOf(i)),
                       .regions = regions_.regions,
                       .incarnation = life,
                       .seed = static_cast<std::uint64_t>(i) + life,
                       .capacity = strong ? 4.0 : 1.0,
                       .propagation_limit = seconds(3),
                       .warm_up_overage = options_.warm_up_overage,
                       .warm_up_slack = options_.warm_up_slack,
                       .retry_budget = {.slack = 1000}});
    if (options_.hold_slack_share) HoldSlack(state->slack_share);
    return state;
  }

  void AddDaemon(int i) {
    if (engines_.empty()) AddEngines();
    nodes_.push_back({.state = NewState(i, 1)});
    TellAll(i);
  }

  void AddEngines() {
    for (int k = 0; k < options_.engines; ++k) {
      const std::string id = "llm" + std::to_string(k);
      engines_[id] = {.address = id, .data_centre = CentreOf(k)};
    }
    for (int k = 0; k < options_.plain_servers; ++k) {
      const std::string id = "app" + std::to_string(k);
      engines_[id] = {
          .service = "app", .address = id, .data_centre = CentreOf(k)};
    }
  }

  // Feeds all that the store holds to a daemon.
  void TellAll(int i) {
    Configuration configuration = MakeConfiguration(1);
    for (auto& [name, it] : configuration.services)
      it.warm_up = options_.warm_up;
    if (regions_.configure) regions_.configure(configuration);
    Feed(i, ConfigurationReceived{.configuration = std::move(configuration),
                                  .queried_at = now_});
    Feed(i, ListedEndings());
    BackendsListed all{.revision = {.number = revision_}, .queried_at = now_};
    for (const auto& [id, engine] : engines_) {
      all.backends.push_back(EntryOf(id, engine));
    }
    Feed(i, all);
  }

  BackendServer EntryOf(const std::string& id, const Engine& engine) const {
    return {
        .id = id,
        .service = engine.service,
        .address = engine.address,
        .data_centre = engine.data_centre,
        .slots = 16,
        .revision = {.number = engine.revision},
        .start_unix_ms = engine.born,
        .warm_up_left = std::max(engine.cold_until - now_, Duration::zero())};
  }

  void RecordColdArrival(const std::string& server) {
    const auto it = engines_.find(server);
    if (it != engines_.end() && it->second.cold_until > now_)
      cold_arrivals_[server].push_back(now_);
  }

  // Carries out a daemon's call for the lease of the warm-up granter.
  void CallForLease(int from, bool renews) {
    constexpr Duration kLease = seconds(2);
    const Time until = now_ + kLease;
    const bool is_own = granter() == from;
    if (store_cut_) {
      After(seconds(1), from, WarmUpLeaseRefused{.reason = "unavailable"});
    } else if (renews && !is_own) {
      After(milliseconds(4), from, WarmUpLeaseLost{.reason = "over"});
    } else if (!renews && granter() != -1) {
      After(milliseconds(4), from, WarmUpLeaseRefused{.reason = "held"});
    } else {
      granter_ = from;
      granter_until_ = until;
      After(milliseconds(4), from,
            WarmUpLeaseHeld{.valid_until = until, .newly_taken = !renews});
    }
  }

  AllCrashesListed ListedEndings() const {
    AllCrashesListed all{.crashes = {}, .revision = {.number = revision_}};
    all.crashes.reserve(stored_.size());
    for (const auto& [content, it] : stored_) all.crashes.push_back(it);
    return all;
  }

  // Writes all crashes or, if one has another revision than expected, none, as
  // the store does, and sends the changes to the daemons that watch it.
  void Save(int from, const SaveCrashes& save) {
    ++saves_;
    const bool holds = std::all_of(
        save.crashes.begin(), save.crashes.end(), [&](const auto& it) {
          const auto found = stored_.find({it.kind, it.fingerprint});
          return it.revision == (found == stored_.end()
                                     ? StoreRevision{}
                                     : found->second.revision);
        });
    if (!store_cut_ && holds) {
      for (StoredCrashes it : save.crashes) {
        it.revision.number = ++revision_;
        const StoredKey key{it.kind, it.fingerprint};
        stored_[key] = it;
        if (it.incarnations.empty()) stored_.erase(key);
        TellWatchers(it);
      }
    }
    After(milliseconds(5), from, SaveCrashesFinished{});
    // A daemon lists all crashes after a conflict, or if it has no watch that
    // returns what it wrote.
    if (!holds || !state(from).store.watching) {
      if (!store_cut_) After(milliseconds(10), from, ListedEndings());
    }
  }

  void TellWatchers(const StoredCrashes& stored) {
    for (int i = 0; i < options_.daemons; ++i) {
      if (!state(i).store.watching) continue;
      After(milliseconds(5), i, CrashesStored{stored});
    }
  }

  // Crashes engines that run a poison request and restarts those that crashed,
  // at their times.
  void PlayEngines() {
    std::vector<std::string> back;
    for (auto& [id, it] : engines_) {
      if (it.dies <= now_) EndEngine(it);
      if (it.back <= now_) back.push_back(id);
    }
    for (const std::string& it : back) StartAgain(it);
  }

  void EndEngine(Engine& engine) {
    ends_.push_back(now_);
    engine.dies = Time::max();
    engine.back = now_ + kDownFor;
    for (const Attempt& it : std::exchange(engine.attempts, {})) {
      After(milliseconds(1), it.daemon, AttemptFailed{.attempt = it.id});
    }
  }

  void StartAgain(const std::string& id) {
    Engine engine = engines_.at(id);
    engines_.erase(id);
    engine.back = Time::max();
    const std::string next =
        engine.address + "-" + std::to_string(++engine.life);
    engine.revision = ++revision_;
    for (int i = 0; i < options_.daemons; ++i) {
      Feed(i, BackendUnlisted{.id = id, .revision = {.number = revision_}});
      Feed(i, BackendListed{{.id = next,
                             .service = "llm",
                             .address = engine.address,
                             .data_centre = engine.data_centre,
                             .slots = 16,
                             .revision = {.number = revision_}}});
    }
    engines_[next] = std::move(engine);
  }

  bool IsDown(const std::string& id) const {
    const auto it = engines_.find(id);
    return it == engines_.end() || it->second.back != Time::max();
  }

  void StartAt(int daemon, const StartAttempt& start) {
    ++sends_[start.instance];
    RecordColdArrival(start.instance);
    for (const PrefillHelper& it : start.helpers) RecordColdArrival(it.address);
    NoteRegions(start);
    helpers_[start.key].push_back(start.helpers.size());
    waits_[start.key] = now_ - arrived_.at(start.key);
    const bool deadly = deadly_.contains(facts_.at(start.key).fingerprint);
    const bool deadly_part = HasDeadlyPart(start.key);
    if (deadly || deadly_part) deadly_sends_.push_back(now_);
    if (hanging_.contains(start.instance)) return;
    if (LinkOf(daemon) != ServerLink::kOpen) {
      FailAtLink(daemon, start.attempt);
      return;
    }
    if (IsDown(start.instance)) {
      After(milliseconds(1), daemon,
            AttemptFailed{.attempt = start.attempt,
                          .error = AttemptError::kNotSent});
      return;
    }
    Engine& engine = engines_.at(start.instance);
    ledger_.Arrived({.sent = arrived_.at(start.key),
                     .after = now_,
                     .now = now_,
                     .server = start.instance,
                     .daemon = PeerOf(daemon),
                     .sender = PeerOf(daemon)});
    engine.attempts.push_back({.daemon = daemon, .id = start.attempt});
    if (deadly) {
      engine.dies = std::min(engine.dies, now_ + kDeathAfter);
      return;
    }
    if (deadly_part)
      engine.dies = std::min(engine.dies, now_ + kPartCrashAfter);
    const ResponseHeadReceived begun{.attempt = start.attempt,
                                     .signals = {.rate_limit = engine.limit,
                                                 .leaving = engine.leaving,
                                                 .backoff = engine.rest}};
    if (engine.rest > Duration::zero()) {
      After(milliseconds(1), daemon, begun, start.instance);
      After(milliseconds(1), daemon,
            AttemptAnswered{.attempt = start.attempt,
                            .kind = AnswerKind::kNotRun,
                            .status = 503});
      return;
    }
    const AttemptAnswered answered{
        .attempt = start.attempt, .kind = AnswerKind::kSuccess, .status = 200};
    if (!start.stream) {
      const Duration work = std::max(kPlainWork, server_delay_);
      After(work, daemon, begun, start.instance);
      After(work, daemon, answered);
      return;
    }
    const Duration first_event = std::max(kFirstEvent, server_delay_);
    After(first_event, daemon, begun, start.instance);
    After(first_event, daemon,
          StreamEvent{.attempt = start.attempt, .id = "1", .bytes = "x"});
    if (IsReset(start.key)) {
      After(first_event + milliseconds(50), daemon,
            AttemptFailed{.attempt = start.attempt});
      return;
    }
    After(first_event + milliseconds(300), daemon, answered);
  }

  // An address is the id of the engine's first incarnation, and tells its data
  // centre also after the engine was removed.
  void NoteRegions(const StartAttempt& start) {
    if (regions_.regions.empty()) return;
    const auto note = [&](const std::string& address) {
      constexpr std::size_t kPrefixLength = 3;  // "llm" or "app"
      const int index = std::stoi(address.substr(kPrefixLength));
      ++sends_by_region_[RegionOfCentre(CentreOf(index))];
    };
    note(start.address);
    for (const auto& it : start.helpers) note(it.address);
  }

  bool HasDeadlyPart(RequestKey key) const {
    const auto& parts = facts_.at(key).shared_parts;
    return std::any_of(parts.begin(), parts.end(), [&](const PromptPart& it) {
      return deadly_parts_.contains(it.id);
    });
  }

  ServerLink LinkOf(int daemon) const {
    return nodes_.at(static_cast<std::size_t>(daemon)).server_link;
  }

  // Ends an attempt whose call meets a link that isn't open.
  void FailAtLink(int daemon, AttemptId attempt) {
    switch (LinkOf(daemon)) {
      case ServerLink::kOpen:
        return;
      case ServerLink::kRefused:
        After(milliseconds(1), daemon,
              AttemptFailed{.attempt = attempt,
                            .error = AttemptError::kNotSent,
                            .detail = "refused"});
        return;
      case ServerLink::kReset:
        After(milliseconds(2), daemon,
              AttemptFailed{.attempt = attempt,
                            .error = AttemptError::kInterrupted,
                            .detail = "cut"});
        return;
      case ServerLink::kSilent:
        for (Duration at = kConnectingInterval; at < kConnectTimeout;
             at += kConnectingInterval)
          After(at, daemon, AttemptConnecting{.attempt = attempt});
        After(kConnectTimeout, daemon,
              AttemptFailed{.attempt = attempt,
                            .error = AttemptError::kNotSent,
                            .detail = "not_sent"});
        return;
    }
  }

  // Carries out a probe of an address.
  void Probe(int daemon, const ProbeLiveness& probe) {
    bool listens = false;
    for (const auto& [id, engine] : engines_) {
      listens = listens || (engine.address == probe.address && !IsDown(id));
    }
    auto result = listens ? ProbeResult::kAlive : ProbeResult::kRefused;
    Duration delay = milliseconds(2);
    if (listens) delay = std::max(delay, server_delay_);
    if (delay > kReportTimeout) {
      delay = kReportTimeout;
      result = ProbeResult::kConnected;
    }
    switch (LinkOf(daemon)) {
      case ServerLink::kOpen:
        break;
      case ServerLink::kRefused:
        result = ProbeResult::kRefused;
        break;
      case ServerLink::kReset:
        result = ProbeResult::kInconclusive;
        break;
      case ServerLink::kSilent:
        result = ProbeResult::kInconclusive;
        delay = kProbeTimeout;
        break;
    }
    After(delay, daemon,
          LivenessProbed{.backend = probe.backend, .result = result});
  }

  void ProveAll() {
    if (options_.store_confirms_to_pollers) return;
    for (int i = 0; i < options_.daemons; ++i) {
      Feed(i, ConfigurationConfirmed{.revision = {.number = 1},
                                     .queried_at = now_});
      Feed(i, BackendsConfirmed{.queried_at = now_});
    }
  }

  // Answers a daemon's query of the store, in which nothing has changed.
  void AnswerQuery(int i) {
    if (!options_.store_confirms_to_pollers) return;
    ++store_queries_;
    if (!nodes_.at(static_cast<std::size_t>(i)).store_link) {
      After(kConnectTimeout, i, StoreUnreachable{});
      return;
    }
    After(
        milliseconds(4), i,
        ConfigurationConfirmed{.revision = {.number = 1}, .queried_at = now_});
    After(milliseconds(4), i, BackendsConfirmed{.queried_at = now_});
  }

  // Whether messages pass between two daemons.
  bool HasPath(int from, int to) const {
    const auto isolated = [&](int i) {
      return nodes_.at(static_cast<std::size_t>(i)).isolated;
    };
    if (isolated(from) || isolated(to)) return false;
    const std::string a = CentreOf(from);
    const std::string b = CentreOf(to);
    return a == b || (a != partitioned_ && b != partitioned_);
  }

  void Feed(int i, EventBody body) {
    Node& node = nodes_.at(static_cast<std::size_t>(i));
    if (node.frozen) return;
    if (node.paused) {
      if (!std::holds_alternative<Tick>(body))
        node.backlog.push_back(std::move(body));
      return;
    }
    const auto effects =
        Reduce(*node.state, {.now = now_, .body = std::move(body)});
    for (const Effect& it : effects) Carry(i, it);
  }

  // Passes a request to another daemon as a new one there.
  void Relay(int from, const StartRelay& relay) {
    ++relays_;
    const int to = IndexOf(relay.to);
    ++relays_by_region_[RegionOfCentre(CentreOf(to))];
    const RequestKey key = ++last_key_;
    RequestMetadata facts = facts_.at(relay.key);
    facts.deadline = relay.time_left;
    facts.last_event_id = relay.resume_after;
    facts.relayed_by = PeerOf(from);
    arrived_[key] = now_;
    facts_[key] = facts;
    relayed_[key] = {.daemon = from, .id = relay.attempt};
    const Node& node = nodes_.at(static_cast<std::size_t>(to));
    if (node.dead || !HasPath(from, to)) {
      After(kProbeTimeout, from,
            AttemptFailed{.attempt = relay.attempt,
                          .error = AttemptError::kNotSent});
      return;
    }
    After(milliseconds(2), to,
          RequestArrived{.key = key, .metadata = std::move(facts)});
  }

  // Tells the daemon that a relayed request was passed to that its origin has
  // given it up.
  void CancelRelay(AttemptId attempt, int from) {
    for (const auto& [key, origin] : relayed_) {
      if (origin.daemon != from || origin.id != attempt) continue;
      for (int i = 0; i < options_.daemons; ++i) {
        if (state(i).requests.contains(key))
          After(milliseconds(1), i, ClientDisconnected{.key = key});
      }
    }
  }

  // Passes what a daemon does for a relayed request back to the origin.
  void CarryBack(const Effect& effect) {
    const auto back = [&](RequestKey key, auto make) {
      const auto it = relayed_.find(key);
      if (it == relayed_.end()) return;
      After(milliseconds(1), it->second.daemon, make(it->second.id));
    };
    if (const auto* it = std::get_if<ForwardEvent>(&effect)) {
      back(it->key, [](AttemptId id) {
        return StreamEvent{.attempt = id, .id = "1", .bytes = "x"};
      });
    } else if (std::holds_alternative<EndStream>(effect) ||
               std::holds_alternative<DeliverAnswer>(effect)) {
      const auto* end = std::get_if<EndStream>(&effect);
      const RequestKey key =
          end != nullptr ? end->key : std::get<DeliverAnswer>(effect).key;
      back(key, [](AttemptId id) {
        return AttemptAnswered{
            .attempt = id, .kind = AnswerKind::kSuccess, .status = 200};
      });
    } else if (const auto* it = std::get_if<AbortResponse>(&effect)) {
      back(it->key, [](AttemptId id) { return AttemptFailed{.attempt = id}; });
    } else if (const auto* it = std::get_if<Refuse>(&effect)) {
      constexpr int kBadGateway = 502;
      constexpr int kGatewayTimeout = 504;
      back(it->key, [&](AttemptId id) {
        return RelayRefused{.attempt = id,
                            .reason = it->reason,
                            .may_have_run = it->status == kBadGateway ||
                                            it->status == kGatewayTimeout,
                            .retry_after = it->retry_after};
      });
    }
  }

  void Carry(int from, const Effect& effect) {
    CarryBack(effect);
    if (const auto* it = std::get_if<PublishSnapshot>(&effect)) {
      for (const auto& to : it->to) {
        SendTo(from, IndexOf(to), SnapshotReceived{it->snapshot});
      }
    } else if (const auto* it = std::get_if<RequestPlacement>(&effect)) {
      PlacementRequestReceived event{it->request};
      if (regions_.placers_ignore_regions) event.request.allowed_regions = {};
      SendTo(from, IndexOf(it->to), std::move(event));
    } else if (const auto* it = std::get_if<RespondToPlacement>(&effect)) {
      SendTo(from, IndexOf(it->to), PlacementResponseReceived{it->response});
    } else if (const auto* it = std::get_if<RelayStoreState>(&effect)) {
      for (const auto& [to, relay] : it->messages) {
        SendTo(from, IndexOf(to), StoreRelayReceived{relay});
      }
    } else if (std::holds_alternative<PollStore>(effect)) {
      AnswerQuery(from);
    } else if (std::holds_alternative<FetchEngineReport>(effect)) {
      ++reports_fetched_[from];
    } else if (const auto* it = std::get_if<StartAttempt>(&effect)) {
      StartAt(from, *it);
    } else if (const auto* it = std::get_if<StartRelay>(&effect)) {
      Relay(from, *it);
    } else if (const auto* it = std::get_if<CancelAttempt>(&effect)) {
      CancelRelay(it->attempt, from);
    } else if (const auto* it = std::get_if<EndStream>(&effect)) {
      answered_.insert(it->key);
    } else if (const auto* it = std::get_if<DeliverAnswer>(&effect)) {
      answered_.insert(it->key);
    } else if (const auto* it = std::get_if<AbortResponse>(&effect)) {
      aborted_.insert(it->key);
    } else if (const auto* it = std::get_if<SaveCrashes>(&effect)) {
      Save(from, *it);
    } else if (std::holds_alternative<AcquireWarmUpLease>(effect)) {
      CallForLease(from, /*renews=*/false);
    } else if (std::holds_alternative<RenewWarmUpLease>(effect)) {
      CallForLease(from, /*renews=*/true);
    } else if (std::holds_alternative<ReleaseWarmUpLease>(effect)) {
      if (granter() == from) granter_until_ = now_;
    } else if (const auto* it = std::get_if<ProbeLiveness>(&effect)) {
      Probe(from, *it);
    } else if (const auto* it = std::get_if<ReserveMemory>(&effect)) {
      After(milliseconds(1), from,
            MemoryReservationAnswered{.attempt = it->attempt,
                                      .helper_index = it->helper_index,
                                      .granted = true});
    } else if (const auto* it = std::get_if<LogDecision>(&effect)) {
      ++lines_[it->event];
    } else if (const auto* it = std::get_if<Refuse>(&effect)) {
      ++refusals_[it->key];
      refusal_statuses_[it->key] = it->status;
      refused_.push_back({.refusal = *it, .after = now_ - arrived_[it->key]});
    }
  }

  bool Drawn(double share) {
    return std::uniform_real_distribution<double>(0, 1)(draws_) < share;
  }

  // Whether the current send of a request is interrupted. That depends only on
  // the request and the number of the send, not on the server.
  bool IsReset(RequestKey key) const {
    constexpr std::uint64_t kParts = 1000;
    const std::uint64_t draw =
        HashBytes(std::to_string(key), helpers_.at(key).size()) % kParts;
    return static_cast<double>(draw) < options_.stream_reset_share * kParts;
  }

  RequestKey Arrive(int daemon, RequestMetadata facts) {
    const RequestKey key = ++last_key_;
    facts.id = "r" + std::to_string(key);
    facts.host = "h";
    facts.keys = {"k"};
    arrived_[key] = now_;
    facts_[key] = facts;
    Feed(daemon, RequestArrived{.key = key, .metadata = std::move(facts)});
    return key;
  }

  void SendTo(int from, int to, EventBody body) {
    if (!HasPath(from, to)) return;
    if (Drawn(options_.message_loss_share)) return;
    ++messages_;
    ++nodes_.at(static_cast<std::size_t>(to)).heard;
    After(milliseconds(1), to, std::move(body));
  }
  // Delivers an event to daemon `to` after a delay. `server` is set for the
  // head of a response of that server.
  void After(Duration delay, int to, EventBody body,
             const std::string& server = "") {
    messages_underway_.emplace(
        now_ + delay,
        Message{.to = to, .body = std::move(body), .server = server});
  }

  void Deliver() {
    while (!messages_underway_.empty() &&
           messages_underway_.begin()->first <= now_) {
      Message message = std::move(messages_underway_.begin()->second);
      messages_underway_.erase(messages_underway_.begin());
      const auto* it = std::get_if<ResponseHeadReceived>(&message.body);
      // A daemon that has dropped the attempt ignores the response's head.
      if (it != nullptr && state(message.to).attempts.contains(it->attempt)) {
        NoteWord(message, it->signals);
      }
      Feed(message.to, std::move(message.body));
    }
  }

  void NoteWord(const Message& message, const ServerSignals& word) {
    const std::string daemon = PeerOf(message.to);
    if (word.rate_limit) ledger_.ToldLimit(now_, message.server, daemon);
    if (word.leaving) ledger_.ToldLeaving(now_, message.server, daemon);
    if (word.backoff > Duration::zero()) {
      ledger_.AskRest(now_, message.server, daemon, word.backoff);
    }
  }

  SimulatedFleetOptions options_;
  SimulatedRegions regions_;
  std::map<std::string, Engine> engines_;  // by instance id
  std::uint64_t revision_ = 1;
  std::map<StoredKey, StoredCrashes> stored_;
  bool store_cut_ = false;
  std::size_t saves_ = 0;
  std::map<std::string, std::vector<Time>> cold_arrivals_;
  int granter_ = -1;
  Time granter_until_{};
  std::set<std::uint64_t> deadly_;
  std::vector<Time> ends_;
  std::vector<Time> deadly_sends_;
  std::set<std::string> deadly_parts_;
  std::map<RequestKey, RequestMetadata> facts_;  // as the client sent them
  std::set<RequestKey> answered_;
  // The attempts at their origin of relayed requests, by the request's key at
  // the daemon that serves it.
  std::map<RequestKey, Attempt> relayed_;
  std::size_t relays_ = 0;
  std::map<std::string, int> sends_by_region_;
  std::map<std::string, int> relays_by_region_;
  std::vector<Node> nodes_;
  std::multimap<Time, Message> messages_underway_;
  Time now_ = kStart;
  RequestKey last_key_ = 0;
  std::map<RequestKey, Time> arrived_;
  std::map<RequestKey, Duration> waits_;
  std::map<std::string, int> sends_;
  std::map<RequestKey, std::vector<std::size_t>> helpers_;
  std::map<RequestKey, int> refusals_;
  std::map<RequestKey, int> refusal_statuses_;
  std::set<RequestKey> aborted_;
  std::mt19937_64 draws_{11};
  std::vector<Refused> refused_;
  std::set<std::string> hanging_;
  Duration server_delay_{};
  testing::ServerLedger ledger_;
  std::map<std::string, std::size_t> lines_;
  std::size_t messages_ = 0;
  std::string partitioned_;  // data centre; empty: none
  std::map<int, std::size_t> reports_fetched_;
  std::size_t store_queries_ = 0;
};

}  // namespace scaleshed::serving::test

#endif  // SCALESHED_SERVING_TEST_SIMULATED_FLEET_H_
