#include <algorithm>
#include <utility>

#include "internal/durations.h"
#include "internal/steps.h"
#include "scaleshed/serving/reducer.h"

namespace scaleshed::serving::internal {
namespace {

// Tries at a request that did not run each time.
constexpr int kMostRefusals = 3;
// Between two looks at a pool that had no room.
constexpr Duration kLookAgain = milliseconds(10);
// After memory was refused: about the time in which an answer ends.
constexpr Duration kMemoryAgain = milliseconds(200);
// Memory is set aside for so short a time, and again and again, that what a
// daemon leaves behind when it dies lapses before it counts as lost (4 s).
constexpr Duration kHold = milliseconds(3500);
constexpr Duration kRenewAfter = milliseconds(900);
// Memory is renewed only for an engine that was seen to live so short a time
// ago, by an event or by its report: an engine that falls silent without
// closing ends its request, and with the hold its memory lapses 3.8 s later,
// within the 4 s after which it counts as lost. It is asked this often while it
// says nothing: a report takes some ms.
constexpr Duration kSignWithin = milliseconds(300);
constexpr Duration kAskSignEvery = milliseconds(250);
// Orders are answered within milliseconds, or not at all.
constexpr Duration kReserveWithin = milliseconds(400);
// A stream's first event may be later than expected by this and by as much as
// was expected, before another backend server is asked. Clients give up short
// streams after two seconds of silence.
constexpr Duration kFirstEventGrace = milliseconds(900);
// A repeatable request without an answer is sent elsewhere after this multiple
// of its objective.
constexpr int kHangObjectives = 3;
constexpr Duration kLeastHang = milliseconds(800);

void Send(State& state, Request& request) {
  Backend* backend = FindBackend(state, request.backend);
  // Setting memory aside took a while; a helper that leaves would refuse its
  // part, and the prompt with it.
  std::vector<const Backend*> helpers;
  for (const BackendId it : request.work.helpers) {
    helpers.push_back(FindBackend(state, it));
  }
  const auto takes = [&](const Backend* it) {
    return it != nullptr && TakesWork(*it) && !IsResting(state, it->id);
  };
  const bool helped = std::all_of(helpers.begin(), helpers.end(), takes);
  if (!takes(backend) || !helped || !KnowsBackends(state)) {
    // Whoever placed it may not know yet that this one leaves, or wants rest.
    if (!takes(backend)) request.tried.insert(request.backend);
    Requeue(state, request, kLookAgain);
    return;
  }
  if (RefusedForEndings(state, request)) return;
  // Whoever placed it may not know yet what is being asked.
  if (AwaitsVerdict(state, request.facts.content)) {
    Requeue(state, request, kLookAgain);
    return;
  }
  if (!TakeRepeat(state, request)) {
    // Room that was set aside is gone where requests have become fewer, or this
    // daemon has lost its part of the slack.
    RefuseRequest(state, request,
                  request.may_have_run ? Refusal::kUnknown : Refusal::kNotRun,
                  kAfterRefusals);
    return;
  }
  request.phase = Phase::kRunning;
  request.sent_at = state.now;
  request.sign_at = state.now;
  ++request.runs;
  StartAttempt effect{.attempt = request.attempt,
                      .key = request.key,
                      .address = backend->server.address,
                      .instance = backend->server.id,
                      .account = request.account,
                      .time_left = request.deadline - state.now,
                      .stream = IsStream(request.route.kind)};
  if (request.begun) effect.resume_after = request.last_event_id;
  std::string names;
  for (std::size_t i = 0; i < helpers.size(); ++i) {
    const BackendServer& helper = helpers[i]->server;
    const std::string ticket =
        i < request.memory.size() ? request.memory[i].ticket : "";
    effect.helpers.push_back({.address = helper.address, .ticket = ticket});
    names += (names.empty() ? "" : ",") + helper.id;
  }
  state.effects.emplace_back(Count{Counter::kSends});
  if (!effect.helpers.empty()) {
    state.effects.emplace_back(Count{Counter::kHelped});
  }
  Log(state, "sent",
      {{"request", request.facts.id},
       {"content", ContentText(request.facts.content)},
       {"attempt", std::to_string(request.attempt)},
       {"backend", backend->server.id},
       {"address", backend->server.address},
       {"helpers", std::to_string(effect.helpers.size())},
       {"helped_by", names},
       {"prompt", std::to_string(request.facts.prompt_tokens)},
       {"waited_ms", Millis(state.now - request.arrived)},
       {"expected_ms", Millis(request.expected_first)},
       {"time_left_ms", Millis(effect.time_left)},
       {"version", std::to_string(StampOf(state).version)},
       {"revision", std::to_string(StampOf(state).revision.number)},
       {"confirmed_ms_ago", Millis(state.now - state.confirmed_at)},
       {"listed_ms_ago", Millis(state.now - state.store.backends_confirmed_at)},
       {"resume_after", effect.resume_after}},
      /*routine=*/request.arrivals + request.refusals == 0);
  state.effects.emplace_back(std::move(effect));
}

void Reserve(State& state, Request& request, const Placed& placed) {
  request.phase = Phase::kReserving;
  request.progress_by = state.now + kReserveWithin;
  request.memory.assign(placed.helpers.size(), {});
  for (std::size_t i = 0; i < placed.helpers.size(); ++i) {
    Memory& memory = request.memory[i];
    memory.tokens = placed.helper_tokens[i];
    const Backend* helper = FindBackend(state, placed.helpers[i]);
    if (memory.tokens == 0 || helper == nullptr) {
      memory.granted = true;
      continue;
    }
    memory.address = helper->server.address;
    memory.ticket = std::to_string(state.options.life) + "-" +
                    std::to_string(request.attempt) + "-" + std::to_string(i);
    memory.renew_at = state.now + kRenewAfter;
    state.effects.emplace_back(Count{Counter::kTickets});
    state.effects.emplace_back(ReserveMemory{.attempt = request.attempt,
                                             .index = i,
                                             .address = memory.address,
                                             .ticket = memory.ticket,
                                             .tokens = memory.tokens,
                                             .hold = kHold});
  }
}

Duration ProgressWithin(const Request& request, const Placed& placed) {
  if (request.route.kind == RequestKind::kRepeatable) {
    return std::max(kHangObjectives * request.route.objective, kLeastHang);
  }
  const Duration slack =
      std::max(kFirstEventGrace, request.route.objective / 2);
  return 2 * placed.first_token + slack;
}

}  // namespace

void Start(State& state, Request& request, const Placed& placed) {
  request.attempt = ++state.last_id;
  ++request.round;
  request.placer.clear();
  state.attempts[request.attempt] = request.key;
  request.backend = placed.backend;
  const Backend* backend = FindBackend(state, placed.backend);
  request.backend_name = backend == nullptr ? "" : backend->server.id;
  request.work = {.id = request.key,
                  .backend = placed.backend,
                  .helpers = placed.helpers,
                  .prompt_tokens = request.facts.prompt_tokens,
                  .answer_tokens = request.facts.answer_tokens,
                  .started = state.now,
                  .writing = false,
                  .longest_pause = request.route.longest_pause,
                  .helper_tokens = placed.helper_tokens,
                  .content = request.facts.content};
  request.expected_first = placed.first_token;
  NoteStart(state, placed);
  state.changed = true;
  const bool tickets =
      std::any_of(placed.helper_tokens.begin(), placed.helper_tokens.end(),
                  [](std::int64_t it) { return it > 0; });
  if (tickets) {
    Reserve(state, request, placed);
    return;
  }
  request.memory.clear();
  request.progress_by = state.now + ProgressWithin(request, placed);
  Send(state, request);
}

void Wait(State& state, Request& request, Duration pause, Shortage of) {
  // That it goes on waiting is no news: the others are told of what changed
  // alone, each look at a full pool would be one more message to all of them.
  const bool news = request.phase != Phase::kWaiting || request.waits_for != of;
  if (request.waits_for != of) {
    request.waits_for = of;
    Log(state, "waits",
        {{"request", request.facts.id},
         {"for", std::string(NameIn(kShortageNames, of))},
         {"prompt", std::to_string(request.facts.prompt_tokens)},
         {"after_ms", Millis(state.now - request.arrived)}});
  }
  request.phase = Phase::kWaiting;
  request.retry_at = state.now + pause;
  state.changed = state.changed || news;
}

void TryStart(State& state, Request& request) {
  // Where this daemon is late, a request may be too by now.
  if (state.now >= request.deadline) {
    RefuseRequest(state, request, Refusal::kTimeLimit, kLookAgain);
    return;
  }
  if (!KnowsBackends(state)) {
    Wait(state, request, kLookAgain, Shortage::kProof);
    return;
  }
  if (RefusedForEndings(state, request)) return;
  if (AwaitsSign(state, request.facts.content) ||
      AwaitsVerdict(state, request.facts.content)) {
    Wait(state, request, kLookAgain, Shortage::kVerdict);
    return;
  }
  // After waiting and failing the configuration may be another one; the
  // backend servers of the chosen service are still those that may run it.
  const auto open = OpenBackends(state, request.service);
  if (open.empty() || request.refusals > kMostRefusals) {
    const Duration again = milliseconds(200);
    RefuseRequest(state, request,
                  open.empty() ? Refusal::kNoBackend : Refusal::kNotRun, again);
    return;
  }
  if (RefusedForRest(state, request, open)) return;
  // Of plain requests, a placer is asked for those that are to be counted over
  // all daemons.
  const bool one_for_all = TimingOf(state, request.service) != nullptr ||
                           AnyLimited(state, request.service);
  if (one_for_all && !PlacesItself(state)) {
    AskPlace(state, request);
    return;
  }
  PlaceHere(state, request);
}

void PlaceHere(State& state, Request& request) {
  std::visit(
      Overloaded{
          [&](const Placed& it) { Start(state, request, it); },
          [&](const NoRoomNow& it) { Wait(state, request, kLookAgain, it.of); },
          [&](const TooLarge&) {
            RefuseRequest(state, request, Refusal::kInvalid, {});
          },
          [&](const GivenUp& it) {
            RefuseRequest(state, request, RefusalFor(it.of), it.retry_after);
          }},
      Decide(state, DemandOf(state, request)));
}

void StartWaiting(State& state) {
  std::vector<std::pair<Time, RequestKey>> waiting;
  auto& answer_due = state.dispatch.answer_due;
  answer_due.reset();
  for (const auto& [key, request] : state.requests) {
    if (request.phase != Phase::kWaiting) continue;
    if (request.retry_at <= state.now) {
      waiting.emplace_back(TurnOf(state, request), key);
    } else if (!request.placer.empty() && !request.placer_answered) {
      answer_due =
          std::min(answer_due.value_or(request.retry_at), request.retry_at);
    }
  }
  std::sort(waiting.begin(), waiting.end());
  for (const auto& [turn, key] : waiting) {
    const auto it = state.requests.find(key);
    if (it != state.requests.end()) TryStart(state, it->second);
  }
  LookAtAsked(state);
}

void OnMemoryAnswered(State& state, const MemoryAnswered& event) {
  const auto found = state.attempts.find(event.attempt);
  if (found == state.attempts.end()) return;
  Request& request = state.requests.at(found->second);
  if (event.index >= request.memory.size()) return;
  if (request.phase != Phase::kReserving) return;
  if (!event.granted) {
    Log(state, "memory_refused",
        {{"request", request.facts.id},
         {"address", request.memory[event.index].address},
         {"tokens", std::to_string(request.memory[event.index].tokens)}});
    DropAttempt(state, request, false);
    Wait(state, request, kMemoryAgain, Shortage::kTickets);
    return;
  }
  request.memory[event.index].granted = true;
  const bool all = std::all_of(request.memory.begin(), request.memory.end(),
                               [](const Memory& it) { return it.granted; });
  if (!all) return;
  request.work.started = state.now;
  request.progress_by = state.now + 2 * request.read +
                        std::max(kFirstEventGrace, request.route.objective / 2);
  Send(state, request);
}

namespace {

// Whether the engine that is to write lives, as far as can be known; asks it
// where that is not known.
bool HasSign(State& state, Request& request) {
  const bool lives = state.now - request.sign_at <= kSignWithin;
  if (request.phase != Phase::kRunning || lives) return true;
  const Backend* backend = FindBackend(state, request.backend);
  if (backend != nullptr && request.ask_sign_at <= state.now) {
    request.ask_sign_at = state.now + kAskSignEvery;
    NoteStart(state, request.backend);
    state.effects.emplace_back(AskReport{.backend = request.backend,
                                         .address = backend->server.address});
  }
  return false;
}

}  // namespace

void RenewMemory(State& state, Request& request) {
  const bool due = std::any_of(
      request.memory.begin(), request.memory.end(), [&](const Memory& it) {
        return !it.ticket.empty() && it.renew_at <= state.now;
      });
  if (!due || !HasSign(state, request)) return;
  for (std::size_t i = 0; i < request.memory.size(); ++i) {
    Memory& memory = request.memory[i];
    if (memory.ticket.empty() || memory.renew_at > state.now) continue;
    memory.renew_at = state.now + kRenewAfter;
    NoteStart(state, request.work.helpers[i]);
    state.effects.emplace_back(ReserveMemory{.attempt = request.attempt,
                                             .index = i,
                                             .address = memory.address,
                                             .ticket = memory.ticket,
                                             .tokens = memory.tokens,
                                             .hold = kHold});
  }
}

void ReleaseMemoryOf(State& state, Request& request) {
  for (const Memory& it : request.memory) {
    if (it.ticket.empty()) continue;
    state.effects.emplace_back(
        ReleaseMemory{.address = it.address, .ticket = it.ticket});
  }
  request.memory.clear();
}

}  // namespace scaleshed::serving::internal
