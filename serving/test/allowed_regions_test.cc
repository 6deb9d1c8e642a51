// Requests that may run only in some regions, in a fleet of two.

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "simulated_fleet_load.h"

namespace scaleshed::serving::test {
namespace {

using Regions = std::vector<std::string>;

constexpr int kSmall = 12;  // places locally
constexpr int kLarge = 40;  // has placers

SimulatedFleetOptions FleetOf(int daemons) {
  return {.daemons = daemons,
          .data_centres = 4,
          .engines = 24,
          .hold_slack_share = true,
          .plain_servers = 8};
}

// The data centres z0 and z1 are in r1, z2 and z3 in r2. An empty list doesn't
// restrict.
SimulatedRegions Allow(const Regions& by_route,
                       const Regions& by_account = {}) {
  return {.regions = {{"z0", "r1"}, {"z1", "r1"}, {"z2", "r2"}, {"z3", "r2"}},
          .configure = [=](Configuration& configuration) {
            if (!by_route.empty()) {
              for (Route& it : configuration.routes)
                it.allowed_regions = by_route;
            }
            if (!by_account.empty())
              configuration.accounts->front().allowed_regions = by_account;
          }};
}

constexpr Load kLoad{.prompts = 30, .calls = 30, .length = seconds(4)};

void CheckServedOnlyIn(const SimulatedFleet& fleet, const std::string& region,
                       const LoadResult& result, double share = 0.97) {
  CHECK(static_cast<double>(result.answered) >=
        share * static_cast<double>(result.sent));
  REQUIRE(fleet.sends_by_region().size() == 1);
  CHECK(fleet.sends_by_region().begin()->first == region);
}

// Guards against sends to servers outside of the allowed regions, wherever the
// request arrives, and whichever region the placers are in.
TEST_CASE("Servers outside of the allowed regions get no requests") {
  const auto daemons = GENERATE(kSmall, kLarge);
  const std::string home = GENERATE("r1", "r2");
  const auto regions = GENERATE_COPY(Allow({home}), Allow({}, {home}),
                                     Allow({"r1", "r2"}, {home, "r9"}));
  CAPTURE(daemons, home);
  SimulatedFleet fleet(FleetOf(daemons), regions);
  const auto result = RunLoad(fleet, daemons, kLoad);
  CheckServedOnlyIn(fleet, home, result);
  CHECK(fleet.relays() == 0);
}

// Guards against prefill helpers outside of the allowed regions.
TEST_CASE("Long prompts are prefilled only in the allowed regions") {
  const auto daemons = GENERATE(kSmall, kLarge);
  SimulatedFleet fleet(FleetOf(daemons), Allow({"r2"}));
  std::vector<RequestKey> sent;
  sent.reserve(4);
  for (int i = 0; i < 4; ++i) sent.push_back(fleet.SendPrompt(i, 200'000));
  fleet.AdvanceTime(seconds(10));
  for (const RequestKey it : sent) {
    CHECK(fleet.answered().contains(it));
    CHECK(fleet.helpers().at(it).front() > 0);
  }
  CHECK_FALSE(fleet.sends_by_region().contains("r1"));
}

// Guards against requests that wait, or are sent elsewhere, though no region is
// left for them.
TEST_CASE("A request is refused at once if it has no home") {
  const auto daemons = GENERATE(kSmall, kLarge);
  const auto regions = GENERATE_COPY(Allow({"r1"}, {"r2"}),  // none in common
                                     Allow({"r9"}));         // none has servers
  SimulatedFleet fleet(FleetOf(daemons), regions);
  const auto result = RunLoad(
      fleet, daemons, {.prompts = 20, .calls = 20, .length = seconds(1)});
  CHECK(fleet.sends().empty());
  CHECK(fleet.refused().size() == result.sent);
  CHECK(result.sent > 0);
  for (const auto& it : fleet.refused()) {
    CHECK(it.refusal.reason == Refusal::kNoHome);
    CHECK(it.refusal.status == 503);
    CHECK(it.after == Duration::zero());
  }
}

// Guards against requests that fall back to another region once the servers of
// theirs are gone, also those that wait or run at that moment.
TEST_CASE("Requests whose home has lost its servers run nowhere else") {
  const auto daemons = GENERATE(kSmall, kLarge);
  SimulatedFleet fleet(FleetOf(daemons), Allow({"r1"}));
  bool removed = false;
  RunLoad(fleet, daemons, {.prompts = 60, .calls = 30, .length = seconds(4)},
          [&] {
            if (removed || fleet.now() < kStart + seconds(6)) return;
            removed = true;
            fleet.RemoveServers("r1");
          });
  CHECK_FALSE(fleet.sends_by_region().contains("r2"));
  const auto& last = fleet.refused().back();
  CHECK(last.refusal.reason == Refusal::kNoHome);
  CHECK(last.after == Duration::zero());
}

// Guards against a placer of an older build, which doesn't know allowed
// regions: its placements aren't used, and requests don't wait for others.
TEST_CASE("Placements that ignore the allowed regions are not used") {
  const std::string home = GENERATE("r1", "r2");
  auto regions = Allow({home});
  regions.placers_ignore_regions = true;
  SimulatedFleet fleet(FleetOf(kLarge), regions);
  const auto result = RunLoad(fleet, kLarge, kLoad);
  CheckServedOnlyIn(fleet, home, result);
  CHECK(fleet.log_line_count("placed_outside_regions") > 0);
}

// Guards against refusals because a placer's settings lack the regions of data
// centres, while those of the daemons have them.
TEST_CASE("A placer without regions in its settings refuses no request") {
  SimulatedFleet fleet(FleetOf(kLarge), Allow({"r1"}));
  for (const std::string& it : fleet.state(0).dispatch.placers)
    fleet.state(std::stoi(it.substr(1))).options.regions.clear();
  int other = 0;
  while (fleet.state(other).options.regions.empty()) ++other;
  std::vector<RequestKey> sent;
  sent.reserve(20);
  for (int i = 0; i < 20; ++i) sent.push_back(fleet.SendPrompt(other, 3000));
  fleet.AdvanceTime(seconds(2));
  for (const RequestKey it : sent) CHECK(fleet.answered().contains(it));
  CHECK(fleet.log_line_count("placer_without_regions") > 0);
  CHECK_FALSE(fleet.sends_by_region().contains("r2"));
}

// Guards against bodies that are relayed to daemons outside of the allowed
// regions, by daemons of either region that have lost their path.
TEST_CASE("Requests are relayed only within the allowed regions") {
  const auto link =
      GENERATE(ServerLink::kRefused, ServerLink::kReset, ServerLink::kSilent);
  SimulatedFleet fleet(FleetOf(kSmall), Allow({"r1"}));
  // 0 and 1 are in r1, 2 and 3 in r2.
  for (int i = 0; i < 4; ++i) fleet.SetServerLink(i, link);
  RunLoad(fleet, kSmall, kLoad);
  const auto result = RunLoad(fleet, kSmall, kLoad);
  CheckServedOnlyIn(fleet, "r1", result);
  REQUIRE(fleet.relays_by_region().size() == 1);
  CHECK(fleet.relays_by_region().contains("r1"));
}

// Guards against bodies that leave the allowed regions because no daemon there
// reaches the servers.
TEST_CASE("Requests are relayed nowhere if their home has lost its paths") {
  SimulatedFleet fleet(FleetOf(kSmall), Allow({"r1"}));
  for (int i = 0; i < kSmall; ++i) {
    if (fleet.state(i).options.region == "r1")
      fleet.SetServerLink(i, ServerLink::kRefused);
  }
  RunLoad(fleet, kSmall, kLoad);
  CHECK_FALSE(fleet.relays_by_region().contains("r2"));
  CHECK_FALSE(fleet.sends_by_region().contains("r2"));
}

// Guards against daemons that start, or placers that are replaced, without the
// allowed regions.
TEST_CASE("Daemons that are restarted keep to the allowed regions") {
  const auto daemons = GENERATE(kSmall, kLarge);
  const std::string home = GENERATE("r1", "r2");
  SimulatedFleet fleet(FleetOf(daemons), Allow({home}));
  int step = 0;
  const auto result = RunLoad(fleet, daemons, kLoad, [&] {
    constexpr int kStepsBetween = 40;
    if (++step % kStepsBetween != 0) return;
    const int placer = fleet.FirstPlacer();
    fleet.RestartDaemon(placer < 0 ? step / kStepsBetween % daemons : placer);
  });
  // Requests at a daemon that ends are lost.
  CheckServedOnlyIn(fleet, home, result, 0.8);
}

// Guards against responses to addresses queries that lead clients out of their
// region or, if that has lost all its daemons, out of the allowed ones.
TEST_CASE("Each daemon directs clients to daemons of their region") {
  const auto daemons = GENERATE(kSmall, kLarge);
  SimulatedFleet fleet(FleetOf(daemons), Allow({"r1"}));
  const auto all_named_in = [&](const std::string& region, int by,
                                const std::string& client_region) {
    const auto named =
        LookUpClientAddresses(fleet.state(by),
                              {.host = "h", .region = client_region})
            .addresses;
    return !named.empty() &&
           std::all_of(named.begin(), named.end(), [&](const auto& it) {
             return fleet.state(std::stoi(it.substr(1))).options.region ==
                    region;
           });
  };
  for (int i = 0; i < daemons; ++i) {
    CHECK(all_named_in("r1", i, "r1"));
    CHECK(all_named_in("r2", i, "r2"));
    CHECK(all_named_in("r1", i, "r9"));
  }
  for (int i = 0; i < daemons; ++i) {
    if (fleet.state(i).options.region == "r2") fleet.FreezeDaemon(i);
  }
  fleet.AdvanceTime(seconds(3));
  CHECK(all_named_in("r1", 0, "r2"));
}

// Guards against a placer that leaves a request waiting which no server in its
// regions can run.
TEST_CASE("A placer refuses a request without a server in its regions") {
  Daemon daemon;
  daemon.Feed(PlacementRequestReceived{{.peer_address = "2.2.2.2:2",
                                        .incarnation = 1,
                                        .id = 1,
                                        .service = "llm",
                                        .prompt_tokens = 3000,
                                        .answer_tokens = 500,
                                        .arrived = daemon.now(),
                                        .due = daemon.now() + seconds(1),
                                        .deadline = daemon.now() + seconds(9),
                                        .allowed_regions = {{"r1"}}}});
  const auto* effect = daemon.FirstEffect<RespondToPlacement>();
  REQUIRE(effect != nullptr);
  CHECK(effect->response.outcome == PlacementOutcome::kRefused);
  CHECK(effect->response.shortage == Shortage::kRegions);
}

// Guards against a relay that serves a request which its own configuration
// keeps from its region.
TEST_CASE("A daemon outside of the allowed regions serves no relayed request") {
  Daemon daemon;
  daemon.state().options.region = "r2";
  daemon.state().options.regions = {{"", "r1"}};  // of all servers
  Configuration configuration = MakeConfiguration(2);
  configuration.routes.front().allowed_regions = {"r1"};
  daemon.Feed(ConfigurationReceived{.configuration = configuration,
                                    .queried_at = daemon.now()});
  daemon.Feed(RequestArrived{.key = 1,
                             .metadata = {.id = "r1",
                                          .host = "h",
                                          .path = "/stream/x",
                                          .keys = {"k"},
                                          .relayed_by = "2.2.2.2:2"}});
  const auto* refusal = daemon.FirstEffect<Refuse>();
  REQUIRE(refusal != nullptr);
  CHECK(refusal->reason == Refusal::kNoHome);
}

// Guards against an empty list of regions that is taken for no restriction.
TEST_CASE("A request that no region may run is refused immediately") {
  Daemon daemon;
  Configuration configuration = MakeConfiguration(2);
  configuration.routes.front().allowed_regions.emplace();
  daemon.Feed(ConfigurationReceived{.configuration = configuration,
                                    .queried_at = daemon.now()});
  daemon.SendRequest("stream");
  const auto* refusal = daemon.FirstEffect<Refuse>();
  REQUIRE(refusal != nullptr);
  CHECK(refusal->reason == Refusal::kNoHome);
  CHECK(daemon.FirstEffect<StartAttempt>() == nullptr);
}

// Guards against requests that go on under the regions of an older
// configuration: they would leave the new ones with their next send.
TEST_CASE("A new configuration's regions apply to requests that wait") {
  Daemon daemon;
  daemon.state().options.regions = {{"", "r2"}};
  const RequestKey key = daemon.SendRequest("stream");
  const AttemptId attempt = daemon.FirstEffect<StartAttempt>()->attempt;
  Configuration configuration = MakeConfiguration(2);
  configuration.routes.front().allowed_regions = {"r1"};
  daemon.Feed(ConfigurationReceived{.configuration = configuration,
                                    .queried_at = daemon.now()});
  daemon.Feed(
      AttemptFailed{.attempt = attempt, .error = AttemptError::kNotSent});
  daemon.AdvanceTime(milliseconds(100));
  CHECK_FALSE(daemon.state().requests.contains(key));
  CHECK(daemon.FirstEffect<StartAttempt>() == nullptr);
}

}  // namespace
}  // namespace scaleshed::serving::test
