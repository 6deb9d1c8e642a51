// Servers that take connections and are slow, or refuse some of them, as one
// daemon sees them beside what others publish.

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "serving_harness.h"

namespace scaleshed::serving::test {
namespace {

constexpr Duration kStep = milliseconds(20);

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

// Advances the clock and gives that result to all probes.
void AdvanceWithProbes(Daemon& daemon, Duration time, ProbeResult result) {
  const Time until = daemon.now() + time;
  while (daemon.now() < until) {
    daemon.AdvanceTime(kStep);
    std::vector<BackendId> probed;
    for (const Effect& it : daemon.effects()) {
      if (const auto* probe = std::get_if<ProbeLiveness>(&it))
        probed.push_back(probe->backend);
    }
    for (const BackendId it : probed)
      daemon.Feed(LivenessProbed{.backend = it, .result = result});
  }
}

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
  SendRefused(daemon);
  const auto* refused = daemon.FirstEffect<Refuse>();
  REQUIRE(refused != nullptr);
  CHECK(refused->reason == Refusal::kUnreachable);
  AdvanceWithProbes(daemon, milliseconds(600), ProbeResult::kConnected);
  daemon.SendRequest("once");
  CHECK(daemon.FirstEffect<StartAttempt>() != nullptr);
}

// Guards against most daemons withdrawing from clients while the servers, which
// let only some of all connections through, are at fault.
TEST_CASE("More than half of the daemons withdraw only if partitioned") {
  const bool first = GENERATE(true, false);
  Daemon daemon;
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
    AdvanceWithProbes(daemon, kStep, ProbeResult::kRefused);
  }
  CHECK(daemon.state().withdrawn == first);
  for (int i = 0; i < 3 * kSteps; ++i) {
    hear();
    AdvanceWithProbes(daemon, kStep, ProbeResult::kRefused);
  }
  CHECK(daemon.state().withdrawn);
}

// Guards both against slow servers being taken for a lost path and against a
// path that passes connections and nothing else being taken for slow servers.
TEST_CASE("Silence counts against the path while others are answered in time") {
  const bool timely = GENERATE(true, false);
  Daemon daemon;
  constexpr int kRequests = 9;
  for (int i = 0; i < kRequests; ++i) daemon.SendRequest("safe");
  constexpr int kSteps = 30;
  for (int i = 0; i < kSteps; ++i) {
    HearOf(daemon, "2.2.2.2:2", /*doubtful=*/false,
           timely ? milliseconds(50) : milliseconds(900));
    AdvanceWithProbes(daemon, kStep, ProbeResult::kConnected);
  }
  CHECK(daemon.state().doubtful_services.contains("app") == timely);
}

}  // namespace
}  // namespace scaleshed::serving::test
