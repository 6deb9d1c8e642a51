#include "scaleshed/wire/datagram_codec.h"

#include <algorithm>
#include <cmath>
#include <utility>

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
  to.set_content(work.content);
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
                            from.helper_tokens().end()},
          .content = from.content()};
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
  to.set_version(snapshot.configuration.version);
  to.set_revision(snapshot.configuration.revision.number);
  to.set_configuration_era(snapshot.configuration.revision.era);
  to.set_era(snapshot.era);
  to.set_unsettled_us(snapshot.unsettled_for.count());
  to.set_asks_store(snapshot.asks_store);
  to.set_partial(snapshot.partial);
  to.set_is_hub(snapshot.is_hub);
  to.set_places(snapshot.places);
  if (!snapshot.partial) to.set_capacity(snapshot.capacity);
  for (const auto it : snapshot.ended) to.add_ended(it);
  for (const auto& it : snapshot.works) WriteWork(it, now, *to.add_works());
  for (const auto& it : snapshot.waiting) {
    wire::Waiting& waiting = *to.add_waiting();
    waiting.set_id(it.id);
    waiting.set_service(it.service);
    waiting.set_turn_in_us((it.turn - now).count());
    waiting.set_read_us(it.read.count());
    waiting.set_for_start(it.for_start);
  }
  for (const auto& it : snapshot.suspicions) {
    wire::Suspicion& suspicion = *to.add_suspicions();
    suspicion.set_backend(it.backend);
    suspicion.set_left_us((it.until - now).count());
    suspicion.set_failed(it.failed);
  }
  for (const auto& it : snapshot.endings) {
    wire::Ending& ending = *to.add_endings();
    ending.set_content(it.content);
    ending.set_life(it.life);
    ending.set_forgiven(it.forgiven);
  }
  for (const auto it : snapshot.asked) to.add_asked(it);
  for (const auto& it : snapshot.limits) {
    wire::ServerLimit& limit = *to.add_limits();
    limit.set_backend(it.backend);
    if (it.per_second) limit.set_per_second(*it.per_second);
    limit.set_age_us((now - it.heard).count());
  }
  for (const auto it : snapshot.leaving) to.add_leaving(it);
}

// Nothing where its rate is none.
std::optional<serving::ServerLimit> ReadLimit(const wire::ServerLimit& from,
                                              Time now) {
  serving::ServerLimit limit{
      .backend = from.backend(),
      .per_second = {},
      // An age below zero would make it newer than what is named next.
      .heard = now - Duration(std::max<std::int64_t>(from.age_us(), 0))};
  if (!from.has_per_second()) return limit;
  limit.per_second = from.per_second();
  const bool is_rate =
      std::isfinite(from.per_second()) && from.per_second() >= 0;
  return is_rate ? std::optional(limit) : std::nullopt;
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
      .is_hub = from.is_hub(),
      .places = from.places(),
      .capacity = from.capacity(),
      .configuration = {.version = from.version(),
                        .revision = {.era = from.configuration_era(),
                                     .number = from.revision()}},
      .era = from.era(),
      .unsettled_for = Duration(std::max<std::int64_t>(from.unsettled_us(), 0)),
      .partial = from.partial(),
      .works = {},
      .ended = {from.ended().begin(), from.ended().end()},
      .waiting = {},
      .suspicions = {},
      .endings = {},
      .limits = {},
      .leaving = {from.leaving().begin(), from.leaving().end()},
      .asked = {from.asked().begin(), from.asked().end()}};
  for (const auto& it : from.works()) {
    snapshot.works.push_back(ReadWork(it, now));
  }
  for (const auto& it : from.waiting()) {
    snapshot.waiting.push_back({.id = it.id(),
                                .service = it.service(),
                                .turn = now + Duration(it.turn_in_us()),
                                .read = Duration(it.read_us()),
                                .for_start = it.for_start()});
  }
  for (const auto& it : from.suspicions()) {
    snapshot.suspicions.push_back({.backend = it.backend(),
                                   .until = now + Duration(it.left_us()),
                                   .failed = it.failed()});
  }
  for (const auto& it : from.endings()) {
    snapshot.endings.push_back({.content = it.content(),
                                .life = it.life(),
                                .forgiven = it.forgiven()});
  }
  for (const auto& it : from.limits()) {
    const auto limit = ReadLimit(it, now);
    if (limit) snapshot.limits.push_back(*limit);
  }
  return snapshot;
}

