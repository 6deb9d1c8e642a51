#include "scaleshed/wire/datagram_codec.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <string>
#include <utility>

#include "generated/peer.pb.h"

namespace scaleshed {
namespace {

void WriteWork(const serving::ActiveRequest& work, Time now, wire::Work& to) {
  to.set_id(work.id);
  to.set_backend(work.backend);
  for (const auto it : work.helpers) to.add_helpers(it);
  to.set_prompt_tokens(work.prompt_tokens);
  to.set_answer_tokens(work.answer_tokens);
  to.set_age_us((now - work.started_at).count());
  to.set_writing(work.decoding);
  to.set_longest_pause_us(work.max_event_gap.count());
  for (const auto it : work.helper_tokens) to.add_helper_tokens(it);
  to.set_content(work.fingerprint);
  for (const auto it : work.suspected_parts) to.add_suspected_parts(it);
}

serving::ActiveRequest ReadWork(const wire::Work& from, Time now) {
  return {.id = from.id(),
          .backend = from.backend(),
          .helpers = {from.helpers().begin(), from.helpers().end()},
          .prompt_tokens = from.prompt_tokens(),
          .answer_tokens = from.answer_tokens(),
          .started_at = now - Duration(from.age_us()),
          .decoding = from.writing(),
          .max_event_gap = Duration(from.longest_pause_us()),
          .helper_tokens = {from.helper_tokens().begin(),
                            from.helper_tokens().end()},
          .fingerprint = from.content(),
          .suspected_parts = {from.suspected_parts().begin(),
                              from.suspected_parts().end()}};
}

// Crashes of requests and of prompt parts have lists of their own: an earlier
// version would take a part's fingerprint for a request's.
wire::Ending& AddEnding(serving::SuspectKind kind, wire::LoadSnapshot& to) {
  return kind == serving::SuspectKind::kPart ? *to.add_part_endings()
                                             : *to.add_endings();
}

wire::StoredEndings& AddEndings(serving::SuspectKind kind,
                                wire::StoreRelay& to) {
  return kind == serving::SuspectKind::kPart ? *to.add_part_endings()
                                             : *to.add_endings();
}

serving::Crash ReadEnding(const wire::Ending& from, serving::SuspectKind kind,
                          Time now) {
  const Duration age(std::max<std::int64_t>(from.age_us(), 0));
  return {.fingerprint = from.content(),
          .incarnation = from.life(),
          .cleared = from.forgiven(),
          .kind = kind,
          .under_suspicion = from.under_suspicion(),
          .incident = from.incident(),
          .among_others = from.among_others(),
          .interrupted_at = from.has_age_us() ? now - age : Time{}};
}

serving::StoredCrashes ReadEndings(const wire::StoredEndings& from,
                                   serving::SuspectKind kind) {
  return {
      .fingerprint = from.content(),
      .incarnations = {from.lives().begin(), from.lives().end()},
      .kind = kind,
      .under_suspicion = {from.under_suspicion().begin(),
                          from.under_suspicion().end()},
      .incidents = {from.incidents().begin(), from.incidents().end()},
      .among_others = {from.among_others().begin(), from.among_others().end()},
      .revision = {.epoch = from.era(), .number = from.revision()}};
}

void WriteEvacuation(const serving::StoredEvacuation& from,
                     wire::Evacuation& to) {
  to.set_data_centre(from.data_centre);
  to.set_in_force(from.in_force);
  to.set_revision(from.revision.number);
  to.set_era(from.revision.epoch);
  to.set_age_us(from.age.count());
}

serving::StoredEvacuation ReadEvacuation(const wire::Evacuation& from) {
  return {.data_centre = from.data_centre(),
          .in_force = from.in_force(),
          .revision = {.epoch = from.era(), .number = from.revision()},
          // An age below zero would make servers count as cold for longer.
          .age = Duration(std::max<std::int64_t>(from.age_us(), 0))};
}

void WriteSnapshot(const serving::LoadSnapshot& snapshot, Time now,
                   wire::LoadSnapshot& to) {
  // The last whole one has told these.
  if (!snapshot.incremental) {
    to.set_instance(snapshot.instance);
    to.set_data_centre(snapshot.data_centre);
  }
  to.set_peer_address(snapshot.peer_address);
  to.set_life(snapshot.incarnation);
  to.set_sequence(snapshot.sequence);
  to.set_serving(snapshot.serving);
  to.set_version(snapshot.configuration.version);
  to.set_revision(snapshot.configuration.revision.number);
  to.set_configuration_era(snapshot.configuration.revision.epoch);
  to.set_era(snapshot.epoch);
  to.set_unsettled_us(snapshot.reconciling_for.count());
  to.set_asks_store(snapshot.polls_store);
  to.set_partial(snapshot.incremental);
  to.set_is_hub(snapshot.is_hub);
  to.set_places(snapshot.places);
  to.set_relays(snapshot.relays);
  to.set_withdrawn(snapshot.withdrawn);
  to.set_grants_warm_ups(snapshot.grants_warm_ups);
  if (!snapshot.incremental) to.set_capacity(snapshot.capacity);
  for (const auto it : snapshot.finished_ids) to.add_ended(it);
  for (const auto& it : snapshot.active_requests)
    WriteWork(it, now, *to.add_works());
  for (const auto& it : snapshot.waiting) {
    wire::Waiting& waiting = *to.add_waiting();
    waiting.set_id(it.id);
    waiting.set_service(it.service);
    waiting.set_turn_in_us((it.queue_key - now).count());
    waiting.set_read_us(it.prefill_time.count());
    waiting.set_for_start(it.awaits_rate_limit);
  }
  for (const auto& it : snapshot.suspicions) {
    wire::Suspicion& suspicion = *to.add_suspicions();
    suspicion.set_backend(it.backend);
    suspicion.set_left_us((it.until - now).count());
    suspicion.set_failed(it.failed);
  }
  for (const auto& it : snapshot.crashes) {
    wire::Ending& ending = AddEnding(it.kind, to);
    ending.set_content(it.fingerprint);
    ending.set_life(it.incarnation);
    ending.set_forgiven(it.cleared);
    ending.set_under_suspicion(it.under_suspicion);
    ending.set_incident(it.incident);
    ending.set_among_others(it.among_others);
    if (it.interrupted_at != Time{})
      ending.set_age_us((now - it.interrupted_at).count());
  }
  for (const auto it : snapshot.crash_checks) to.add_asked(it);
  for (const auto it : snapshot.part_checks) to.add_asked_parts(it);
  for (const auto& it : snapshot.limits) {
    wire::ServerLimit& limit = *to.add_limits();
    limit.set_backend(it.backend);
    if (it.per_second) limit.set_per_second(*it.per_second);
    limit.set_age_us((now - it.received_at).count());
  }
  for (const auto it : snapshot.leaving) to.add_leaving(it);
  for (const auto& it : snapshot.paths) {
    wire::Path& path = *to.add_paths();
    path.set_service(it.service);
    if (it.answered != Time{})
      path.set_answered_age_us((now - it.answered).count());
    path.set_doubtful(it.doubtful);
  }
  for (const auto& it : snapshot.evacuations)
    WriteEvacuation(it, *to.add_evacuations());
}

serving::PublishedPath ReadPath(const wire::Path& from, Time now) {
  serving::PublishedPath path{
      .service = from.service(), .answered = {}, .doubtful = from.doubtful()};
  if (!from.has_answered_age_us()) return path;
  // An age below zero would make the answer later than it is.
  path.answered =
      now - Duration(std::max<std::int64_t>(from.answered_age_us(), 0));
  return path;
}

// Nothing where its rate is none.
std::optional<serving::ServerLimit> ReadLimit(const wire::ServerLimit& from,
                                              Time now) {
  serving::ServerLimit limit{
      .backend = from.backend(),
      .per_second = {},
      // An age below zero would make it newer than what is named next.
      .received_at = now - Duration(std::max<std::int64_t>(from.age_us(), 0))};
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
      .incarnation = from.life(),
      .sequence = from.sequence(),
      .serving = from.serving(),
      .polls_store = from.asks_store(),
      .is_hub = from.is_hub(),
      .places = from.places(),
      .relays = from.relays(),
      .withdrawn = from.withdrawn(),
      .grants_warm_ups = from.grants_warm_ups(),
      .capacity = from.capacity(),
      .configuration = {.version = from.version(),
                        .revision = {.epoch = from.configuration_era(),
                                     .number = from.revision()}},
      .epoch = from.era(),
      .reconciling_for =
          Duration(std::max<std::int64_t>(from.unsettled_us(), 0)),
      .incremental = from.partial(),
      .active_requests = {},
      .finished_ids = {from.ended().begin(), from.ended().end()},
      .waiting = {},
      .suspicions = {},
      .crashes = {},
      .limits = {},
      .leaving = {from.leaving().begin(), from.leaving().end()},
      .crash_checks = {from.asked().begin(), from.asked().end()},
      .part_checks = {from.asked_parts().begin(), from.asked_parts().end()},
      .paths = {},
      .evacuations = {}};
  for (const auto& it : from.paths()) {
    snapshot.paths.push_back(ReadPath(it, now));
  }
  for (const auto& it : from.evacuations()) {
    snapshot.evacuations.push_back(ReadEvacuation(it));
  }
  for (const auto& it : from.works()) {
    snapshot.active_requests.push_back(ReadWork(it, now));
  }
  for (const auto& it : from.waiting()) {
    snapshot.waiting.push_back({.id = it.id(),
                                .service = it.service(),
                                .queue_key = now + Duration(it.turn_in_us()),
                                .prefill_time = Duration(it.read_us()),
                                .awaits_rate_limit = it.for_start()});
  }
  for (const auto& it : from.suspicions()) {
    snapshot.suspicions.push_back({.backend = it.backend(),
                                   .until = now + Duration(it.left_us()),
                                   .failed = it.failed()});
  }
  for (const auto& it : from.endings()) {
    snapshot.crashes.push_back(
        ReadEnding(it, serving::SuspectKind::kRequest, now));
  }
  for (const auto& it : from.part_endings()) {
    snapshot.crashes.push_back(
        ReadEnding(it, serving::SuspectKind::kPart, now));
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
  to.set_era(change.revision.epoch);
  to.set_certain(change.certain);
  if (!change.server) return;
  wire::BackendServer& server = *to.mutable_server();
  server.set_service(change.server->service);
  server.set_address(change.server->address);
  server.set_data_centre(change.server->data_centre);
  server.set_slots(change.server->slots);
  server.set_leaving(change.server->leaving);
  server.set_born(change.server->start_unix_ms);
  server.set_fault(change.server->entry_error);
  server.set_warm_up_left_us(change.server->warm_up_left.count());
}

serving::BackendChange ReadChange(const wire::BackendChange& from) {
  serving::BackendChange change{
      .id = from.id(),
      .revision = {.epoch = from.era(), .number = from.revision()},
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
                   .start_unix_ms = from.server().born(),
                   .warm_up_left = Duration(std::max<std::int64_t>(
                       from.server().warm_up_left_us(), 0)),
                   .entry_error = from.server().fault()};
  return change;
}

serving::StoreRelay ReadRelay(const wire::StoreRelay& from) {
  serving::StoreRelay relay{
      .peer_address = from.peer_address(),
      .epoch = from.era(),
      .digest =
          {.configuration = {.version = from.version(),
                             .revision = {.epoch = from.configuration_era(),
                                          .number = from.configuration()}},
           .backends = from.backends(),
           .crashes = from.endings_digest(),
           .part_crashes = {},
           .evacuations = {}},
      .changes = {},
      .crashes = {},
      .evacuations = {},
      .complete_up_to = {.epoch = from.complete_era(),
                         .number = from.complete_at()},
      .backends_age = {},
      .configuration_age = {},
      .daemons = 0,
      .daemons_age = {},
      .heard_incarnation = from.heard_life(),
      .heard_sequence = from.heard_sequence()};
  for (const auto& it : from.changes()) relay.changes.push_back(ReadChange(it));
  for (const auto& it : from.endings()) {
    relay.crashes.push_back(ReadEndings(it, serving::SuspectKind::kRequest));
  }
  for (const auto& it : from.part_endings()) {
    relay.crashes.push_back(ReadEndings(it, serving::SuspectKind::kPart));
  }
  if (from.has_part_endings_digest())
    relay.digest.part_crashes = from.part_endings_digest();
  for (const auto& it : from.evacuations()) {
    relay.evacuations.push_back(ReadEvacuation(it));
  }
  if (from.has_evacuations_digest())
    relay.digest.evacuations = from.evacuations_digest();
  // An age below zero would make the proof younger than it is.
  if (from.has_age_us() && from.age_us() >= 0) {
    relay.backends_age = Duration(from.age_us());
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

serving::AllowedRegions ReadRegions(const wire::PlaceQuestion& from) {
  if (!from.restricts_regions()) return std::nullopt;
  return std::set<std::string>{from.allowed_regions().begin(),
                               from.allowed_regions().end()};
}

serving::PlacementRequest ReadQuestion(const wire::PlaceQuestion& from,
                                       Time now) {
  return {.peer_address = from.peer_address(),
          .incarnation = from.life(),
          .id = from.id(),
          .attempt_number = from.round(),
          .withdrawn = from.over(),
          .request = from.request(),
          .service = from.service(),
          .prompt_tokens = from.prompt_tokens(),
          .answer_tokens = from.answer_tokens(),
          .arrived = now - Duration(from.age_us()),
          .due = now + Duration(from.due_in_us()),
          .deadline = now + Duration(from.deadline_in_us()),
          .max_event_gap = Duration(from.longest_pause_us()),
          .excluded = {from.tried().begin(), from.tried().end()},
          .backing_off = {from.resting().begin(), from.resting().end()},
          .fingerprint = from.content(),
          .crash_suspected = from.doubtful(),
          .suspected_parts = {from.suspected_parts().begin(),
                              from.suspected_parts().end()},
          .sequence = from.sequence(),
          .allowed_regions = ReadRegions(from)};
}

// Nothing where it names what this version does not know.
std::optional<serving::PlacementResponse> ReadAnswer(
    const wire::PlaceAnswer& from) {
  const auto outcome = static_cast<std::size_t>(from.outcome());
  const auto shortage = static_cast<std::size_t>(from.shortage());
  if (outcome >= serving::kPlacementOutcomeNames.size() ||
      shortage >= serving::kShortageNames.size()) {
    return std::nullopt;
  }
  return serving::PlacementResponse{
      .peer_address = from.peer_address(),
      .incarnation = from.life(),
      .id = from.id(),
      .attempt_number = from.round(),
      .outcome = static_cast<serving::PlacementOutcome>(outcome),
      .placement = {.backend = from.backend(),
                    .helpers = {from.helpers().begin(), from.helpers().end()},
                    .helper_tokens = {from.helper_tokens().begin(),
                                      from.helper_tokens().end()},
                    .first_token = Duration(from.first_token_us())},
      .rate_limits_counted = {from.counted().begin(), from.counted().end()},
      .warm_up_grants = {from.warm_up_grants().begin(),
                         from.warm_up_grants().end()},
      .sequence = from.sequence(),
      .shortage = static_cast<serving::Shortage>(shortage),
      .retry_after = Duration(from.retry_after_us())};
}

}  // namespace

std::string EncodeDatagram(const serving::PlacementRequest& question,
                           Time now) {
  wire::Datagram datagram;
  wire::PlaceQuestion& to = *datagram.mutable_question();
  to.set_peer_address(question.peer_address);
  to.set_life(question.incarnation);
  to.set_id(question.id);
  to.set_round(question.attempt_number);
  to.set_over(question.withdrawn);
  to.set_request(question.request);
  to.set_service(question.service);
  to.set_prompt_tokens(question.prompt_tokens);
  to.set_answer_tokens(question.answer_tokens);
  to.set_age_us((now - question.arrived).count());
  to.set_due_in_us((question.due - now).count());
  to.set_deadline_in_us((question.deadline - now).count());
  to.set_longest_pause_us(question.max_event_gap.count());
  for (const auto it : question.excluded) to.add_tried(it);
  for (const auto it : question.backing_off) to.add_resting(it);
  to.set_content(question.fingerprint);
  to.set_doubtful(question.crash_suspected);
  for (const auto it : question.suspected_parts) to.add_suspected_parts(it);
  to.set_sequence(question.sequence);
  to.set_restricts_regions(question.allowed_regions.has_value());
  if (question.allowed_regions) {
    for (const auto& it : *question.allowed_regions) to.add_allowed_regions(it);
  }
  return datagram.SerializeAsString();
}

std::string EncodeDatagram(const serving::PlacementResponse& answer) {
  wire::Datagram datagram;
  wire::PlaceAnswer& to = *datagram.mutable_answer();
  to.set_peer_address(answer.peer_address);
  to.set_life(answer.incarnation);
  to.set_id(answer.id);
  to.set_round(answer.attempt_number);
  to.set_outcome(static_cast<int>(answer.outcome));
  to.set_shortage(static_cast<int>(answer.shortage));
  to.set_retry_after_us(answer.retry_after.count());
  to.set_backend(answer.placement.backend);
  for (const auto it : answer.placement.helpers) to.add_helpers(it);
  for (const auto it : answer.placement.helper_tokens) to.add_helper_tokens(it);
  to.set_first_token_us(answer.placement.first_token.count());
  for (const auto it : answer.rate_limits_counted) to.add_counted(it);
  for (const auto it : answer.warm_up_grants) to.add_warm_up_grants(it);
  to.set_sequence(answer.sequence);
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
  to.set_era(relay.epoch);
  to.set_version(relay.digest.configuration.version);
  to.set_configuration(relay.digest.configuration.revision.number);
  to.set_configuration_era(relay.digest.configuration.revision.epoch);
  to.set_backends(relay.digest.backends);
  for (const auto& it : relay.changes) WriteChange(it, *to.add_changes());
  to.set_endings_digest(relay.digest.crashes);
  if (relay.digest.part_crashes)
    to.set_part_endings_digest(*relay.digest.part_crashes);
  for (const auto& it : relay.evacuations)
    WriteEvacuation(it, *to.add_evacuations());
  if (relay.digest.evacuations)
    to.set_evacuations_digest(*relay.digest.evacuations);
  for (const auto& it : relay.crashes) {
    wire::StoredEndings& endings = AddEndings(it.kind, to);
    endings.set_content(it.fingerprint);
    for (const auto life : it.incarnations) endings.add_lives(life);
    for (const auto life : it.under_suspicion)
      endings.add_under_suspicion(life);
    for (const auto& [life, incident] : it.incidents)
      (*endings.mutable_incidents())[life] = incident;
    for (const auto life : it.among_others) endings.add_among_others(life);
    endings.set_revision(it.revision.number);
    endings.set_era(it.revision.epoch);
  }
  if (relay.backends_age) to.set_age_us(relay.backends_age->count());
  if (relay.configuration_age) {
    to.set_configuration_age_us(relay.configuration_age->count());
  }
  if (relay.daemons_age) {
    to.set_daemons(relay.daemons);
    to.set_daemons_age_us(relay.daemons_age->count());
  }
  to.set_complete_at(relay.complete_up_to.number);
  to.set_complete_era(relay.complete_up_to.epoch);
  to.set_heard_life(relay.heard_incarnation);
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
    return serving::PlacementRequestReceived{
        ReadQuestion(from.question(), now)};
  }
  if (from.has_answer() && !from.answer().peer_address().empty()) {
    auto answer = ReadAnswer(from.answer());
    if (answer) return serving::PlacementResponseReceived{std::move(*answer)};
  }
  return std::nullopt;
}

}  // namespace scaleshed
