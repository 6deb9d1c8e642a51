#include <algorithm>

#include "internal/steps.h"

namespace scaleshed::serving::internal {
namespace {

// Refused connections in a row from which a backend incarnation counts as
// ended. An interrupted response doesn't suffice, since connections are reset
// and streams corrupted at servers that still run. A server whose process has
// ended refuses each new connection until the next incarnation starts, which
// takes a second or more; a server that is full may refuse a single one now and
// then.
constexpr int kRefusalsUntilEnded = 2;
constexpr Duration kRefusedProbeInterval = milliseconds(50);
// Time in which another answer has to show that the path to the service is open
// before refused connections count without that. It covers the full snapshot in
// which another daemon says that it reaches the service.
constexpr Duration kPathProofTimeout = milliseconds(1500);
// Time until the next probe after one without a result, of which a packet may
// have been lost.
constexpr Duration kInconclusiveProbeInterval = milliseconds(150);
constexpr Duration kLivenessCheckTimeout = seconds(2);
// Data that a server sent before its process ended may still arrive this long
// after, so data received within this time doesn't show that the server runs.
constexpr Duration kMaxInFlightDelay = milliseconds(30);
// How long an ended incarnation is remembered, so that its further interrupted
// requests count as crashes without another probe. All requests that one crash
// interrupts fail within moments of each other.
constexpr Duration kEndedIncarnationRetention = seconds(20);

void SendProbe(State& state, BackendId incarnation, LivenessCheck& check) {
  check.probe_due = Time::max();
  RecordStart(state, incarnation);
  state.effects.emplace_back(
      ProbeLiveness{.backend = incarnation, .address = check.address});
}

// Whether refused connections since `since` are due to the server's end: this
// daemon has reached another server of the service meanwhile. If there is no
// other one, or if no daemon reaches any, the server is taken to have ended.
bool RefusalsShowEnd(State& state, BackendId incarnation, Time since) {
  const Backend* backend = FindBackend(state, incarnation);
  if (backend == nullptr) return true;
  const std::string& service = backend->server.service;
  if (HasReachedServiceSince(state, service, since) ||
      !HasSeveralServers(state, service)) {
    return true;
  }
  ProbePathNow(state, service);
  return state.now - since >= kPathProofTimeout &&
         !DoOthersReach(state, service, since);
}

void LogLivenessCheck(State& state, BackendId incarnation,
                      const LivenessCheck& check, const std::string& outcome) {
  const Backend* backend = FindBackend(state, incarnation);
  Log(state, "life_checked",
      {{"backend", backend == nullptr ? "" : backend->server.id},
       {"address", check.address},
       {"outcome", outcome},
       {"contents", std::to_string(check.attempts_by_fingerprint.size())},
       {"after_ms", Millis(state.now - check.since)}});
}

// Ends a check without a crash.
void EndCheck(State& state, BackendId incarnation) {
  state.liveness_checks.erase(incarnation);
  // Other daemons hold back requests until this check ends, so its end has to
  // be published.
  state.has_unpublished_changes = true;
  state.suspected_parts_changed = true;
}

}  // namespace

void CheckLiveness(State& state, const Request& request, const Attempt& attempt,
                   BackendId incarnation) {
  const std::uint64_t fingerprint = request.metadata.fingerprint;
  if (state.ended_incarnations.contains(incarnation)) {
    RecordCrash(state, fingerprint, incarnation, attempt.backend, state.now);
    LivenessCheck check{.address = {}, .since = state.now};
    SuspectParts(request, attempt, check);
    RecordPartCrashes(state, check, incarnation);
    return;
  }
  const Backend* backend = FindBackend(state, incarnation);
  if (backend == nullptr || !MayProbe(state, *backend, &request)) return;
  const auto [it, is_new] = state.liveness_checks.try_emplace(
      incarnation,
      LivenessCheck{.address = backend->server.address, .since = state.now});
  const bool is_new_fingerprint =
      fingerprint != 0 &&
      it->second.attempts_by_fingerprint
          .try_emplace(
              fingerprint,
              InterruptedAttempt{.id = attempt.id, .incident = attempt.backend})
          .second;
  SuspectParts(request, attempt, it->second);
  state.suspected_parts_changed = true;
  state.has_unpublished_crashes =
      state.has_unpublished_crashes || is_new_fingerprint;
  state.has_unpublished_changes =
      state.has_unpublished_changes || is_new_fingerprint;
  if (is_new) SendProbe(state, incarnation, it->second);
}

void CheckLivenessOfAll(State& state, const Request& request,
                        const Attempt& attempt) {
  CheckLiveness(state, request, attempt, attempt.backend);
  for (const BackendId it : attempt.active_request.helpers)
    CheckLiveness(state, request, attempt, it);
}

void OnLivenessProbed(State& state, const LivenessProbed& event) {
  const auto it = state.liveness_checks.find(event.backend);
  if (it == state.liveness_checks.end()) return;
  LivenessCheck& check = it->second;
  const bool alive = event.result == ProbeResult::kAlive ||
                     check.last_alive_at > check.since + kMaxInFlightDelay;
  const bool refused = event.result == ProbeResult::kRefused;
  check.consecutive_refusals = refused ? check.consecutive_refusals + 1 : 0;
  // Prompts that share a part with those which ran there are suspected from
  // now.
  const bool first_refusal = check.consecutive_refusals == 1;
  state.suspected_parts_changed =
      state.suspected_parts_changed || first_refusal;
  state.has_unpublished_changes =
      state.has_unpublished_changes || first_refusal;
  state.has_unpublished_crashes =
      state.has_unpublished_crashes || first_refusal;
  const bool ended = refused &&
                     RefusalsShowEnd(state, event.backend, check.since) &&
                     check.consecutive_refusals >= kRefusalsUntilEnded;
  const bool timed_out = state.now - check.since > kLivenessCheckTimeout;
  if (!alive && !ended && !timed_out) {
    check.probe_due = state.now + (refused ? kRefusedProbeInterval
                                           : kInconclusiveProbeInterval);
    return;
  }
  LogLivenessCheck(state, event.backend, check,
                   alive ? "lives" : (ended ? "over" : "unknown"));
  if (ended && !alive) {
    EndIncarnation(state, event.backend);
  } else {
    EndCheck(state, event.backend);
  }
  // Requests with the checked fingerprints wait for the result of the check.
  StartWaitingRequests(state);
}

void EndIncarnation(State& state, BackendId incarnation) {
  state.ended_incarnations[incarnation] = state.now;
  const auto node = state.liveness_checks.extract(incarnation);
  if (node.empty()) return;
  const LivenessCheck& check = node.mapped();
  for (const auto& [fingerprint, attempt] : check.attempts_by_fingerprint)
    RecordCrash(state, fingerprint, incarnation, attempt.incident, check.since);
  RecordPartCrashes(state, check, incarnation);
}

void RecordAlive(State& state, BackendId incarnation) {
  const auto it = state.liveness_checks.find(incarnation);
  if (it != state.liveness_checks.end()) it->second.last_alive_at = state.now;
}

void RepeatLivenessProbes(State& state) {
  std::vector<BackendId> forbidden;
  for (auto& [incarnation, check] : state.liveness_checks) {
    if (check.probe_due > state.now) continue;
    const Backend* backend = FindBackend(state, incarnation);
    if (backend == nullptr || MayProbe(state, *backend)) {
      SendProbe(state, incarnation, check);
    } else {
      LogLivenessCheck(state, incarnation, check, "evacuated");
      forbidden.push_back(incarnation);
    }
  }
  for (const BackendId it : forbidden) EndCheck(state, it);
  std::erase_if(state.ended_incarnations, [&](const auto& it) {
    return it.second < state.now - kEndedIncarnationRetention;
  });
}

}  // namespace scaleshed::serving::internal
