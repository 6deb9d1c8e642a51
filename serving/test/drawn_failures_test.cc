// What must always hold, under drawn failures.

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "drawn_step.h"
#include "serving_harness.h"

namespace scaleshed::serving {
namespace {

using test::AnyStep;
using test::Daemon;
using test::DrawnStep;

// Of drawn steps.
constexpr int kKinds = 15;

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
        daemon_.AdvanceTime(milliseconds(1 + step.first));
        return;
      case 4:
        daemon_.ConfirmStore();
        return;
      case 5:
        daemon_.ListBackend(step.first % 2 == 0 ? "llm" : "app",
                            step.second % 6, step.second % 5 == 0);
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
      case 9:
        Report(step);
        return;
      case 10:
      case 11:
        AnswerOrder(step);
        return;
      case 8:
        if (!open_.empty()) {
          const RequestKey key = Pick(step.first);
          ended_.insert(key);
          open_.erase(key);
          daemon_.Feed(ClientDisconnected{.key = key});
        }
        return;
      default:
        Answer(step);
    }
  }

  // All ends with time.
  void Finish() {
    daemon_.AdvanceTime(seconds(40));
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
    const RequestKey key = daemon_.SendRequest(route, prompt, seconds(15));
    if (!ended_.contains(key)) open_.insert(key);
  }

  // Some engine sets memory aside, or does not.
  void AnswerOrder(const DrawnStep& step) {
    if (orders_.empty()) return;
    auto it = orders_.begin();
    std::advance(it, step.first % static_cast<int>(orders_.size()));
    const auto [attempt, index] = *it;
    orders_.erase(it);
    daemon_.Feed(MemoryReservationAnswered{.attempt = attempt,
                                           .helper_index = index,
                                           .granted = step.second % 8 != 0});
  }

  // Some engine says how it does.
  void Report(const DrawnStep& step) {
    const auto& backends = daemon_.state().backends;
    if (backends.empty()) return;
    auto it = backends.begin();
    std::advance(it, step.first % static_cast<int>(backends.size()));
    daemon_.Feed(EngineReportReceived{.backend = it->second.id,
                                      .slowdown = 1.0 + step.second % 4});
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
            .attempt = attempt, .kind = AnswerKind::kReplaced, .status = 421});
        break;
      case 5:
        daemon_.Feed(
            AttemptFailed{.attempt = attempt, .error = AttemptError::kNotSent});
        break;
      case 6:
        Ran(key);
        daemon_.Feed(AttemptFailed{.attempt = attempt,
                                   .error = AttemptError::kInterrupted});
        break;
      default:
        Ran(key);
        begun_.insert(attempt);
        daemon_.Feed(StreamEvent{.attempt = attempt,
                                 .id = "e" + std::to_string(++events_)});
    }
  }

  void Peer(const DrawnStep& step) {
    LoadSnapshot snapshot = test::PeerSnapshot(++sequence_);
    snapshot.serving = step.first % 2 == 0;
    if (step.first % 3 == 0) {
      snapshot.waiting = {{.id = 1,
                           .service = "llm",
                           .queue_key = daemon_.now(),
                           .prefill_time = seconds(step.second % 30)}};
    }
    if (step.first % 5 == 0) {
      snapshot.active_requests = {{.id = 1,
                                   .backend = HashBytes("llm0"),
                                   .helpers = {HashBytes("llm1")},
                                   .prompt_tokens = step.second * 1000,
                                   .started_at = daemon_.now()}};
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
                     [&](const AbortResponse& effect) { End(effect.key); },
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
                       tickets_.insert(effect.reservation_id);
                       orders_.insert({effect.attempt, effect.helper_index});
                       if (effect.lease_duration > milliseconds(4000)) {
                         Violate("memory held for too long");
                       }
                     },
                     [&](const ReleaseMemory& effect) {
                       tickets_.erase(effect.reservation_id);
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
    for (const PrefillHelper& helper : effect.helpers) {
      const std::string id = helper.address.substr(0, helper.address.find(':'));
      const auto found = daemon_.state().backends.find(id);
      if (found == daemon_.state().backends.end() ||
          found->second.server.leaving) {
        Violate("begun with a helper that leaves");
      }
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
  std::set<std::pair<AttemptId, std::size_t>> orders_;  // not answered
  std::vector<std::string> violations_;
  std::uint64_t sequence_ = 0;
  int events_ = 0;
};

TEST_CASE("What must hold holds under drawn failures") {
  // Without other wishes every run draws the same sequences.
  setenv("RC_PARAMS", "seed=20261202 max_success=600 max_size=120",
         /*overwrite=*/0);
  const bool held = rc::check("serving holds its rules", [] {
    const auto steps =
        *rc::gen::container<std::vector<DrawnStep>>(AnyStep(kKinds));
    Player player;
    for (const DrawnStep& it : steps) player.Play(it);
    player.Finish();
    if (!player.violations().empty()) RC_FAIL(player.violations().front());
  });
  CHECK(held);
}

}  // namespace
}  // namespace scaleshed::serving
