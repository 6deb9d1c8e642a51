#include <algorithm>
#include <utility>

#include "internal/durations.h"
#include "internal/steps.h"
#include "scaleshed/serving/reducer.h"

// Placement for other daemons: how a daemon requests a placement from a placer,
// and how a placer responds.
namespace scaleshed::serving::internal {
namespace {

// A placer responds within some ms. After this timeout the daemon requests the
// placement from the next placer, and in the end places locally. The objective
// of the first token leaves little time: 50 ms for both placers.
constexpr Duration kPlacerTimeout = milliseconds(25);
// Fallback placers are tried only after the placers have timed out. All placers
// and fallback placers together take 100 ms, of the 300 ms until the first
// token of a short prompt.
constexpr Duration kFallbackPlacerTimeout = milliseconds(12);
// A placer that timed out is skipped for this time: less than it takes until
// the placer is known to be gone, and many times the timeout.
constexpr Duration kPlacerSuspicionDuration = milliseconds(500);
// A fallback placer places for this time, until the other hubs know from
// missing snapshots that the placers are gone.
constexpr Duration kFallbackPlacerDuration = milliseconds(2500);
// The interval at which a daemon repeats the request for a queued prompt. The
// placer drops a request that isn't repeated within kPlacementRequestExpiry.
constexpr Duration kPlacementRepeatInterval = milliseconds(150);
constexpr Duration kPlacementRequestExpiry = milliseconds(500);
// A placement that the requesting daemon hasn't published as an active request
// by then wasn't started. The time covers the response to that daemon, its
// memory reservation and its snapshot.
constexpr Duration kPublicationTimeout = milliseconds(600);
// The interval at which a placer retries the first prompts of the queue. For
// the prompts behind them, kQueueEstimateInterval is the interval at which
// their queue estimate is updated.
constexpr Duration kRemotePlacementRetryInterval = milliseconds(10);
constexpr Duration kQueueEstimateInterval = milliseconds(100);

// After its start a daemon keeps long prompts for this time if no placer is
// known. The daemons of a fleet that starts at once would otherwise use the
// same engines for the parts of many prompts, and streams there would stand
// still.
constexpr Duration kMaxWaitForFirstPlacers = milliseconds(400);
// The interval at which these prompts look for a placer.
constexpr Duration kFirstPlacersRetryInterval = milliseconds(10);

using RemotePlacementKey = std::pair<std::string, std::uint64_t>;

// The first placer that isn't suspected, otherwise the first such fallback
// placer, which may be this daemon; empty if there is none.
std::string NextPlacer(const State& state) {
  const PlacementDuties& dispatch = state.dispatch;
  for (const auto* list : {&dispatch.placers, &dispatch.fallback_placers}) {
    for (const std::string& it : *list) {
      const auto suspected = dispatch.placers_suspected_until.find(it);
      const bool usable = suspected == dispatch.placers_suspected_until.end() ||
                          suspected->second <= state.now;
      if (usable) return it;
    }
  }
  return "";
}

// Makes this daemon a fallback placer if it is a hub that doesn't receive all
// active requests yet. Called when a placement is requested from this daemon,
// or when it finds no other placer for its own request.
void BecomeFallbackPlacer(State& state) {
  PlacementDuties& dispatch = state.dispatch;
  if (ReceivesAllActiveRequests(state) || !dispatch.is_hub) return;
  Log(state, "stands_in",
      {{"placers", std::to_string(dispatch.placers.size())}});
  dispatch.fallback_until = state.now + kFallbackPlacerDuration;
  // The full snapshot also informs daemons that send this one no heartbeats.
  for (auto& [peer, due] : state.full_snapshot_due) due = state.now;
  state.has_unpublished_changes = true;
}

// A daemon that places by itself, also a placer, requests only the warm-up
// granter to place, and only what needs a cold server.
std::string NextPlacerFor(const State& state) {
  return ReceivesAllActiveRequests(state) ? FindWarmUpGranter(state)
                                          : NextPlacer(state);
}

PlacementRequest PlacementRequestFor(const State& state,
                                     const Request& request) {
  const auto backing_off = ServersBackingOff(state);
  const auto suspected_parts = SuspectedParts(state, request.metadata);
  return {
      .peer_address = state.options.peer_address,
      .incarnation = state.options.incarnation,
      .id = request.key,
      .attempt_number = request.attempt_number,
      .request = request.metadata.id,
      .service = request.service,
      .prompt_tokens = request.metadata.prompt_tokens,
      .answer_tokens = request.metadata.answer_tokens,
      .arrived = request.arrived,
      .due = request.due,
      .deadline = request.deadline,
      .max_event_gap = request.route.max_event_gap,
      .excluded = {request.excluded.begin(), request.excluded.end()},
      .backing_off = {backing_off.begin(), backing_off.end()},
      .fingerprint = request.metadata.fingerprint,
      .crash_suspected = IsCrashSuspected(state, request.metadata.fingerprint),
      .suspected_parts = {suspected_parts.begin(), suspected_parts.end()},
      .sequence = request.placement_sequence,
      .allowed_regions = request.allowed_regions};
}

std::set<std::uint64_t> UnclearedParts(
    const State& state, const std::vector<std::uint64_t>& parts) {
  std::set<std::uint64_t> uncleared(parts.begin(), parts.end());
  std::erase_if(uncleared,
                [&](std::uint64_t it) { return IsClearedPart(state, it); });
  return uncleared;
}

PlacementDemand DemandOf(const State& state, const RemotePlacement& remote) {
  const PlacementRequest& it = remote.request;
  return {.id = it.request,
          .service = it.service,
          .prompt_tokens = it.prompt_tokens,
          .answer_tokens = it.answer_tokens,
          .arrived = it.arrived,
          .due = it.due,
          .deadline = it.deadline,
          .prefill_time = remote.prefill_time,
          .excluded = {it.excluded.begin(), it.excluded.end()},
          .fingerprint = it.fingerprint,
          .crash_suspected = it.crash_suspected,
          .suspected_parts = UnclearedParts(state, it.suspected_parts),
          .data_centre = DataCentreOf(state, it.peer_address),
          .allowed_regions = it.allowed_regions,
          .waits_for = remote.waits_for,
          .backing_off = {it.backing_off.begin(), it.backing_off.end()}};
}

void Respond(State& state, const RemotePlacement& remote,
             PlacementOutcome outcome, Duration retry_after = {}) {
  const PlacementRequest& request = remote.request;
  PlacementResponse response{
      .peer_address = state.options.peer_address,
      .incarnation = request.incarnation,
      .id = request.id,
      .attempt_number = request.attempt_number,
      .outcome = outcome,
      .placement = remote.placement.value_or(Placement{}),
      .rate_limits_counted = remote.rate_limits_counted,
      .warm_up_grants = remote.warm_up_grants,
      .sequence = request.sequence,
      .shortage = remote.waits_for.value_or(Shortage::kQueueOrder),
      .retry_after = retry_after};
  state.effects.emplace_back(RespondToPlacement{
      .to = request.peer_address, .response = std::move(response)});
}

std::string NameOf(State& state, BackendId id) {
  const Backend* backend = FindBackend(state, id);
  return backend == nullptr ? "" : backend->server.id;
}

void RecordPlacement(State& state, RemotePlacement& remote,
                     const Placement& placement) {
  const PlacementRequest& request = remote.request;
  remote.placement = placement;
  remote.rate_limits_counted = KnownRateLimitsAt(state, placement);
  remote.warm_up_grants = TakeWarmUpGrants(state, placement);
  RecordStart(state, placement);
  remote.placed_at = state.now;
  remote.active_request = {.id = request.id,
                           .backend = placement.backend,
                           .helpers = placement.helpers,
                           .prompt_tokens = request.prompt_tokens,
                           .answer_tokens = request.answer_tokens,
                           .started_at = state.now,
                           .decoding = false,
                           .max_event_gap = request.max_event_gap,
                           .helper_tokens = placement.helper_tokens,
                           .fingerprint = request.fingerprint,
                           .suspected_parts = request.suspected_parts};
  state.effects.emplace_back(IncrementCounter{Counter::kPlacedForOthers});
  Log(state, "placed",
      {{"request", request.request},
       {"for", request.peer_address},
       {"backend", NameOf(state, placement.backend)},
       {"helpers", std::to_string(placement.helpers.size())},
       {"prompt", std::to_string(request.prompt_tokens)},
       {"after_ms", Millis(state.now - request.arrived)},
       {"expected_ms", Millis(placement.first_token)},
       {"asked", std::to_string(state.dispatch.remote_placements.size())}},
      /*routine=*/true);
}

// Tries to place the prompt of another daemon, and responds with the outcome.
// Returns true, without a response, if the prompt has to wait.
bool TryPlace(State& state, RemotePlacement& remote) {
  const PlacementDecision decision =
      DecidePlacement(state, DemandOf(state, remote));
  return std::visit(
      Overloaded{[&](const Placement& it) {
                   RecordPlacement(state, remote, it);
                   Respond(state, remote, PlacementOutcome::kPlaced);
                   return false;
                 },
                 [&](const NoCapacityNow& it) {
                   remote.waits_for = it.shortage;
                   return true;
                 },
                 [&](const TooLarge&) {
                   Respond(state, remote, PlacementOutcome::kTooLarge);
                   return false;
                 },
                 [&](const DeadlineUnreachable& it) {
                   remote.waits_for = it.shortage;
                   Respond(state, remote, PlacementOutcome::kRefused,
                           it.retry_after);
                   return false;
                 }},
      decision);
}

// Called when a placer doesn't know rate limits that this daemon knows:
// publishes them again, and requests the placement as a new attempt.
void RequestAgainAfterRateLimits(State& state, Request& request,
                                 const std::vector<BackendId>& backends) {
  Log(state, "placer_unaware",
      {{"request", request.metadata.id},
       {"placer", request.placer},
       {"limits", std::to_string(backends.size())}});
  RepublishRateLimits(state, backends);
  ++request.attempt_number;
  QueueRequest(state, request, kRemotePlacementRetryInterval,
               Shortage::kRateLimit);
}

// Called when a placement names cold servers without a grant, as the placer
// doesn't know of their warm-up, or with a grant that is void: requests the
// placement as a new attempt.
void RequestAgainForWarmUp(State& state, Request& request,
                           const std::vector<BackendId>& ungranted) {
  state.effects.emplace_back(IncrementCounter{Counter::kWarmUpGrantsVoid});
  Log(state, "warm_up_void",
      {{"request", request.metadata.id},
       {"placer", request.placer},
       {"ungranted", std::to_string(ungranted.size())}});
  request.excluded.insert(ungranted.begin(), ungranted.end());
  ++request.attempt_number;
  QueueRequest(state, request, kRemotePlacementRetryInterval,
               Shortage::kWarmUp);
}

// Starts a request where a placer has placed it, unless this daemon knows more
// than the placer of the servers.
void ApplyRemotePlacement(State& state, Request& request,
                          const PlacementResponse& response) {
  if (const auto backends = UncountedRateLimitsAt(state, response);
      !backends.empty()) {
    RequestAgainAfterRateLimits(state, request, backends);
    return;
  }
  const auto ungranted = UngrantedServersAt(state, response);
  // A grant for an earlier placement request may be too old.
  const bool is_void = !response.warm_up_grants.empty() &&
                       response.sequence != request.placement_sequence;
  if (!ungranted.empty() || is_void) {
    RequestAgainForWarmUp(state, request, ungranted);
    return;
  }
  request.warm_up_grants = response.warm_up_grants;
  request.warm_up_grants_until =
      request.placement_requested_at + kWarmUpGrantLifetime;
  StartPlacedAttempt(state, request, response.placement);
}

// Called when a placer refused a request: if it knows no server in the allowed
// regions, but this daemon does, places the request locally and returns true.
// The placer may lack the regions of data centres in its settings.
bool PlacesLocallyInRegions(State& state, Request& request, Shortage shortage) {
  if (shortage != Shortage::kRegions) return false;
  const SendTerms terms{.allowed_regions = &request.allowed_regions,
                        .has_warm_up_grant = true};
  if (OpenBackends(state, request.service, terms).empty()) return false;
  Log(state, "placer_without_regions", {{"request", request.metadata.id}});
  request.places_locally = true;
  PlaceLocally(state, request);
  return true;
}

bool AwaitsFirstPlacers(const State& state, const Request& request) {
  const EngineTiming* timing = TimingOf(state, request.service);
  return timing != nullptr &&
         state.now - state.started_at < kMaxWaitForFirstPlacers &&
         PrefillTime(*timing, request.metadata.prompt_tokens) >
             kShortPromptPrefillLimit;
}

void DropExpiredPlacements(State& state) {
  std::erase_if(state.dispatch.remote_placements, [&](const auto& it) {
    const RemotePlacement& remote = it.second;
    return remote.placement
               ? state.now - remote.placed_at > kPublicationTimeout
               : state.now - remote.last_requested_at > kPlacementRequestExpiry;
  });
}

}  // namespace

void RequestRemotePlacement(State& state, Request& request) {
  PlacementDuties& dispatch = state.dispatch;
  if (!request.placer.empty() && !request.placer_responded) {
    dispatch.placers_suspected_until[request.placer] =
        state.now + kPlacerSuspicionDuration;
    state.effects.emplace_back(IncrementCounter{Counter::kPlacersTimedOut});
    Log(state, "placer_silent",
        {{"request", request.metadata.id}, {"placer", request.placer}});
  }
  request.phase = Phase::kWaiting;
  request.placer = NextPlacerFor(state);
  request.placer_responded = false;
  if (request.placer == state.options.peer_address) {
    request.placer.clear();
    BecomeFallbackPlacer(state);
    PlaceLocally(state, request);
    return;
  }
  if (request.placer.empty() && dispatch.placers.empty() &&
      AwaitsFirstPlacers(state, request)) {
    QueueRequest(state, request, kFirstPlacersRetryInterval,
                 Shortage::kPlacers);
    return;
  }
  if (request.placer.empty()) {
    state.effects.emplace_back(IncrementCounter{Counter::kPlacedLocally});
    // Logged once, not at each retry of a request that waits for capacity.
    if (!request.waits_for) {
      Log(state, "places_alone",
          {{"request", request.metadata.id},
           {"placers", std::to_string(dispatch.placers.size())},
           {"waited_ms", Millis(state.now - request.arrived)}});
    }
    PlaceLocally(state, request);
    return;
  }
  const bool is_placer =
      dispatch.place_locally || IsPlacer(state, request.placer);
  request.retry_at =
      state.now + (is_placer ? kPlacerTimeout : kFallbackPlacerTimeout);
  dispatch.response_due = std::min(
      dispatch.response_due.value_or(request.retry_at), request.retry_at);
  request.placement_sequence = ++dispatch.last_sequence;
  request.placement_requested_at = state.now;
  state.effects.emplace_back(IncrementCounter{Counter::kPlacementsRequested});
  state.effects.emplace_back(RequestPlacement{
      .to = request.placer, .request = PlacementRequestFor(state, request)});
}

void WithdrawPlacement(State& state, const Request& request) {
  if (request.phase != Phase::kWaiting || request.placer.empty()) return;
  PlacementRequest withdrawal = PlacementRequestFor(state, request);
  withdrawal.withdrawn = true;
  state.effects.emplace_back(
      RequestPlacement{.to = request.placer, .request = std::move(withdrawal)});
}

void OnPlacementResponse(State& state, const PlacementResponse& response) {
  state.dispatch.placers_suspected_until.erase(response.peer_address);
  const auto found = state.requests.find(response.id);
  if (response.incarnation != state.options.incarnation ||
      found == state.requests.end()) {
    return;
  }
  Request& request = found->second;
  const bool expected = request.phase == Phase::kWaiting &&
                        request.attempt_number == response.attempt_number &&
                        !request.placer.empty();
  if (!expected) return;
  request.placer_responded = true;
  switch (response.outcome) {
    case PlacementOutcome::kPlaced:
      ApplyRemotePlacement(state, request, response);
      return;
    case PlacementOutcome::kQueued:
      QueueRequest(state, request, kPlacementRepeatInterval, response.shortage);
      return;
    case PlacementOutcome::kRefused:
      request.placer.clear();
      if (PlacesLocallyInRegions(state, request, response.shortage)) return;
      RefuseRequest(state, request,
                    RefusalFor(state, request.service, response.shortage),
                    response.retry_after);
      return;
    case PlacementOutcome::kTooLarge:
      request.placer.clear();
      RefuseTooLarge(state, request);
      return;
  }
}

void OnPlacementRequest(State& state, const PlacementRequest& request) {
  auto& all = state.dispatch.remote_placements;
  const RemotePlacementKey key{request.peer_address, request.id};
  const auto before = all.find(key);
  const bool same =
      before != all.end() &&
      before->second.request.incarnation == request.incarnation &&
      before->second.request.attempt_number == request.attempt_number;
  if (request.withdrawn) {
    if (same) all.erase(before);
    return;
  }
  // The response may have been lost.
  if (same && before->second.placement) {
    Respond(state, before->second, PlacementOutcome::kPlaced);
    return;
  }
  BecomeFallbackPlacer(state);
  const EngineTiming* timing = TimingOf(state, request.service);
  const bool known = timing != nullptr || request.prompt_tokens == 0;
  // Without the active requests of all daemons the placement would be poor.
  // Another placer, or the requesting daemon itself, places better.
  if (!known || !ReceivesAllActiveRequests(state)) return;
  RemotePlacement& remote = all[key];
  const auto waits_for = remote.waits_for;
  remote = {.request = request,
            .prefill_time = timing == nullptr
                                ? Duration::zero()
                                : PrefillTime(*timing, request.prompt_tokens),
            .last_requested_at = state.now,
            .retry_at = state.now + kRemotePlacementRetryInterval,
            .waits_for = same ? waits_for : std::nullopt};
  if (TryPlace(state, remote)) {
    Respond(state, remote, PlacementOutcome::kQueued);
  } else if (!remote.placement) {
    all.erase(key);
  }
}

void RetryRemotePlacements(State& state) {
  auto& all = state.dispatch.remote_placements;
  if (all.empty()) return;
  DropExpiredPlacements(state);
  std::vector<std::pair<Time, RemotePlacementKey>> due;
  for (const auto& [key, it] : all) {
    if (it.placement || it.retry_at > state.now) continue;
    due.emplace_back(QueueKeyOf(state, it), key);
  }
  std::sort(due.begin(), due.end());
  // Behind a long prompt without capacity, no other long prompt of the service
  // can be placed. Those are retried less often, to update their queue
  // estimate.
  std::set<std::string> blocked_services;
  for (const auto& [queue_key, key] : due) {
    RemotePlacement& remote = all.at(key);
    const std::string service = remote.request.service;
    const bool is_long = remote.prefill_time > kShortPromptPrefillLimit;
    const bool behind = is_long && blocked_services.contains(service);
    remote.retry_at = state.now + (behind ? kQueueEstimateInterval
                                          : kRemotePlacementRetryInterval);
    if (TryPlace(state, remote)) {
      if (is_long) blocked_services.insert(service);
    } else if (!remote.placement) {
      all.erase(key);
    }
  }
}

void DropPublishedPlacements(State& state, const LoadSnapshot& snapshot) {
  auto& all = state.dispatch.remote_placements;
  if (all.empty()) return;
  const auto erase_placed = [&](std::uint64_t id) {
    const auto it = all.find({snapshot.peer_address, id});
    if (it != all.end() && it->second.placement) all.erase(it);
  };
  for (const ActiveRequest& it : snapshot.active_requests) erase_placed(it.id);
  for (const std::uint64_t it : snapshot.finished_ids) erase_placed(it);
}

}  // namespace scaleshed::serving::internal