void WriteChange(const serving::BackendChange& change,
                 wire::BackendChange& to) {
  to.set_id(change.id);
  to.set_revision(change.revision.number);
  to.set_era(change.revision.era);
  to.set_certain(change.certain);
  if (!change.server) return;
  wire::BackendServer& server = *to.mutable_server();
  server.set_service(change.server->service);
  server.set_address(change.server->address);
  server.set_data_centre(change.server->data_centre);
  server.set_slots(change.server->slots);
  server.set_leaving(change.server->leaving);
  server.set_born(change.server->born);
  server.set_fault(change.server->fault);
}

serving::BackendChange ReadChange(const wire::BackendChange& from) {
  serving::BackendChange change{
      .id = from.id(),
      .revision = {.era = from.era(), .number = from.revision()},
      .server = {},
      .certain = from.certain()};
  if (!from.has_server()) return change;
  change.server = {.id = from.id(),
                   .service = from.server().service(),
                   .address = from.server().address(),
                   .data_centre = from.server().data_centre(),
                   .slots = from.server().slots(),
                   .leaving = from.server().leaving(),
                   .revision = change.revision,
                   .born = from.server().born(),
                   .fault = from.server().fault()};
  return change;
}

serving::StoreRelay ReadRelay(const wire::StoreRelay& from) {
  serving::StoreRelay relay{
      .peer_address = from.peer_address(),
      .era = from.era(),
      .digest = {.configuration = {.version = from.version(),
                                   .revision = {.era = from.configuration_era(),
                                                .number =
                                                    from.configuration()}},
                 .backends = from.backends(),
                 .endings = from.endings_digest()},
      .changes = {},
      .endings = {},
      .complete_at = {.era = from.complete_era(), .number = from.complete_at()},
      .age = {},
      .configuration_age = {},
      .daemons = 0,
      .daemons_age = {},
      .heard_life = from.heard_life(),
      .heard_sequence = from.heard_sequence()};
  for (const auto& it : from.changes()) relay.changes.push_back(ReadChange(it));
  for (const auto& it : from.endings()) {
    relay.endings.push_back(
        {.content = it.content(),
         .lives = {it.lives().begin(), it.lives().end()},
         .revision = {.era = it.era(), .number = it.revision()}});
  }
  // An age below zero would make the proof younger than it is.
  if (from.has_age_us() && from.age_us() >= 0) {
    relay.age = Duration(from.age_us());
  }
  if (from.has_configuration_age_us() && from.configuration_age_us() >= 0) {
    relay.configuration_age = Duration(from.configuration_age_us());
  }
  if (from.has_daemons_age_us() && from.daemons_age_us() >= 0) {
    relay.daemons = from.daemons();
    relay.daemons_age = Duration(from.daemons_age_us());
  }
  return relay;
}

serving::PlaceQuestion ReadQuestion(const wire::PlaceQuestion& from, Time now) {
  return {.peer_address = from.peer_address(),
          .life = from.life(),
          .id = from.id(),
          .round = from.round(),
          .over = from.over(),
          .request = from.request(),
          .service = from.service(),
          .prompt_tokens = from.prompt_tokens(),
          .answer_tokens = from.answer_tokens(),
          .arrived = now - Duration(from.age_us()),
          .due = now + Duration(from.due_in_us()),
          .deadline = now + Duration(from.deadline_in_us()),
          .longest_pause = Duration(from.longest_pause_us()),
          .tried = {from.tried().begin(), from.tried().end()},
          .resting = {from.resting().begin(), from.resting().end()},
          .content = from.content(),
          .doubtful = from.doubtful()};
}

// Nothing where it names what this version does not know.
std::optional<serving::PlaceAnswer> ReadAnswer(const wire::PlaceAnswer& from) {
  const auto outcome = static_cast<std::size_t>(from.outcome());
  const auto shortage = static_cast<std::size_t>(from.shortage());
  if (outcome >= serving::kPlaceOutcomeNames.size() ||
      shortage >= serving::kShortageNames.size()) {
    return std::nullopt;
  }
  return serving::PlaceAnswer{
      .peer_address = from.peer_address(),
      .life = from.life(),
      .id = from.id(),
      .round = from.round(),
      .outcome = static_cast<serving::PlaceOutcome>(outcome),
      .placed = {.backend = from.backend(),
                 .helpers = {from.helpers().begin(), from.helpers().end()},
                 .helper_tokens = {from.helper_tokens().begin(),
                                   from.helper_tokens().end()},
                 .first_token = Duration(from.first_token_us())},
      .counted = {from.counted().begin(), from.counted().end()},
      .shortage = static_cast<serving::Shortage>(shortage),
      .retry_after = Duration(from.retry_after_us())};
}

}  // namespace

