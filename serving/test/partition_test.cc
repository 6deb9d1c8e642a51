// Daemons whose network path to all backend servers is gone, while clients, the
// store and the other daemons reach them.

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "simulated_fleet.h"

namespace scaleshed::serving::test {
namespace {

constexpr int kDaemons = 9;
constexpr Duration kPartitionLength = seconds(12);
// From the start of a partition until clients have to be served again.
constexpr Duration kContactTime = seconds(3);
// Least share of the requests that has to be served, at daemons with and
// without a path.
constexpr double kServedShare = 0.97;

struct Served {
  int requests = 0;
  int answered = 0;
  double share() const { return answered / std::max(1.0, 1.0 * requests); }
};

struct Partition {
  ServerLink link = ServerLink::kRefused;
  std::vector<int> daemons;

  bool Holds(int daemon) const {
    return std::find(daemons.begin(), daemons.end(), daemon) != daemons.end();
  }
};

SimulatedFleetOptions FleetOptions(int daemons = kDaemons) {
  return {.daemons = daemons,
          .data_centres = 3,
          .engines = 18,
          .hold_slack_share = true,
          .plain_servers = 3};
}

// Sends one request to each daemon in turn, every 15 ms, and returns the
// requests that each daemon got.
std::vector<std::vector<RequestKey>> SendFor(SimulatedFleet& fleet,
                                             Duration length,
                                             int daemons = kDaemons) {
  constexpr Duration kInterval = milliseconds(15);
  std::vector<std::vector<RequestKey>> sent(static_cast<std::size_t>(daemons));
  const Time until = fleet.now() + length;
  for (int n = 0; fleet.now() < until; ++n) {
    const int daemon = n % daemons;
    // Every tenth request of a daemon goes to the plain service.
    const bool is_plain = n / daemons % 10 == 9;
    sent.at(static_cast<std::size_t>(daemon))
        .push_back(is_plain ? fleet.SendPlainRequest(daemon)
                            : fleet.SendPrompt(daemon, 5000));
    fleet.AdvanceTime(kInterval);
  }
  return sent;
}

// Sums up what was served of `sent` at the daemons with or without a path.
Served CountServed(const SimulatedFleet& fleet, const Partition& partition,
                   bool partitioned,
                   const std::vector<std::vector<RequestKey>>& sent) {
  Served served;
  for (std::size_t i = 0; i < sent.size(); ++i) {
    if (partition.Holds(static_cast<int>(i)) != partitioned) continue;
    for (const RequestKey it : sent.at(i)) {
      ++served.requests;
      if (fleet.answered().contains(it)) ++served.answered;
    }
  }
  return served;
}

// Connections that stood are reset with the new ones, or go on.
void Begin(SimulatedFleet& fleet, const Partition& partition) {
  for (const int it : partition.daemons) {
    fleet.SetServerLink(it, partition.link);
    if (partition.link != ServerLink::kSilent) fleet.ResetServerConnections(it);
  }
}

void End(SimulatedFleet& fleet) {
  for (int i = 0; i < kDaemons; ++i) fleet.SetServerLink(i, ServerLink::kOpen);
}

// Guards against daemons that lose their path to all servers and fail their
// clients' requests while other daemons could have them served.
TEST_CASE("Daemons without a path to any server serve like the others") {
  const auto link =
      GENERATE(ServerLink::kRefused, ServerLink::kReset, ServerLink::kSilent);
  const auto daemons = GENERATE(
      std::vector<int>{0, 1, 2, 4, 5}, std::vector<int>{3, 7},
      std::vector<int>{0, 3, 6}, std::vector<int>{0, 1, 2, 3, 4, 5, 6, 7});
  const Partition partition{.link = link, .daemons = daemons};
  CAPTURE(static_cast<int>(link), daemons);
  SimulatedFleet fleet(FleetOptions());
  SendFor(fleet, seconds(2));
  Begin(fleet, partition);
  SendFor(fleet, kContactTime);
  const auto sent = SendFor(fleet, kPartitionLength - kContactTime);
  fleet.AdvanceTime(seconds(3));
  CHECK(CountServed(fleet, partition, true, sent).share() >= kServedShare);
  CHECK(CountServed(fleet, partition, false, sent).share() >= kServedShare);
}

// Guards against clients being sent, for as long as it lasts, to daemons that
// reach no server.
TEST_CASE("Clients are directed to daemons that reach the servers") {
  const auto link =
      GENERATE(ServerLink::kRefused, ServerLink::kReset, ServerLink::kSilent);
  const Partition partition{.link = link, .daemons = {0, 1, 2, 4, 5}};
  CAPTURE(static_cast<int>(link));
  SimulatedFleet fleet(FleetOptions());
  SendFor(fleet, seconds(2));
  Begin(fleet, partition);
  SendFor(fleet, kContactTime);
  for (int i = 0; i < kDaemons; ++i) {
    const auto named = LookUpClientAddresses(fleet.state(i)).addresses;
    CHECK(named.size() == kDaemons - partition.daemons.size());
    for (const int it : partition.daemons) {
      CHECK(std::find(named.begin(), named.end(),
                      fleet.state(it).options.instance) == named.end());
    }
  }
  End(fleet);
  SendFor(fleet, seconds(2));
  for (int i = 0; i < kDaemons; ++i) {
    CHECK(LookUpClientAddresses(fleet.state(i)).addresses.size() == kDaemons);
  }
}

// Guards against healthy servers and innocent requests being blamed, at all
// daemons, for the lost path of one.
TEST_CASE("A daemon without a path blames no server and no request") {
  const auto link =
      GENERATE(ServerLink::kRefused, ServerLink::kReset, ServerLink::kSilent);
  const Partition partition{.link = link, .daemons = {0, 1, 2, 4, 5}};
  CAPTURE(static_cast<int>(link));
  SimulatedFleet fleet(FleetOptions());
  constexpr std::uint64_t kSameContent = 77;
  for (int n = 0; n < 40; ++n) {
    fleet.SendPrompt(n % kDaemons, 5000, seconds(15), kSameContent + n % 4);
    fleet.AdvanceTime(milliseconds(20));
  }
  Begin(fleet, partition);
  for (int n = 0; n < 200; ++n) {
    fleet.SendPrompt(n % kDaemons, 5000, seconds(15), kSameContent + n % 4);
    fleet.AdvanceTime(milliseconds(20));
  }
  for (int i = 0; i < kDaemons; ++i) {
    CAPTURE(i);
    CHECK(fleet.state(i).quarantine.size() == 0);
    CHECK(fleet.state(i).ended_incarnations.empty());
    if (partition.Holds(i)) continue;
    const auto avoided =
        std::count_if(fleet.state(i).backends.begin(),
                      fleet.state(i).backends.end(), [&](const auto& it) {
                        return it.second.suspected_until > fleet.now();
                      });
    CHECK(avoided == 0);
  }
}

// In a large fleet prompts are placed by two daemons for all, and heartbeats
// reach only some of the others.
TEST_CASE("Placers and a data centre without a path don't stop a large fleet") {
  constexpr int kLargeFleet = 33;
  const auto link =
      GENERATE(ServerLink::kRefused, ServerLink::kReset, ServerLink::kSilent);
  CAPTURE(static_cast<int>(link));
  SimulatedFleet fleet(FleetOptions(kLargeFleet));
  const int placer = fleet.FirstPlacer();
  REQUIRE(placer >= 0);
  Partition partition{.link = link, .daemons = {placer}};
  for (int i = 0; i < kLargeFleet; i += 3) {
    if (i != placer) partition.daemons.push_back(i);
  }
  SendFor(fleet, seconds(3), kLargeFleet);
  Begin(fleet, partition);
  SendFor(fleet, kContactTime, kLargeFleet);
  const auto sent = SendFor(fleet, seconds(5), kLargeFleet);
  fleet.AdvanceTime(seconds(3));
  CHECK(CountServed(fleet, partition, true, sent).share() >= kServedShare);
  CHECK(CountServed(fleet, partition, false, sent).share() >= kServedShare);
}

// With nobody who reaches a server no daemon is better than another.
TEST_CASE("Daemons that have all lost their paths refuse at once and stay") {
  const auto link =
      GENERATE(ServerLink::kRefused, ServerLink::kReset, ServerLink::kSilent);
  CAPTURE(static_cast<int>(link));
  Partition partition{.link = link, .daemons = {}};
  for (int i = 0; i < kDaemons; ++i) partition.daemons.push_back(i);
  SimulatedFleet fleet(FleetOptions());
  SendFor(fleet, seconds(2));
  Begin(fleet, partition);
  SendFor(fleet, kContactTime);
  const std::size_t before = fleet.refused().size();
  const auto sent = SendFor(fleet, seconds(2));
  std::size_t refused_at_once = 0;
  for (std::size_t i = before; i < fleet.refused().size(); ++i) {
    const auto& it = fleet.refused()[i];
    constexpr int kNotRun = 503;
    if (it.refusal.status == kNotRun && it.after <= milliseconds(50) &&
        it.refusal.retry_after > Duration::zero()) {
      ++refused_at_once;
    }
  }
  std::size_t requests = 0;
  for (const auto& it : sent) requests += it.size();
  CHECK(static_cast<double>(refused_at_once) >=
        kServedShare * static_cast<double>(requests));
  for (int i = 0; i < kDaemons; ++i) {
    CHECK(TakesClients(fleet.state(i)));
    CHECK(LookUpClientAddresses(fleet.state(i)).addresses.size() == kDaemons);
  }
  End(fleet);
  SendFor(fleet, seconds(2));
  const auto after = SendFor(fleet, seconds(1));
  fleet.AdvanceTime(seconds(2));
  CHECK(CountServed(fleet, partition, true, after).share() >= kServedShare);
}

// Guards against a fault of some servers being taken for a lost path.
TEST_CASE("Servers that fall silent for a second make no daemon withdraw") {
  SimulatedFleet fleet(FleetOptions());
  SendFor(fleet, seconds(2));
  for (const char* it : {"llm0", "llm1", "app0"}) fleet.HangEngine(it);
  SendFor(fleet, milliseconds(1200));
  for (int i = 0; i < kDaemons; ++i) CHECK(TakesClients(fleet.state(i)));
  for (const char* it : {"llm0", "llm1", "app0"}) fleet.HangEngine(it, false);
  SendFor(fleet, seconds(2));
  for (int i = 0; i < kDaemons; ++i) CHECK(TakesClients(fleet.state(i)));
  CHECK(fleet.relays() == 0);
}

// Guards against daemons that pass nothing on while the servers are slow too:
// those that reach them were `unreachable` themselves.
TEST_CASE("Daemons without a path are served by others from slow servers") {
  const auto link =
      GENERATE(ServerLink::kRefused, ServerLink::kReset, ServerLink::kSilent);
  const Partition partition{.link = link, .daemons = {0, 1, 2, 4, 5}};
  CAPTURE(static_cast<int>(link));
  SimulatedFleet fleet(FleetOptions());
  SendFor(fleet, seconds(2));
  fleet.SetServerDelay(milliseconds(900));
  Begin(fleet, partition);
  SendFor(fleet, kContactTime);
  const auto sent = SendFor(fleet, seconds(5));
  fleet.AdvanceTime(seconds(4));
  CHECK(CountServed(fleet, partition, true, sent).share() >= kServedShare);
  CHECK(CountServed(fleet, partition, false, sent).share() >= kServedShare);
}

// Guards against slow servers being taken for lost paths: daemons withdraw one
// by one, and the last ones refuse the requests of all clients.
TEST_CASE("Servers that are slow for all make no daemon withdraw") {
  SimulatedFleet fleet(FleetOptions());
  SendFor(fleet, seconds(2));
  fleet.SetServerDelay(milliseconds(900));
  std::size_t withdrawn = 0;
  std::vector<RequestKey> sent;
  for (int i = 0; i < 8; ++i) {
    for (const auto& it : SendFor(fleet, seconds(1)))
      sent.insert(sent.end(), it.begin(), it.end());
    for (int daemon = 0; daemon < kDaemons; ++daemon)
      withdrawn += TakesClients(fleet.state(daemon)) ? 0 : 1;
  }
  fleet.AdvanceTime(seconds(4));
  std::size_t answered = 0;
  for (const RequestKey it : sent) answered += fleet.answered().count(it);
  INFO("answered " << answered << " of " << sent.size());
  CHECK(withdrawn == 0);
  CHECK(static_cast<double>(answered) >=
        kServedShare * static_cast<double>(sent.size()));
}

}  // namespace
}  // namespace scaleshed::serving::test
