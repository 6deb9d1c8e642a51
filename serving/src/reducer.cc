#include "scaleshed/serving/reducer.h"

#include <algorithm>
#include <utility>

#include "internal/durations.h"
#include "internal/steps.h"

namespace scaleshed::serving {
namespace internal {
namespace {

// While requests are in work, their time limits are looked at so often.
constexpr Duration kBusyTick = milliseconds(20);
constexpr Duration kIdleTick = milliseconds(200);
// Who lives, who has which duty and who is to be told again is looked at so
// often: each look goes over all daemons, and what it finds is due in tenths of
// a second.
constexpr Duration kLookAround = milliseconds(50);
// Longer than a first configuration and the first word of others take (some
// 100 ms): what has not come by then has no way here.
constexpr Duration kYoungFor = seconds(1);
// A stopping daemon still takes requests for so long of its grace, as clients
// keep addresses for a while; then it ends with its last answer.
constexpr double kTakingPart = 0.8;
constexpr double kLastPart = 0.96;

void OnStop(State& state) {
  if (state.stop_at) return;
  state.stop_at = state.now;
  state.changed = true;
  // Its entry is taken away, and others share what it had.
  state.slack.EntryEnded();
  Log(state, "stopping", {{"requests", std::to_string(state.requests.size())}});
}

void FinishStop(State& state) {
  if (!state.stop_at || state.exited) return;
  const Duration since = state.now - *state.stop_at;
  const bool last = since >= PartOf(state.options.grace, kLastPart);
  const bool quiet = since >= PartOf(state.options.grace, kTakingPart) &&
                     state.requests.empty();
  if (!last && !quiet) return;
  while (!state.requests.empty()) {
    Request& request = state.requests.begin()->second;
    request.may_have_run =
        request.may_have_run || request.phase == Phase::kRunning;
    RefuseRequest(state, request, Refusal::kStopping, milliseconds(50));
  }
  state.exited = true;
  state.effects.emplace_back(Exit{});
}

void OnTick(State& state) {
  state.ticked_at = state.now;
  // Before anything is sent.
  DropLapsed(state);
  NoteLag(state);
  TakeFirstProof(state);
  AskLivesAgain(state);
  ExpireAttempts(state);
  StartWaiting(state);
  if (state.now >= state.looked_at + kLookAround) {
    state.looked_at = state.now;
    AskReports(state);
    PublishWhole(state);
    ForgetLimits(state);
    ForgetLeaving(state);
    ForgetRests(state);
    TakeRoles(state);
  }
  FollowStore(state);
  SaveEndingsDue(state);
  FinishStop(state);
}

void Apply(State& state, const EventBody& body) {
  std::visit(
      Overloaded{
          [&](const RequestArrived& it) { Admit(state, it); },
          [&](const ClientGone& it) { OnClientGone(state, it); },
          [&](const StreamEvent& it) { OnStreamEvent(state, it); },
          [&](const AttemptAnswered& it) { OnAnswered(state, it); },
          [&](const AttemptFailed& it) { OnFailed(state, it); },
          [&](const AnswerBegun& it) { OnAnswerBegun(state, it); },
          [&](const MemoryAnswered& it) { OnMemoryAnswered(state, it); },
          [&](const ReportSeen& it) { OnReport(state, it); },
          [&](const LifeSeen& it) { OnLifeSeen(state, it); },
          [&](const ConfigurationSeen& it) { OnConfiguration(state, it); },
          [&](const ConfigurationConfirmed& it) { OnConfirmed(state, it); },
          [&](const BackendsConfirmed& it) { OnBackendsConfirmed(state, it); },
          [&](const BackendsComplete& it) { NoteComplete(state, it.revision); },
          [&](const StoreEraSeen& it) { NoteEra(state, it.era, ""); },
          [&](const SettledEraSeen& it) { OnSettledEra(state, it.era); },
          [&](const StoreAsked&) { NoteQuestion(state); },
          [&](const StoreHeard&) { NoteStoreHeard(state); },
          [&](const StoreUnreachable&) { OnStoreUnreachable(state); },
          [&](const StoreRelayReceived& it) { OnStoreRelay(state, it.relay); },
          [&](const BackendListed& it) { OnListed(state, it.backend); },
          [&](const BackendUnlisted& it) { OnUnlisted(state, it); },
          [&](const BackendsListed& it) { OnAllListed(state, it); },
          [&](const EndingsStored& it) { OnEndingsStored(state, it.endings); },
          [&](const AllEndingsListed& it) { OnAllEndingsListed(state, it); },
          [&](const EndingsSaved&) { OnEndingsSaved(state); },
          [&](const PeersListed& it) { OnPeersListed(state, it); },
          [&](const EntryHeld& it) {
            if (state.stop_at) return;
            state.slack.EntryHeld(state.now, it.until, it.anew);
          },
          [&](const EntryEnded&) { state.slack.EntryEnded(); },
          [&](const EntryForgotten&) { state.slack.EntryForgotten(state.now); },
          [&](const DaemonsCounted& it) { OnDaemonsCounted(state, it); },
          [&](const SnapshotReceived& it) { OnSnapshot(state, it); },
          [&](const PlaceQuestionReceived& it) {
            OnPlaceQuestion(state, it.question);
          },
          [&](const PlaceAnswerReceived& it) {
            OnPlaceAnswer(state, it.answer);
          },
          [&](const Tick&) { OnTick(state); },
          [&](const StopRequested&) { OnStop(state); }},
      body);
}

}  // namespace

void Log(State& state, std::string what,
         std::vector<std::pair<std::string, std::string>> fields,
         bool routine) {
  state.effects.emplace_back(LogDecision{.what = std::move(what),
                                         .fields = std::move(fields),
                                         .routine = routine});
}

std::string Millis(Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<milliseconds>(duration).count());
}

bool IsYoung(const State& state) {
  return state.now - state.started_at < kYoungFor;
}

Duration Drawn(State& state, Duration most) {
  const auto n =
      static_cast<std::uint64_t>(std::max<Duration::rep>(most.count(), 1));
  return Duration(static_cast<Duration::rep>(state.random() % n));
}

}  // namespace internal

Effects Reduce(State& state, const Event& event) {
  state.now = std::max(state.now, event.now);
  if (state.started_at == Time{}) state.started_at = state.now;
  internal::Apply(state, event.body);
  internal::AdmitEarly(state);
  internal::PublishChanges(state);
  return std::exchange(state.effects, {});
}

Time NextWake(const State& state) {
  const bool busy =
      !state.requests.empty() || !state.early.empty() ||
      state.stop_at.has_value() || !state.dispatch.asked.empty() ||
      !state.life_checks.empty() || state.quarantine.has_unsaved();
  const Time tick =
      state.ticked_at + (busy ? internal::kBusyTick : internal::kIdleTick);
  const Time due = std::min(tick, internal::StoreDue(state));
  return std::min(due, state.dispatch.answer_due.value_or(due));
}

}  // namespace scaleshed::serving
