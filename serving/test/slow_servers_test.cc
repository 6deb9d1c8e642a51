// Servers that take connections and are slow, or refuse some of them, as one
// daemon sees them beside what others publish.

#include <catch2/catch.hpp>
#include <deque>
#include <string>
#include <utility>

#include "serving_harness.h"

namespace scaleshed::serving::test {
namespace {

constexpr Duration kStep = milliseconds(20);
constexpr Duration kProbeWait = milliseconds(600);

// Publishes another daemon's paths to both services.
void HearOf(Daemon& daemon, const std::string& peer, bool doubtful,
            Duration answered_ago) {
  static std::uint64_t sequence = 0;
  LoadSnapshot snapshot = PeerSnapshot(++sequence);
  snapshot.peer_address = peer;
  for (const char* it : {"llm", "app"}) {
    snapshot.paths.push_back({.service = it,
                              .answered = daemon.now() - answered_ago,
                              .doubtful = doubtful});
  }
  daemon.Feed(SnapshotReceived{snapshot});
}

// Gives the same result to all probes of a daemon, as time passes: refusals at
// once, connections without a response after the time that a probe waits.
class Prober {
 public:
  Prober(Daemon& daemon, ProbeResult result)
      : daemon_(daemon),
        result_(result),
        delay_(result == ProbeResult::kConnected ? kProbeWait : Duration{}) {
    daemon.Observe([this](const Effects& effects) {
      for (const Effect& it : effects) {
        if (const auto* probe = std::get_if<ProbeLiveness>(&it))
          probed_.emplace_back(daemon_.now() + delay_, probe->backend);
      }
    });
  }

  void Advance(Duration time) {
    const Time until = daemon_.now() + time;
    while (daemon_.now() < until) {
      daemon_.AdvanceTime(kStep);
      while (!probed_.empty() && probed_.front().first <= daemon_.now()) {
        const BackendId id = probed_.front().second;
        probed_.pop_front();
        daemon_.Feed(LivenessProbed{.backend = id, .result = result_});
      }
    }
  }

 private:
  Daemon& daemon_;
  ProbeResult result_;
  Duration delay_;
  std::deque<std::pair<Time, BackendId>> probed_;
};

// Sends a request, each send of which fails without a byte sent.
void SendRefused(Daemon& daemon) {
  daemon.SendRequest("once");
  while (const auto* sent = daemon.FirstEffect<StartAttempt>()) {
    daemon.Feed(AttemptFailed{.attempt = sent->attempt,
                              .error = AttemptError::kNotSent});
  }
}

// Guards against a daemon that goes on refusing after its servers take
// connections again, as long as their responses to probes are late.
TEST_CASE("A probe that connects ends a refusal as unreachable") {
  Daemon daemon;
  Prober prober(daemon, ProbeResult::kConnected);
  SendRefused(daemon);
  const auto* refused = daemon.FirstEffect<Refuse>();
  REQUIRE(refused != nullptr);
  CHECK(refused->reason == Refusal::kUnreachable);
  prober.Advance(2 * kProbeWait);
  daemon.SendRequest("once");
  CHECK(daemon.FirstEffect<StartAttempt>() != nullptr);
}

// Guards against doubts that nothing can end, as servers with rate limits get
// no probes: other daemons aren't reached either, and all refuse for seconds.
TEST_CASE("A request tries a doubtful path whose servers may not be probed") {
  Daemon daemon;
  SendRefused(daemon);
  LoadSnapshot limits = PeerSnapshot(1);
  for (const auto& [name, it] : daemon.state().backends) {
    limits.limits.push_back(
        {.backend = it.id, .per_second = 100, .received_at = daemon.now()});
  }
  daemon.Feed(SnapshotReceived{limits});
  daemon.AdvanceTime(kProbeWait);
  REQUIRE(daemon.state().doubtful_services.contains("app"));
  daemon.SendRequest("safe");
  const auto* sent = daemon.FirstEffect<StartAttempt>();
  REQUIRE(sent != nullptr);
  const AttemptId attempt = sent->attempt;
  // One at a time.
  daemon.SendRequest("safe");
  CHECK(daemon.FirstEffect<StartAttempt>() == nullptr);
  daemon.Feed(AttemptAnswered{
      .attempt = attempt, .kind = AnswerKind::kSuccess, .status = 200});
  CHECK(daemon.state().doubtful_services.empty());
}

// Guards against most daemons withdrawing from clients while the servers, which
// let only some of all connections through, are at fault.
TEST_CASE("More than half of the daemons withdraw only if partitioned") {
  const bool first = GENERATE(true, false);
  Daemon daemon;
  Prober prober(daemon, ProbeResult::kRefused);
  const auto hear = [&] {
    HearOf(daemon, "2.2.2.2:2", /*doubtful=*/false, Duration::zero());
    for (const char* it : {"1:2", "3:2"})
      HearOf(daemon, (first ? "3.0.0." : "0.0.0.") + std::string(it),
             /*doubtful=*/true, seconds(1));
  };
  hear();
  SendRefused(daemon);
  constexpr int kSteps = 47;
  for (int i = 0; i < kSteps; ++i) {
    hear();
    prober.Advance(kStep);
  }
  CHECK(daemon.state().withdrawn == first);
  for (int i = 0; i < 3 * kSteps; ++i) {
    hear();
    prober.Advance(kStep);
  }
  CHECK(daemon.state().withdrawn);
}

// Guards both against slow servers being taken for a lost path and against a
// path that passes connections and nothing else being taken for slow servers.
TEST_CASE("Silence counts against the path while others are answered in time") {
  const bool timely = GENERATE(true, false);
  Daemon daemon;
  Prober prober(daemon, ProbeResult::kConnected);
  constexpr int kRequests = 9;
  for (int i = 0; i < kRequests; ++i) daemon.SendRequest("stream");
  constexpr int kSteps = 80;
  for (int i = 0; i < kSteps; ++i) {
    HearOf(daemon, "2.2.2.2:2", /*doubtful=*/false,
           timely ? milliseconds(50) : milliseconds(900));
    prober.Advance(kStep);
  }
  CHECK(daemon.state().doubtful_services.contains("llm") == timely);
}

}  // namespace
}  // namespace scaleshed::serving::test
