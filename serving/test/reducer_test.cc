// The reducer of the users' platform: single rules, and drawn failures.

#include "scaleshed/serving/reducer.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <functional>
#include <set>

namespace scaleshed::serving {
namespace {

const Time kStart{seconds(1000)};

Route MakeRoute(const std::string& name, RequestKind kind,
                const std::string& service, int max_sends) {
  return {.name = name,
          .host = "h",
          .path_prefix = "/" + name + "/",
          .kind = kind,
          .timeout = seconds(15),
          .objective = seconds(3),
          .longest_pause = milliseconds(800),
          .shares = {{.service = service}},
          .max_sends = max_sends};
}

Configuration MakeConfiguration(std::uint64_t revision) {
  Configuration configuration;
  configuration.revision = revision;
  configuration.routes = {
      MakeRoute("stream", RequestKind::kResumableStream, "llm", 2),
      MakeRoute("once-stream", RequestKind::kOnceStream, "llm", 1),
      MakeRoute("safe", RequestKind::kRepeatable, "app", 2),
      MakeRoute("once", RequestKind::kOnce, "app", 1)};
  configuration.services["app"] = {.name = "app"};
  configuration.services["llm"] = {
      .name = "llm",
      .engine = EngineTiming{.slots = 16,
                             .memory_tokens = 450'000,
                             .step_ms = 0.925,
                             .read_tokens_per_ms = 256,
                             .pairs_ms_per_million = 0.0917,
                             .tokens_per_event = 46}};
  configuration.accounts = {{.name = "acme", .keys = {"k"}}};
  return configuration;
}

class Daemon {
 public:
  Daemon()
      : state_({.instance = "1.1.1.1:1",
                .peer_address = "1.1.1.1:2",
                .repeats = {.slack = 1000}}) {
    Feed(ConfigurationSeen{.configuration = MakeConfiguration(1),
                           .asked = kStart});
    for (int i = 0; i < 6; ++i) List("llm", i);
    for (int i = 0; i < 3; ++i) List("app", i);
  }

  void List(const std::string& service, int i, bool leaving = false) {
    const std::string id = service + std::to_string(i);
    Feed(BackendListed{{.id = id,
                        .service = service,
                        .address = id + ":1",
                        .slots = 16,
                        .leaving = leaving,
                        .revision = ++revision_}});
  }

  const Effects& Feed(EventBody body) {
    effects_ = Reduce(state_, {.now = now_, .body = std::move(body)});
    if (observer_) observer_(effects_);
    return effects_;
  }
  // Called with the effects of each event.
  void Observe(std::function<void(const Effects&)> observer) {
    observer_ = std::move(observer);
  }
  // Time passes with the ticks that were asked for.
  void Pass(Duration time) {
    const Time until = now_ + time;
    Effects all;
    while (now_ < until) {
      now_ =
          std::min(until, std::max(NextWake(state_), now_ + milliseconds(1)));
      Feed(Tick{});
      all.insert(all.end(), effects_.begin(), effects_.end());
    }
    effects_ = std::move(all);
  }
  void Confirm() { Feed(ConfigurationConfirmed{.revision = 1, .asked = now_}); }

  RequestKey Ask(const std::string& route, std::int64_t prompt = 2000,
                 Duration deadline = seconds(15)) {
    const RequestKey key = ++last_key_;
    Feed(RequestArrived{.key = key,
                        .facts = {.id = "r" + std::to_string(key),
                                  .host = "h",
                                  .path = "/" + route + "/x",
                                  .keys = {"k"},
                                  .deadline = deadline,
                                  .prompt_tokens = prompt,
                                  .answer_tokens = 500}});
    return key;
  }

  template <typename T>
  const T* First() const {
    for (const Effect& it : effects_) {
      if (const T* found = std::get_if<T>(&it)) return found;
    }
    return nullptr;
  }

  RequestKey next_key() const { return last_key_ + 1; }
  State& state() { return state_; }
  Time now() const { return now_; }
  void SetNow(Time now) { now_ = now; }
  const Effects& effects() const { return effects_; }

