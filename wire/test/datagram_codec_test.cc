// Datagrams between daemons, there and back.

#include "scaleshed/wire/datagram_codec.h"

#include <catch2/catch.hpp>
#include <cmath>
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
      .era = 2,
      .digest = {.configuration = {.version = 6,
                                   .revision = {.era = 1, .number = 7}},
                 .backends = 0xfedc'ba98'7654'3210,
                 .endings = 13},
      .changes = {{.id = "a",
                   .revision = {.era = 2, .number = 8},
                   .server = serving::BackendServer{.id = "a",
                                                    .service = "s",
                                                    .address = "2.2.2.2:3",
                                                    .data_centre = "z",
                                                    .slots = 6,
                                                    .leaving = true,
                                                    .revision = {.number = 8}}},
                  {.id = "b",
                   .revision = {.number = 9},
                   .server = {},
                   .certain = false}},
      .endings = {{.content = 14,
                   .lives = {15, 16},
                   .revision = {.era = 2, .number = 17}},
                  {.content = 18, .lives = {}, .revision = {.number = 19}}},
      .complete_at = {.era = 2, .number = 10},
      .age = milliseconds(3),
      .configuration_age = milliseconds(4),
      .daemons = 75,
      .daemons_age = seconds(4),
      .heard_life = 11,
      .heard_sequence = 12};
  const auto back =
      Back<serving::StoreRelayReceived>(EncodeDatagram(relay)).relay;
  CHECK(back.peer_address == relay.peer_address);
  CHECK(back.digest == relay.digest);
  CHECK(back.endings == relay.endings);
  CHECK(back.complete_at == relay.complete_at);
  CHECK(back.era == 2);
  CHECK(back.age == relay.age);
  CHECK(back.configuration_age == relay.configuration_age);
  CHECK(back.daemons == 75);
  CHECK(back.daemons_age == relay.daemons_age);
  CHECK(back.heard_life == 11);
  CHECK(back.heard_sequence == 12);
  REQUIRE(back.changes.size() == 2);
  REQUIRE(back.changes[0].server.has_value());
  CHECK(back.changes[0].server->id == "a");
  CHECK(back.changes[0].server->address == "2.2.2.2:3");
  CHECK(back.changes[0].server->leaving);
  CHECK(back.changes[0].revision == relay.changes[0].revision);
  CHECK(back.changes[0].server->revision == relay.changes[0].revision);
  CHECK_FALSE(back.changes[1].server.has_value());
  CHECK_FALSE(back.changes[1].certain);
  relay.age.reset();
  CHECK_FALSE(Back<serving::StoreRelayReceived>(EncodeDatagram(relay))
                  .relay.age.has_value());
}

TEST_CASE("An age below zero proves nothing") {
  serving::StoreRelay relay{.peer_address = "1.1.1.1:2"};
  relay.age = milliseconds(-5);
  relay.daemons_age = milliseconds(-5);
  CHECK_FALSE(Back<serving::StoreRelayReceived>(EncodeDatagram(relay))
                  .relay.daemons_age.has_value());
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
  snapshot.works = {{.id = 5, .started = kNow - seconds(1), .content = 7}};
  snapshot.ended = {6};
  snapshot.endings = {{.content = 7, .life = 8},
                      {.content = 9, .life = 8, .forgiven = true}};
  snapshot.asked = {7, 9};
  snapshot.limits = {
      {.backend = 8, .per_second = 2.7, .heard = kNow - seconds(2)},
      {.backend = 9, .per_second = {}, .heard = kNow}};
  snapshot.leaving = {10, 11};
  snapshot.waiting = {
      {.id = 3, .service = "s", .turn = kNow, .for_start = true}};
  const Time elsewhere{seconds(9000)};
  auto back =
      Back<serving::SnapshotReceived>(EncodeDatagram(snapshot, kNow), elsewhere)
          .snapshot;
  REQUIRE(back.works.size() == 1);
  CHECK(back.works[0].content == 7);
  CHECK(back.works[0].started == elsewhere - seconds(1));
  CHECK(back.instance == "1.1.1.1:1");
  CHECK(back.asks_store);
  CHECK_FALSE(back.partial);
  CHECK(back.leaving == snapshot.leaving);
  REQUIRE(back.limits.size() == 2);
  CHECK(back.limits[0].per_second == 2.7);
  CHECK(back.limits[0].heard == elsewhere - seconds(2));
  CHECK_FALSE(back.limits[1].per_second);
  REQUIRE(back.waiting.size() == 1);
  CHECK(back.waiting[0].for_start);
  snapshot.partial = true;
  back =
      Back<serving::SnapshotReceived>(EncodeDatagram(snapshot, kNow), elsewhere)
          .snapshot;
  CHECK(back.partial);
  CHECK(back.ended == snapshot.ended);
  CHECK(back.endings == snapshot.endings);
  CHECK(back.asked == snapshot.asked);
  CHECK(back.instance.empty());
}

