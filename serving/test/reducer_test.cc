// Tests of single rules of the reducer, each on one daemon.

#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "serving_harness.h"

namespace scaleshed::serving {
namespace {

using test::Daemon;
using test::kStart;
using test::MakeConfiguration;

// Guards against a list of accounts that lost its last one and is taken for
// none: all routes would be open to everybody.
TEST_CASE("An empty list of accounts lets nobody in") {
  Daemon daemon;
  Configuration configuration = MakeConfiguration(2);
  configuration.accounts.emplace();
  configuration.routes.front().is_public = true;
  daemon.Feed(ConfigurationReceived{.configuration = configuration,
                                    .queried_at = daemon.now()});
  daemon.SendRequest("safe");
  const auto* refusal = daemon.FirstEffect<Refuse>();
  REQUIRE(refusal != nullptr);
  CHECK(refusal->reason == Refusal::kUnknownKey);
  daemon.SendRequest("stream");
  CHECK(daemon.FirstEffect<StartAttempt>() != nullptr);
}

// Guards against a request without its body being sent to a server.
TEST_CASE("A request whose body was left out is refused") {
  Daemon daemon;
  const auto refusal_of = [&](const std::string& path, const char* key) {
    const RequestMetadata metadata{.id = "r",
                                   .host = "h",
                                   .path = path,
                                   .keys = {key},
                                   .deadline = seconds(4)};
    const bool may_be_served = MayBeServed(daemon.state(), metadata);
    daemon.Feed(RequestArrived{.key = daemon.next_key() + 100,
                               .metadata = metadata,
                               .body_omitted = true});
    CHECK(daemon.FirstEffect<StartAttempt>() == nullptr);
    const auto* refusal = daemon.FirstEffect<Refuse>();
    REQUIRE(refusal != nullptr);
    CHECK(may_be_served == (refusal->status == 503));
    return refusal->status;
  };
  CHECK(refusal_of("/safe/x", "unknown") == 401);
  CHECK(refusal_of("/nowhere/x", "k") == 404);
  CHECK(refusal_of("/safe/x", "k") == 503);
}

// Guards against requests for a service that the configuration gives no part of
// its route.
TEST_CASE("A route whose shares weigh nothing is served by no service") {
  Daemon daemon;
  Configuration configuration = MakeConfiguration(2);
  for (Route& it : configuration.routes) it.shares.front().weight = 0;
  daemon.Feed(ConfigurationReceived{.configuration = configuration,
                                    .queried_at = daemon.now()});
  daemon.SendRequest("safe");
  const auto* refusal = daemon.FirstEffect<Refuse>();
  REQUIRE(refusal != nullptr);
  CHECK(refusal->reason == Refusal::kNoBackend);
  CHECK(daemon.FirstEffect<StartAttempt>() == nullptr);
}

TEST_CASE("The configuration in force is never replaced by an older one") {
  Daemon daemon;
  daemon.Feed(ConfigurationReceived{.configuration = MakeConfiguration(5),
                                    .queried_at = daemon.now()});
  Configuration older = MakeConfiguration(4);
  older.routes.clear();
  daemon.Feed(ConfigurationReceived{.configuration = older,
                                    .queried_at = daemon.now()});
  CHECK(daemon.state().configuration->configuration().revision.number == 5);
  daemon.SendRequest("safe");
  CHECK(daemon.FirstEffect<StartAttempt>() != nullptr);
}

TEST_CASE(
    "Only a query's response confirms freshness, as of when it was sent") {
  Daemon daemon;
  CHECK(IsServing(daemon.state()));
  // A change from a watch confirms nothing about later changes.
  daemon.AdvanceTime(milliseconds(4700));
  daemon.Feed(ConfigurationReceived{.configuration = MakeConfiguration(2),
                                    .queried_at = Time{}});
  daemon.AdvanceTime(milliseconds(200));
  CHECK_FALSE(IsServing(daemon.state()));
  daemon.SendRequest("safe");
  const auto* refused = daemon.FirstEffect<Refuse>();
  REQUIRE(refused != nullptr);
  CHECK(refused->status == 503);
  // A response that an older revision is the newest confirms that only for when
  // the query was sent.
  const Time queried_at = daemon.now() - milliseconds(4850);
  daemon.Feed(ConfigurationConfirmed{.revision = {.number = 1},
                                     .queried_at = queried_at});
  CHECK(daemon.state().confirmed_at == queried_at);
  CHECK_FALSE(IsServing(daemon.state()));
  // A response about a revision that isn't known here confirms nothing.
  daemon.Feed(ConfigurationConfirmed{.revision = {.number = 3},
                                     .queried_at = daemon.now()});
  CHECK(daemon.state().confirmed_at == queried_at);
  daemon.Feed(ConfigurationConfirmed{.revision = {.number = 2},
                                     .queried_at = daemon.now()});
  CHECK(IsServing(daemon.state()));
}

TEST_CASE(
    "An entry that expired while the store was unavailable is kept for a "
    "while") {
  Daemon daemon;
  daemon.Feed(BackendUnlisted{.id = "app0", .certain = false});
  daemon.AdvanceTime(milliseconds(1500));
  CHECK(daemon.state().backends.contains("app0"));
  daemon.ListBackend("app", 0);
  daemon.AdvanceTime(seconds(3));
  CHECK(daemon.state().backends.contains("app0"));
  // The entry is kept no longer than a leaving backend server may still receive
  // requests (2 s).
  daemon.Feed(BackendUnlisted{.id = "app0", .certain = false});
  daemon.AdvanceTime(milliseconds(1900));
  CHECK_FALSE(daemon.state().backends.contains("app0"));
  daemon.Feed(BackendUnlisted{.id = "app1", .certain = true});
  CHECK_FALSE(daemon.state().backends.contains("app1"));
}

std::set<std::string> FetchedReportAddresses(const Effects& effects) {
  std::set<std::string> addresses;
  for (const Effect& it : effects) {
    if (const auto* fetch = std::get_if<FetchEngineReport>(&it)) {
      addresses.insert(fetch->address);
    }
  }
  return addresses;
}

TEST_CASE("Each engine's report is fetched by one daemon of the fleet") {
  Daemon daemon;
  daemon.AdvanceTime(milliseconds(1700));
  CHECK(FetchedReportAddresses(daemon.effects()).size() == 6);
  daemon.ConfirmStore();
  // Two other daemons serve: each engine is assigned to one of the three.
  for (const std::string peer : {"1.1.1.2:2", "1.1.1.3:2"}) {
    daemon.Feed(SnapshotReceived{{.peer_address = peer,
                                  .incarnation = 1,
                                  .sequence = 1,
                                  .serving = true}});
  }
  daemon.AdvanceTime(milliseconds(1700));
  const std::size_t own_reports =
      FetchedReportAddresses(daemon.effects()).size();
  CHECK(own_reports < 6);
  // One of them sends no more snapshots, and the others fetch the reports of
  // its engines.
  for (std::uint64_t i = 2; i < 40; ++i) {
    daemon.AdvanceTime(milliseconds(100));
    daemon.Feed(SnapshotReceived{{.peer_address = "1.1.1.2:2",
                                  .incarnation = 1,
                                  .sequence = i,
                                  .serving = true}});
  }
  daemon.ConfirmStore();
  daemon.AdvanceTime(milliseconds(1700));
  CHECK(FetchedReportAddresses(daemon.effects()).size() >= own_reports);
}

TEST_CASE("An engine that reports to be slow gets no requests until it isn't") {
  Daemon daemon;
  daemon.SendRequest("stream");
  const std::string first = daemon.FirstEffect<StartAttempt>()->instance;
  daemon.Feed(EngineReportReceived{
      .backend = daemon.state().backends.at(first).id, .slowdown = 4});
  for (int i = 0; i < 10; ++i) {
    daemon.SendRequest("stream");
    CHECK(daemon.FirstEffect<StartAttempt>()->instance != first);
    daemon.SendRequest("stream", 210'000);
    if (const auto* sent = daemon.FirstEffect<StartAttempt>()) {
      CHECK(sent->instance != first);
      for (const PrefillHelper& it : sent->helpers)
        CHECK(it.address != first + ":1");
    }
  }
  daemon.Feed(
      EngineReportReceived{.backend = daemon.state().backends.at(first).id});
  bool used = false;
  for (int i = 0; i < 40 && !used; ++i) {
    daemon.SendRequest("stream");
    const auto* sent = daemon.FirstEffect<StartAttempt>();
    used = sent != nullptr && sent->instance == first;
  }
  CHECK(used);
}

TEST_CASE("At most a third of a pool's engines are avoided as slow") {
  Daemon daemon;
  std::size_t slow = 0;
  for (const auto& [name, backend] : daemon.state().backends) {
    if (backend.server.service == "llm") {
      daemon.Feed(EngineReportReceived{.backend = backend.id, .slowdown = 4});
    }
  }
  for (const auto& [name, backend] : daemon.state().backends) {
    if (backend.avoided_until() > daemon.now()) ++slow;
  }
  CHECK(slow == 2);
}

TEST_CASE("A server that is leaving stays so") {
  Daemon daemon;
  daemon.ListBackend("app", 0, /*leaving=*/true);
  daemon.ListBackend("app", 0);
  for (int i = 0; i < 20; ++i) {
    daemon.SendRequest("safe");
    const auto* sent = daemon.FirstEffect<StartAttempt>();
    REQUIRE(sent != nullptr);
    CHECK(sent->instance != "app0");
  }
}

TEST_CASE(
    "A report without slowdown doesn't end the suspicion after a failure") {
  Daemon daemon;
  daemon.SendRequest("stream");
  const StartAttempt sent = *daemon.FirstEffect<StartAttempt>();
  const std::string& first = sent.instance;
  const BackendId id = daemon.state().backends.at(first).id;
  daemon.Feed(EngineReportReceived{.backend = id, .slowdown = 4});
  daemon.Feed(AttemptFailed{.attempt = sent.attempt});
  daemon.Feed(EngineReportReceived{.backend = id});
  for (int i = 0; i < 10; ++i) {
    daemon.SendRequest("stream");
    CHECK(daemon.FirstEffect<StartAttempt>()->instance != first);
  }
}

TEST_CASE("A prompt isn't started with a prefill helper that is leaving") {
  Daemon daemon;
  daemon.SendRequest("stream", /*prompt=*/900'000);
  std::vector<ReserveMemory> orders;
  for (const Effect& it : daemon.effects()) {
    if (const auto* order = std::get_if<ReserveMemory>(&it)) {
      orders.push_back(*order);
    }
  }
  REQUIRE(orders.size() > 1);
  const std::string leaving = orders.front().address;
  for (int i = 0; i < 6; ++i) {
    if ("llm" + std::to_string(i) + ":1" == leaving) {
      daemon.ListBackend("llm", i, /*leaving=*/true);
    }
  }
  for (const ReserveMemory& it : orders) {
    daemon.Feed(MemoryReservationAnswered{.attempt = it.attempt,
                                          .helper_index = it.helper_index,
                                          .granted = true});
    CHECK(daemon.FirstEffect<StartAttempt>() == nullptr);
  }
  // The memory reservations are released.
  CHECK(daemon.FirstEffect<ReleaseMemory>() != nullptr);
}

TEST_CASE("A late event of a finished attempt changes nothing") {
  Daemon daemon;
  const RequestKey key = daemon.SendRequest("stream");
  const AttemptId first = daemon.FirstEffect<StartAttempt>()->attempt;
  daemon.Feed(StreamEvent{.attempt = first, .id = "1", .bytes = "a"});
  daemon.Feed(AttemptFailed{.attempt = first});
  const auto* second = daemon.FirstEffect<StartAttempt>();
  REQUIRE(second != nullptr);
  CHECK(second->resume_after == "1");
  daemon.Feed(StreamEvent{.attempt = first, .id = "2", .bytes = "late"});
  CHECK(daemon.FirstEffect<ForwardEvent>() == nullptr);
  daemon.Feed(AttemptAnswered{.attempt = first, .kind = AnswerKind::kSuccess});
  CHECK(daemon.FirstEffect<EndStream>() == nullptr);
  CHECK(daemon.state().requests.contains(key));
}

TEST_CASE("A server that another daemon suspects gets no requests") {
  Daemon daemon;
  LoadSnapshot snapshot = test::PeerSnapshot(1);
  snapshot.suspicions = {
      {.backend = HashBytes("app1"), .until = kStart + seconds(1)},
      {.backend = HashBytes("app2"), .until = kStart + seconds(1)}};
  daemon.Feed(SnapshotReceived{snapshot});
  for (int i = 0; i < 10; ++i) {
    daemon.SendRequest("safe");
    CHECK(daemon.FirstEffect<StartAttempt>()->instance == "app0");
  }
}

TEST_CASE("An older or duplicate snapshot changes nothing") {
  Daemon daemon;
  LoadSnapshot snapshot = test::PeerSnapshot(5);
  snapshot.incarnation = 7;
  daemon.Feed(SnapshotReceived{snapshot});
  CHECK(LookUpClientAddresses(daemon.state()).addresses.size() == 2);
  LoadSnapshot old = snapshot;
  old.sequence = 4;
  old.serving = false;
  daemon.Feed(SnapshotReceived{old});
  CHECK(LookUpClientAddresses(daemon.state()).addresses.size() == 2);
  old.incarnation = 6;
  old.sequence = 100;
  daemon.Feed(SnapshotReceived{old});
  CHECK(LookUpClientAddresses(daemon.state()).addresses.size() == 2);
  daemon.AdvanceTime(seconds(3));
  CHECK(LookUpClientAddresses(daemon.state()).addresses.size() == 1);
}

TEST_CASE("Long prompts of all daemons wait in one queue order") {
  Daemon daemon;
  LoadSnapshot snapshot = test::PeerSnapshot(1);
  snapshot.waiting = {{.id = 1,
                       .service = "llm",
                       .queue_key = kStart,
                       .prefill_time = milliseconds(500)}};
  daemon.Feed(SnapshotReceived{snapshot});
  daemon.SendRequest("stream", 100'000);
  CHECK(daemon.FirstEffect<StartAttempt>() == nullptr);
  // Short prompts don't wait for long ones.
  daemon.SendRequest("stream", 2'000);
  CHECK(daemon.FirstEffect<StartAttempt>() != nullptr);
  snapshot.waiting.clear();
  snapshot.sequence = 2;
  daemon.AdvanceTime(milliseconds(20));
  daemon.Feed(SnapshotReceived{snapshot});
  daemon.AdvanceTime(milliseconds(20));
  CHECK(daemon.FirstEffect<StartAttempt>() != nullptr);
}

TEST_CASE(
    "A prompt that would miss its deadline is refused, one that would "
    "miss only its objective waits") {
  Daemon daemon;
  LoadSnapshot snapshot = test::PeerSnapshot(1);
  // 80 engine-seconds of prefill come first: 24 s for four engines.
  snapshot.waiting = {{.id = 1,
                       .service = "llm",
                       .queue_key = kStart - seconds(9),
                       .prefill_time = seconds(80)}};
  daemon.Feed(SnapshotReceived{snapshot});
  daemon.SendRequest("stream", 100'000, seconds(15));
  const auto* refused = daemon.FirstEffect<Refuse>();
  REQUIRE(refused != nullptr);
  CHECK(refused->status == 503);
  CHECK(refused->retry_after > milliseconds(500));
  CHECK(refused->retry_after <= seconds(5));
  CHECK(daemon.FirstEffect<StartAttempt>() == nullptr);
  // With 20 engine-seconds ahead, the prompt would miss its objective of 3 s
  // but not its deadline.
  snapshot.sequence = 2;
  snapshot.waiting[0].prefill_time = seconds(20);
  daemon.Feed(SnapshotReceived{snapshot});
  daemon.SendRequest("stream", 100'000, seconds(15));
  CHECK(daemon.FirstEffect<Refuse>() == nullptr);
}

TEST_CASE(
    "Nothing is sent for a client that disconnected while its request waited") {
  Daemon daemon;
  LoadSnapshot snapshot = test::PeerSnapshot(1);
  snapshot.waiting = {{.id = 1,
                       .service = "llm",
                       .queue_key = kStart,
                       .prefill_time = milliseconds(500)}};
  daemon.Feed(SnapshotReceived{snapshot});
  const RequestKey key = daemon.SendRequest("stream", 100'000);
  REQUIRE(daemon.FirstEffect<StartAttempt>() == nullptr);
  daemon.Feed(ClientDisconnected{.key = key});
  snapshot.sequence = 2;
  snapshot.waiting.clear();
  daemon.Feed(SnapshotReceived{snapshot});
  CHECK(daemon.FirstEffect<StartAttempt>() == nullptr);
  daemon.AdvanceTime(seconds(3));
  CHECK(daemon.FirstEffect<StartAttempt>() == nullptr);
  CHECK(daemon.state().requests.empty());
}

// Guards against a request without an answer: it came on an open connection in
// the moment between the daemon's decision to exit and the process's end.
TEST_CASE("A request that comes as the daemon exits is refused") {
  Daemon daemon;
  daemon.Feed(StopRequested{});
  for (int i = 0; i < 14; ++i) {
    daemon.ConfirmStore();
    daemon.AdvanceTime(milliseconds(500));
  }
  REQUIRE(daemon.state().exited);
  daemon.ConfirmStore();
  daemon.SendRequest("once");
  CHECK(daemon.FirstEffect<StartAttempt>() == nullptr);
  REQUIRE(daemon.FirstEffect<Refuse>() != nullptr);
  CHECK(daemon.FirstEffect<Refuse>()->status == 503);
}

TEST_CASE(
    "Nothing is sent to a backend server once its expired entry is dropped") {
  Daemon daemon;
  const RequestKey key = daemon.SendRequest("stream", 2'000);
  REQUIRE(daemon.FirstEffect<StartAttempt>() != nullptr);
  const std::string first = daemon.FirstEffect<StartAttempt>()->instance;
  // The expired entries of all others are dropped when the first attempt counts
  // as lost.
  const Time lost_at =
      daemon.state().requests.at(key).current.progress_deadline;
  daemon.AdvanceTime(lost_at - milliseconds(1600) - daemon.now());
  for (int i = 0; i < 6; ++i) {
    const std::string id = "llm" + std::to_string(i);
    if (id != first) {
      daemon.Feed(BackendUnlisted{.id = id, .certain = false});
    }
  }
  std::string sent_late;
  daemon.Observe([&](const Effects& effects) {
    for (const Effect& it : effects) {
      const auto* sent = std::get_if<StartAttempt>(&it);
      if (sent == nullptr) continue;
      const bool listed = daemon.state().backends.contains(sent->instance);
      if (!listed) sent_late = sent->instance;
    }
  });
  daemon.AdvanceTime(seconds(3));
  INFO("sent to " << sent_late);
  CHECK(sent_late.empty());
}

TEST_CASE("A request ends at its route's timeout, and not before") {
  Daemon daemon;
  daemon.SendRequest("once", 0, seconds(100));
  const AttemptId attempt = daemon.FirstEffect<StartAttempt>()->attempt;
  for (int i = 0; i < 148; ++i) {
    daemon.AdvanceTime(milliseconds(100));
    daemon.ConfirmStore();
    CHECK(daemon.FirstEffect<Refuse>() == nullptr);
  }
  daemon.AdvanceTime(milliseconds(400));
  CHECK(daemon.state().requests.empty());
  daemon.Feed(
      AttemptAnswered{.attempt = attempt, .kind = AnswerKind::kSuccess});
  CHECK(daemon.FirstEffect<DeliverAnswer>() == nullptr);
}

TEST_CASE(
    "A stopping daemon accepts requests that can finish in time, then exits") {
  Daemon daemon;
  daemon.Feed(StopRequested{});
  CHECK_FALSE(IsServing(daemon.state()));
  daemon.SendRequest("safe");
  const AttemptId attempt = daemon.FirstEffect<StartAttempt>()->attempt;
  daemon.Feed(
      AttemptAnswered{.attempt = attempt, .kind = AnswerKind::kSuccess});
  CHECK(daemon.FirstEffect<DeliverAnswer>() != nullptr);
  daemon.AdvanceTime(milliseconds(2600));
  daemon.SendRequest("stream");
  const auto* refused = daemon.FirstEffect<Refuse>();
  REQUIRE(refused != nullptr);
  CHECK(refused->reason == Refusal::kStopping);
  daemon.AdvanceTime(seconds(5));
  CHECK(daemon.state().exited);
}

}  // namespace
}  // namespace scaleshed::serving
