#include "scaleshed/serving/reducer.h"

#include <algorithm>
#include <utility>

#include "internal/durations.h"
#include "internal/steps.h"

namespace scaleshed::serving {
namespace internal {
namespace {

// Tick intervals while there are requests, whose deadlines a tick checks, or
// other pending work, and while there is none.
constexpr Duration kBusyTickInterval = milliseconds(20);
constexpr Duration kIdleTickInterval = milliseconds(200);
// Interval of updating liveness, duties and due snapshots. An update iterates
// over all daemons, and what it decides is due within tenths of a second, so it
// doesn't run at each tick.
constexpr Duration kRoleUpdateInterval = milliseconds(50);
// A daemon is warming up for this long after its start. The first configuration
// and the first snapshots of other daemons take about 100 ms; what hasn't
// arrived by the end can't reach this daemon.
constexpr Duration kWarmUpTime = seconds(1);
// A stopping daemon admits requests for the first share of its shutdown grace,
// since clients keep using its address for a while. After that it exits with
// its last response, and at the second share in any case.
constexpr double kAdmittingShareOfGrace = 0.8;
constexpr double kExitShareOfGrace = 0.96;

void OnStop(State& state) {
  if (state.stop_at) return;
  state.stop_at = state.now;
  state.has_unpublished_changes = true;
  // The daemon's store entry is removed, and the other daemons share its part
  // of the slack.
  state.slack_share.OnEntryRemoved();
  Log(state, "stopping", {{"requests", std::to_string(state.requests.size())}});
}

// Exits once a stopping daemon has no more requests or its grace is nearly
// over.
void FinishStop(State& state) {
  if (!state.stop_at || state.exited) return;
  const Duration elapsed = state.now - *state.stop_at;
  const bool time_is_up =
      elapsed >= FractionOf(state.options.shutdown_grace, kExitShareOfGrace);
  const bool drained = elapsed >= FractionOf(state.options.shutdown_grace,
                                             kAdmittingShareOfGrace) &&
                       state.requests.empty();
  if (!time_is_up && !drained) return;
  while (!state.requests.empty()) {
    Request& request = state.requests.begin()->second;
    request.may_have_run =
        request.may_have_run || request.phase == Phase::kRunning ||
        request.phase == Phase::kRelayed || !request.stalled.empty();
    EndWithRefusal(state, request, Refusal::kStopping, milliseconds(50));
  }
  state.exited = true;
  state.effects.emplace_back(Exit{});
}

void OnTick(State& state) {
  state.ticked_at = state.now;
  // Drops expired state first, so that no request below is sent by it.
  DropLapsedBackends(state);
  LogLagChange(state);
  ApplyFirstConfirmation(state);
  RepeatLivenessProbes(state);
  ExpireAttempts(state);
  StartWaitingRequests(state);
  if (state.now >= state.roles_updated_at + kRoleUpdateInterval) {
    state.roles_updated_at = state.now;
    UpdateEvacuations(state);
    UpdatePaths(state);
    FetchDueReports(state);
    PublishFullSnapshots(state);
    DropExpiredRateLimits(state);
    DropExpiredLeaving(state);
    DropExpiredBackoffs(state);
    UpdateStoreRoles(state);
    UpdateWarmUpLease(state);
    CheckColdHealth(state);
  }
  FollowStore(state);
  UpdatePartClearances(state);
  SaveCrashesIfDue(state);
  FinishStop(state);
}

void Apply(State& state, const EventBody& body) {
  std::visit(
      Overloaded{
          [&](const RequestArrived& it) { AdmitRequest(state, it); },
          [&](const ClientDisconnected& it) { OnClientGone(state, it); },
          [&](const StreamEvent& it) { OnStreamEvent(state, it); },
          [&](const AttemptAnswered& it) { OnAnswered(state, it); },
          [&](const AttemptConnecting& it) { OnConnecting(state, it); },
          [&](const AttemptConnected& it) { OnConnected(state, it); },
          [&](const AttemptFailed& it) { OnFailed(state, it); },
          [&](const RelayRefused& it) { OnRelayRefused(state, it); },
          [&](const ResponseHeadReceived& it) { OnResponseHead(state, it); },
          [&](const MemoryReservationAnswered& it) {
            OnMemoryAnswered(state, it);
          },
          [&](const EngineReportReceived& it) { OnReport(state, it); },
          [&](const HealthChecked& it) { OnHealthChecked(state, it); },
          [&](const LivenessProbed& it) {
            OnPathProbed(state, it);
            OnLivenessProbed(state, it);
          },
          [&](const ConfigurationReceived& it) { OnConfiguration(state, it); },
          [&](const ConfigurationConfirmed& it) { OnConfirmed(state, it); },
          [&](const BackendsConfirmed& it) { OnBackendsConfirmed(state, it); },
          [&](const BackendChangesComplete& it) {
            RecordCompleteUpTo(state, it.revision);
          },
          [&](const StoreEpochObserved& it) {
            ObserveEpoch(state, it.epoch, "");
          },
          [&](const ReconciledEpochObserved& it) {
            OnReconciledEpoch(state, it.epoch);
          },
          [&](const StoreQueried&) { RecordStoreQuery(state); },
          [&](const StoreResponded&) { RecordStoreResponse(state); },
          [&](const StoreUnreachable&) { OnStoreUnreachable(state); },
          [&](const StoreRelayReceived& it) { OnStoreRelay(state, it.relay); },
          [&](const BackendListed& it) { OnListed(state, it.backend); },
          [&](const BackendUnlisted& it) { OnUnlisted(state, it); },
          [&](const BackendsListed& it) { OnAllListed(state, it); },
          [&](const CrashesStored& it) { OnCrashesStored(state, it.crashes); },
          [&](const AllCrashesListed& it) { OnAllCrashesListed(state, it); },
          [&](const SaveCrashesFinished&) { OnSaveCrashesFinished(state); },
          [&](const EvacuationStored& it) {
            OnEvacuationStored(state, it.evacuation);
          },
          [&](const AllEvacuationsListed& it) {
            OnAllEvacuationsListed(state, it);
          },
          [&](const EvacuationKeyUnreadable& it) {
            OnEvacuationKeyUnreadable(state, it);
          },
          [&](const PeersListed& it) { OnPeersListed(state, it); },
          [&](const OwnEntryConfirmed& it) {
            if (state.stop_at) return;
            state.slack_share.OnEntryConfirmed(state.now, it.valid_until,
                                               it.newly_written);
          },
          [&](const OwnEntryRemoved&) { state.slack_share.OnEntryRemoved(); },
          [&](const OwnEntryLost&) {
            state.slack_share.OnEntryLost(state.now);
          },
          [&](const WarmUpLeaseHeld& it) { OnWarmUpLeaseHeld(state, it); },
          [&](const WarmUpLeaseRefused& it) {
            OnWarmUpLeaseRefused(state, it);
          },
          [&](const WarmUpLeaseLost& it) { OnWarmUpLeaseLost(state, it); },
          [&](const DaemonsCounted& it) { OnDaemonsCounted(state, it); },
          [&](const SnapshotReceived& it) { OnSnapshot(state, it); },
          [&](const PlacementRequestReceived& it) {
            OnPlacementRequest(state, it.request);
          },
          [&](const PlacementResponseReceived& it) {
            OnPlacementResponse(state, it.response);
          },
          [&](const Tick&) { OnTick(state); },
          [&](const StopRequested&) { OnStop(state); }},
      body);
}

}  // namespace

void Log(State& state, std::string event,
         std::vector<std::pair<std::string, std::string>> fields,
         bool routine) {
  state.effects.emplace_back(LogDecision{.event = std::move(event),
                                         .fields = std::move(fields),
                                         .routine = routine});
}

std::string Millis(Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<milliseconds>(duration).count());
}

std::string PartsText(const RequestMetadata& metadata) {
  constexpr std::size_t kMaxLoggedParts = 16;
  std::string text;
  std::size_t n = 0;
  for (const PromptPart& it : metadata.shared_parts) {
    if (++n > kMaxLoggedParts) return text + ",...";
    text += (text.empty() ? "" : ",") + it.id;
  }
  return text;
}

bool IsWarmingUp(const State& state) {
  return state.now - state.started_at < kWarmUpTime;
}

Duration RandomDuration(State& state, Duration most) {
  const auto n =
      static_cast<std::uint64_t>(std::max<Duration::rep>(most.count(), 1));
  return Duration(static_cast<Duration::rep>(state.random() % n));
}

}  // namespace internal

Effects Reduce(State& state, const Event& event) {
  state.now = std::max(state.now, event.now);
  if (state.started_at == Time{}) state.started_at = state.now;
  internal::Apply(state, event.body);
  internal::AdmitEarlyRequests(state);
  internal::UpdateSuspectedParts(state);
  internal::PublishIncrementalSnapshot(state);
  return std::exchange(state.effects, {});
}

Time NextWake(const State& state) {
  const bool busy =
      !state.requests.empty() || !state.early_requests.empty() ||
      state.stop_at.has_value() || !state.dispatch.remote_placements.empty() ||
      !state.liveness_checks.empty() || !state.doubtful_services.empty() ||
      state.quarantine.has_unsaved() || state.part_quarantine.has_unsaved() ||
      !state.pending_clearances.empty() || !state.warm_ups.empty() ||
      state.warm_up_granting.lease_until.has_value();
  const Time tick = state.ticked_at + (busy ? internal::kBusyTickInterval
                                            : internal::kIdleTickInterval);
  const Time due = std::min(tick, internal::NextStoreWake(state));
  return std::min(due, state.dispatch.response_due.value_or(due));
}

}  // namespace scaleshed::serving