 private:
  State state_;
  Time now_ = kStart;
  Effects effects_;
  std::function<void(const Effects&)> observer_;
  std::uint64_t revision_ = 10;
  RequestKey last_key_ = 0;
};

TEST_CASE("The configuration in force only rises") {
  Daemon daemon;
  daemon.Feed(ConfigurationSeen{.configuration = MakeConfiguration(5),
                                .asked = daemon.now()});
  Configuration older = MakeConfiguration(4);
  older.routes.clear();
  daemon.Feed(ConfigurationSeen{.configuration = older, .asked = daemon.now()});
  CHECK(daemon.state().configuration->configuration().revision == 5);
  daemon.Ask("safe");
  CHECK(daemon.First<StartAttempt>() != nullptr);
}

TEST_CASE(
    "Only the answer to a question proves freshness, from when it was put") {
  Daemon daemon;
  CHECK(IsServing(daemon.state()));
  // A watch brings a change, which proves nothing of what came after it.
  daemon.Pass(milliseconds(4700));
  daemon.Feed(ConfigurationSeen{.configuration = MakeConfiguration(2),
                                .asked = Time{}});
  daemon.Pass(milliseconds(200));
  CHECK_FALSE(IsServing(daemon.state()));
  daemon.Ask("safe");
  const auto* refused = daemon.First<Refuse>();
  REQUIRE(refused != nullptr);
  CHECK(refused->status == 503);
  // The word that an older revision was the newest proves nothing either.
  daemon.Feed(ConfigurationConfirmed{.revision = 1, .asked = daemon.now()});
  CHECK_FALSE(IsServing(daemon.state()));
  daemon.Feed(ConfigurationConfirmed{.revision = 2, .asked = daemon.now()});
  CHECK(IsServing(daemon.state()));
}

TEST_CASE("An entry that lapsed while the store was away is waited for") {
  Daemon daemon;
  daemon.Feed(BackendUnlisted{.id = "app0", .certain = false});
  daemon.Pass(milliseconds(1500));
  CHECK(daemon.state().backends.contains("app0"));
  daemon.List("app", 0);
  daemon.Pass(seconds(3));
  CHECK(daemon.state().backends.contains("app0"));
  daemon.Feed(BackendUnlisted{.id = "app0", .certain = false});
  daemon.Pass(seconds(3));
  CHECK_FALSE(daemon.state().backends.contains("app0"));
  daemon.Feed(BackendUnlisted{.id = "app1", .certain = true});
  CHECK_FALSE(daemon.state().backends.contains("app1"));
}

TEST_CASE("A word of leaving is never taken back") {
  Daemon daemon;
  daemon.List("app", 0, /*leaving=*/true);
  daemon.List("app", 0);
  for (int i = 0; i < 20; ++i) {
    daemon.Ask("safe");
    const auto* sent = daemon.First<StartAttempt>();
    REQUIRE(sent != nullptr);
    CHECK(sent->instance != "app0");
  }
}

TEST_CASE("A late word of an attempt that is over changes nothing") {
  Daemon daemon;
  const RequestKey key = daemon.Ask("stream");
  const AttemptId first = daemon.First<StartAttempt>()->attempt;
  daemon.Feed(StreamEvent{.attempt = first, .id = "1", .bytes = "a"});
  daemon.Feed(AttemptFailed{.attempt = first});
  const auto* second = daemon.First<StartAttempt>();
  REQUIRE(second != nullptr);
  CHECK(second->resume_after == "1");
  daemon.Feed(StreamEvent{.attempt = first, .id = "2", .bytes = "late"});
  CHECK(daemon.First<PassEvent>() == nullptr);
  daemon.Feed(AttemptAnswered{.attempt = first, .kind = AnswerKind::kSuccess});
  CHECK(daemon.First<EndStream>() == nullptr);
  CHECK(daemon.state().requests.contains(key));
}

TEST_CASE("Peers' words of a bad backend server count") {
  Daemon daemon;
  LoadSnapshot snapshot{.instance = "2.2.2.2:1",
                        .peer_address = "2.2.2.2:2",
                        .life = 1,
                        .sequence = 1,
                        .serving = true};
  snapshot.suspicions = {
      {.backend = HashBytes("app1"), .until = kStart + seconds(1)},
      {.backend = HashBytes("app2"), .until = kStart + seconds(1)}};
  daemon.Feed(SnapshotReceived{snapshot});
  for (int i = 0; i < 10; ++i) {
    daemon.Ask("safe");
    CHECK(daemon.First<StartAttempt>()->instance == "app0");
  }
}

TEST_CASE("An older or doubled snapshot changes nothing") {
  Daemon daemon;
  LoadSnapshot snapshot{.instance = "2.2.2.2:1",
                        .peer_address = "2.2.2.2:2",
                        .life = 7,
                        .sequence = 5,
                        .serving = true};
  daemon.Feed(SnapshotReceived{snapshot});
  CHECK(LookUp(daemon.state()).addresses.size() == 2);
  LoadSnapshot old = snapshot;
  old.sequence = 4;
  old.serving = false;
  daemon.Feed(SnapshotReceived{old});
  CHECK(LookUp(daemon.state()).addresses.size() == 2);
  old.life = 6;
  old.sequence = 100;
  daemon.Feed(SnapshotReceived{old});
  CHECK(LookUp(daemon.state()).addresses.size() == 2);
  daemon.Pass(seconds(3));
  CHECK(LookUp(daemon.state()).addresses.size() == 1);
}

TEST_CASE("Long prompts of all daemons wait in one order") {
  Daemon daemon;
  LoadSnapshot snapshot{.instance = "2.2.2.2:1",
                        .peer_address = "2.2.2.2:2",
                        .life = 1,
                        .sequence = 1,
                        .serving = true};
  snapshot.waiting = {
      {.id = 1, .service = "llm", .turn = kStart, .read = milliseconds(500)}};
  daemon.Feed(SnapshotReceived{snapshot});
  daemon.Ask("stream", 100'000);
  CHECK(daemon.First<StartAttempt>() == nullptr);
  // Short ones don't wait for them.
  daemon.Ask("stream", 2'000);
  CHECK(daemon.First<StartAttempt>() != nullptr);
  snapshot.waiting.clear();
  snapshot.sequence = 2;
  daemon.Pass(milliseconds(20));
  daemon.Feed(SnapshotReceived{snapshot});
  daemon.Pass(milliseconds(20));
  CHECK(daemon.First<StartAttempt>() != nullptr);
}

TEST_CASE(
    "A first try that would be late is refused early, a second one waits") {
  Daemon daemon;
  LoadSnapshot snapshot{.instance = "2.2.2.2:1",
                        .peer_address = "2.2.2.2:2",
                        .life = 1,
                        .sequence = 1,
                        .serving = true};
  // Twenty engine-seconds of reading come first.
  snapshot.waiting = {{.id = 1,
                       .service = "llm",
                       .turn = kStart - seconds(9),
                       .read = seconds(20)}};
  daemon.Feed(SnapshotReceived{snapshot});
  daemon.Ask("stream", 100'000);
  const auto* refused = daemon.First<Refuse>();
  REQUIRE(refused != nullptr);
  CHECK(refused->status == 503);
  CHECK(refused->retry_after > milliseconds(500));
  CHECK(refused->retry_after <= seconds(5));
  daemon.Ask("stream", 100'000, seconds(11));
  CHECK(daemon.First<Refuse>() == nullptr);
}

TEST_CASE("A route's time-out ends a request, and not before") {
  Daemon daemon;
  daemon.Ask("once", 0, seconds(100));
  const AttemptId attempt = daemon.First<StartAttempt>()->attempt;
  for (int i = 0; i < 148; ++i) {
    daemon.Pass(milliseconds(100));
    daemon.Confirm();
    CHECK(daemon.First<Refuse>() == nullptr);
  }
  daemon.Pass(milliseconds(400));
  CHECK(daemon.state().requests.empty());
  daemon.Feed(
      AttemptAnswered{.attempt = attempt, .kind = AnswerKind::kSuccess});
  CHECK(daemon.First<DeliverAnswer>() == nullptr);
}

TEST_CASE("A planned stop takes what can end, then ends") {
  Daemon daemon;
  daemon.Feed(StopRequested{});
  CHECK_FALSE(IsServing(daemon.state()));
  daemon.Ask("safe");
  const AttemptId attempt = daemon.First<StartAttempt>()->attempt;
  daemon.Feed(
      AttemptAnswered{.attempt = attempt, .kind = AnswerKind::kSuccess});
  CHECK(daemon.First<DeliverAnswer>() != nullptr);
  daemon.Pass(milliseconds(2600));
  daemon.Ask("stream");
  const auto* refused = daemon.First<Refuse>();
  REQUIRE(refused != nullptr);
  CHECK(refused->why == Refusal::kStopping);
  daemon.Pass(seconds(5));
  CHECK(daemon.state().exited);
}

// What the world outside may do next, as drawn numbers.
struct DrawnStep {
  int kind = 0;
  int first = 0;
  int second = 0;
};

std::ostream& operator<<(std::ostream& out, const DrawnStep& step) {
  return out << step.kind << "(" << step.first << ", " << step.second << ")";
}

rc::Gen<DrawnStep> AnyStep() {
  return rc::gen::build<DrawnStep>(
      rc::gen::set(&DrawnStep::kind, rc::gen::inRange(0, 12)),
      rc::gen::set(&DrawnStep::first, rc::gen::inRange(0, 1000)),
      rc::gen::set(&DrawnStep::second, rc::gen::inRange(0, 1000)));
}

// Plays drawn steps against a daemon and holds what must always hold.
class Player {
 public:
  Player() {
    daemon_.Observe([this](const Effects& effects) { Check(effects); });
  }

  void Play(const DrawnStep& step) {
    switch (step.kind) {
      case 0:
      case 1:
      case 2:
        Ask(step);
        return;
      case 3:
        daemon_.Pass(milliseconds(1 + step.first));
        return;
      case 4:
        daemon_.Confirm();
        return;
      case 5:
        daemon_.List(step.first % 2 == 0 ? "llm" : "app", step.second % 6,
                     step.second % 5 == 0);
        return;
      case 6:
        daemon_.Feed(
            BackendUnlisted{.id = (step.first % 2 == 0 ? "llm" : "app") +
                                  std::to_string(step.second % 6),
                            .certain = step.second % 3 != 0});
        return;
      case 7:
        Peer(step);
        return;
      case 8:
        if (!open_.empty()) {
          const RequestKey key = Pick(step.first);
          ended_.insert(key);
          open_.erase(key);
          daemon_.Feed(ClientGone{.key = key});
        }
        return;
      default:
        Answer(step);
    }
  }

  // All ends with time.
  void Finish() {
    daemon_.Pass(seconds(40));
    for (const RequestKey it : open_) {
      Violate("request " + std::to_string(it) + " never ended");
    }
    for (const std::string& it : tickets_) Violate("memory left: " + it);
  }
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  void Ask(const DrawnStep& step) {
    static const std::vector<std::string> kRoutes{"stream", "stream", "once",
                                                  "safe", "once-stream"};
    static const std::vector<std::int64_t> kPrompts{
        500, 5000, 45'000, 210'000, 500'000, 1'000'000};
    const std::string& route =
        kRoutes[static_cast<std::size_t>(step.first) % kRoutes.size()];
    const std::int64_t prompt =
        kPrompts[static_cast<std::size_t>(step.second) % kPrompts.size()];
    routes_[daemon_.next_key()] = route;
    const RequestKey key = daemon_.Ask(route, prompt, seconds(15));
    if (!ended_.contains(key)) open_.insert(key);
  }

  RequestKey Pick(int draw) const {
    auto it = open_.begin();
    std::advance(it, draw % static_cast<int>(open_.size()));
    return *it;
  }

  void Answer(const DrawnStep& step) {
    if (sent_.empty()) return;
    auto it = sent_.begin();
    std::advance(it, step.first % static_cast<int>(sent_.size()));
    const AttemptId attempt = it->first;
    const RequestKey key = it->second;
    constexpr int kAnswers = 8;
    constexpr int kCut = 6;
    int answer = step.second % kAnswers;
    const bool stream = routes_[key].find("stream") != std::string::npos;
    if (answer == kAnswers - 1 && !stream) answer = 0;
    // A stream that has begun can't say any more that it did not run.
    if (answer >= 3 && answer < kCut && begun_.contains(attempt)) answer = kCut;
    // All but an event of a stream end the attempt.
    if (answer != kAnswers - 1) sent_.erase(it);
    switch (answer) {
      case 0:
        Ran(key);
        daemon_.Feed(AttemptAnswered{
            .attempt = attempt, .kind = AnswerKind::kSuccess, .status = 200});
        break;
      case 1:
        Ran(key);
        daemon_.Feed(AttemptAnswered{
            .attempt = attempt, .kind = AnswerKind::kFailure, .status = 500});
        break;
      case 2:
        // Ran, with a status that would say that it did not.
        Ran(key);
        daemon_.Feed(AttemptAnswered{
            .attempt = attempt, .kind = AnswerKind::kFailure, .status = 503});
        break;
      case 3:
        daemon_.Feed(AttemptAnswered{
            .attempt = attempt, .kind = AnswerKind::kNotRun, .status = 503});
        break;
      case 4:
        daemon_.Feed(AttemptAnswered{
            .attempt = attempt, .kind = AnswerKind::kGone, .status = 421});
        break;
      case 5:
        daemon_.Feed(
            AttemptFailed{.attempt = attempt, .error = AttemptError::kNotSent});
        break;
      case 6:
        Ran(key);
        daemon_.Feed(
            AttemptFailed{.attempt = attempt, .error = AttemptError::kCut});
        break;
      default:
        Ran(key);
        begun_.insert(attempt);
        daemon_.Feed(StreamEvent{.attempt = attempt,
                                 .id = "e" + std::to_string(++events_)});
    }
  }

  void Peer(const DrawnStep& step) {
    LoadSnapshot snapshot{.instance = "2.2.2.2:1",
                          .peer_address = "2.2.2.2:2",
                          .life = 1,
                          .sequence = ++sequence_,
                          .serving = step.first % 2 == 0};
    if (step.first % 3 == 0) {
      snapshot.waiting = {{.id = 1,
                           .service = "llm",
                           .turn = daemon_.now(),
                           .read = seconds(step.second % 30)}};
    }
    if (step.first % 5 == 0) {
      snapshot.works = {{.id = 1,
                         .backend = HashBytes("llm0"),
                         .helpers = {HashBytes("llm1")},
                         .prompt_tokens = step.second * 1000,
                         .started = daemon_.now()}};
    }
    daemon_.Feed(SnapshotReceived{snapshot});
  }

  void Ran(RequestKey key) { ran_.insert(key); }

  void Check(const Effects& effects) {
    for (const Effect& it : effects) {
      std::visit(
          Overloaded{[&](const StartAttempt& effect) { OnSend(effect); },
                     [&](const CancelAttempt& effect) {
                       // It may have run, unless its own word says otherwise.
                       const auto found = sent_.find(effect.attempt);
                       if (found != sent_.end()) ran_.insert(found->second);
                       sent_.erase(effect.attempt);
                     },
                     [&](const DeliverAnswer& effect) { End(effect.key); },
                     [&](const EndStream& effect) { End(effect.key); },
                     [&](const BreakAnswer& effect) { End(effect.key); },
                     [&](const Refuse& effect) {
                       const bool promise = effect.status == 503 ||
                                            effect.status == 429 ||
                                            effect.status == 421;
                       if (promise && ran_.contains(effect.key)) {
                         Violate("503 after a run");
                       }
                       End(effect.key);
                     },
                     [&](const ReserveMemory& effect) {
                       tickets_.insert(effect.ticket);
                       if (effect.hold > milliseconds(4000)) {
                         Violate("memory held for too long");
                       }
                     },
                     [&](const ReleaseMemory& effect) {
                       tickets_.erase(effect.ticket);
                     },
                     [](const auto&) {}},
          it);
    }
  }

  void OnSend(const StartAttempt& effect) {
    sent_[effect.attempt] = effect.key;
    const std::string& route = routes_[effect.key];
    const bool once = route == "once" || route == "once-stream";
    if (once && ran_.contains(effect.key)) Violate("sent after a run");
    if (ended_.contains(effect.key)) Violate("sent after its end");
    if (effect.time_left <= Duration::zero()) Violate("sent without time");
    const auto it = daemon_.state().backends.find(effect.instance);
    if (it == daemon_.state().backends.end() || it->second.server.leaving) {
      Violate("sent to a leaving backend server");
    }
  }

  void End(RequestKey key) {
    if (!ended_.insert(key).second) Violate("two ends");
    open_.erase(key);
  }

  void Violate(const std::string& what) { violations_.push_back(what); }

  Daemon daemon_;
  std::map<RequestKey, std::string> routes_;
  std::set<RequestKey> open_;
  std::set<RequestKey> ended_;
  std::set<RequestKey> ran_;
  std::map<AttemptId, RequestKey> sent_;
  std::set<AttemptId> begun_;
  std::set<std::string> tickets_;
  std::vector<std::string> violations_;
  std::uint64_t sequence_ = 0;
  int events_ = 0;
};

TEST_CASE("What must hold holds under drawn failures") {
  // Without other wishes every run draws the same sequences.
  setenv("RC_PARAMS", "seed=20261202 max_success=600 max_size=120",
         /*overwrite=*/0);
  const bool held = rc::check("serving holds its rules", [] {
    const auto steps = *rc::gen::container<std::vector<DrawnStep>>(AnyStep());
    Player player;
    for (const DrawnStep& it : steps) player.Play(it);
    player.Finish();
    if (!player.violations().empty()) RC_FAIL(player.violations().front());
  });
  CHECK(held);
}

}  // namespace
}  // namespace scaleshed::serving
