// Tests which daemons poll the platform's store and how the others follow it by
// relays.

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

// Returns two addresses that rank before `own` in the choice of pollers.
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

// A daemon that doesn't poll the store: it receives snapshots from two other
// daemons of its data centre that poll it.
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
  // Returns the relay of a poller that knows the same entries and has received
  // all snapshots that this daemon has sent until now.
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
  // Returns whether the daemon queries the store itself within `time` while it
  // receives its peers' snapshots and, with `confirmations`, their relays.
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

TEST_CASE("A lone daemon polls and watches the store") {
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

TEST_CASE("Two of many daemons in a data centre poll the store") {
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

TEST_CASE(
    "A daemon queries the store itself only if confirmations are missing") {
  NonPoller non_poller;
  CHECK_FALSE(non_poller.QueriesWithin(seconds(10), /*confirmations=*/true));
  CHECK(non_poller.QueriesWithin(kPropagationLimit, /*confirmations=*/false));
}

TEST_CASE(
    "A daemon that starts before there is a configuration waits for relays") {
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
    // The relay confirms that there is no configuration.
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

TEST_CASE("A daemon whose store query failed doesn't poll for others") {
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

TEST_CASE("A delayed relay confirms state only for the time it was sent") {
  NonPoller non_poller;
  Daemon& daemon = non_poller.daemon();
  const StoreRelay relay = non_poller.Confirmation();
  // The relay lies in the socket's buffer while the daemon hangs.
  const Time sent = daemon.now();
  daemon.SetNow(daemon.now() + seconds(4));
  non_poller.Relay(relay);
  CHECK(daemon.state().confirmed_at <= sent);
  CHECK(daemon.state().store.backends_confirmed_at <= sent);
  // A relay that names a snapshot of another incarnation confirms nothing.
  StoreRelay foreign = non_poller.Confirmation();
  foreign.heard_incarnation = daemon.state().options.incarnation + 1;
  const Time before = daemon.state().confirmed_at;
  non_poller.Relay(foreign);
  CHECK(daemon.state().confirmed_at == before);
}

TEST_CASE("An older change never reverts a newer one") {
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
  // A late deletion from before the entry was written again is ignored too.
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

TEST_CASE("A daemon reads a newer configuration once for many changes") {
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
  // The confirmation of a configuration that this daemon lacks doesn't confirm
  // the one that it has.
  const Time before = daemon.state().confirmed_at;
  non_poller.Relay(relay);
  CHECK(daemon.state().confirmed_at == before);
  // Once the daemon has that configuration, it counts as confirmed for the time
  // at which the poller sent its query.
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

TEST_CASE("A confirmation of an older configuration confirms a newer one") {
  NonPoller non_poller;
  Daemon& daemon = non_poller.daemon();
  const StoreRelay confirmation = non_poller.Confirmation();
  const Time before = daemon.state().confirmed_at;
  daemon.Feed(ConfigurationReceived{.configuration = test::MakeConfiguration(7),
                                    .queried_at = Time{}});
  non_poller.Relay(confirmation);
  CHECK(daemon.state().confirmed_at > before);
}

// Guards against both pollers of a data centre sending the same query in each
// poll interval, which was half of all store calls in normal operation.
TEST_CASE(
    "The second poller queries the store if confirmations from the first "
    "poller stop") {
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

// Guards against a flood of retries: in an outage of 6 s 295 daemons sent 3,800
// calls to a store that refused them.
TEST_CASE("The backoff from the store grows with the number of daemons") {
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

TEST_CASE("A daemon that alone doesn't reach the store goes on serving") {
  NonPoller non_poller;
  Daemon& daemon = non_poller.daemon();
  StoreRelay relay = non_poller.Confirmation();
  non_poller.Relay(relay);
  ++relay.digest.configuration.revision.number;
  // The other daemons know a newer configuration, which this one can't read.
  for (int i = 0; i < 35; ++i) {
    non_poller.ReceiveSnapshots();
    relay.heard_sequence = daemon.state().snapshot_sequence;
    non_poller.Relay(relay);
    daemon.AdvanceTime(milliseconds(100));
    // No other daemon sends the configuration either.
    if (daemon.FirstEffect<ReadConfiguration>() != nullptr) {
      daemon.Feed(StoreQueried{});
    }
    CHECK(IsServing(daemon.state()));
  }
  // The daemon queries the store as soon as it responds again.
  daemon.Feed(StoreResponded{});
  CHECK(IsServing(daemon.state()));
  daemon.AdvanceTime(milliseconds(10));
  CHECK(daemon.FirstEffect<PollStore>() != nullptr);
}

// Guards against a query that failed long ago: when the store responded to the
// next one, the daemon took that for the end of an outage, and used for longer
// what relays had confirmed.
TEST_CASE("An old unanswered query doesn't prolong what relays confirmed") {
  NonPoller non_poller;
  Daemon& daemon = non_poller.daemon();
  non_poller.Relay(non_poller.Confirmation());
  // The daemon's own query is not answered.
  CHECK(non_poller.QueriesWithin(seconds(2), /*confirmations=*/false));
  CHECK_FALSE(non_poller.QueriesWithin(seconds(1), /*confirmations=*/true));
  // Relays cease; the next query is answered slowly.
  non_poller.QueriesWithin(milliseconds(1700), /*confirmations=*/false);
  daemon.Feed(StoreResponded{});
  CHECK(IsServing(daemon.state()));
  daemon.AdvanceTime(milliseconds(300));
  CHECK_FALSE(IsServing(daemon.state()));
}

TEST_CASE(
    "A daemon lists the store if its entries stay different from a poller's") {
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

TEST_CASE("A poller relays changes and confirmations to its data centre") {
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

// Guards against a server that stays unknown after a restore: its revision of
// the epoch before was kept, and the rewritten entry with a lower number was
// dropped as old.
TEST_CASE(
    "A server that a backup lacks is known again once it rewrites its entry") {
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
  // The other entries are confirmed to be unchanged.
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