TEST_CASE("A limit that is no rate, or from later than now, is not taken") {
  serving::LoadSnapshot snapshot{.peer_address = "1.1.1.1:2"};
  snapshot.limits = {
      {.backend = 1, .per_second = -1, .heard = kNow},
      {.backend = 2, .per_second = std::nan(""), .heard = kNow},
      {.backend = 3, .per_second = 2, .heard = kNow + seconds(9)}};
  const auto back =
      Back<serving::SnapshotReceived>(EncodeDatagram(snapshot, kNow)).snapshot;
  REQUIRE(back.limits.size() == 1);
  CHECK(back.limits[0].backend == 3);
  CHECK(back.limits[0].heard == kNow);
}

TEST_CASE("Other bytes are no datagram") {
  CHECK_FALSE(DecodeDatagram("", kNow).has_value());
  CHECK_FALSE(DecodeDatagram("\x0a\x05hello", kNow).has_value());
  CHECK_FALSE(DecodeDatagram(std::string(1000, '\xff'), kNow).has_value());
}

TEST_CASE("A question for a place and its answer come back as they were") {
  const serving::PlaceQuestion question{.peer_address = "1.1.1.1:2",
                                        .life = 3,
                                        .id = 4,
                                        .round = 5,
                                        .over = true,
                                        .request = "r\xff",
                                        .service = "llm",
                                        .prompt_tokens = 6,
                                        .answer_tokens = 7,
                                        .arrived = kNow - milliseconds(8),
                                        .due = kNow - milliseconds(1),
                                        .deadline = kNow + milliseconds(9),
                                        .longest_pause = milliseconds(10),
                                        .tried = {11, 12},
                                        .resting = {14, 15},
                                        .content = 13,
                                        .doubtful = true};
  // Times stand as far from now on the other daemon's clock.
  const Time there = kNow + seconds(100);
  const auto asked = Back<serving::PlaceQuestionReceived>(
                         EncodeDatagram(question, kNow), there)
                         .question;
  CHECK(asked.peer_address == "1.1.1.1:2");
  CHECK(asked.life == 3);
  CHECK(asked.id == 4);
  CHECK(asked.round == 5);
  CHECK(asked.over);
  CHECK(asked.request == question.request);
  CHECK(asked.service == "llm");
  CHECK(asked.resting == question.resting);
  CHECK(asked.prompt_tokens == 6);
  CHECK(asked.answer_tokens == 7);
  CHECK(asked.arrived == there - milliseconds(8));
  CHECK(asked.due == there - milliseconds(1));
  CHECK(asked.deadline == there + milliseconds(9));
  CHECK(asked.longest_pause == milliseconds(10));
  CHECK(asked.tried == question.tried);
  CHECK(asked.content == 13);
  CHECK(asked.doubtful);

  const serving::PlaceAnswer answer{.peer_address = "2.2.2.2:2",
                                    .life = 3,
                                    .id = 4,
                                    .round = 5,
                                    .outcome = serving::PlaceOutcome::kRefused,
                                    .placed = {.backend = 6,
                                               .helpers = {7, 8},
                                               .helper_tokens = {0, 9},
                                               .first_token = milliseconds(10)},
                                    .counted = {6, 8},
                                    .shortage = serving::Shortage::kTickets,
                                    .retry_after = milliseconds(11)};
  const auto back =
      Back<serving::PlaceAnswerReceived>(EncodeDatagram(answer)).answer;
  CHECK(back.peer_address == "2.2.2.2:2");
  CHECK(back.life == 3);
  CHECK(back.id == 4);
  CHECK(back.round == 5);
  CHECK(back.outcome == serving::PlaceOutcome::kRefused);
  CHECK(back.placed.backend == 6);
  CHECK(back.placed.helpers == answer.placed.helpers);
  CHECK(back.placed.helper_tokens == answer.placed.helper_tokens);
  CHECK(back.placed.first_token == milliseconds(10));
  CHECK(back.shortage == serving::Shortage::kTickets);
  CHECK(back.retry_after == milliseconds(11));
  CHECK(back.counted == answer.counted);
}

}  // namespace
}  // namespace scaleshed
