#include <algorithm>
#include <utility>

#include "internal/durations.h"
#include "internal/pool.h"
#include "internal/steps.h"
#include "scaleshed/serving/reducer.h"

namespace scaleshed::serving::internal {
namespace {

// How often a request may be declined by backend servers and sent again.
constexpr int kMaxDeclinedSends = 3;
// The interval at which placement is retried while the pool has no capacity.
constexpr Duration kLocalPlacementRetryInterval = milliseconds(10);
// The delay after a memory reservation was refused: about the time until some
// response is complete and frees memory.
constexpr Duration kMemoryRetryInterval = milliseconds(200);
// Memory reservations have a short lease and are renewed, so that those of a
// daemon that dies expire before the memory counts as lost (4 s).
constexpr Duration kReservationLease = milliseconds(3500);
constexpr Duration kReservationRenewInterval = milliseconds(900);
// Memory reservations are renewed only if the decoding engine gave a liveness
// signal, an event or a report, within this time. The request of an engine that
// falls silent without closing the connection counts as ended; with the lease,
// its reserved memory is free 3.8 s later, within the 4 s after which memory
// counts as lost. While the engine sends no events, its report is fetched at
// kAliveReportInterval; a report takes some ms.
constexpr Duration kMaxLivenessSignalAge = milliseconds(300);
constexpr Duration kAliveReportInterval = milliseconds(250);
// Engines answer a memory reservation within milliseconds, or not at all.
constexpr Duration kReservationTimeout = milliseconds(400);
// Another backend server is tried when a stream's first event takes longer than
// twice the expected time plus this, or plus half of the objective if that is
// longer. Clients give up short streams after two seconds of silence.
constexpr Duration kFirstEventGrace = milliseconds(900);
// A repeatable request without a response is sent elsewhere after this multiple
// of its objective, but not before kMinHangTimeout.
constexpr int kHangTimeoutObjectives = 3;
constexpr Duration kMinHangTimeout = milliseconds(800);

// Places a request locally from now on if the placer, which may be of an older
// build, ignored its allowed regions.
void NotePlacementOutsideRegions(State& state, Request& request,
                                 const Backend* backend,
                                 const std::vector<const Backend*>& helpers) {
  const auto is_outside = [&](const Backend* it) {
    return it != nullptr &&
           FindSendBlock(state, *it,
                         {.allowed_regions = &request.allowed_regions,
                          .has_warm_up_grant = true}) ==
               SendBlock::kOutsideRegions;
  };
  const bool outside = is_outside(backend) ||
                       std::any_of(helpers.begin(), helpers.end(), is_outside);
  if (!outside) return;
  request.places_locally = true;
  state.effects.emplace_back(IncrementCounter{Counter::kPlacedOutsideRegions});
  Log(state, "placed_outside_regions",
      {{"request", request.metadata.id},
       {"backend", request.current.backend_name}});
}

void SendAttempt(State& state, Request& request) {
  if (ReturnIfEvacuated(state, request, kLocalPlacementRetryInterval)) return;
  Backend* backend = FindBackend(state, request.current.backend);
  // Reserving memory took a while. A helper that is leaving by now would refuse
  // its part, and the whole prompt would fail.
  std::vector<const Backend*> helpers;
  for (const BackendId it : request.current.active_request.helpers) {
    helpers.push_back(FindBackend(state, it));
  }
  const auto takes_work = [&](const Backend* it) {
    return it != nullptr &&
           !FindSendBlock(
               state, *it,
               {.allowed_regions = &request.allowed_regions,
                .sends_now = true,
                .has_warm_up_grant = HasWarmUpGrant(state, request, *it)});
  };
  const bool helpers_ready =
      std::all_of(helpers.begin(), helpers.end(), takes_work);
  if (!takes_work(backend) || !helpers_ready || !AreBackendsUsable(state)) {
    // The placer may not know yet that this server is leaving, or asked for a
    // backoff. Of a cold server, only the grant may be void.
    const bool lacks_grant =
        backend != nullptr && !HasWarmUpGrant(state, request, *backend);
    if (!takes_work(backend) && !lacks_grant)
      request.excluded.insert(request.current.backend);
    if (lacks_grant) {
      state.effects.emplace_back(IncrementCounter{Counter::kWarmUpGrantsVoid});
      Log(state, "warm_up_void",
          {{"request", request.metadata.id}, {"backend", backend->server.id}});
    }
    NotePlacementOutsideRegions(state, request, backend, helpers);
    Requeue(state, request, kLocalPlacementRetryInterval);
    return;
  }
  if (RefuseIfQuarantined(state, request)) return;
  // The placer may not know of the crash check yet.
  if (AwaitsCrashCheck(state, request.metadata.fingerprint) ||
      AwaitsPartCheck(state, SuspectedParts(state, request.metadata))) {
    Requeue(state, request, kLocalPlacementRetryInterval);
    return;
  }
  if (!CommitRetryOrRefuse(state, request)) return;
  request.phase = Phase::kRunning;
  RecordSend(state, request);
  StartAttempt effect{.attempt = request.current.id,
                      .key = request.key,
                      .address = backend->server.address,
                      .instance = backend->server.id,
                      .account = request.account,
                      .time_left = request.deadline - state.now,
                      .stream = IsStream(request.route.kind)};
  if (request.response_started) effect.resume_after = request.last_event_id;
  std::string helper_names;
  for (std::size_t i = 0; i < helpers.size(); ++i) {
    const BackendServer& helper = helpers[i]->server;
    const std::string reservation_id =
        i < request.current.memory_reservations.size()
            ? request.current.memory_reservations[i].reservation_id
            : "";
    effect.helpers.push_back(
        {.address = helper.address, .reservation_id = reservation_id});
    helper_names += (helper_names.empty() ? "" : ",") + helper.id;
  }
  state.effects.emplace_back(IncrementCounter{Counter::kSends});
  if (!effect.helpers.empty()) {
    state.effects.emplace_back(IncrementCounter{Counter::kHelped});
  }
  Log(state, "sent",
      {{"request", request.metadata.id},
       {"content", FingerprintText(request.metadata.fingerprint)},
       {"parts", PartsText(request.metadata)},
       {"attempt", std::to_string(request.current.id)},
       {"backend", backend->server.id},
       {"address", backend->server.address},
       {"helpers", std::to_string(effect.helpers.size())},
       {"helped_by", helper_names},
       {"prompt", std::to_string(request.metadata.prompt_tokens)},
       {"waited_ms", Millis(state.now - request.arrived)},
       {"expected_ms", Millis(request.current.expected_time_to_first_token)},
       {"time_left_ms", Millis(effect.time_left)},
       {"version", std::to_string(StampOf(state).version)},
       {"revision", std::to_string(StampOf(state).revision.number)},
       {"confirmed_ms_ago", Millis(state.now - state.confirmed_at)},
       {"listed_ms_ago", Millis(state.now - state.store.backends_confirmed_at)},
       {"resume_after", effect.resume_after}},
      /*routine=*/request.delivered_sends + request.declined_sends == 0);
  state.effects.emplace_back(std::move(effect));
}

void ReserveHelperMemory(State& state, Request& request,
                         const Placement& placement) {
  request.phase = Phase::kReserving;
  request.current.progress_deadline = state.now + kReservationTimeout;
  request.current.memory_reservations.assign(placement.helpers.size(), {});
  for (std::size_t i = 0; i < placement.helpers.size(); ++i) {
    MemoryReservation& reservation = request.current.memory_reservations[i];
    reservation.tokens = placement.helper_tokens[i];
    const Backend* helper = FindBackend(state, placement.helpers[i]);
    if (reservation.tokens == 0 || helper == nullptr) {
      reservation.granted = true;
      continue;
    }
    reservation.address = helper->server.address;
    reservation.reservation_id = std::to_string(state.options.incarnation) +
                                 "-" + std::to_string(request.current.id) +
                                 "-" + std::to_string(i);
    reservation.renew_at = state.now + kReservationRenewInterval;
    state.effects.emplace_back(IncrementCounter{Counter::kMemoryReservations});
    state.effects.emplace_back(
        ReserveMemory{.attempt = request.current.id,
                      .helper_index = i,
                      .address = reservation.address,
                      .reservation_id = reservation.reservation_id,
                      .tokens = reservation.tokens,
                      .lease_duration = kReservationLease});
  }
}

}  // namespace

Duration ProgressTimeout(const Request& request, Duration first_token) {
  if (request.route.kind == RequestKind::kRepeatable) {
    return std::max(kHangTimeoutObjectives * request.route.objective,
                    kMinHangTimeout);
  }
  const Duration grace =
      std::max(kFirstEventGrace, request.route.objective / 2);
  return 2 * first_token + grace;
}

void BeginAttempt(State& state, Request& request) {
  request.current = {.id = ++state.last_attempt_id};
  ++request.attempt_number;
  request.placer.clear();
  state.attempts[request.current.id] = request.key;
}

bool CommitRetryOrRefuse(State& state, Request& request) {
  if (CommitRetry(state, request)) return true;
  // The reserved retry is no longer available if requests have become fewer, or
  // if this daemon has lost its slack share.
  RefuseRequest(state, request,
                request.may_have_run ? Refusal::kUnknown : Refusal::kNotRun,
                kRetryAfterDeclined);
  return false;
}

void RecordSend(State& state, Request& request) {
  request.current.sent_at = state.now;
  request.current.backend_alive_at = state.now;
  request.current.stands = true;
  request.current.answered = false;
  request.current.connecting = false;
  request.current.first_event_at = Time{};
  request.current.cleared_parts = false;
  const auto& suspected = request.current.active_request.suspected_parts;
  request.current.suspected_at_send = {suspected.begin(), suspected.end()};
  ++request.possible_runs;
}

void StartPlacedAttempt(State& state, Request& request,
                        const Placement& placement) {
  BeginAttempt(state, request);
  request.current.backend = placement.backend;
  const Backend* backend = FindBackend(state, placement.backend);
  request.current.backend_name = backend == nullptr ? "" : backend->server.id;
  request.current.active_request = {
      .id = request.key,
      .backend = placement.backend,
      .helpers = placement.helpers,
      .prompt_tokens = request.metadata.prompt_tokens,
      .answer_tokens = request.metadata.answer_tokens,
      .started_at = state.now,
      .decoding = false,
      .max_event_gap = request.route.max_event_gap,
      .helper_tokens = placement.helper_tokens,
      .fingerprint = request.metadata.fingerprint};
  const auto suspected_parts = SuspectedParts(state, request.metadata);
  request.current.active_request.suspected_parts.assign(suspected_parts.begin(),
                                                        suspected_parts.end());
  request.current.expected_time_to_first_token = placement.first_token;
  RecordStart(state, placement);
  state.has_unpublished_changes = true;
  const bool needs_reservations = std::any_of(
      placement.helper_tokens.begin(), placement.helper_tokens.end(),
      [](std::int64_t it) { return it > 0; });
  if (needs_reservations) {
    if (ReturnIfEvacuated(state, request, kLocalPlacementRetryInterval)) return;
    ReserveHelperMemory(state, request, placement);
    return;
  }
  request.current.memory_reservations.clear();
  request.current.progress_deadline =
      state.now + ProgressTimeout(request, placement.first_token);
  SendAttempt(state, request);
}

void QueueRequest(State& state, Request& request, Duration delay,
                  Shortage shortage) {
  // A request that goes on waiting is no change to publish. Otherwise each
  // retry at a full pool would cost one more message to every recipient.
  const bool changed =
      request.phase != Phase::kWaiting || request.waits_for != shortage;
  if (request.waits_for != shortage) {
    request.waits_for = shortage;
    Log(state, "waits",
        {{"request", request.metadata.id},
         {"for", std::string(NameIn(kShortageNames, shortage))},
         {"prompt", std::to_string(request.metadata.prompt_tokens)},
         {"after_ms", Millis(state.now - request.arrived)}});
  }
  request.phase = Phase::kWaiting;
  request.retry_at = state.now + delay;
  state.has_unpublished_changes = state.has_unpublished_changes || changed;
}

void TryStart(State& state, Request& request) {
  // If this daemon is running late, the request's deadline may have passed.
  if (state.now >= request.deadline) {
    RefuseRequest(state, request, Refusal::kTimeLimit,
                  kLocalPlacementRetryInterval);
    return;
  }
  if (!AreBackendsUsable(state)) {
    QueueRequest(state, request, kLocalPlacementRetryInterval,
                 Shortage::kFreshness);
    return;
  }
  if (RefuseIfQuarantined(state, request)) return;
  if (RefuseIfAllEvacuated(state, request)) return;
  if (AwaitsLivenessSignal(state, request.metadata.fingerprint) ||
      AwaitsCrashCheck(state, request.metadata.fingerprint) ||
      AwaitsPartCheck(state, SuspectedParts(state, request.metadata))) {
    QueueRequest(state, request, kLocalPlacementRetryInterval,
                 Shortage::kCrashCheck);
    return;
  }
  if (RelayOrRefuse(state, request)) return;
  // The configuration may have changed while the request waited or failed. Only
  // the backend servers of the service chosen at arrival may run it.
  const auto open = OpenBackends(
      state, request.service,
      {.allowed_regions = &request.allowed_regions, .has_warm_up_grant = true});
  if (open.empty() || request.declined_sends > kMaxDeclinedSends) {
    const Duration retry_after = milliseconds(200);
    RefuseRequest(state, request,
                  open.empty() ? RefusalWithoutServer(state, request.service,
                                                      request.allowed_regions)
                               : Refusal::kNotRun,
                  retry_after);
    return;
  }
  if (RefuseIfAllBackingOff(state, request, open)) return;
  // Plain requests go to a placer only if a rate limit or the warm-up of a
  // server counts them over all daemons.
  const bool is_fleet_wide = TimingOf(state, request.service) != nullptr ||
                             AnyRateLimited(state, request.service) ||
                             AnyCold(state, request.service);
  if (is_fleet_wide && !request.places_locally &&
      !ReceivesAllActiveRequests(state)) {
    RequestRemotePlacement(state, request);
    return;
  }
  PlaceLocally(state, request);
}

void RefuseTooLarge(State& state, Request& request) {
  const EngineTiming* timing = TimingOf(state, request.service);
  const std::int64_t tokens =
      request.metadata.prompt_tokens + request.metadata.answer_tokens;
  if (timing == nullptr || ExceedsLargestGroup(*timing, tokens)) {
    RefuseRequest(state, request, Refusal::kInvalid, Duration::zero());
    return;
  }
  // A placer of an older build lacks engines, or it has another configuration.
  RefuseRequest(state, request,
                RefusalFor(state, request.service, Shortage::kMissingEngines),
                kMissingEnginesRetryAfter);
}

namespace {

// Whether only a cold server could take a request about which this daemon has
// decided so, and another daemon grants the use of these.
bool NeedsWarmUpGranter(const State& state, const Request& request,
                        const PlacementDecision& decision) {
  if (state.warm_ups.empty() || !ReceivesAllActiveRequests(state)) return false;
  if (GrantsWarmUps(state) || !AnyCold(state, request.service)) return false;
  const auto* lacks = std::get_if<NoCapacityNow>(&decision);
  const auto* refused = std::get_if<DeadlineUnreachable>(&decision);
  if (lacks == nullptr && refused == nullptr) return false;
  const Shortage shortage =
      lacks != nullptr ? lacks->shortage : refused->shortage;
  const bool is_capacity =
      shortage != Shortage::kCrashCheck && shortage != Shortage::kBackoff;
  return is_capacity && !FindWarmUpGranter(state).empty();
}

// Starts a request at servers that this daemon itself has chosen.
void StartLocally(State& state, Request& request, const Placement& placement) {
  // The warm-up granter was requested to place it.
  if (ReceivesAllActiveRequests(state)) WithdrawPlacement(state, request);
  request.warm_up_grants = TakeWarmUpGrants(state, placement);
  request.warm_up_grants_until = state.now + kWarmUpGrantLifetime;
  StartPlacedAttempt(state, request, placement);
}

}  // namespace

void PlaceLocally(State& state, Request& request) {
  const PlacementDecision decision =
      DecidePlacement(state, DemandOf(state, request));
  if (NeedsWarmUpGranter(state, request, decision)) {
    RequestRemotePlacement(state, request);
    return;
  }
  std::visit(
      Overloaded{[&](const Placement& it) { StartLocally(state, request, it); },
                 [&](const NoCapacityNow& it) {
                   QueueRequest(state, request, kLocalPlacementRetryInterval,
                                it.shortage);
                 },
                 [&](const TooLarge&) { RefuseTooLarge(state, request); },
                 [&](const DeadlineUnreachable& it) {
                   RefuseRequest(
                       state, request,
                       RefusalFor(state, request.service, it.shortage),
                       it.retry_after);
                 }},
      decision);
}

void StartWaitingRequests(State& state) {
  std::vector<std::pair<Time, RequestKey>> waiting;
  auto& response_due = state.dispatch.response_due;
  response_due.reset();
  for (const auto& [key, request] : state.requests) {
    if (request.phase != Phase::kWaiting) continue;
    if (request.retry_at <= state.now) {
      waiting.emplace_back(QueueKeyOf(state, request), key);
    } else if (!request.placer.empty() && !request.placer_responded) {
      response_due =
          std::min(response_due.value_or(request.retry_at), request.retry_at);
    }
  }
  std::sort(waiting.begin(), waiting.end());
  for (const auto& [queue_key, key] : waiting) {
    const auto it = state.requests.find(key);
    if (it != state.requests.end()) TryStart(state, it->second);
  }
  RetryRemotePlacements(state);
}

void OnMemoryAnswered(State& state, const MemoryReservationAnswered& event) {
  const auto found = state.attempts.find(event.attempt);
  if (found == state.attempts.end()) return;
  Request& request = state.requests.at(found->second);
  if (event.attempt != request.current.id) return;
  if (event.helper_index >= request.current.memory_reservations.size()) return;
  if (request.phase != Phase::kReserving) return;
  if (!event.granted) {
    Log(state, "memory_refused",
        {{"request", request.metadata.id},
         {"address",
          request.current.memory_reservations[event.helper_index].address},
         {"tokens",
          std::to_string(request.current.memory_reservations[event.helper_index]
                             .tokens)}});
    EndAttempt(state, request, false);
    QueueRequest(state, request, kMemoryRetryInterval,
                 Shortage::kCombinedMemory);
    return;
  }
  request.current.memory_reservations[event.helper_index].granted = true;
  const bool all_granted =
      std::all_of(request.current.memory_reservations.begin(),
                  request.current.memory_reservations.end(),
                  [](const MemoryReservation& it) { return it.granted; });
  if (!all_granted) return;
  request.current.active_request.started_at = state.now;
  request.current.progress_deadline =
      state.now + 2 * request.prefill_time +
      std::max(kFirstEventGrace, request.route.objective / 2);
  SendAttempt(state, request);
}

namespace {

// Whether the decoding engine gave a liveness signal recently. If not, fetches
// its report as a liveness probe.
bool IsBackendAlive(State& state, Attempt& attempt) {
  const bool alive =
      state.now - attempt.backend_alive_at <= kMaxLivenessSignalAge;
  if (!attempt.stands || alive) return true;
  const Backend* backend = FindBackend(state, attempt.backend);
  if (backend != nullptr && attempt.probe_due <= state.now) {
    attempt.probe_due = state.now + kAliveReportInterval;
    RecordStart(state, attempt.backend);
    state.effects.emplace_back(FetchEngineReport{
        .backend = attempt.backend, .address = backend->server.address});
  }
  return false;
}

void RenewReservationsOf(State& state, Attempt& attempt) {
  const bool due = std::any_of(
      attempt.memory_reservations.begin(), attempt.memory_reservations.end(),
      [&](const MemoryReservation& it) {
        return !it.reservation_id.empty() && it.renew_at <= state.now;
      });
  if (!due || !IsBackendAlive(state, attempt)) return;
  for (std::size_t i = 0; i < attempt.memory_reservations.size(); ++i) {
    MemoryReservation& reservation = attempt.memory_reservations[i];
    if (reservation.reservation_id.empty() || reservation.renew_at > state.now)
      continue;
    reservation.renew_at = state.now + kReservationRenewInterval;
    RecordStart(state, attempt.active_request.helpers[i]);
    state.effects.emplace_back(
        ReserveMemory{.attempt = attempt.id,
                      .helper_index = i,
                      .address = reservation.address,
                      .reservation_id = reservation.reservation_id,
                      .tokens = reservation.tokens,
                      .lease_duration = kReservationLease});
  }
}

}  // namespace

void RenewReservations(State& state, Request& request) {
  RenewReservationsOf(state, request.current);
  for (Attempt& it : request.stalled) RenewReservationsOf(state, it);
}

void ReleaseReservations(State& state, Attempt& attempt) {
  for (const MemoryReservation& it : attempt.memory_reservations) {
    if (it.reservation_id.empty()) continue;
    state.effects.emplace_back(ReleaseMemory{
        .address = it.address, .reservation_id = it.reservation_id});
  }
  attempt.memory_reservations.clear();
}

}  // namespace scaleshed::serving::internal
