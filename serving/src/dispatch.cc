#include <algorithm>
#include <utility>

#include "internal/durations.h"
#include "internal/steps.h"
#include "scaleshed/serving/reducer.h"

// Prompts that a placer places for other daemons: what these ask, and what it
// answers.
namespace scaleshed::serving::internal {
namespace {

// A placer answers within some ms; then the next one is asked, at last nobody.
// Short, as a first token in time leaves little: 50 ms for both.
constexpr Duration kAnswerWithin = milliseconds(25);
// Those that stand in are asked after that wait: 100 ms for all, of 300 to the
// first token of a short prompt.
constexpr Duration kStandInWithin = milliseconds(12);
// One that was silent is passed over for so long: less than until it is known
// to be gone, many times the wait for it.
constexpr Duration kDoubtFor = milliseconds(500);
// Until the other hubs know, by their silence, that the placers are gone.
constexpr Duration kStandInFor = milliseconds(2500);
// Those who wait ask again so often, and are forgotten when they don't.
constexpr Duration kAskAgain = milliseconds(150);
constexpr Duration kForgetAfter = milliseconds(500);
// What was placed and is not told by then is not begun: an answer's way, the
// order for memory, the message about it.
constexpr Duration kToldWithin = milliseconds(600);
// Between two looks for room at the head of the line, and for the outlook of
// those behind it.
constexpr Duration kLookAgain = milliseconds(10);
constexpr Duration kOutlookAgain = milliseconds(100);

using AskedKey = std::pair<std::string, std::uint64_t>;

// Placers that are not in doubt, then those that stand in for them, of which
// this daemon may be one.
std::string NextPlacer(const State& state) {
  const PlacementDuties& dispatch = state.dispatch;
  for (const auto* list : {&dispatch.placers, &dispatch.fallback_placers}) {
    for (const std::string& it : *list) {
      const auto doubted = dispatch.placers_suspected_until.find(it);
      const bool sound = doubted == dispatch.placers_suspected_until.end() ||
                         doubted->second <= state.now;
      if (sound) return it;
    }
  }
  return "";
}

// A daemon that found no placer asks this one.
void StandIn(State& state) {
  PlacementDuties& dispatch = state.dispatch;
  if (ReceivesAllActiveRequests(state) || !dispatch.is_hub) return;
  Log(state, "stands_in",
      {{"placers", std::to_string(dispatch.placers.size())}});
  dispatch.fallback_until = state.now + kStandInFor;
  // Those that don't tell it that they live are told with the next whole one.
  for (auto& [peer, due] : state.full_snapshot_due) due = state.now;
  state.has_unpublished_changes = true;
}

PlacementRequest QuestionFor(const State& state, const Request& request) {
  const auto resting = ServersBackingOff(state);
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
      .backing_off = {resting.begin(), resting.end()},
      .fingerprint = request.metadata.fingerprint,
      .crash_suspected = IsCrashSuspected(state, request.metadata.fingerprint)};
}

PlacementDemand DemandOf(const State& state, const RemotePlacement& asked) {
  const PlacementRequest& it = asked.request;
  return {.id = it.request,
          .service = it.service,
          .prompt_tokens = it.prompt_tokens,
          .answer_tokens = it.answer_tokens,
          .arrived = it.arrived,
          .due = it.due,
          .deadline = it.deadline,
          .prefill_time = asked.prefill_time,
          .excluded = {it.excluded.begin(), it.excluded.end()},
          .fingerprint = it.fingerprint,
          .crash_suspected = it.crash_suspected,
          .data_centre = DataCentreOf(state, it.peer_address),
          .awaits_rate_limit = asked.waits_for == Shortage::kRateLimit,
          .backing_off = {it.backing_off.begin(), it.backing_off.end()}};
}

void Reply(State& state, const RemotePlacement& asked, PlacementOutcome outcome,
           Duration retry_after = {}) {
  const PlacementRequest& question = asked.request;
  PlacementResponse answer{
      .peer_address = state.options.peer_address,
      .incarnation = question.incarnation,
      .id = question.id,
      .attempt_number = question.attempt_number,
      .outcome = outcome,
      .placement = asked.placement.value_or(Placement{}),
      .rate_limits_counted = asked.rate_limits_counted,
      .shortage = asked.waits_for.value_or(Shortage::kQueueOrder),
      .retry_after = retry_after};
  state.effects.emplace_back(RespondToPlacement{.to = question.peer_address,
                                                .response = std::move(answer)});
}

std::string NameOf(State& state, BackendId id) {
  const Backend* backend = FindBackend(state, id);
  return backend == nullptr ? "" : backend->server.id;
}

void NotePlaced(State& state, RemotePlacement& asked, const Placement& placed) {
  const PlacementRequest& question = asked.request;
  asked.placement = placed;
  asked.rate_limits_counted = KnownRateLimitsAt(state, placed);
  RecordStart(state, placed);
  asked.placed_at = state.now;
  asked.active_request = {.id = question.id,
                          .backend = placed.backend,
                          .helpers = placed.helpers,
                          .prompt_tokens = question.prompt_tokens,
                          .answer_tokens = question.answer_tokens,
                          .started_at = state.now,
                          .decoding = false,
                          .max_event_gap = question.max_event_gap,
                          .helper_tokens = placed.helper_tokens,
                          .fingerprint = question.fingerprint};
  state.effects.emplace_back(IncrementCounter{Counter::kPlacedForOthers});
  Log(state, "placed",
      {{"request", question.request},
       {"for", question.peer_address},
       {"backend", NameOf(state, placed.backend)},
       {"helpers", std::to_string(placed.helpers.size())},
       {"prompt", std::to_string(question.prompt_tokens)},
       {"after_ms", Millis(state.now - question.arrived)},
       {"expected_ms", Millis(placed.first_token)},
       {"asked", std::to_string(state.dispatch.remote_placements.size())}},
      /*routine=*/true);
}

// Whether it still waits for a place.
bool Look(State& state, RemotePlacement& asked) {
  const PlacementDecision verdict =
      DecidePlacement(state, DemandOf(state, asked));
  return std::visit(Overloaded{[&](const Placement& it) {
                                 NotePlaced(state, asked, it);
                                 Reply(state, asked, PlacementOutcome::kPlaced);
                                 return false;
                               },
                               [&](const NoCapacityNow& it) {
                                 asked.waits_for = it.shortage;
                                 return true;
                               },
                               [&](const TooLarge&) {
                                 Reply(state, asked,
                                       PlacementOutcome::kTooLarge);
                                 return false;
                               },
                               [&](const DeadlineUnreachable& it) {
                                 asked.waits_for = it.shortage;
                                 Reply(state, asked, PlacementOutcome::kRefused,
                                       it.retry_after);
                                 return false;
                               }},
                    verdict);
}

// The placer doesn't know of limits that this daemon knows: it is told, and
// asked as for another attempt.
void AskAnew(State& state, Request& request,
             const std::vector<BackendId>& lives) {
  Log(state, "placer_unaware",
      {{"request", request.metadata.id},
       {"placer", request.placer},
       {"limits", std::to_string(lives.size())}});
  RepublishRateLimits(state, lives);
  ++request.attempt_number;
  QueueRequest(state, request, kLookAgain, Shortage::kRateLimit);
}

void ForgetAsked(State& state) {
  std::erase_if(state.dispatch.remote_placements, [&](const auto& it) {
    const RemotePlacement& asked = it.second;
    return asked.placement ? state.now - asked.placed_at > kToldWithin
                           : state.now - asked.last_requested_at > kForgetAfter;
  });
}

}  // namespace

