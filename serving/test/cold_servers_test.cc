// Tests that a whole fleet sends a cold server no more requests within any
// second than it bears, whichever daemons fail. They guard against daemons that
// each grant for themselves: two that both take themselves for the granter,
// those that place locally, and those that have just started.

#include <catch2/catch.hpp>
#include <functional>

#include "simulated_fleet_load.h"

namespace scaleshed::serving::test {
namespace {

constexpr double kPerSecond = 26;
constexpr double kOverage = 1;
constexpr double kSlack = 0;
constexpr double kBound = kPerSecond * kOverage + kSlack;
constexpr Duration kCold = seconds(30);

SimulatedFleetOptions WithWarmUps(SimulatedFleetOptions options, int engines,
                                  int plain_servers) {
  options.engines = engines;
  options.plain_servers = plain_servers;
  options.warm_up = {.duration = seconds(3), .per_second = kPerSecond};
  options.warm_up_overage = kOverage;
  options.warm_up_slack = kSlack;
  return options;
}

// A fleet that places locally and one with placers, before few servers.
const SimulatedFleetOptions kFleets[] = {WithWarmUps(kSmallFleet, 3, 2),
                                         WithWarmUps(kMediumFleet, 3, 2)};
// More than twice what the cold servers together bear.
const Load kHighLoad{.prompts = 180, .calls = 120, .length = seconds(10)};

std::vector<std::string> ServersOf(const SimulatedFleetOptions& options) {
  std::vector<std::string> servers;
  servers.reserve(static_cast<std::size_t>(options.engines) +
                  static_cast<std::size_t>(options.plain_servers));
  for (int i = 0; i < options.engines; ++i)
    servers.push_back("llm" + std::to_string(i));
  for (int i = 0; i < options.plain_servers; ++i)
    servers.push_back("app" + std::to_string(i));
  return servers;
}

void StartAllCold(SimulatedFleet& fleet, const SimulatedFleetOptions& options) {
  for (const std::string& it : ServersOf(options)) fleet.StartCold(it, kCold);
}

void CheckBound(const SimulatedFleet& fleet, double bound = kBound) {
  for (const auto& [server, times] : fleet.cold_arrivals()) {
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
      while (times[last] - times[first] >= seconds(1)) ++first;
      most = std::max(most, last - first + 1);
    }
    INFO(server << " got " << most << " requests within a second");
    CHECK(static_cast<double>(most) <= bound);
  }
}

// The requests a second that the cold servers got on average from `from` to
// `until`.
double RateAt(const SimulatedFleet& fleet, std::size_t servers, Time from,
              Time until) {
  double n = 0;
  for (const auto& [server, times] : fleet.cold_arrivals()) {
    n += static_cast<double>(
        std::count_if(times.begin(), times.end(),
                      [&](Time it) { return it >= from && it < until; }));
  }
  const std::chrono::duration<double> length = until - from;
  return n / length.count() / static_cast<double>(servers);
}

// Runs the load before servers that are all cold, with a fault 5 s after its
// start. Requires the bound, and that the servers are filled before the fault
// and from `recovery` after it.
void CheckFault(const std::function<void(SimulatedFleet&)>& fault,
                Duration recovery) {
  for (const SimulatedFleetOptions& options : kFleets) {
    INFO(options.daemons << " daemons");
    SimulatedFleet fleet(options);
    StartAllCold(fleet, options);
    const Time start = fleet.now();
    const Time fault_at = start + seconds(5);
    bool is_faulty = false;
    (void)RunLoad(fleet, options.daemons, kHighLoad, [&] {
      if (is_faulty || fleet.now() < fault_at) return;
      is_faulty = true;
      fault(fleet);
    });
    CheckBound(fleet);
    const auto servers = static_cast<std::size_t>(options.engines) +
                         static_cast<std::size_t>(options.plain_servers);
    CHECK(RateAt(fleet, servers, start + seconds(2), fault_at) >
          0.6 * kPerSecond);
    if (recovery < seconds(5)) {
      CHECK(RateAt(fleet, servers, fault_at + recovery, start + seconds(10)) >
            0.6 * kPerSecond);
    }
  }
}

TEST_CASE("Cold servers are filled and get no more than they bear") {
  CheckFault([](SimulatedFleet&) {}, Duration::zero());
}

TEST_CASE("Requests that no cold server can take in time are refused at once") {
  for (const SimulatedFleetOptions& options : kFleets) {
    INFO(options.daemons << " daemons");
    SimulatedFleet fleet(options);
    StartAllCold(fleet, options);
    const LoadResult result = RunLoad(fleet, options.daemons, kHighLoad);
    CHECK(result.answered + fleet.refused().size() == result.sent);
    std::size_t at_once = 0;
    std::size_t warming_up = 0;
    for (const auto& it : fleet.refused()) {
      if (it.after < milliseconds(50)) ++at_once;
      if (it.refusal.reason == Refusal::kWarmingUp) ++warming_up;
    }
    INFO(at_once << " at once, " << warming_up << " of "
                 << fleet.refused().size());
    CHECK(warming_up * 10 >= fleet.refused().size() * 9);
    CHECK(at_once * 10 >= fleet.refused().size() * 9);
  }
}

TEST_CASE("The bound holds while the granter and all placers die at once") {
  CheckFault(
      [](SimulatedFleet& fleet) {
        for (const std::string& it : fleet.state(0).dispatch.placers)
          fleet.FreezeDaemon(std::stoi(it.substr(1)));
        if (fleet.granter() >= 0) fleet.FreezeDaemon(fleet.granter());
      },
      milliseconds(4500));
}

// The granter takes up what came meanwhile, also placement requests, after
// another daemon has become the granter.
TEST_CASE("The bound holds when a frozen granter goes on") {
  for (const Duration pause : {milliseconds(400), milliseconds(1900),
                               milliseconds(2600), milliseconds(4000)}) {
    for (const SimulatedFleetOptions& options : kFleets) {
      SimulatedFleet fleet(options);
      StartAllCold(fleet, options);
      const Time pause_at = fleet.now() + seconds(3);
      int paused = -1;
      bool is_over = false;
      (void)RunLoad(fleet, options.daemons, kHighLoad, [&] {
        if (paused == -1 && fleet.now() >= pause_at) {
          paused = fleet.granter();
          REQUIRE(paused != -1);
          fleet.PauseDaemon(paused, true);
        }
        if (!is_over && fleet.now() >= pause_at + pause) {
          is_over = true;
          fleet.PauseDaemon(paused, false);
        }
      });
      CHECK(is_over);
      CheckBound(fleet);
    }
  }
}

TEST_CASE("Cold servers get nothing while the store is away") {
  for (const SimulatedFleetOptions& options : kFleets) {
    SimulatedFleet fleet(options);
    StartAllCold(fleet, options);
    fleet.AdvanceTime(seconds(2));
    fleet.SetStoreUnreachable(true);
    const Time away = fleet.now();
    (void)RunLoad(fleet, options.daemons, kHighLoad, [&] {
      if (fleet.now() >= away + seconds(5)) fleet.SetStoreUnreachable(false);
    });
    CheckBound(fleet);
    const auto servers = static_cast<std::size_t>(options.engines) +
                         static_cast<std::size_t>(options.plain_servers);
    CHECK(RateAt(fleet, servers, away + seconds(2), away + seconds(5)) == 0);
    CHECK(RateAt(fleet, servers, away + milliseconds(8200),
                 away + seconds(10)) > 0.6 * kPerSecond);
  }
}

TEST_CASE("The bound holds with daemons that have just started") {
  CheckFault(
      [](SimulatedFleet& fleet) {
        const int granter = fleet.granter();
        for (int i = 0; i < 8; i += 2) fleet.RestartDaemon(i);
        if (granter >= 0) fleet.RestartDaemon(granter);
      },
      seconds(5));
}

TEST_CASE("Warm servers serve as before beside cold ones without a granter") {
  for (SimulatedFleetOptions options : {kSmallFleet, kMediumFleet}) {
    options = WithWarmUps(options, options.engines, options.plain_servers);
    INFO(options.daemons << " daemons");
    SimulatedFleet fleet(options);
    fleet.SetStoreUnreachable(true);
    for (int i = 0; i < options.engines; i += 2)
      fleet.StartCold("llm" + std::to_string(i), kCold);
    fleet.StartCold("app0", kCold);
    const LoadResult result =
        RunLoad(fleet, options.daemons, {.prompts = 60, .calls = 20});
    CHECK(fleet.cold_arrivals().empty());
    CHECK(result.answered == result.sent);
  }
}

TEST_CASE("A running server that becomes cold is metered once that is known") {
  for (const SimulatedFleetOptions& options : kFleets) {
    SimulatedFleet fleet(options);
    const Time cold_at = fleet.now() + seconds(2);
    bool is_cold = false;
    (void)RunLoad(fleet, options.daemons,
                  {.prompts = 60, .calls = 40, .length = seconds(8)}, [&] {
                    if (is_cold || fleet.now() < cold_at) return;
                    is_cold = true;
                    for (const std::string& it : ServersOf(options))
                      fleet.MakeCold(it, kCold);
                  });
    CheckBound(fleet);
    const auto servers = static_cast<std::size_t>(options.engines) +
                         static_cast<std::size_t>(options.plain_servers);
    CHECK(RateAt(fleet, servers, cold_at + seconds(3), cold_at + seconds(6)) >
          0.6 * 20);
  }
}

// Long prompts spread over helpers, which count too, and placement requests and
// responses are lost, so that some are repeated.
TEST_CASE("The bound holds for helpers and while messages are lost") {
  for (SimulatedFleetOptions options : {kSmallFleet, kMediumFleet}) {
    options = WithWarmUps(options, 6, 2);
    options.warm_up.per_second = 8;
    options.warm_up_slack = 0;
    options.message_loss_share = 0.05;
    SimulatedFleet fleet(options);
    StartAllCold(fleet, options);
    int steps = 0;
    (void)RunLoad(fleet, options.daemons, {.prompts = 15, .calls = 50}, [&] {
      if (++steps % 10 == 0)
        fleet.SendPrompt(steps % options.daemons, 150'000, seconds(9));
    });
    std::size_t helped = 0;
    for (const auto& [key, sends] : fleet.helpers()) helped += sends.back();
    CHECK(helped > 0);
    CheckBound(fleet, 8 * kOverage);
  }
}

// A placement that waits for memory reservations outlasts its grant.
TEST_CASE("A grant is void once memory took long to reserve") {
  for (const Duration reserving : {milliseconds(100), milliseconds(350)}) {
    Daemon daemon;
    Configuration configuration = MakeConfiguration(2);
    configuration.services["llm"].warm_up.per_second = 100;
    daemon.Feed(ConfigurationReceived{.configuration = configuration,
                                      .queried_at = daemon.now()});
    for (int i = 0; i < 6; ++i) {
      daemon.Feed(BackendListed{{.id = "llm" + std::to_string(i),
                                 .service = "llm",
                                 .address = "llm" + std::to_string(i) + ":1",
                                 .slots = 16,
                                 .revision = {.number = 50},
                                 .start_unix_ms = 7,
                                 .warm_up_left = seconds(60)}});
    }
    for (int i = 0; i < 10; ++i) {
      daemon.AdvanceTime(milliseconds(500));
      daemon.Feed(ConfigurationConfirmed{.revision = {.number = 2},
                                         .queried_at = daemon.now()});
      daemon.Feed(BackendsConfirmed{.queried_at = daemon.now()});
      daemon.Feed(WarmUpLeaseHeld{.valid_until = daemon.now() + seconds(2),
                                  .newly_taken = i == 0});
    }
    daemon.SendRequest("stream", 500'000);
    std::vector<ReserveMemory> orders;
    for (const Effect& it : daemon.effects()) {
      if (const auto* order = std::get_if<ReserveMemory>(&it))
        orders.push_back(*order);
    }
    REQUIRE(!orders.empty());
    daemon.AdvanceTime(reserving);
    bool is_sent = false;
    for (const ReserveMemory& it : orders) {
      daemon.Feed(MemoryReservationAnswered{.attempt = it.attempt,
                                            .helper_index = it.helper_index,
                                            .granted = true});
      is_sent = is_sent || daemon.FirstEffect<StartAttempt>() != nullptr;
    }
    CHECK(is_sent == (reserving < kWarmUpGrantLifetime));
  }
}

// A warm-up that is over leaves nothing behind, and the granter gives up its
// lease.
TEST_CASE("Servers that are warm again are used without grants") {
  const SimulatedFleetOptions& options = kFleets[1];
  SimulatedFleet fleet(options);
  for (const std::string& it : ServersOf(options))
    fleet.StartCold(it, seconds(3));
  fleet.AdvanceTime(seconds(12));
  CHECK(fleet.granter() == -1);
  for (int i = 0; i < options.daemons; ++i) {
    CHECK(fleet.state(i).warm_ups.empty());
    CHECK(fleet.state(i).warm_up_granting.meters.empty());
  }
  const LoadResult result =
      RunLoad(fleet, options.daemons, {.prompts = 60, .calls = 20});
  CHECK(result.answered == result.sent);
}

// A daemon that holds the lease, before one engine with a report of a restart
// that its entry doesn't name yet.
class PresumingGranter {
 public:
  PresumingGranter() {
    Configuration configuration = MakeConfiguration(2);
    configuration.services["llm"].warm_up = {.duration = seconds(30),
                                             .per_second = kPerSecond};
    daemon_.Feed(ConfigurationReceived{.configuration = configuration,
                                       .queried_at = daemon_.now()});
    for (int i = 1; i < 6; ++i) daemon_.ListBackend("llm", i, /*leaving=*/true);
    List(Duration::zero());
    PassTime(milliseconds(500), /*takes_lease=*/true);
    PassTime(seconds(4));
    daemon_.Feed(
        EngineReportReceived{.backend = backend(), .start_unix_ms = 8});
    PassTime(seconds(2));
  }

  Daemon& daemon() { return daemon_; }
  BackendId backend() const { return daemon_.state().backends.at("llm0").id; }

  // Applies a new revision of the entry.
  void List(Duration warm_up_left) {
    daemon_.Feed(BackendListed{{.id = "llm0",
                                .service = "llm",
                                .address = "llm0:1",
                                .slots = 16,
                                .revision = {.number = ++revision_},
                                .start_unix_ms = 7,
                                .warm_up_left = warm_up_left}});
  }

  // Keeps the lease and what is known of the store fresh.
  void PassTime(Duration time, bool takes_lease = false) {
    constexpr Duration kStep = milliseconds(100);
    for (Duration gone{}; gone < time; gone += kStep) {
      daemon_.AdvanceTime(kStep);
      daemon_.Feed(ConfigurationConfirmed{.revision = {.number = 2},
                                          .queried_at = daemon_.now()});
      daemon_.Feed(BackendsConfirmed{.queried_at = daemon_.now()});
      daemon_.Feed(
          WarmUpLeaseHeld{.valid_until = daemon_.now() + seconds(2),
                          .newly_taken = takes_lease && gone == Duration{}});
    }
  }

 private:
  Daemon daemon_;
  std::uint64_t revision_ = 50;
};

// The record and the meter of a presumed warm-up outlast a health check that
// shows a warm server. Guards against grants from that meter in the second in
// which other daemons may still send as to a warm server.
TEST_CASE("A server that is cold again gets no grants from its old meter") {
  PresumingGranter granter;
  Daemon& daemon = granter.daemon();
  daemon.Feed(HealthChecked{.backend = granter.backend(),
                            .warm_up_left = Duration::zero()});
  granter.PassTime(seconds(2));
  REQUIRE(daemon.state().warm_ups.contains(granter.backend()));
  granter.List(seconds(20));
  daemon.SendRequest("stream", 3000);
  CHECK(daemon.FirstEffect<StartAttempt>() == nullptr);
  granter.PassTime(milliseconds(1200));
  daemon.SendRequest("stream", 3000);
  CHECK(daemon.FirstEffect<StartAttempt>() != nullptr);
}

// A health check may show that a warm-up ends earlier than presumed. Guards
// against placements without a grant that daemons which still presume the
// warm-up return again and again.
TEST_CASE("A server that was cold for less than presumed stays granted") {
  PresumingGranter granter;
  Daemon& daemon = granter.daemon();
  daemon.Feed(
      HealthChecked{.backend = granter.backend(), .warm_up_left = seconds(2)});
  granter.PassTime(seconds(3));
  CHECK(daemon.state().warm_ups.contains(granter.backend()));
}

// Guards against a second placer that refuses the requests of its own clients
// while the granter could place them.
TEST_CASE("Requests at a placer that isn't the granter get cold servers") {
  const SimulatedFleetOptions& options = kFleets[1];
  SimulatedFleet fleet(options);
  StartAllCold(fleet, options);
  fleet.AdvanceTime(seconds(3));
  const auto& placers = fleet.state(0).dispatch.placers;
  REQUIRE(placers.size() > 1);
  const int second = std::stoi(placers[1].substr(1));
  REQUIRE(second != fleet.granter());
  std::vector<RequestKey> sent;
  for (int i = 0; i < 10; ++i) {
    sent.push_back(fleet.SendPrompt(second, 3000, seconds(10)));
    fleet.AdvanceTime(milliseconds(200));
  }
  fleet.AdvanceTime(seconds(3));
  std::size_t answered = 0;
  for (const RequestKey it : sent) answered += fleet.answered().count(it);
  CHECK(answered == sent.size());
  CheckBound(fleet);
}

}  // namespace
}  // namespace scaleshed::serving::test
