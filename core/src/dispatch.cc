#include <algorithm>

#include "internal/steps.h"

namespace scaleshed::internal {
namespace {

// Placements tried in one go; whatever is left is tried at the next event.
constexpr int kMostPlacements = 64;
// A hold that is pending is asked about again this often.
constexpr Duration kPendingPoll = milliseconds(100);

Duration TimeLeft(const State& state, const Request& request) {
  return std::max(request.deadline - state.now, Duration::zero());
}

int EnginePriorityOf(const State& state, const Request& request) {
  return EnginePriority(state.policy, state.configuration.fleet.short_weight,
                        request.priority, request.model_call()->prompt_tokens);
}

AttemptId NewAttempt(State& state, Request& request, const std::string& backend,
                     Attempt::Stage stage, int rank) {
  const AttemptId id = ++state.last_attempt;
  request.attempts.push_back(
      Attempt{.id = id, .backend = backend, .stage = stage, .rank = rank});
  state.attempts[id] = request.key;
  return id;
}

void SendHold(const State& state, Attempt& attempt, std::int64_t tokens,
              Effects& out) {
  attempt.renew_at = state.now + (attempt.stage == Attempt::Stage::kHolding
                                      ? kPendingPoll
                                      : state.options.hold_valid_for / 3);
  out.push_back(PlaceHold{.hold = attempt.id,
                          .engine = attempt.backend,
                          .tokens = tokens,
                          .valid_for = state.options.hold_valid_for});
}

std::int64_t TokensEach(const Request& request) {
  const auto n = static_cast<std::int64_t>(request.attempts.size());
  return (TokensNeeded(*request.model_call()) + n - 1) / n;
}

// Estimates may be off by a lot before a first token is held to be lost.
constexpr int kPatience = 4;
constexpr Duration kLeastPatience = seconds(5);

void SendStream(State& state, const Request& request, Attempt& attempt,
                int group_size, AttemptId hold, Effects& out) {
  const Backend* backend = FindBackend(state, attempt.backend);
  const Duration expected =
      backend == nullptr ? Duration::zero() : backend->Backlog(state.now);
  attempt.progress_by =
      state.now + std::max<Duration>(expected * kPatience, kLeastPatience);
  out.push_back(StartStream{.attempt = attempt.id,
                            .key = request.key,
                            .engine = attempt.backend,
                            .call = *request.model_call(),
                            .priority = EnginePriorityOf(state, request),
                            .time_left = TimeLeft(state, request),
                            .offset = request.next_offset,
                            .checksum = request.guard,
                            .rank = attempt.rank,
                            .group_size = group_size,
                            .hold = hold});
}

void StartSingle(State& state, Request& request, const Placement& placement,
                 Effects& out) {
  const std::string& engine = placement.engines.front();
  const AttemptId id =
      NewAttempt(state, request, engine, Attempt::Stage::kStreaming, 0);
  Backend* backend = FindBackend(state, engine);
  backend->AddWork(id, placement.prefill, EnginePriorityOf(state, request),
                   placement.tokens_each, state.now);
  backend->AssumeCached(request.model_call()->prefixes);
  request.phase = Phase::kRunning;
  SendStream(state, request, request.attempts.back(), 1, 0, out);
}

// Holds are asked for one after another in the order of the engines' names, so
// that two groups can never wait for each other.
void StartReserving(State& state, Request& request, Placement placement,
                    Effects& out) {
  request.phase = Phase::kReserving;
  const std::string leader = placement.engines.front();
  std::sort(placement.engines.begin(), placement.engines.end());
  int rank = 1;
  for (const std::string& it : placement.engines) {
    const int own_rank = it == leader ? 0 : rank++;
    const AttemptId id =
        NewAttempt(state, request, it, Attempt::Stage::kHolding, own_rank);
    FindBackend(state, it)->AddWork(id, placement.prefill,
                                    EnginePriorityOf(state, request),
                                    placement.tokens_each, state.now);
  }
  SendHold(state, request.attempts.front(), TokensEach(request), out);
}

// All holds are there: the members start first, so that the leader finds them.
void StartGroup(State& state, Request& request, Effects& out) {
  request.phase = Phase::kRunning;
  Add(out, Counter::kGroupsStarted);
  std::vector<Attempt*> by_rank;
  for (Attempt& it : request.attempts) by_rank.push_back(&it);
  std::sort(by_rank.begin(), by_rank.end(),
            [](const auto* a, const auto* b) { return a->rank > b->rank; });
  const int size = static_cast<int>(by_rank.size());
  for (Attempt* it : by_rank) {
    it->stage = Attempt::Stage::kStreaming;
    SendStream(state, request, *it, size, it->id, out);
  }
}

// A group of which an engine is leaving would be new work there.
bool HasLeaving(State& state, const Request& request) {
  return std::any_of(request.attempts.begin(), request.attempts.end(),
                     [&](const Attempt& it) {
                       const Backend* backend = FindBackend(state, it.backend);
                       return backend == nullptr || backend->IsLeaving();
                     });
}

void ReserveAgain(State& state, Request& request, Effects& out) {
  DropAttempts(state, request, out);
  Enqueue(state, request, Duration::zero());
}

bool TryPlace(State& state, Request& request, Effects& out) {
  const ModelCall& call = *request.model_call();
  const std::string* avoid = request.avoid.empty() ? nullptr : &request.avoid;
  PlacementQuery query = MakeQuery(state, call, request.priority, avoid);
  if (query.model == nullptr) return false;
  query.waited = state.now - request.arrived;
  auto placement = Place(state.policy, query, state.random);
  if (!placement) return false;
  // Checked again before every dispatch: what can't begin in time is given up
  // at once.
  if (placement->first_token > TimeLeft(state, request)) {
    GiveUp(state, request, Reason::kOverload,
           "no engine can answer within the time limit", placement->first_token,
           out);
    return true;
  }
  state.queue.Remove(request.key);
  const auto account = state.configuration.accounts.find(request.spec.account);
  const double weight = account == state.configuration.accounts.end()
                            ? 1
                            : account->second.weight;
  state.queue.Charge(request.spec.account, weight, TokensNeeded(call));
  if (placement->engines.size() == 1) {
    StartSingle(state, request, *placement, out);
  } else {
    StartReserving(state, request, std::move(*placement), out);
  }
  return true;
}

std::vector<Backend*> ServiceCandidates(State& state, const Request& request) {
  const auto& call = std::get<ServiceCall>(request.spec.call);
  std::vector<Backend*> candidates;
  for (auto& [name, backend] : state.pools[call.service]) {
    if (!backend.TakesNewWork(state.now)) continue;
    candidates.push_back(&backend);
  }
  if (candidates.size() > 1) {
    std::erase_if(candidates, [&](const Backend* it) {
      return it->name() == request.avoid;
    });
  }
  return candidates;
}

}  // namespace

PlacementQuery MakeQuery(const State& state, const ModelCall& call,
                         Priority priority, const std::string* avoid) {
  PlacementQuery query{.call = &call,
                       .model = nullptr,
                       .engines = {},
                       .short_weight = state.configuration.fleet.short_weight,
                       .priority = EnginePriority(
                           state.policy, state.configuration.fleet.short_weight,
                           priority, call.prompt_tokens),
                       .avoid = avoid,
                       .now = state.now};
  const auto model = state.configuration.fleet.models.find(call.model);
  if (model != state.configuration.fleet.models.end()) {
    query.model = &model->second;
  }
  const auto pool = state.pools.find(call.model);
  if (pool == state.pools.end()) return query;
  for (const auto& [name, backend] : pool->second) {
    if (backend.TakesNewWork(state.now)) query.engines.push_back(&backend);
  }
  return query;
}

void Enqueue(State& state, Request& request, Duration delay) {
  const ModelCall& call = *request.model_call();
  request.phase = Phase::kQueued;
  Duration work{};
  const auto model = state.configuration.fleet.models.find(call.model);
  if (model != state.configuration.fleet.models.end()) {
    work = PrefillTime(model->second, call.prompt_tokens, 0);
  }
  state.queue.Push(FairQueue::Entry{
      .key = request.key,
      .account = request.spec.account,
      .priority = request.priority,
      .level = EnginePriorityOf(state, request),
      .arrived = request.arrived,
      .time_limit = request.spec.time_limit,
      .work = work,
      .not_before = state.now + delay,
      .started = request.may_have_started || request.next_offset > 0});
}

void Pump(State& state, Effects& out) {
  int placed = 0;
  bool progress = true;
  while (progress && placed < kMostPlacements && state.queue.size() > 0) {
    progress = false;
    for (const FairQueue::Entry& it : state.queue.Heads(state.now)) {
      if (!TryPlace(state, state.requests.at(it.key), out)) continue;
      progress = true;
      ++placed;
    }
  }
}

void OnHoldAnswer(State& state, const HoldAnswer& event, Effects& out) {
  Request* request = RequestOf(state, event.hold);
  if (request == nullptr || request->phase != Phase::kReserving) return;
  Attempt* attempt = FindAttempt(*request, event.hold);
  if (event.state == HoldState::kRefused) {
    OnAttemptFailed(state,
                    AttemptFailed{.attempt = event.hold,
                                  .error = AttemptError::kRefused,
                                  .retry_after = {},
                                  .detail = "hold refused"},
                    out);
    return;
  }
  if (event.state == HoldState::kPending) return;
  if (attempt->stage == Attempt::Stage::kHeld) return;
  attempt->stage = Attempt::Stage::kHeld;
  attempt->renew_at = state.now + state.options.hold_valid_for / 3;
  for (Attempt& it : request->attempts) {
    if (it.stage != Attempt::Stage::kHolding) continue;
    SendHold(state, it, TokensEach(*request), out);
    return;
  }
  if (HasLeaving(state, *request)) {
    ReserveAgain(state, *request, out);
    return;
  }
  StartGroup(state, *request, out);
}

void RenewHolds(State& state, Effects& out) {
  for (auto& [key, request] : state.requests) {
    if (request.phase != Phase::kReserving) continue;
    if (HasLeaving(state, request)) {
      ReserveAgain(state, request, out);
      continue;
    }
    for (Attempt& it : request.attempts) {
      // A hold that has not been asked for yet has no time to be renewed at.
      if (it.renew_at == Time{} || state.now < it.renew_at) continue;
      SendHold(state, it, TokensEach(request), out);
    }
  }
}

void DispatchService(State& state, Request& request, Effects& out) {
  const std::vector<Backend*> candidates = ServiceCandidates(state, request);
  if (candidates.empty()) {
    GiveUp(state, request, Reason::kNoBackend,
           "no backend server of the service takes work now", seconds(1), out);
    return;
  }
  const auto rank = [&](const Backend* it) {
    const bool far =
        it->instance().data_centre != state.options.self.data_centre;
    return std::tuple(it->InFlight(), far, HashBytes(it->name(), request.key));
  };
  Backend* best = *std::min_element(
      candidates.begin(), candidates.end(),
      [&](const Backend* a, const Backend* b) { return rank(a) < rank(b); });
  const AttemptId id =
      NewAttempt(state, request, best->name(), Attempt::Stage::kCalling, 0);
  best->AddWork(id, Duration::zero(), 0, 0, state.now);
  request.phase = Phase::kRunning;
  out.push_back(SendService{.attempt = id,
                            .key = request.key,
                            .backend = best->name(),
                            .time_left = TimeLeft(state, request)});
}

}  // namespace scaleshed::internal
