#include "scaleshed/wire/snapshot_codec.h"

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

}  // namespace

std::string EncodeSnapshot(const serving::LoadSnapshot& snapshot, Time now) {
  wire::LoadSnapshot to;
  to.set_instance(snapshot.instance);
  to.set_peer_address(snapshot.peer_address);
  to.set_data_centre(snapshot.data_centre);
  to.set_life(snapshot.life);
  to.set_sequence(snapshot.sequence);
  to.set_serving(snapshot.serving);
  to.set_revision(snapshot.revision);
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
  return to.SerializeAsString();
}

std::optional<serving::LoadSnapshot> DecodeSnapshot(const std::string& bytes,
                                                    Time now) {
  wire::LoadSnapshot from;
  if (!from.ParseFromString(bytes) || from.peer_address().empty()) {
    return std::nullopt;
  }
  serving::LoadSnapshot snapshot{.instance = from.instance(),
                                 .peer_address = from.peer_address(),
                                 .data_centre = from.data_centre(),
                                 .life = from.life(),
                                 .sequence = from.sequence(),
                                 .serving = from.serving(),
                                 .revision = from.revision(),
                                 .works = {},
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

}  // namespace scaleshed
