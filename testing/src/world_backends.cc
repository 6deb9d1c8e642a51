// World: the engines and services at the other end of the effects.

#include <algorithm>

#include "scaleshed/testing/world.h"

namespace scaleshed::testing {
namespace {

// A leaving backend server gets no new work after this.
constexpr Duration kLeavingGrace = seconds(3);

}  // namespace

void World::NoteRun(RequestKey key, const std::string& backend, Time arrived) {
  ++runs_[key];
  new_work_.insert(backend);
  const auto leaving = leaving_since_.find(backend);
  if (leaving != leaving_since_.end() &&
      arrived - leaving->second > kLeavingGrace) {
    Violate(backend + " got new work while it was leaving");
  }
  if (refused_.contains(key)) {
    Violate("request " + std::to_string(key) + " ran after 'not run'");
  }
  CallerView* caller = FindCaller(key);
  if (caller == nullptr || caller->id.empty()) return;
  const std::string& id = caller->id;
  if (++id_runs_[id] > 1) Violate("id " + id + " ran twice");
  if (refused_ids_.contains(id)) Violate("id " + id + " ran after 'not run'");
}

// What a backend server answers comes on the connection of the daemon that
// asked, and goes with it: the next incarnation's attempts begin at one again.
void World::Answer(const Incarnation& sender, EventBody body) {
  After(options_.latency, [this, sender, body = std::move(body)] {
    if (daemon_ != nullptr && daemon_->options.self.incarnation == sender) {
      Feed(body);
    }
  });
}

void World::OnStartStream(const StartStream& effect) {
  key_of_attempt_[effect.attempt] = effect.key;
  EngineStreamRequest request{.attempt = effect.attempt,
                              .holder = daemon_->options.self.incarnation,
                              .call = effect.call,
                              .priority = effect.priority,
                              .time_left = effect.time_left,
                              .offset = effect.offset,
                              .checksum = effect.checksum,
                              .rank = effect.rank,
                              .group_size = effect.group_size,
                              .hold = effect.hold};
  After(options_.latency, [this, request, effect] {
    Engine& engine = engines_.at(effect.engine);
    const auto fail = [&](AttemptError error, Duration retry_after) {
      Answer(request.holder, AttemptFailed{.attempt = effect.attempt,
                                           .error = error,
                                           .retry_after = retry_after});
    };
    if (!engine.alive) {
      fail(AttemptError::kNotSent, {});
      return;
    }
    if (engine.frozen) return;
    const auto result = engine.model->Start(request, now_);
    if (const auto* refusal = std::get_if<EngineRefusal>(&result)) {
      fail(refusal->error, refusal->retry_after);
      return;
    }
    if (effect.rank == 0) {
      engine_of_[effect.key] = effect.engine;
      NoteRun(effect.key, effect.engine, now_);
    }
    // A daemon that died meanwhile has no connection to it.
    if (daemon_ == nullptr ||
        daemon_->options.self.incarnation != request.holder) {
      engine.model->Disconnect({ToString(request.holder), request.attempt},
                               now_);
    }
  });
}

void World::OnResume(const ResumeStream& effect) {
  const Incarnation sender = daemon_->options.self.incarnation;
  const std::string holder = ToString(sender);
  After(options_.latency, [this, effect, holder, sender] {
    Engine& engine = engines_.at(effect.engine);
    std::vector<EngineModel::Output> out;
    const bool known =
        engine.alive && !engine.frozen &&
        engine.model->Resume({holder, effect.attempt}, effect.offset, out);
    if (engine.frozen) return;
    if (!known) {
      const auto error =
          engine.alive ? AttemptError::kRefused : AttemptError::kNotSent;
      Answer(sender, AttemptFailed{.attempt = effect.attempt, .error = error});
      return;
    }
    Deliver(effect.engine, out);
  });
}

void World::OnHold(const PlaceHold& effect) {
  const EngineHoldRequest request{.hold = effect.hold,
                                  .holder = daemon_->options.self.incarnation,
                                  .tokens = effect.tokens,
                                  .valid_for = effect.valid_for};
  After(options_.latency, [this, request, effect] {
    Engine& engine = engines_.at(effect.engine);
    if (engine.frozen) return;
    if (!engine.alive) {
      Answer(request.holder, AttemptFailed{.attempt = effect.hold,
                                           .error = AttemptError::kNotSent});
      return;
    }
    const HoldState state = engine.model->Hold(request, now_);
    Answer(request.holder, HoldAnswer{.hold = effect.hold, .state = state});
  });
}

void World::OnCancel(const CancelAttempt& effect) {
  After(options_.latency, [this, effect] {
    const auto it = engines_.find(effect.backend);
    if (it == engines_.end()) return;
    Engine& engine = it->second;
    const bool lost = engine.link.lose_cancels > 0;
    if (lost) --engine.link.lose_cancels;
    const bool reached = engine.alive && !engine.frozen && !lost;
    if (reached)
      engine.model->Cancel({ToString(effect.holder), effect.attempt});
    After(options_.latency, [this, effect, reached] {
      Feed(CancelAnswer{.holder = effect.holder,
                        .attempt = effect.attempt,
                        .confirmed = reached});
    });
  });
}

void World::OnService(const SendService& effect) {
  const Incarnation sender = daemon_->options.self.incarnation;
  After(options_.latency, [this, effect, sender] {
    Service& service = services_.at(effect.backend);
    const auto answer = [this, sender](EventBody body) {
      Answer(sender, std::move(body));
    };
    if (!service.alive) {
      answer(AttemptFailed{.attempt = effect.attempt,
                           .error = AttemptError::kNotSent});
      return;
    }
    if (service.leaving) {
      answer(AttemptFailed{.attempt = effect.attempt,
                           .error = AttemptError::kLeaving});
      return;
    }
    const auto run = [this, effect, answer, arrived = now_] {
      Service& it = services_.at(effect.backend);
      NoteRun(effect.key, effect.backend, arrived);
      if (it.link.lose_answers > 0) {
        --it.link.lose_answers;
        answer(AttemptFailed{.attempt = effect.attempt,
                             .error = AttemptError::kCut});
      } else {
        answer(ServiceAnswer{
            .attempt = effect.attempt, .status = 200, .body = "{}"});
      }
    };
    if (service.frozen) {
      service.held.push_back(run);
    } else {
      run();
    }
  });
}

void World::Deliver(const std::string& engine,
                    const std::vector<EngineModel::Output>& out) {
  for (const EngineModel::Output& it : out) DeliverLine(engine, it);
}

void World::DeliverLine(const std::string& name,
                        const EngineModel::Output& line) {
  Engine& engine = engines_.at(name);
  const AttemptId attempt = line.key.second;
  std::vector<EventBody> events;
  std::visit(
      Overloaded{
          [&](const FrameLine& it) {
            if (engine.link.lose_frames > 0) {
              --engine.link.lose_frames;
              return;
            }
            const StreamFrame frame{.attempt = attempt,
                                    .offset = it.offset,
                                    .text = it.text,
                                    .checksum = it.checksum};
            events.emplace_back(frame);
            if (engine.link.double_frames) events.emplace_back(frame);
            if (engine.link.cross_frames && engine.previous_attempt != 0) {
              StreamFrame crossed = frame;
              crossed.attempt = engine.previous_attempt;
              events.emplace_back(crossed);
            }
            if (attempt != engine.previous_attempt) {
              engine.previous_attempt = attempt;
            }
          },
          [&](const EndLine& it) {
            events.emplace_back(StreamEnd{.attempt = attempt,
                                          .tokens = it.tokens,
                                          .checksum = it.checksum});
          },
          [&](const ErrorLine& it) {
            events.emplace_back(
                AttemptFailed{.attempt = attempt, .error = it.error});
          },
      },
      line.line);
  for (const EventBody& it : events) {
    After(options_.latency + engine.link.delay_frames,
          [this, it, holder = line.key.first] {
            if (daemon_ == nullptr) return;
            if (ToString(daemon_->options.self.incarnation) != holder) return;
            Feed(it);
          });
  }
}

void World::BreakConnections(const std::string& name) {
  Engine& engine = engines_.at(name);
  if (daemon_ == nullptr) return;
  std::vector<AttemptId> cut;
  for (const auto& [key, request] : daemon_->requests) {
    for (const Attempt& it : request.attempts) {
      if (it.backend == name && it.stage == Attempt::Stage::kStreaming) {
        cut.push_back(it.id);
      }
    }
  }
  const std::string holder = ToString(daemon_->options.self.incarnation);
  std::sort(cut.begin(), cut.end());
  for (const AttemptId it : cut) {
    if (engine.model != nullptr) engine.model->Disconnect({holder, it}, now_);
    After(options_.latency, [this, it] {
      Feed(AttemptFailed{.attempt = it, .error = AttemptError::kCut});
    });
  }
}

}  // namespace scaleshed::testing