void RequestRemotePlacement(State& state, Request& request) {
  PlacementDuties& dispatch = state.dispatch;
  if (!request.placer.empty() && !request.placer_responded) {
    dispatch.placers_suspected_until[request.placer] = state.now + kDoubtFor;
    state.effects.emplace_back(IncrementCounter{Counter::kPlacersTimedOut});
    Log(state, "placer_silent",
        {{"request", request.metadata.id}, {"placer", request.placer}});
  }
  request.phase = Phase::kWaiting;
  request.placer = NextPlacer(state);
  request.placer_responded = false;
  if (request.placer == state.options.peer_address) {
    request.placer.clear();
    StandIn(state);
    PlaceLocally(state, request);
    return;
  }
  if (request.placer.empty()) {
    state.effects.emplace_back(IncrementCounter{Counter::kPlacedLocally});
    // Not at each look of one that waits for room.
    if (!request.waits_for) {
      Log(state, "places_alone",
          {{"request", request.metadata.id},
           {"placers", std::to_string(dispatch.placers.size())},
           {"waited_ms", Millis(state.now - request.arrived)}});
    }
    PlaceLocally(state, request);
    return;
  }
  request.retry_at =
      state.now +
      (IsPlacer(state, request.placer) ? kAnswerWithin : kStandInWithin);
  dispatch.response_due = std::min(
      dispatch.response_due.value_or(request.retry_at), request.retry_at);
  state.effects.emplace_back(IncrementCounter{Counter::kPlacementsRequested});
  state.effects.emplace_back(RequestPlacement{
      .to = request.placer, .request = QuestionFor(state, request)});
}

