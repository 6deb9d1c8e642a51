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
  const Dispatching& dispatch = state.dispatch;
  for (const auto* list : {&dispatch.placers, &dispatch.stand_ins}) {
    for (const std::string& it : *list) {
      const auto doubted = dispatch.doubted_until.find(it);
      const bool sound = doubted == dispatch.doubted_until.end() ||
                         doubted->second <= state.now;
      if (sound) return it;
    }
  }
  return "";
}

// A daemon that found no placer asks this one.
void StandIn(State& state) {
  Dispatching& dispatch = state.dispatch;
  if (PlacesItself(state) || !dispatch.is_hub) return;
  Log(state, "stands_in",
      {{"placers", std::to_string(dispatch.placers.size())}});
  dispatch.stands_in_until = state.now + kStandInFor;
  // Those that don't tell it that they live are told with the next whole one.
  for (auto& [peer, due] : state.whole_due) due = state.now;
  state.changed = true;
}

PlaceQuestion QuestionFor(const State& state, const Request& request) {
  const auto resting = RestingServers(state);
  return {.peer_address = state.options.peer_address,
          .life = state.options.life,
          .id = request.key,
          .round = request.round,
          .request = request.facts.id,
          .service = request.service,
          .prompt_tokens = request.facts.prompt_tokens,
          .answer_tokens = request.facts.answer_tokens,
          .arrived = request.arrived,
          .due = request.due,
          .deadline = request.deadline,
          .longest_pause = request.route.longest_pause,
          .tried = {request.tried.begin(), request.tried.end()},
          .resting = {resting.begin(), resting.end()},
          .content = request.facts.content,
          .doubtful = IsDoubtful(state, request.facts.content)};
}

Demand DemandOf(const State& state, const AskedPlace& asked) {
  const PlaceQuestion& it = asked.question;
  return {.id = it.request,
          .service = it.service,
          .prompt_tokens = it.prompt_tokens,
          .answer_tokens = it.answer_tokens,
          .arrived = it.arrived,
          .due = it.due,
          .deadline = it.deadline,
          .read = asked.read,
          .tried = {it.tried.begin(), it.tried.end()},
          .content = it.content,
          .doubtful = it.doubtful,
          .data_centre = DataCentreOf(state, it.peer_address),
          .awaits_start = asked.waits_for == Shortage::kLimit,
          .resting = {it.resting.begin(), it.resting.end()}};
}

void Reply(State& state, const AskedPlace& asked, PlaceOutcome outcome,
           Duration retry_after = {}) {
  const PlaceQuestion& question = asked.question;
  PlaceAnswer answer{.peer_address = state.options.peer_address,
                     .life = question.life,
                     .id = question.id,
                     .round = question.round,
                     .outcome = outcome,
                     .placed = asked.placed.value_or(Placed{}),
                     .counted = asked.counted,
                     .shortage = asked.waits_for.value_or(Shortage::kTurn),
                     .retry_after = retry_after};
  state.effects.emplace_back(
      AnswerPlace{.to = question.peer_address, .answer = std::move(answer)});
}

std::string NameOf(State& state, BackendId id) {
  const Backend* backend = FindBackend(state, id);
  return backend == nullptr ? "" : backend->server.id;
}

void NotePlaced(State& state, AskedPlace& asked, const Placed& placed) {
  const PlaceQuestion& question = asked.question;
  asked.placed = placed;
  asked.counted = KnownLimitsAt(state, placed);
  NoteStart(state, placed);
  asked.placed_at = state.now;
  asked.work = {.id = question.id,
                .backend = placed.backend,
                .helpers = placed.helpers,
                .prompt_tokens = question.prompt_tokens,
                .answer_tokens = question.answer_tokens,
                .started = state.now,
                .writing = false,
                .longest_pause = question.longest_pause,
                .helper_tokens = placed.helper_tokens,
                .content = question.content};
  state.effects.emplace_back(Count{Counter::kPlacedForOthers});
  Log(state, "placed",
      {{"request", question.request},
       {"for", question.peer_address},
       {"backend", NameOf(state, placed.backend)},
       {"helpers", std::to_string(placed.helpers.size())},
       {"prompt", std::to_string(question.prompt_tokens)},
       {"after_ms", Millis(state.now - question.arrived)},
       {"expected_ms", Millis(placed.first_token)},
       {"asked", std::to_string(state.dispatch.asked.size())}},
      /*routine=*/true);
}

