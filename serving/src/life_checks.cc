#include <algorithm>

#include "internal/steps.h"

namespace scaleshed::serving::internal {
namespace {

// An answer that breaks off says too little: connections are reset and streams
// spoiled at backend servers that live on. One that has ended refuses each new
// connection until another life begins, which takes a second and more; one that
// is full may refuse one now and then.
constexpr int kRefusals = 2;
constexpr Duration kRefusedAgain = milliseconds(50);
// Where nothing was seen, a packet may have been lost.
constexpr Duration kNothingAgain = milliseconds(150);
constexpr Duration kAskFor = seconds(2);
// What it sent before its end may still be on its way so long after.
constexpr Duration kUnderway = milliseconds(30);
// Sends that were cut by one end are seen to be within moments.
constexpr Duration kRemember = seconds(20);

void Ask(State& state, BackendId life, LivenessCheck& check) {
  check.probe_due = Time::max();
  RecordStart(state, life);
  state.effects.emplace_back(
      ProbeLiveness{.backend = life, .address = check.address});
}

void LogCheck(State& state, BackendId life, const LivenessCheck& check,
              const std::string& outcome) {
  const Backend* backend = FindBackend(state, life);
  Log(state, "life_checked",
      {{"backend", backend == nullptr ? "" : backend->server.id},
       {"address", check.address},
       {"outcome", outcome},
       {"contents", std::to_string(check.attempts_by_fingerprint.size())},
       {"after_ms", Millis(state.now - check.since)}});
}

}  // namespace

void CheckLiveness(State& state, const Request& request, BackendId life) {
  const std::uint64_t content = request.metadata.fingerprint;
  if (state.ended_incarnations.contains(life)) {
    RecordCrash(state, content, life);
    return;
  }
  const Backend* backend = FindBackend(state, life);
  if (backend == nullptr) return;
  const auto [it, is_new] = state.liveness_checks.try_emplace(
      life,
      LivenessCheck{.address = backend->server.address, .since = state.now});
  const bool news = content != 0 && it->second.attempts_by_fingerprint
                                        .try_emplace(content, request.attempt)
                                        .second;
  state.has_unpublished_crashes = state.has_unpublished_crashes || news;
  state.has_unpublished_changes = state.has_unpublished_changes || news;
  if (is_new) Ask(state, life, it->second);
}

void OnLivenessProbed(State& state, const LivenessProbed& event) {
  const auto it = state.liveness_checks.find(event.backend);
  if (it == state.liveness_checks.end()) return;
  LivenessCheck& check = it->second;
  const bool speaks = event.result == ProbeResult::kAlive ||
                      check.last_alive_at > check.since + kUnderway;
  const bool refuses = event.result == ProbeResult::kRefused;
  check.consecutive_refusals = refuses ? check.consecutive_refusals + 1 : 0;
  const bool over = refuses && check.consecutive_refusals >= kRefusals;
  const bool given_up = state.now - check.since > kAskFor;
  if (!speaks && !over && !given_up) {
    check.probe_due = state.now + (refuses ? kRefusedAgain : kNothingAgain);
    return;
  }
  LogCheck(state, event.backend, check,
           speaks ? "lives" : (over ? "over" : "unknown"));
  if (over && !speaks) {
    EndIncarnation(state, event.backend);
  } else {
    state.liveness_checks.erase(it);
    // Others wait for it too.
    state.has_unpublished_changes = true;
  }
  // Some wait for this.
  StartWaitingRequests(state);
}

void EndIncarnation(State& state, BackendId life) {
  state.ended_incarnations[life] = state.now;
  const auto check = state.liveness_checks.extract(life);
  if (check.empty()) return;
  for (const auto& [content, attempt] :
       check.mapped().attempts_by_fingerprint) {
    RecordCrash(state, content, life);
  }
}

void RecordAlive(State& state, BackendId life) {
  const auto it = state.liveness_checks.find(life);
  if (it != state.liveness_checks.end()) it->second.last_alive_at = state.now;
}

void RepeatLivenessProbes(State& state) {
  for (auto& [life, check] : state.liveness_checks) {
    if (check.probe_due <= state.now) Ask(state, life, check);
  }
  std::erase_if(state.ended_incarnations, [&](const auto& it) {
    return it.second < state.now - kRemember;
  });
}

}  // namespace scaleshed::serving::internal
