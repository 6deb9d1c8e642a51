// Datagrams between daemons, there and back.

#include "scaleshed/wire/datagram_codec.h"

#include <catch2/catch.hpp>
#include <string>

namespace scaleshed {
namespace {

const Time kNow{seconds(500)};

template <typename T>
T Back(const std::string& bytes, Time now = kNow) {
  const auto body = DecodeDatagram(bytes, now);
  REQUIRE(body.has_value());
  const T* found = std::get_if<T>(&*body);
  REQUIRE(found != nullptr);
  return *found;
}

TEST_CASE("A relay comes back as it was") {
  serving::StoreRelay relay{
      .peer_address = "1.1.1.1:2",
      .digest = {.configuration = 7, .backends = 0xfedc'ba98'7654'3210},
      .changes = {{.id = "a",
                   .revision = 8,
                   .server = serving::BackendServer{.id = "a",
                                                    .service = "s",
                                                    .address = "2.2.2.2:3",
                                                    .data_centre = "z",
                                                    .slots = 6,
                                                    .leaving = true,
                                                    .revision = 8}},
                  {.id = "b", .revision = 9, .server = {}, .certain = false}},
      .complete_at = 10,
      .age = milliseconds(3),
      .heard_life = 11,
      .heard_sequence = 12};
  const auto back =
      Back<serving::StoreRelayReceived>(EncodeDatagram(relay)).relay;
  CHECK(back.peer_address == relay.peer_address);
  CHECK(back.digest == relay.digest);
  CHECK(back.complete_at == 10);
  CHECK(back.age == relay.age);
  CHECK(back.heard_life == 11);
  CHECK(back.heard_sequence == 12);
  REQUIRE(back.changes.size() == 2);
  REQUIRE(back.changes[0].server.has_value());
  CHECK(back.changes[0].server->id == "a");
  CHECK(back.changes[0].server->address == "2.2.2.2:3");
  CHECK(back.changes[0].server->leaving);
  CHECK(back.changes[0].server->revision == 8);
  CHECK_FALSE(back.changes[1].server.has_value());
  CHECK_FALSE(back.changes[1].certain);
  relay.age.reset();
  CHECK_FALSE(Back<serving::StoreRelayReceived>(EncodeDatagram(relay))
                  .relay.age.has_value());
}

TEST_CASE("An age below zero proves nothing") {
  serving::StoreRelay relay{.peer_address = "1.1.1.1:2"};
  relay.age = milliseconds(-5);
  CHECK_FALSE(Back<serving::StoreRelayReceived>(EncodeDatagram(relay))
                  .relay.age.has_value());
}

TEST_CASE("A snapshot's times are told by how long ago they were") {
  serving::LoadSnapshot snapshot{.instance = "1.1.1.1:1",
                                 .peer_address = "1.1.1.1:2",
                                 .data_centre = "z",
                                 .life = 3,
                                 .sequence = 4,
                                 .asks_store = true};
  snapshot.works = {{.id = 5, .started = kNow - seconds(1)}};
  snapshot.ended = {6};
  const Time elsewhere{seconds(9000)};
  auto back =
      Back<serving::SnapshotReceived>(EncodeDatagram(snapshot, kNow), elsewhere)
          .snapshot;
  REQUIRE(back.works.size() == 1);
  CHECK(back.works[0].started == elsewhere - seconds(1));
  CHECK(back.instance == "1.1.1.1:1");
  CHECK(back.asks_store);
  CHECK_FALSE(back.partial);
  snapshot.partial = true;
  back =
      Back<serving::SnapshotReceived>(EncodeDatagram(snapshot, kNow), elsewhere)
          .snapshot;
  CHECK(back.partial);
  CHECK(back.ended == snapshot.ended);
  CHECK(back.instance.empty());
}

TEST_CASE("Other bytes are no datagram") {
  CHECK_FALSE(DecodeDatagram("", kNow).has_value());
  CHECK_FALSE(DecodeDatagram("\x0a\x05hello", kNow).has_value());
  CHECK_FALSE(DecodeDatagram(std::string(1000, '\xff'), kNow).has_value());
}

}  // namespace
}  // namespace scaleshed
