#include "scaleshed/wire/datagram_codec.h"

#include "generated/peer.pb.h"

namespace scaleshed {
namespace {

void WriteWork(const serving::Work& work, Time now, wire::Work& to) {
  to.set_id(work.id);
  to.set_backend(work.backend);
  for (const auto it : work.helpers) to.add_helpers(it);
  to.set_prompt_tokens(work.prompt_tokens);
  to.set_answer_tokens(work.answer_tokens);
  to.set_age_us((now - work.started).count());
  to.set_writing(work.writing);
  to.set_longest_pause_us(work.longest_pause.count());
  for (const auto it : work.helper_tokens) to.add_helper_tokens(it);
}

serving::Work ReadWork(const wire::Work& from, Time now) {
  return {.id = from.id(),
          .backend = from.backend(),
          .helpers = {from.helpers().begin(), from.helpers().end()},
          .prompt_tokens = from.prompt_tokens(),
          .answer_tokens = from.answer_tokens(),
          .started = now - Duration(from.age_us()),
          .writing = from.writing(),
          .longest_pause = Duration(from.longest_pause_us()),
          .helper_tokens = {from.helper_tokens().begin(),
                            from.helper_tokens().end()}};
}

void WriteSnapshot(const serving::LoadSnapshot& snapshot, Time now,
                   wire::LoadSnapshot& to) {
  // The last whole one has told these.
  if (!snapshot.partial) {
    to.set_instance(snapshot.instance);
    to.set_data_centre(snapshot.data_centre);
  }
  to.set_peer_address(snapshot.peer_address);
  to.set_life(snapshot.life);
  to.set_sequence(snapshot.sequence);
  to.set_serving(snapshot.serving);
  to.set_revision(snapshot.revision);
  to.set_asks_store(snapshot.asks_store);
  to.set_partial(snapshot.partial);
  for (const auto it : snapshot.ended) to.add_ended(it);
  for (const auto& it : snapshot.works) WriteWork(it, now, *to.add_works());
  for (const auto& it : snapshot.waiting) {
    wire::Waiting& waiting = *to.add_waiting();
    waiting.set_id(it.id);
    waiting.set_service(it.service);
    waiting.set_turn_in_us((it.turn - now).count());
    waiting.set_read_us(it.read.count());
  }
  for (const auto& it : snapshot.suspicions) {
    wire::Suspicion& suspicion = *to.add_suspicions();
    suspicion.set_backend(it.backend);
    suspicion.set_left_us((it.until - now).count());
  }
}

serving::LoadSnapshot ReadSnapshot(const wire::LoadSnapshot& from, Time now) {
  serving::LoadSnapshot snapshot{
      .instance = from.instance(),
      .peer_address = from.peer_address(),
      .data_centre = from.data_centre(),
      .life = from.life(),
      .sequence = from.sequence(),
      .serving = from.serving(),
      .asks_store = from.asks_store(),
      .revision = from.revision(),
      .partial = from.partial(),
      .works = {},
      .ended = {from.ended().begin(), from.ended().end()},
      .waiting = {},
      .suspicions = {}};
  for (const auto& it : from.works()) {
    snapshot.works.push_back(ReadWork(it, now));
  }
  for (const auto& it : from.waiting()) {
    snapshot.waiting.push_back({.id = it.id(),
                                .service = it.service(),
                                .turn = now + Duration(it.turn_in_us()),
                                .read = Duration(it.read_us())});
  }
  for (const auto& it : from.suspicions()) {
    snapshot.suspicions.push_back(
        {.backend = it.backend(), .until = now + Duration(it.left_us())});
  }
  return snapshot;
}

void WriteChange(const serving::BackendChange& change,
                 wire::BackendChange& to) {
  to.set_id(change.id);
  to.set_revision(change.revision);
  to.set_certain(change.certain);
  if (!change.server) return;
  wire::BackendServer& server = *to.mutable_server();
  server.set_service(change.server->service);
  server.set_address(change.server->address);
  server.set_data_centre(change.server->data_centre);
  server.set_slots(change.server->slots);
  server.set_leaving(change.server->leaving);
}

serving::BackendChange ReadChange(const wire::BackendChange& from) {
  serving::BackendChange change{.id = from.id(),
                                .revision = from.revision(),
                                .server = {},
                                .certain = from.certain()};
  if (!from.has_server()) return change;
  change.server = {.id = from.id(),
                   .service = from.server().service(),
                   .address = from.server().address(),
                   .data_centre = from.server().data_centre(),
                   .slots = from.server().slots(),
                   .leaving = from.server().leaving(),
                   .revision = from.revision()};
  return change;
}

serving::StoreRelay ReadRelay(const wire::StoreRelay& from) {
  serving::StoreRelay relay{.peer_address = from.peer_address(),
                            .digest = {.configuration = from.configuration(),
                                       .backends = from.backends()},
                            .changes = {},
                            .complete_at = from.complete_at(),
                            .age = {},
                            .heard_life = from.heard_life(),
                            .heard_sequence = from.heard_sequence()};
  for (const auto& it : from.changes()) relay.changes.push_back(ReadChange(it));
  // An age below zero would make the proof younger than it is.
  if (from.has_age_us() && from.age_us() >= 0) {
    relay.age = Duration(from.age_us());
  }
  return relay;
}

}  // namespace

std::string EncodeDatagram(const serving::LoadSnapshot& snapshot, Time now) {
  wire::Datagram to;
  WriteSnapshot(snapshot, now, *to.mutable_snapshot());
  return to.SerializeAsString();
}

std::string EncodeDatagram(const serving::StoreRelay& relay) {
  wire::Datagram datagram;
  wire::StoreRelay& to = *datagram.mutable_relay();
  to.set_peer_address(relay.peer_address);
  to.set_configuration(relay.digest.configuration);
  to.set_backends(relay.digest.backends);
  for (const auto& it : relay.changes) WriteChange(it, *to.add_changes());
  if (relay.age) to.set_age_us(relay.age->count());
  to.set_complete_at(relay.complete_at);
  to.set_heard_life(relay.heard_life);
  to.set_heard_sequence(relay.heard_sequence);
  return datagram.SerializeAsString();
}

std::optional<serving::EventBody> DecodeDatagram(const std::string& bytes,
                                                 Time now) {
  wire::Datagram from;
  if (!from.ParseFromString(bytes)) return std::nullopt;
  if (from.has_snapshot() && !from.snapshot().peer_address().empty()) {
    return serving::SnapshotReceived{ReadSnapshot(from.snapshot(), now)};
  }
  if (from.has_relay() && !from.relay().peer_address().empty()) {
    return serving::StoreRelayReceived{ReadRelay(from.relay())};
  }
  return std::nullopt;
}

}  // namespace scaleshed
