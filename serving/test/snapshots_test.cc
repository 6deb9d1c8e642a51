// What daemons tell each other of themselves.

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "serving_harness.h"

namespace scaleshed::serving {
namespace {

using test::Daemon;
using test::PeerSnapshot;

std::set<std::uint64_t> ActiveRequestIds(const Daemon& daemon) {
  std::set<std::uint64_t> ids;
  const auto& member = daemon.state().members.at("2.2.2.2:2");
  for (const ActiveRequest& it : member.snapshot.active_requests)
    ids.insert(it.id);
  return ids;
}

std::vector<LoadSnapshot> PublishedSnapshots(const Effects& effects,
                                             bool incremental) {
  std::vector<LoadSnapshot> snapshots;
  for (const Effect& it : effects) {
    const auto* published = std::get_if<PublishSnapshot>(&it);
    if (published != nullptr &&
        published->snapshot.incremental == incremental) {
      snapshots.push_back(published->snapshot);
    }
  }
  return snapshots;
}

TEST_CASE("A change is told alone, at once") {
  Daemon daemon;
  daemon.Feed(SnapshotReceived{PeerSnapshot(1)});
  daemon.SendRequest("once");
  const auto started =
      PublishedSnapshots(daemon.effects(), /*incremental=*/true);
  REQUIRE(started.size() == 1);
  REQUIRE(started[0].active_requests.size() == 1);
  CHECK(started[0].finished_ids.empty());
  const std::uint64_t first = started[0].active_requests[0].id;
  daemon.SendRequest("once");
  const auto second =
      PublishedSnapshots(daemon.effects(), /*incremental=*/true);
  REQUIRE(second.size() == 1);
  REQUIRE(second[0].active_requests.size() == 1);
  CHECK(second[0].active_requests[0].id != first);
  daemon.Feed(ClientDisconnected{.key = first});
  const auto ended = PublishedSnapshots(daemon.effects(), /*incremental=*/true);
  REQUIRE(ended.size() == 1);
  CHECK(ended[0].active_requests.empty());
  CHECK(ended[0].finished_ids == std::vector<std::uint64_t>{first});
}

// Of 295 daemons with small links each told all others a hundred times a second
// that it still had a prompt waiting; requests and answers waited behind that.
TEST_CASE("That a prompt goes on waiting is not told at each look") {
  Daemon daemon;
  daemon.Feed(SnapshotReceived{PeerSnapshot(1)});
  // The engines are busy with a prompt of another daemon.
  LoadSnapshot busy = PeerSnapshot(2);
  for (std::uint64_t i = 0; i < 6; ++i) {
    busy.active_requests.push_back(
        {.id = i,
         .backend = HashBytes("llm" + std::to_string(i)),
         .prompt_tokens = 400'000,
         .answer_tokens = 500,
         .started_at = daemon.now()});
  }
  daemon.Feed(SnapshotReceived{busy});
  daemon.SendRequest("stream", 300'000);
  daemon.AdvanceTime(milliseconds(1000));
  REQUIRE(daemon.state().requests.size() == 1);
  CHECK(daemon.state().requests.begin()->second.phase == Phase::kWaiting);
  // Ten heartbeats, by which the others order theirs.
  CHECK(PublishedSnapshots(daemon.effects(), /*incremental=*/true).size() <=
        11);
}

// A daemon that was late by its own load sent on requests whose clients had
// given up before it came to them.
TEST_CASE("A prompt whose time is over is not sent when room is told late") {
  Daemon daemon;
  // Each engine has twice as many as it writes for at a time.
  LoadSnapshot busy = PeerSnapshot(1);
  for (std::uint64_t i = 0; i < 6 * 32; ++i) {
    busy.active_requests.push_back(
        {.id = i,
         .backend = HashBytes("llm" + std::to_string(i % 6)),
         .prompt_tokens = 2000,
         .answer_tokens = 500,
         .started_at = daemon.now(),
         .decoding = true});
  }
  daemon.Feed(SnapshotReceived{busy});
  daemon.SendRequest("stream", 2000, milliseconds(500));
  REQUIRE(daemon.state().requests.size() == 1);
  CHECK(daemon.state().requests.begin()->second.phase == Phase::kWaiting);
  // Nothing is looked at until its time is over.
  daemon.SetNow(daemon.now() + milliseconds(501));
  daemon.Feed(SnapshotReceived{PeerSnapshot(2)});
  CHECK(daemon.FirstEffect<StartAttempt>() == nullptr);
  const auto* refused = daemon.FirstEffect<Refuse>();
  REQUIRE(refused != nullptr);
  CHECK(refused->status == 503);
}

TEST_CASE("Each daemon gets whole snapshots in turn") {
  Daemon daemon;
  daemon.Feed(SnapshotReceived{PeerSnapshot(1)});
  daemon.SendRequest("once");
  daemon.AdvanceTime(milliseconds(1900));
  const auto full_snapshots =
      PublishedSnapshots(daemon.effects(), /*incremental=*/false);
  CHECK(full_snapshots.size() >= 2);
  for (const LoadSnapshot& it : full_snapshots)
    CHECK(it.active_requests.size() == 1);
}

TEST_CASE("Parts change what a whole snapshot told; the next whole one rules") {
  Daemon daemon;
  LoadSnapshot full = PeerSnapshot(1);
  full.data_centre = "z";
  full.active_requests = {{.id = 1}, {.id = 2}};
  daemon.Feed(SnapshotReceived{full});
  LoadSnapshot incremental = PeerSnapshot(2);
  incremental.instance.clear();
  incremental.incremental = true;
  incremental.active_requests = {{.id = 2, .decoding = true}, {.id = 3}};
  incremental.finished_ids = {1};
  daemon.Feed(SnapshotReceived{incremental});
  CHECK(ActiveRequestIds(daemon) == std::set<std::uint64_t>{2, 3});
  const LoadSnapshot& known = daemon.state().members.at("2.2.2.2:2").snapshot;
  CHECK(known.active_requests.size() == 2);
  CHECK(known.instance == "2.2.2.2:1");
  CHECK(known.data_centre == "z");
  // Of a lost part nothing stays wrong.
  full.sequence = 9;
  full.active_requests = {{.id = 7}};
  daemon.Feed(SnapshotReceived{full});
  CHECK(ActiveRequestIds(daemon) == std::set<std::uint64_t>{7});
  // Nor does a late one change anything.
  daemon.Feed(SnapshotReceived{incremental});
  CHECK(ActiveRequestIds(daemon) == std::set<std::uint64_t>{7});
}

TEST_CASE("A part of an unknown daemon or life says nothing") {
  Daemon daemon;
  LoadSnapshot incremental = PeerSnapshot(2);
  incremental.incremental = true;
  daemon.Feed(SnapshotReceived{incremental});
  CHECK(daemon.state().members.empty());
  daemon.Feed(SnapshotReceived{PeerSnapshot(1)});
  incremental.incarnation = 2;
  incremental.active_requests = {{.id = 5}};
  daemon.Feed(SnapshotReceived{incremental});
  CHECK(ActiveRequestIds(daemon).empty());
}

}  // namespace
}  // namespace scaleshed::serving
