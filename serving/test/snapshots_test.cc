// Tests of the snapshots that daemons publish to each other.

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

TEST_CASE("Each change is published alone and at once") {
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

// Guards against a snapshot at each re-evaluation of a waiting prompt: 295
// daemons with slow links sent one to all others a hundred times a second,
// which delayed requests and responses.
TEST_CASE("A waiting prompt doesn't cause a snapshot at each re-evaluation") {
  Daemon daemon;
  daemon.Feed(SnapshotReceived{PeerSnapshot(1)});
  // All engines are busy with prompts of another daemon.
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
  // Ten heartbeats, by which the other daemons order their waiting requests,
  // and one snapshot of the change.
  CHECK(PublishedSnapshots(daemon.effects(), /*incremental=*/true).size() <=
        11);
}

// Guards against sending requests whose clients have given up, as a daemon did
// that was behind because of its own load.
TEST_CASE("A prompt is not sent when capacity shows up after its deadline") {
  Daemon daemon;
  // Each engine has twice as many decoding requests as it has slots.
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
  // The daemon processes no event until the deadline has passed.
  daemon.SetNow(daemon.now() + milliseconds(501));
  daemon.Feed(SnapshotReceived{PeerSnapshot(2)});
  CHECK(daemon.FirstEffect<StartAttempt>() == nullptr);
  const auto* refused = daemon.FirstEffect<Refuse>();
  REQUIRE(refused != nullptr);
  CHECK(refused->status == 503);
}

TEST_CASE("Each daemon gets full snapshots at an interval") {
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

TEST_CASE("The next full snapshot replaces what incremental ones changed") {
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
  // The next full snapshot also corrects what a lost incremental one left out.
  full.sequence = 9;
  full.active_requests = {{.id = 7}};
  daemon.Feed(SnapshotReceived{full});
  CHECK(ActiveRequestIds(daemon) == std::set<std::uint64_t>{7});
  // An incremental snapshot that comes late changes nothing.
  daemon.Feed(SnapshotReceived{incremental});
  CHECK(ActiveRequestIds(daemon) == std::set<std::uint64_t>{7});
}

TEST_CASE("An incremental snapshot of an unknown incarnation is ignored") {
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
