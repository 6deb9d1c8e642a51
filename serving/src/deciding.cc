#include <algorithm>
#include <utility>

#include "internal/pool.h"
#include "internal/steps.h"
#include "scaleshed/serving/reducer.h"

namespace scaleshed::serving::internal {
namespace {

// Retry-After of a refusal because of backoffs. The daemon that places doesn't
// know when the backoffs of the requesting daemon end.
constexpr Duration kBackoffRetryAfter = milliseconds(500);
// Retry-After of a refusal because no server is in an allowed region.
constexpr Duration kNoHomeRetryAfter = milliseconds(200);

// The tokens of memory that a prompt and its answer need.
std::int64_t TokensOf(const PlacementDemand& demand) {
  return demand.prompt_tokens + demand.answer_tokens;
}

// An engine on probation gets one short prompt at a time, and no part of a long
// prompt after two suspicions in a row. One suspicion doesn't exclude it from
// long prompts: most engines are suspected once, for an interrupted response,
// and engines that only prefill for long prompts have no short one to end their
// probation with.
void LimitEnginesOnProbation(const State& state, const PlacementDemand& demand,
                             const std::vector<const Backend*>& open,
                             std::vector<EngineView>& pool) {
  for (std::size_t i = 0; i < pool.size(); ++i) {
    if (!IsOnProbation(state, *open[i])) continue;
    const bool is_prefilling = pool[i].prefilling > 0;
    const bool is_long = demand.prefill_time > kShortPromptPrefillLimit;
    const bool is_excluded =
        is_long ? open[i]->consecutive_suspicions > 0 : is_prefilling;
    if (is_excluded) pool[i].suspected = true;
  }
}

// Adds to `suspected` the engines that run another fingerprint, or a prompt
// part, which has crashed two servers, so that a further crash hits no new
// request.
void AvoidEnginesWithCrashingRequests(
    const State& state, const PlacementDemand& demand,
    const std::vector<const ActiveRequest*>& active_requests,
    std::set<BackendId>& suspected) {
  constexpr std::size_t kMinCrashesToAvoid = 2;
  const auto has_crashing_part = [&](const ActiveRequest& active) {
    return std::any_of(active.suspected_parts.begin(),
                       active.suspected_parts.end(), [&](std::uint64_t it) {
                         return state.part_quarantine.CrashCount(it) >=
                                kMinCrashesToAvoid;
                       });
  };
  if (state.quarantine.empty() && state.part_quarantine.empty()) return;
  for (const ActiveRequest* it : active_requests) {
    const bool avoid =
        (it->fingerprint != demand.fingerprint &&
         state.quarantine.CrashCount(it->fingerprint) >= kMinCrashesToAvoid) ||
        has_crashing_part(*it);
    if (avoid) suspected.insert(it->backend);
  }
}

PlacementResult PlacePrompt(State& state, const PlacementDemand& demand,
                            const EngineTiming& timing,
                            const std::vector<const Backend*>& open) {
  const auto active_requests = AllActiveRequests(state);
  EndProbations(state, active_requests);
  auto suspected = SuspectedBackends(state);
  AvoidEnginesWithCrashingRequests(state, demand, active_requests, suspected);
  std::vector<EngineView> engines;
  engines.reserve(open.size());
  for (const Backend* it : open) {
    engines.push_back({.id = it->id,
                       .suspected = suspected.contains(it->id) ||
                                    demand.excluded.contains(it->id)});
  }
  const bool all_suspected =
      std::all_of(engines.begin(), engines.end(),
                  [](const EngineView& it) { return it.suspected; });
  if (all_suspected) {
    for (EngineView& it : engines) it.suspected = false;
  }
  auto pool =
      BuildPoolView(timing, std::move(engines), active_requests, state.now);
  if (!all_suspected) LimitEnginesOnProbation(state, demand, open, pool);
  // A daemon that doesn't receive the active requests of others starts at a
  // random engine; otherwise all that place locally would fill the same
  // engines.
  if (!ReceivesAllActiveRequests(state) && !pool.empty()) {
    const auto first_engine =
        static_cast<std::ptrdiff_t>(state.random() % pool.size());
    std::rotate(pool.begin(), pool.begin() + first_engine, pool.end());
  }
  return PlacePrompt(timing, pool,
                     {.prompt_tokens = demand.prompt_tokens,
                      .answer_tokens = demand.answer_tokens,
                      .tie_breaker = state.random(),
                      .until_due = demand.due - state.now,
                      .time_left = demand.deadline - state.now});
}

std::size_t ActiveRequestsAt(
    const std::vector<const ActiveRequest*>& active_requests, BackendId id) {
  return static_cast<std::size_t>(std::count_if(
      active_requests.begin(), active_requests.end(),
      [&](const ActiveRequest* it) { return it->backend == id; }));
}

// Chooses the least busy backend server of a plain service (one without model
// engines); among equals, one in the data centre of the sending daemon.
PlacementDecision PlacePlainRequest(State& state, const PlacementDemand& demand,
                                    const std::vector<const Backend*>& open) {
  const auto active_requests = AllActiveRequests(state);
  const auto suspected = SuspectedBackends(state);
  const Backend* best = nullptr;
  double least_cost = 0;
  for (const Backend* it : open) {
    const auto slots = std::max<std::int64_t>(it->server.slots, 1);
    double cost =
        static_cast<double>(ActiveRequestsAt(active_requests, it->id)) /
        static_cast<double>(slots);
    constexpr double kSuspectedCost = 100;
    constexpr double kOtherDataCentreCost = 0.05;
    constexpr double kTieBreakStep = 1e-4;
    if (suspected.contains(it->id)) cost += kSuspectedCost;
    if (demand.excluded.contains(it->id)) cost += kSuspectedCost / 2;
    if (it->server.data_centre != demand.data_centre)
      cost += kOtherDataCentreCost;
    cost += kTieBreakStep * static_cast<double>(state.random() % 100);
    if (best == nullptr || cost < least_cost) {
      best = it;
      least_cost = cost;
    }
  }
  if (best == nullptr) return NoCapacityNow{Shortage::kBackends};
  return Placement{.backend = best->id,
                   .first_token = demand.due - demand.arrived};
}

// Removes the servers that the sending daemon backs off from.
std::vector<const Backend*> WithoutBackingOff(
    const PlacementDemand& demand, std::vector<const Backend*> open) {
  std::erase_if(open, [&](const Backend* it) {
    return demand.backing_off.contains(it->id);
  });
  return open;
}

// The placement that the request's fingerprint or a suspected part demands: at
// the server that its isolation names, or none while a crash check is under
// way. Returns nullopt if the fingerprint doesn't restrict the placement, or if
// the prompt needs the memory of several engines. `timing` is nullptr for a
// plain service.
std::optional<PlacementDecision> PlaceByFingerprint(
    State& state, const PlacementDemand& demand, const EngineTiming* timing,
    const std::vector<const Backend*>& open) {
  if (IsSuspectedPartActive(state, demand.suspected_parts) ||
      AwaitsPartCheck(state, demand.suspected_parts)) {
    return NoCapacityNow{Shortage::kCrashCheck};
  }
  const bool is_plain = timing == nullptr;
  if (!is_plain && TokensOf(demand) > UsableMemoryTokens(*timing))
    return std::nullopt;
  const Isolation isolation = FindIsolation(state, demand, open);
  if (isolation.wait) return NoCapacityNow{Shortage::kCrashCheck};
  if (isolation.backend == nullptr) return std::nullopt;
  RecordIsolation(state, demand, isolation);
  return Placement{.backend = isolation.backend->id,
                   .first_token = is_plain ? demand.due - demand.arrived
                                           : demand.prefill_time};
}

// Decides about a request that no server may get. A region without servers
// isn't expected to get any before the request's deadline.
PlacementDecision WithoutServer(const State& state,
                                const PlacementDemand& demand) {
  const Refusal reason =
      RefusalWithoutServer(state, demand.service, demand.allowed_regions);
  if (reason != Refusal::kNoHome) return NoCapacityNow{Shortage::kBackends};
  return DeadlineUnreachable{.retry_after = kNoHomeRetryAfter,
                             .shortage = Shortage::kRegions};
}

}  // namespace

const EngineTiming* TimingOf(const State& state, const std::string& service) {
  if (!state.configuration) return nullptr;
  const Service* found = state.configuration->FindService(service);
  return found != nullptr && found->engine ? &*found->engine : nullptr;
}

PlacementDemand DemandOf(const State& state, const Request& request) {
  return {.id = request.metadata.id,
          .service = request.service,
          .prompt_tokens = request.metadata.prompt_tokens,
          .answer_tokens = request.metadata.answer_tokens,
          .arrived = request.arrived,
          .due = request.due,
          .deadline = request.deadline,
          .prefill_time = request.prefill_time,
          .excluded = request.excluded,
          .fingerprint = request.metadata.fingerprint,
          .suspected_parts = SuspectedParts(state, request.metadata),
          .data_centre = state.options.data_centre,
          .allowed_regions = request.allowed_regions,
          .waits_for = request.waits_for,
          .backing_off = ServersBackingOff(state)};
}

Refusal RefusalFor(const State& state, const std::string& service,
                   Shortage shortage) {
  const bool lacks_servers =
      shortage == Shortage::kBackends || shortage == Shortage::kMissingEngines;
  if (lacks_servers && IsAnyEvacuated(state, service))
    return Refusal::kEvacuated;
  switch (shortage) {
    case Shortage::kRateLimit:
      return Refusal::kRateLimited;
    case Shortage::kBackoff:
      return Refusal::kBackendsBackingOff;
    case Shortage::kWarmUp:
      return Refusal::kWarmingUp;
    case Shortage::kRegions:
      return Refusal::kNoHome;
    case Shortage::kMissingEngines:
      return Refusal::kMissingEngines;
    default:
      return Refusal::kOverload;
  }
}

namespace {

// Decides where a request goes that any of `available` may get.
PlacementDecision DecideAmong(State& state, const PlacementDemand& demand,
                              const EngineTiming* timing,
                              const std::vector<const Backend*>& available) {
  const auto open = BackendsWithinRateLimit(state, demand, available);
  if (open.empty()) return WaitForRateLimit(state, demand, available);
  if (const auto by_fingerprint =
          PlaceByFingerprint(state, demand, timing, open)) {
    return *by_fingerprint;
  }
  if (timing == nullptr) return PlacePlainRequest(state, demand, open);
  if (demand.prefill_time > kShortPromptPrefillLimit) {
    const QueueEstimate estimate =
        EstimateQueue(state, demand, *timing, open.size());
    if (const auto unreachable = CheckDeadline(state, demand, estimate))
      return *unreachable;
    if (estimate.ahead > 0) return NoCapacityNow{Shortage::kQueueOrder};
  }
  return std::visit([](const auto& it) -> PlacementDecision { return it; },
                    PlacePrompt(state, demand, *timing, open));
}

// Decides where a request goes while some servers are or were cold.
PlacementDecision DecideByWarmUp(State& state, const PlacementDemand& demand,
                                 const EngineTiming* timing,
                                 const std::vector<const Backend*>& available) {
  const WarmUpChoice choice = ChooseByWarmUp(state, demand, available);
  // Long prompts avoid cold engines while warm ones can serve them.
  const bool is_long = demand.prefill_time > kShortPromptPrefillLimit;
  if (is_long && !choice.warm.empty() && !choice.granted.empty()) {
    auto decision = DecideAmong(state, demand, timing, choice.warm);
    if (std::holds_alternative<Placement>(decision)) return decision;
  }
  std::vector<const Backend*> open = choice.warm;
  open.insert(open.end(), choice.granted.begin(), choice.granted.end());
  // BuildPoolView() finds engines by their order.
  std::sort(open.begin(), open.end(),
            [](const Backend* a, const Backend* b) { return a->id < b->id; });
  // The prompt may fit together with the cold engines.
  const bool lacks_engines =
      timing != nullptr &&
      TokensOf(demand) > GroupMemoryTokens(*timing, open.size());
  if (open.empty() || lacks_engines)
    return WaitForWarmUp(state, demand, available);
  return DecideAmong(state, demand, timing, open);
}

// Decides about a prompt that the engines that may take it can't hold together.
// Engines that crashed, left, lost their entry or aren't registered yet are
// missing for a time, so that only what exceeds the largest group is final.
// `all` includes engines that the sender backs off from, `available` doesn't.
std::optional<PlacementDecision> CheckGroupMemory(State& state,
                                                  const PlacementDemand& demand,
                                                  const EngineTiming& timing,
                                                  std::size_t all,
                                                  std::size_t available) {
  const std::int64_t needed = TokensOf(demand);
  if (ExceedsLargestGroup(timing, needed)) return TooLarge{};
  if (needed <= GroupMemoryTokens(timing, available)) return std::nullopt;
  if (needed <= GroupMemoryTokens(timing, all)) {
    return DeadlineUnreachable{.retry_after = kBackoffRetryAfter,
                               .shortage = Shortage::kBackoff};
  }
  const Duration retry_after =
      RetryAfterOf(state, demand, kMissingEnginesRetryAfter);
  Log(state, "missing_engines",
      {{"request", demand.id},
       {"service", demand.service},
       {"prompt", std::to_string(demand.prompt_tokens)},
       {"engines", std::to_string(all)},
       {"needed", std::to_string(needed / UsableMemoryTokens(timing) + 1)},
       {"retry_after_ms", Millis(retry_after)}});
  return DeadlineUnreachable{.retry_after = retry_after,
                             .shortage = Shortage::kMissingEngines};
}

}  // namespace

PlacementDecision DecidePlacement(State& state, const PlacementDemand& demand) {
  const EngineTiming* timing = TimingOf(state, demand.service);
  const auto all = OpenBackends(
      state, demand.service,
      {.allowed_regions = &demand.allowed_regions, .has_warm_up_grant = true});
  if (all.empty()) return WithoutServer(state, demand);
  const auto available = WithoutBackingOff(demand, all);
  if (available.empty()) {
    return DeadlineUnreachable{.retry_after = kBackoffRetryAfter,
                               .shortage = Shortage::kBackoff};
  }
  if (timing != nullptr) {
    if (const auto decision = CheckGroupMemory(state, demand, *timing,
                                               all.size(), available.size())) {
      return *decision;
    }
  }
  return state.warm_ups.empty()
             ? DecideAmong(state, demand, timing, available)
             : DecideByWarmUp(state, demand, timing, available);
}

}  // namespace scaleshed::serving::internal
