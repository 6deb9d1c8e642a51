// World: what a scenario does to daemon, backend servers, platform and peers.

#include <algorithm>

#include "scaleshed/testing/world.h"

namespace scaleshed::testing {

std::string World::Resolve(const std::string& target) {
  constexpr std::string_view kEngineOf = "engine_of/";
  if (!target.starts_with(kEngineOf)) return target;
  const auto known = resolved_.find(target);
  if (known != resolved_.end()) return known->second;
  const auto caller = callers_.find(target.substr(kEngineOf.size()));
  if (caller == callers_.end()) return target;
  const auto engine = engine_of_.find(caller->second.key);
  if (engine == engine_of_.end()) return target;
  return resolved_[target] = engine->second;
}

void World::Apply(const FaultStep& step) {
  const std::string target = Resolve(step.target);
  new_work_.erase(target);
  if (step.kind == FaultKind::kUnlist) {
    unlisted_.insert(target);
  } else if (target == "daemon") {
    ApplyToDaemon(step.kind);
  } else if (engines_.contains(target)) {
    ApplyToEngine(step.kind, target);
  } else if (services_.contains(target)) {
    ApplyToService(step.kind, target);
  } else {
    Violate("no process is called '" + target + "'");
  }
}

void World::KillDaemon() {
  const std::string holder = ToString(daemon_->options.self.incarnation);
  for (const auto& [attempt, key] : key_of_attempt_) {
    for (auto& [name, it] : engines_) {
      it.model->Disconnect({holder, attempt}, now_);
    }
  }
  daemon_.reset();
  held_events_.clear();
}

void World::ApplyToDaemon(FaultKind kind) {
  switch (kind) {
    case FaultKind::kKill:
      KillDaemon();
      return;
    case FaultKind::kStart:
      StartDaemon();
      return;
    case FaultKind::kFreeze:
      paused_ = true;
      return;
    case FaultKind::kThaw: {
      paused_ = false;
      const auto events = std::exchange(held_events_, {});
      for (const EventBody& it : events) Feed(it);
      return;
    }
    case FaultKind::kStop:
      Feed(StopRequested());
      return;
    default:
      Violate("a daemon can't " + std::string(NameIn(kFaultKindNames, kind)));
  }
}

void World::ApplyToEngine(FaultKind kind, const std::string& name) {
  Engine& engine = engines_.at(name);
  switch (kind) {
    case FaultKind::kKill:
      BreakConnections(name);
      engine.alive = false;
      engine.frozen = false;
      return;
    case FaultKind::kStart:
      engine.alive = true;
      engine.model = std::make_unique<EngineModel>(
          EngineModelOptions{.name = name,
                             .incarnation = ++last_engine_incarnation_,
                             .memory_tokens = engine.spec.memory_tokens});
      leaving_since_.erase(name);
      return;
    case FaultKind::kFreeze:
      engine.frozen = true;
      return;
    case FaultKind::kThaw:
      engine.frozen = false;
      return;
    case FaultKind::kCut:
      BreakConnections(name);
      return;
    case FaultKind::kLeave:
      engine.model->SetLeaving(true);
      leaving_since_.emplace(name, now_);
      return;
    default:
      Violate("an engine can't " + std::string(NameIn(kFaultKindNames, kind)));
  }
}

void World::ApplyToService(FaultKind kind, const std::string& name) {
  Service& service = services_.at(name);
  switch (kind) {
    case FaultKind::kKill:
      service.alive = false;
      service.held.clear();
      return;
    case FaultKind::kStart:
      service.alive = true;
      service.leaving = false;
      ++service.incarnation;
      leaving_since_.erase(name);
      return;
    case FaultKind::kFreeze:
      service.frozen = true;
      return;
    case FaultKind::kThaw: {
      service.frozen = false;
      const auto held = std::exchange(service.held, {});
      for (const auto& run : held) run();
      return;
    }
    case FaultKind::kLeave:
      service.leaving = true;
      leaving_since_.emplace(name, now_);
      return;
    default:
      Violate("a service can't " + std::string(NameIn(kFaultKindNames, kind)));
  }
}

void World::Apply(const LinkStep& step) {
  const std::string target = Resolve(step.target);
  const auto engine = engines_.find(target);
  if (engine != engines_.end()) {
    engine->second.link = step;
    return;
  }
  services_.at(target).link = step;
}

void World::Apply(const PlatformStep& step) {
  const bool back =
      platform_ != PlatformMode::kUp && step.mode == PlatformMode::kUp;
  platform_ = step.mode;
  if (!back) return;
  After(options_.latency,
        [this] { Feed(ConfigurationLoaded{.configuration = accepted_}); });
}

void World::Apply(const AcceptStep& step) {
  Configuration next = accepted_;
  next.revision = step.revision;
  next.accounts["acme"].limits.requests_per_second = step.requests_per_second;
  // An older value can come from the platform; it is not what was accepted.
  if (step.revision > accepted_.revision) accepted_ = next;
  if (platform_ != PlatformMode::kUp) return;
  After(options_.latency,
        [this, next] { Feed(ConfigurationLoaded{.configuration = next}); });
}

Member World::MemberOf(const Peer& peer, const std::string& name) const {
  return {.incarnation = peer.incarnation,
          .address = name,
          .peer_address = name,
          .data_centre = "here",
          .state = peer.state,
          .version = peer.version};
}

void World::Apply(const PeerStep& step) {
  Peer& peer = peers_.at(step.peer);
  peer.silent = step.says == PeerSays::kSilent;
  if (step.says == PeerSays::kSilent) return;
  PeerMessage message;
  if (step.says == PeerSays::kForward) {
    message =
        ForwardCall{.origin_key = 77,
                    .origin = peer.incarnation,
                    .spec = {.account = "acme",
                             .id = ResolveId(step.id),
                             .time_limit = seconds(30),
                             .call = ServiceCall{.service = step.service}},
                    .time_left = seconds(30)};
  } else if (step.says == PeerSays::kFinal) {
    if (!peer.forwarded) {
      Violate("nothing was forwarded to " + step.peer);
      return;
    }
    message = ForwardFinal{.origin = peer.forwarded->origin,
                           .origin_key = peer.forwarded->origin_key,
                           .final = {.outcome = step.outcome, .status = 200}};
  } else {
    if (step.says == PeerSays::kRestart) ++peer.incarnation.number;
    if (step.says == PeerSays::kLeaving) peer.state = MemberState::kLeaving;
    ++peer.version;
    peer.revision = std::max(peer.revision, step.revision);
    message = Probe{.sequence = 1,
                    .revision = peer.revision,
                    .members = {MemberOf(peer, step.peer)}};
  }
  PeerReceived event{
      .from = peer.incarnation, .message = message, .key = ++last_key_};
  if (const auto* forward = std::get_if<ForwardCall>(&message)) {
    CallerView view{.sent = {.name = "forwarded " + std::to_string(event.key),
                             .service = step.service,
                             .id = step.id},
                    .key = event.key,
                    .id = forward->spec.id,
                    .sent_at = now_};
    view.sent.time_limit = forward->time_left;
    view.final = Final{};  // its answer goes to the peer
    caller_of_[event.key] = view.sent.name;
    callers_[view.sent.name] = view;
  }
  Feed(event);
}

void World::OnPeerMessage(const SendPeer& effect) {
  const auto it = peers_.find(effect.peer_address);
  if (it == peers_.end()) return;
  Peer& peer = it->second;
  if (const auto* forward = std::get_if<ForwardCall>(&effect.message)) {
    peer.forwarded = *forward;
  }
  const auto* probe = std::get_if<Probe>(&effect.message);
  if (probe == nullptr || probe->is_ack || peer.silent) return;
  Probe ack{.sequence = probe->sequence,
            .is_ack = true,
            .revision = peer.revision,
            .members = {MemberOf(peer, it->first)}};
  After(options_.latency, [this, ack, from = peer.incarnation] {
    Feed(PeerReceived{.from = from, .message = ack});
  });
}

}  // namespace scaleshed::testing