// Whether it still waits for a place.
bool Look(State& state, AskedPlace& asked) {
  const Verdict verdict = Decide(state, DemandOf(state, asked));
  return std::visit(Overloaded{[&](const Placed& it) {
                                 NotePlaced(state, asked, it);
                                 Reply(state, asked, PlaceOutcome::kPlaced);
                                 return false;
                               },
                               [&](const NoRoomNow& it) {
                                 asked.waits_for = it.of;
                                 return true;
                               },
                               [&](const TooLarge&) {
                                 Reply(state, asked, PlaceOutcome::kTooLarge);
                                 return false;
                               },
                               [&](const GivenUp& it) {
                                 asked.waits_for = it.of;
                                 Reply(state, asked, PlaceOutcome::kRefused,
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
      {{"request", request.facts.id},
       {"placer", request.placer},
       {"limits", std::to_string(lives.size())}});
  TellLimitsAgain(state, lives);
  ++request.round;
  Wait(state, request, kLookAgain, Shortage::kLimit);
}

void ForgetAsked(State& state) {
  std::erase_if(state.dispatch.asked, [&](const auto& it) {
    const AskedPlace& asked = it.second;
    return asked.placed ? state.now - asked.placed_at > kToldWithin
                        : state.now - asked.renewed > kForgetAfter;
  });
}

}  // namespace

void AskPlace(State& state, Request& request) {
  Dispatching& dispatch = state.dispatch;
  if (!request.placer.empty() && !request.placer_answered) {
    dispatch.doubted_until[request.placer] = state.now + kDoubtFor;
    state.effects.emplace_back(Count{Counter::kPlacersSilent});
    Log(state, "placer_silent",
        {{"request", request.facts.id}, {"placer", request.placer}});
  }
  request.phase = Phase::kWaiting;
  request.placer = NextPlacer(state);
  request.placer_answered = false;
  if (request.placer == state.options.peer_address) {
    request.placer.clear();
    StandIn(state);
    PlaceHere(state, request);
    return;
  }
  if (request.placer.empty()) {
    state.effects.emplace_back(Count{Counter::kPlacedAlone});
    // Not at each look of one that waits for room.
    if (!request.waits_for) {
      Log(state, "places_alone",
          {{"request", request.facts.id},
           {"placers", std::to_string(dispatch.placers.size())},
           {"waited_ms", Millis(state.now - request.arrived)}});
    }
    PlaceHere(state, request);
    return;
  }
  request.retry_at =
      state.now +
      (IsPlacer(state, request.placer) ? kAnswerWithin : kStandInWithin);
  dispatch.answer_due = std::min(dispatch.answer_due.value_or(request.retry_at),
                                 request.retry_at);
  state.effects.emplace_back(Count{Counter::kPlacesAsked});
  state.effects.emplace_back(
      AskPlacer{.to = request.placer, .question = QuestionFor(state, request)});
}

void WithdrawPlace(State& state, const Request& request) {
  if (request.phase != Phase::kWaiting || request.placer.empty()) return;
  PlaceQuestion question = QuestionFor(state, request);
  question.over = true;
  state.effects.emplace_back(
      AskPlacer{.to = request.placer, .question = std::move(question)});
}

void OnPlaceAnswer(State& state, const PlaceAnswer& answer) {
  state.dispatch.doubted_until.erase(answer.peer_address);
  const auto found = state.requests.find(answer.id);
  if (answer.life != state.options.life || found == state.requests.end()) {
    return;
  }
  Request& request = found->second;
  const bool expected = request.phase == Phase::kWaiting &&
                        request.round == answer.round &&
                        !request.placer.empty();
  if (!expected) return;
  request.placer_answered = true;
  switch (answer.outcome) {
    case PlaceOutcome::kPlaced:
      if (const auto lives = UncountedAt(state, answer); !lives.empty()) {
        AskAnew(state, request, lives);
        return;
      }
      Start(state, request, answer.placed);
      return;
    case PlaceOutcome::kWaits:
      Wait(state, request, kAskAgain, answer.shortage);
      return;
    case PlaceOutcome::kRefused:
      request.placer.clear();
      RefuseRequest(state, request, RefusalFor(answer.shortage),
                    answer.retry_after);
      return;
    case PlaceOutcome::kTooLarge:
      request.placer.clear();
      RefuseRequest(state, request, Refusal::kInvalid, {});
      return;
  }
}

void OnPlaceQuestion(State& state, const PlaceQuestion& question) {
  auto& all = state.dispatch.asked;
  const AskedKey key{question.peer_address, question.id};
  const auto before = all.find(key);
  const bool same = before != all.end() &&
                    before->second.question.life == question.life &&
                    before->second.question.round == question.round;
  if (question.over) {
    if (same) all.erase(before);
    return;
  }
  // The answer may have been lost.
  if (same && before->second.placed) {
    Reply(state, before->second, PlaceOutcome::kPlaced);
    return;
  }
  StandIn(state);
  const EngineTiming* timing = TimingOf(state, question.service);
  const bool known = timing != nullptr || question.prompt_tokens == 0;
  // One that does not know what others have would place badly; another placer,
  // or the daemon itself, does better.
  if (!known || !PlacesItself(state)) return;
  AskedPlace& asked = all[key];
  const auto waits_for = asked.waits_for;
  asked = {.question = question,
           .read = timing == nullptr
                       ? Duration::zero()
                       : ReadTime(*timing, question.prompt_tokens),
           .renewed = state.now,
           .look_at = state.now + kLookAgain,
           .waits_for = same ? waits_for : std::nullopt};
  if (Look(state, asked)) {
    Reply(state, asked, PlaceOutcome::kWaits);
  } else if (!asked.placed) {
    all.erase(key);
  }
}

void LookAtAsked(State& state) {
  auto& all = state.dispatch.asked;
  if (all.empty()) return;
  ForgetAsked(state);
  std::vector<std::pair<Time, AskedKey>> due;
  for (const auto& [key, it] : all) {
    if (it.placed || it.look_at > state.now) continue;
    due.emplace_back(TurnOf(state, it), key);
  }
  std::sort(due.begin(), due.end());
  // Behind one that found no room nobody does: those are looked at more rarely,
  // for their outlook.
  std::set<std::string> full;
  for (const auto& [turn, key] : due) {
    AskedPlace& asked = all.at(key);
    const std::string service = asked.question.service;
    const bool in_line = asked.read > kShortRead;
    const bool behind = in_line && full.contains(service);
    asked.look_at = state.now + (behind ? kOutlookAgain : kLookAgain);
    if (Look(state, asked)) {
      if (in_line) full.insert(service);
    } else if (!asked.placed) {
      all.erase(key);
    }
  }
}

void ForgetTold(State& state, const LoadSnapshot& told) {
  auto& all = state.dispatch.asked;
  if (all.empty()) return;
  const auto forget = [&](std::uint64_t id) {
    const auto it = all.find({told.peer_address, id});
    if (it != all.end() && it->second.placed) all.erase(it);
  };
  for (const Work& it : told.works) forget(it.id);
  for (const std::uint64_t it : told.ended) forget(it);
}

}  // namespace scaleshed::serving::internal
