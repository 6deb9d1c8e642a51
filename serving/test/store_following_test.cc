// Who asks the platform's store, and what the others go by.

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "serving_harness.h"

namespace scaleshed::serving {
namespace {

using test::Daemon;

constexpr Duration kPropagationLimit = seconds(2);

LoadSnapshot PeerSnapshot(const std::string& address, std::uint64_t sequence) {
  return {.instance = address,
          .peer_address = address,
          .incarnation = 1,
          .sequence = sequence,
          .serving = true,
          .polls_store = true};
}

// Two addresses that rank before `own` where askers are chosen.
std::vector<std::string> PollersBefore(const std::string& own) {
  const std::uint64_t salt = HashBytes("");
  std::vector<std::string> found;
  for (int i = 0; found.size() < 2; ++i) {
    const std::string address = "2.2.2.2:" + std::to_string(i);
    if (HashBytes(address, salt) > HashBytes(own, salt)) {
      found.push_back(address);
    }
  }
  return found;
}

// A daemon beside two others of its data centre that it hears, and that ask
// the store for it.
class NonPoller {
 public:
  NonPoller() : peers_(PollersBefore(daemon_.state().options.peer_address)) {
    ReceiveSnapshots();
    daemon_.AdvanceTime(milliseconds(1000));
    ReceiveSnapshots();
  }

  Daemon& daemon() { return daemon_; }
  void ReceiveSnapshots() {
    ++sequence_;
    for (const std::string& it : peers_) {
      daemon_.Feed(SnapshotReceived{PeerSnapshot(it, sequence_)});
    }
  }
  // What an asker with the same knowledge would tell, having heard all that
  // this daemon said until now.
  StoreRelay Confirmation(Duration age = milliseconds(5)) {
    return {.peer_address = peers_.front(),
            .digest = Digest(),
            .changes = {},
            .backends_age = age,
            .configuration_age = age,
            .heard_incarnation = daemon_.state().options.incarnation,
            .heard_sequence = daemon_.state().snapshot_sequence};
  }
  StoreDigest Digest() {
    StoreDigest digest{
        .configuration =
            daemon_.state().configuration->configuration().stamp()};
    for (const auto& [id, backend] : daemon_.state().backends) {
      digest.backends ^= backend.entry_hash;
    }
    return digest;
  }
  void Relay(const StoreRelay& relay) {
    daemon_.Feed(StoreRelayReceived{relay});
  }
  // Whether it asks the store itself while `time` passes and it hears what its
  // peers say.
  bool QueriesWithin(Duration time, bool confirmations) {
    bool queried = false;
    for (Duration passed{}; passed < time; passed += milliseconds(100)) {
      ReceiveSnapshots();
      if (confirmations) Relay(Confirmation());
      daemon_.AdvanceTime(milliseconds(100));
      queried = queried || daemon_.FirstEffect<PollStore>() != nullptr;
    }
    return queried;
  }