void WithdrawPlacement(State& state, const Request& request) {
  if (request.phase != Phase::kWaiting || request.placer.empty()) return;
  PlacementRequest question = QuestionFor(state, request);
  question.withdrawn = true;
  state.effects.emplace_back(
      RequestPlacement{.to = request.placer, .request = std::move(question)});
}

void OnPlacementResponse(State& state, const PlacementResponse& answer) {
  state.dispatch.placers_suspected_until.erase(answer.peer_address);
  const auto found = state.requests.find(answer.id);
  if (answer.incarnation != state.options.incarnation ||
      found == state.requests.end()) {
    return;
  }
  Request& request = found->second;
  const bool expected = request.phase == Phase::kWaiting &&
                        request.attempt_number == answer.attempt_number &&
                        !request.placer.empty();
  if (!expected) return;
  request.placer_responded = true;
  switch (answer.outcome) {
    case PlacementOutcome::kPlaced:
      if (const auto lives = UncountedRateLimitsAt(state, answer);
          !lives.empty()) {
        AskAnew(state, request, lives);
        return;
      }
      StartPlacedAttempt(state, request, answer.placement);
      return;
    case PlacementOutcome::kQueued:
      QueueRequest(state, request, kAskAgain, answer.shortage);
      return;
    case PlacementOutcome::kRefused:
      request.placer.clear();
      RefuseRequest(state, request, RefusalFor(answer.shortage),
                    answer.retry_after);
      return;
    case PlacementOutcome::kTooLarge:
      request.placer.clear();
      RefuseRequest(state, request, Refusal::kInvalid, {});
      return;
  }
}

void OnPlacementRequest(State& state, const PlacementRequest& question) {
  auto& all = state.dispatch.remote_placements;
  const AskedKey key{question.peer_address, question.id};
  const auto before = all.find(key);
  const bool same =
      before != all.end() &&
      before->second.request.incarnation == question.incarnation &&
      before->second.request.attempt_number == question.attempt_number;
  if (question.withdrawn) {
    if (same) all.erase(before);
    return;
  }
  // The answer may have been lost.
  if (same && before->second.placement) {
    Reply(state, before->second, PlacementOutcome::kPlaced);
    return;
  }
  StandIn(state);
  const EngineTiming* timing = TimingOf(state, question.service);
  const bool known = timing != nullptr || question.prompt_tokens == 0;
  // One that does not know what others have would place badly; another placer,
  // or the daemon itself, does better.
  if (!known || !ReceivesAllActiveRequests(state)) return;
  RemotePlacement& asked = all[key];
  const auto waits_for = asked.waits_for;
  asked = {.request = question,
           .prefill_time = timing == nullptr
                               ? Duration::zero()
                               : PrefillTime(*timing, question.prompt_tokens),
           .last_requested_at = state.now,
           .retry_at = state.now + kLookAgain,
           .waits_for = same ? waits_for : std::nullopt};
  if (Look(state, asked)) {
    Reply(state, asked, PlacementOutcome::kQueued);
  } else if (!asked.placement) {
    all.erase(key);
  }
}

void RetryRemotePlacements(State& state) {
  auto& all = state.dispatch.remote_placements;
  if (all.empty()) return;
  ForgetAsked(state);
  std::vector<std::pair<Time, AskedKey>> due;
  for (const auto& [key, it] : all) {
    if (it.placement || it.retry_at > state.now) continue;
    due.emplace_back(QueueKeyOf(state, it), key);
  }
  std::sort(due.begin(), due.end());
  // Behind one that found no room nobody does: those are looked at more rarely,
  // for their outlook.
  std::set<std::string> full;
  for (const auto& [turn, key] : due) {
    RemotePlacement& asked = all.at(key);
    const std::string service = asked.request.service;
    const bool in_line = asked.prefill_time > kShortPromptPrefillLimit;
    const bool behind = in_line && full.contains(service);
    asked.retry_at = state.now + (behind ? kOutlookAgain : kLookAgain);
    if (Look(state, asked)) {
      if (in_line) full.insert(service);
    } else if (!asked.placement) {
      all.erase(key);
    }
  }
}

void DropPublishedPlacements(State& state, const LoadSnapshot& told) {
  auto& all = state.dispatch.remote_placements;
  if (all.empty()) return;
  const auto forget = [&](std::uint64_t id) {
    const auto it = all.find({told.peer_address, id});
    if (it != all.end() && it->second.placement) all.erase(it);
  };
  for (const ActiveRequest& it : told.active_requests) forget(it.id);
  for (const std::uint64_t it : told.finished_ids) forget(it);
}

}  // namespace scaleshed::serving::internal