std::string EncodeDatagram(const serving::PlaceQuestion& question, Time now) {
  wire::Datagram datagram;
  wire::PlaceQuestion& to = *datagram.mutable_question();
  to.set_peer_address(question.peer_address);
  to.set_life(question.life);
  to.set_id(question.id);
  to.set_round(question.round);
  to.set_over(question.over);
  to.set_request(question.request);
  to.set_service(question.service);
  to.set_prompt_tokens(question.prompt_tokens);
  to.set_answer_tokens(question.answer_tokens);
  to.set_age_us((now - question.arrived).count());
  to.set_due_in_us((question.due - now).count());
  to.set_deadline_in_us((question.deadline - now).count());
  to.set_longest_pause_us(question.longest_pause.count());
  for (const auto it : question.tried) to.add_tried(it);
  for (const auto it : question.resting) to.add_resting(it);
  to.set_content(question.content);
  to.set_doubtful(question.doubtful);
  return datagram.SerializeAsString();
}

std::string EncodeDatagram(const serving::PlaceAnswer& answer) {
  wire::Datagram datagram;
  wire::PlaceAnswer& to = *datagram.mutable_answer();
  to.set_peer_address(answer.peer_address);
  to.set_life(answer.life);
  to.set_id(answer.id);
  to.set_round(answer.round);
  to.set_outcome(static_cast<int>(answer.outcome));
  to.set_shortage(static_cast<int>(answer.shortage));
  to.set_retry_after_us(answer.retry_after.count());
  to.set_backend(answer.placed.backend);
  for (const auto it : answer.placed.helpers) to.add_helpers(it);
  for (const auto it : answer.placed.helper_tokens) to.add_helper_tokens(it);
  to.set_first_token_us(answer.placed.first_token.count());
  for (const auto it : answer.counted) to.add_counted(it);
  return datagram.SerializeAsString();
}

std::string EncodeDatagram(const serving::LoadSnapshot& snapshot, Time now) {
  wire::Datagram to;
  WriteSnapshot(snapshot, now, *to.mutable_snapshot());
  return to.SerializeAsString();
}

std::string EncodeDatagram(const serving::StoreRelay& relay) {
  wire::Datagram datagram;
  wire::StoreRelay& to = *datagram.mutable_relay();
  to.set_peer_address(relay.peer_address);
  to.set_era(relay.era);
  to.set_version(relay.digest.configuration.version);
  to.set_configuration(relay.digest.configuration.revision.number);
  to.set_configuration_era(relay.digest.configuration.revision.era);
  to.set_backends(relay.digest.backends);
  for (const auto& it : relay.changes) WriteChange(it, *to.add_changes());
  to.set_endings_digest(relay.digest.endings);
  for (const auto& it : relay.endings) {
    wire::StoredEndings& endings = *to.add_endings();
    endings.set_content(it.content);
    for (const auto life : it.lives) endings.add_lives(life);
    endings.set_revision(it.revision.number);
    endings.set_era(it.revision.era);
  }
  if (relay.age) to.set_age_us(relay.age->count());
  if (relay.configuration_age) {
    to.set_configuration_age_us(relay.configuration_age->count());
  }
  if (relay.daemons_age) {
    to.set_daemons(relay.daemons);
    to.set_daemons_age_us(relay.daemons_age->count());
  }
  to.set_complete_at(relay.complete_at.number);
  to.set_complete_era(relay.complete_at.era);
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
  if (from.has_question() && !from.question().peer_address().empty()) {
    return serving::PlaceQuestionReceived{ReadQuestion(from.question(), now)};
  }
  if (from.has_answer() && !from.answer().peer_address().empty()) {
    auto answer = ReadAnswer(from.answer());
    if (answer) return serving::PlaceAnswerReceived{std::move(*answer)};
  }
  return std::nullopt;
}

}  // namespace scaleshed