 private:
  Daemon daemon_;
  std::vector<std::string> peers_;
  std::uint64_t sequence_ = 0;
};

TEST_CASE("A lone daemon asks and watches") {
  Daemon daemon;
  daemon.AdvanceTime(seconds(1));
  const auto* watch = daemon.FirstEffect<WatchStore>();
  REQUIRE(watch != nullptr);
  CHECK(watch->enabled);
  const auto* query = daemon.FirstEffect<PollStore>();
  REQUIRE(query != nullptr);
  CHECK(query->configuration.number == 1);
  CHECK(query->backends.size() == 9);
}

TEST_CASE("Of many daemons in a data centre two ask") {
  const std::vector<std::string> all{"a:1", "b:1", "c:1", "d:1", "e:1", "f:1"};
  int pollers = 0;
  for (const std::string& own : all) {
    Daemon daemon;
    daemon.state().options.peer_address = own;
    for (const std::string& it : all) {
      daemon.Feed(SnapshotReceived{PeerSnapshot(it, 1)});
    }
    daemon.AdvanceTime(milliseconds(1000));
    if (daemon.FirstEffect<WatchStore>() != nullptr) ++pollers;
  }
  CHECK(pollers == 2);
}

TEST_CASE("A daemon that hears proofs does not ask, one that hears none does") {
  NonPoller non_poller;
  CHECK_FALSE(non_poller.QueriesWithin(seconds(10), /*confirmations=*/true));
  CHECK(non_poller.QueriesWithin(kPropagationLimit, /*confirmations=*/false));
}

TEST_CASE(
    "A daemon that starts before there is a configuration waits for news") {
  State state({.instance = "1.1.1.1:1", .peer_address = "1.1.1.1:2"});
  Time now{seconds(1000)};
  const auto feed = [&](EventBody body) {
    return Reduce(state, {.now = now, .body = std::move(body)});
  };
  feed(Tick{});
  feed(BackendsListed{.revision = {.number = 5}, .queried_at = now});
  std::uint64_t sequence = 0;
  int queries = 0;
  for (int i = 0; i < 25; ++i) {
    now += milliseconds(100);
    ++sequence;
    for (const std::string& it : PollersBefore("1.1.1.1:2")) {
      feed(SnapshotReceived{PeerSnapshot(it, sequence)});
    }
    // That there is no configuration is proved too.
    feed(StoreRelayReceived{{.peer_address = "2.2.2.2:0",
                             .backends_age = milliseconds(5),
                             .configuration_age = milliseconds(5),
                             .heard_incarnation = state.options.incarnation,
                             .heard_sequence = state.snapshot_sequence}});
    for (const Effect& it : feed(Tick{})) {
      if (std::holds_alternative<PollStore>(it)) ++queries;
    }
  }
  CHECK(queries == 0);
  CHECK_FALSE(IsServing(state));
}

TEST_CASE("A daemon whose question failed asks for itself only") {
  Daemon daemon;
  daemon.AdvanceTime(seconds(1));
  daemon.Feed(StoreUnreachable{});
  for (const char* it : {"a:1", "b:1"}) {
    daemon.Feed(SnapshotReceived{PeerSnapshot(it, 1)});
  }
  daemon.AdvanceTime(milliseconds(600));
  const auto* watch = daemon.FirstEffect<WatchStore>();
  REQUIRE(watch != nullptr);
  CHECK_FALSE(watch->enabled);
  const auto* published = daemon.FirstEffect<PublishSnapshot>();
  REQUIRE(published != nullptr);
  CHECK_FALSE(published->snapshot.polls_store);
}

TEST_CASE("A relay is never taken for younger than it is") {
  NonPoller non_poller;
  Daemon& daemon = non_poller.daemon();
  const StoreRelay relay = non_poller.Confirmation();
  // It lies in the socket's buffer while the daemon is frozen.
  const Time sent = daemon.now();
  daemon.SetNow(daemon.now() + seconds(4));
  non_poller.Relay(relay);
  CHECK(daemon.state().confirmed_at <= sent);
  CHECK(daemon.state().store.backends_confirmed_at <= sent);
  // One that answers to nothing of this life proves nothing.
  StoreRelay foreign = non_poller.Confirmation();
  foreign.heard_incarnation = daemon.state().options.incarnation + 1;
  const Time before = daemon.state().confirmed_at;
  non_poller.Relay(foreign);
  CHECK(daemon.state().confirmed_at == before);
}

TEST_CASE("Older news never revert newer ones") {
  NonPoller non_poller;
  Daemon& daemon = non_poller.daemon();
  const BackendServer server = daemon.state().backends.at("app0").server;
  StoreRelay relay = non_poller.Confirmation();
  relay.backends_age.reset();
  relay.changes = {
      {.id = "app0", .revision = {.number = server.revision.number + 5}}};
  non_poller.Relay(relay);
  CHECK_FALSE(daemon.state().backends.contains("app0"));
  relay.changes = {
      {.id = "app0", .revision = server.revision, .server = server}};
  non_poller.Relay(relay);
  CHECK_FALSE(daemon.state().backends.contains("app0"));
  // And the other way round: gone before it came back.
  BackendServer back = server;
  back.revision.number = server.revision.number + 9;
  relay.changes = {{.id = "app0", .revision = back.revision, .server = back}};
  non_poller.Relay(relay);
  REQUIRE(daemon.state().backends.contains("app0"));
  relay.changes = {
      {.id = "app0", .revision = {.number = server.revision.number + 5}}};
  non_poller.Relay(relay);
  CHECK(daemon.state().backends.contains("app0"));
}

TEST_CASE("A newer configuration is read by each, once for many changes") {
  NonPoller non_poller;
  Daemon& daemon = non_poller.daemon();
  StoreRelay relay = non_poller.Confirmation();
  int reads = 0;
  for (int i = 0; i < 20; ++i) {
    ++relay.digest.configuration.revision.number;
    non_poller.Relay(relay);
    daemon.AdvanceTime(milliseconds(50));
    if (daemon.FirstEffect<ReadConfiguration>() != nullptr) ++reads;
  }
  CHECK(reads >= 1);
  CHECK(reads <= 3);
  // A proof of a configuration that this daemon lacks says nothing of its own.
  const Time before = daemon.state().confirmed_at;
  non_poller.Relay(relay);
  CHECK(daemon.state().confirmed_at == before);
  // Once it knows that one it is proved, for when the asker asked.
  non_poller.ReceiveSnapshots();
  daemon.AdvanceTime(milliseconds(100));
  StoreRelay confirmation = non_poller.Confirmation();
  confirmation.digest.configuration = relay.digest.configuration;
  const Time sent = daemon.now();
  non_poller.Relay(confirmation);
  daemon.AdvanceTime(milliseconds(300));
  daemon.Feed(
      ConfigurationReceived{.configuration = test::MakeConfiguration(
                                relay.digest.configuration.revision.number + 1),
                            .queried_at = Time{}});
  CHECK(daemon.state().confirmed_at > before);
  CHECK(daemon.state().confirmed_at <= sent);
}

TEST_CASE("A proof of an older configuration proves a newer one") {
  NonPoller non_poller;
  Daemon& daemon = non_poller.daemon();
  const StoreRelay confirmation = non_poller.Confirmation();
  const Time before = daemon.state().confirmed_at;
  daemon.Feed(ConfigurationReceived{.configuration = test::MakeConfiguration(7),
                                    .queried_at = Time{}});
  non_poller.Relay(confirmation);
  CHECK(daemon.state().confirmed_at > before);
}

// Both askers of a data centre put the same question each round: half of the
// calls of a calm day.
TEST_CASE("The second asker asks when it misses the word of the first") {
  Daemon daemon;
  const std::string first =
      PollersBefore(daemon.state().options.peer_address).front();
  std::uint64_t sequence = 0;
  const auto receive_snapshot = [&] {
    daemon.Feed(SnapshotReceived{PeerSnapshot(first, ++sequence)});
  };
  receive_snapshot();
  daemon.AdvanceTime(milliseconds(1000));
  receive_snapshot();
  daemon.AdvanceTime(milliseconds(100));
  REQUIRE(daemon.state().store.watching);
  CHECK_FALSE(daemon.state().store.is_lead_poller);
  daemon.ConfirmStore();
  const auto count_queries = [&](bool confirmed) {
    int n = 0;
    for (int i = 0; i < 60; ++i) {
      receive_snapshot();
      if (confirmed) daemon.ConfirmStore();
      daemon.AdvanceTime(milliseconds(100));
      if (daemon.FirstEffect<PollStore>() != nullptr) {
        ++n;
        daemon.ConfirmStore();
      }
    }
    return n;
  };
  CHECK(count_queries(true) == 0);
  CHECK(count_queries(false) >= 4);
}

// In an outage of 6 s 295 daemons put 3,800 calls to a store that refused them.
TEST_CASE("Of many that lost the store each asks more rarely") {
  const auto poll_delay_with_peers = [](int peers) {
    Daemon daemon;
    for (int i = 0; i < peers; ++i) {
      daemon.Feed(
          SnapshotReceived{PeerSnapshot("3.3.3.3:" + std::to_string(i), 1)});
    }
    for (int i = 0; i < 6; ++i) daemon.Feed(StoreUnreachable{});
    return daemon.state().store.poll_due - daemon.now();
  };
  CHECK(poll_delay_with_peers(2) <= milliseconds(1600));
  CHECK(poll_delay_with_peers(58) >= seconds(2));
  CHECK(poll_delay_with_peers(58) <= seconds(4));
}

TEST_CASE("A daemon that alone does not reach the store goes on") {
  NonPoller non_poller;
  Daemon& daemon = non_poller.daemon();
  StoreRelay relay = non_poller.Confirmation();
  non_poller.Relay(relay);
  ++relay.digest.configuration.revision.number;
  // The others know a newer configuration, which it can't read.
  for (int i = 0; i < 35; ++i) {
    non_poller.ReceiveSnapshots();
    relay.heard_sequence = daemon.state().snapshot_sequence;
    non_poller.Relay(relay);
    daemon.AdvanceTime(milliseconds(100));
    // Nor does any of the others tell it.
    if (daemon.FirstEffect<ReadConfiguration>() != nullptr) {
      daemon.Feed(StoreQueried{});
    }
    CHECK(IsServing(daemon.state()));
  }
  // What reaches it again is asked at once.
  daemon.Feed(StoreResponded{});
  CHECK(IsServing(daemon.state()));
  daemon.AdvanceTime(milliseconds(10));
  CHECK(daemon.FirstEffect<PollStore>() != nullptr);
}

TEST_CASE("Entries that stay different are listed") {
  NonPoller non_poller;
  Daemon& daemon = non_poller.daemon();
  bool listed = false;
  for (int i = 0; i < 12; ++i) {
    StoreRelay relay = non_poller.Confirmation();
    relay.digest.backends ^= 1;
    non_poller.Relay(relay);
    non_poller.ReceiveSnapshots();
    daemon.AdvanceTime(milliseconds(100));
    listed = listed || daemon.FirstEffect<ListStore>() != nullptr;
  }
  CHECK(listed);
}

TEST_CASE("An asker tells its data centre what changed, and proofs") {
  Daemon daemon;
  daemon.AdvanceTime(seconds(1));
  LoadSnapshot here = PeerSnapshot("a:1", 7);
  here.polls_store = false;
  LoadSnapshot elsewhere = PeerSnapshot("b:1", 1);
  elsewhere.data_centre = "other";
  daemon.Feed(SnapshotReceived{here});
  daemon.Feed(SnapshotReceived{elsewhere});
  daemon.Feed(ConfigurationConfirmed{.revision = {.number = 1},
                                     .queried_at = daemon.now()});
  daemon.Feed(BackendsConfirmed{.queried_at = daemon.now()});
  daemon.ListBackend("app", 0, /*leaving=*/true);
  daemon.AdvanceTime(milliseconds(30));
  const auto* relay = daemon.FirstEffect<RelayStoreState>();
  REQUIRE(relay != nullptr);
  REQUIRE(relay->messages.size() == 1);
  const auto& [to, message] = relay->messages.front();
  CHECK(to == "a:1");
  CHECK(message.heard_sequence == 7);
  REQUIRE(message.backends_age.has_value());
  CHECK(*message.backends_age <= milliseconds(30));
  REQUIRE_FALSE(message.changes.empty());
  CHECK(message.changes.back().id == "app0");
  CHECK(message.changes.back().server->leaving);
}

// Its number of the era before was kept, and the lower one dropped as old.
TEST_CASE("A server that a copy lacks is known by what it writes again") {
  NonPoller non_poller;
  Daemon& daemon = non_poller.daemon();
  daemon.Feed(StoreEpochObserved{.epoch = 1});
  const BackendServer server = daemon.state().backends.at("app0").server;
  StoreRelay relay = non_poller.Confirmation();
  relay.epoch = 2;
  relay.changes = {
      {.id = "app0", .revision = {.epoch = 2, .number = 3}, .certain = false}};
  non_poller.Relay(relay);
  REQUIRE(daemon.state().backends.at("app0").gone_at.has_value());
  // The others are proved to be as they were.
  non_poller.ReceiveSnapshots();
  daemon.AdvanceTime(milliseconds(100));
  StoreRelay confirmation = non_poller.Confirmation();
  confirmation.epoch = 2;
  confirmation.digest.backends ^= daemon.state().backends.at("app0").entry_hash;
  non_poller.Relay(confirmation);
  CHECK(daemon.state().backends.at("app1").server.revision.epoch == 2);
  BackendServer rewritten = server;
  rewritten.revision = {.epoch = 2, .number = 4};
  REQUIRE(rewritten.revision.number < server.revision.number);
  relay.changes = {
      {.id = "app0", .revision = rewritten.revision, .server = rewritten}};
  non_poller.Relay(relay);
  const Backend& known = daemon.state().backends.at("app0");
  CHECK(known.server.revision == rewritten.revision);
  CHECK_FALSE(known.gone_at.has_value());
}

}  // namespace
}  // namespace scaleshed::serving
