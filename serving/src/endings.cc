#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "internal/pool.h"
#include "internal/steps.h"

// Handling of requests that crash backend servers. A crash is recorded for the
// fingerprint of each request that ran at the server, published to all daemons
// and kept in the store, because the client's next attempt arrives under a new
// id and at any daemon.
namespace scaleshed::serving::internal {
namespace {

// How long a request whose fingerprint has crashed a server before waits for
// the result of a crash check, which takes 50 to 70 ms. Other requests are
// retried immediately.
constexpr Duration kCrashCheckTimeout = milliseconds(200);
// How long a request waits for the first probe result after an interrupted
// response. Most interrupted responses come from servers that still run; such a
// server responds to the probe within some milliseconds, and the request isn't
// crash-suspected then.
constexpr Duration kFirstProbeResultTimeout = milliseconds(15);

void LogCrash(State& state, std::uint64_t fingerprint, BackendId incarnation,
              const std::string& source) {
  const Backend* backend = FindBackend(state, incarnation);
  const std::size_t n = state.quarantine.CrashCount(fingerprint);
  Log(state, "ended_under",
      {{"content", FingerprintText(fingerprint)},
       {"backend", backend == nullptr ? "" : backend->server.id},
       {"life", FingerprintText(incarnation)},
       {"told_by", source},
       {"ends", std::to_string(n)},
       {"held",
        state.quarantine.IsQuarantined(fingerprint) ? "true" : "false"}});
}

void ApplyCrash(State& state, const Crash& crash, const std::string& source) {
  if (!state.quarantine.AddCrash(crash, state.now)) return;
  state.has_unpublished_changes = true;
  // In a large fleet, hubs pass on the crashes that other daemons publish.
  state.has_unpublished_crashes =
      state.has_unpublished_crashes || source.empty() ||
      (state.dispatch.is_hub && !state.dispatch.place_locally);
  if (crash.cleared) {
    Log(state, "forgiven",
        {{"content", FingerprintText(crash.fingerprint)},
         {"life", FingerprintText(crash.incarnation)},
         {"told_by", source}});
    return;
  }
  state.effects.emplace_back(IncrementCounter{Counter::kCrashes});
  LogCrash(state, crash.fingerprint, crash.incarnation, source);
}

// A backend server as a target for a request that is to run alone, or at the
// same server as the other requests with its fingerprint.
struct Candidate {
  const Backend* backend = nullptr;
  std::uint64_t rank = 0;  // order of preference, the same at all daemons
  std::int64_t active_requests = 0;
  // Active requests with the demand's fingerprint.
  std::int64_t same_fingerprint = 0;
  bool avoided = false;  // suspected, or excluded for this request
};

std::vector<Candidate> FindCandidates(
    const State& state, const PlacementDemand& demand,
    const std::vector<const Backend*>& open,
    const std::vector<const ActiveRequest*>& active_requests) {
  const auto suspected = SuspectedBackends(state);
  std::map<BackendId, Candidate> by_id;
  for (const Backend* it : open) {
    by_id[it->id] = {.backend = it,
                     .rank = HashBytes(it->server.id, demand.fingerprint),
                     .avoided = suspected.contains(it->id) ||
                                demand.excluded.contains(it->id)};
  }
  for (const ActiveRequest* request : active_requests) {
    const auto it = by_id.find(request->backend);
    if (it == by_id.end()) continue;
    ++it->second.active_requests;
    if (request->fingerprint == demand.fingerprint)
      ++it->second.same_fingerprint;
  }
  std::vector<Candidate> all;
  all.reserve(by_id.size());
  for (const auto& [id, it] : by_id) all.push_back(it);
  std::sort(all.begin(), all.end(),
            [](const auto& a, const auto& b) { return a.rank < b.rank; });
  return all;
}

bool HasFreeSlot(const Candidate& it) {
  return !it.avoided && it.active_requests < it.backend->server.slots;
}

// Whether another daemon currently checks whether a further server has crashed
// while it ran a request with this fingerprint.
bool IsCheckedByPeer(const State& state, std::uint64_t fingerprint) {
  return std::any_of(
      state.members.begin(), state.members.end(), [&](const auto& it) {
        const Member& member = it.second;
        const auto& crash_checks = member.snapshot.crash_checks;
        return state.now < member.received_at + kCrashCheckTimeout &&
               std::find(crash_checks.begin(), crash_checks.end(),
                         fingerprint) != crash_checks.end();
      });
}

// Number of interrupted attempts with this fingerprint for which this daemon
// currently checks whether their servers have crashed.
std::size_t CountLocalChecks(const State& state, std::uint64_t fingerprint) {
  std::set<AttemptId> attempts;
  for (const auto& [incarnation, check] : state.liveness_checks) {
    const auto it = check.attempts_by_fingerprint.find(fingerprint);
    const bool is_open = it != check.attempts_by_fingerprint.end() &&
                         state.now < check.since + kCrashCheckTimeout;
    if (is_open) attempts.insert(it->second);
  }
  return attempts.size();
}

}  // namespace

void RecordCrash(State& state, std::uint64_t fingerprint,
                 BackendId incarnation) {
  if (fingerprint == 0) return;
  ApplyCrash(state, {.fingerprint = fingerprint, .incarnation = incarnation},
             "");
}

void ClearAfterSuccess(State& state, const Request& request) {
  const std::uint64_t fingerprint = request.metadata.fingerprint;
  for (auto& [incarnation, check] : state.liveness_checks)
    check.attempts_by_fingerprint.erase(fingerprint);
  if (state.quarantine.CrashCount(fingerprint) == 0) return;
  state.quarantine.ClearFingerprint(fingerprint, state.now);
  state.has_unpublished_changes = true;
  state.has_unpublished_crashes = true;
  Log(state, "acquitted",
      {{"request", request.metadata.id},
       {"content", FingerprintText(fingerprint)},
       {"backend", request.backend_name}});
}

void ApplyCrashes(State& state, const std::vector<Crash>& crashes) {
  for (const Crash& it : crashes) {
    ApplyCrash(state, it, "peer");
    if (!it.cleared) EndIncarnation(state, it.incarnation);
  }
}

bool RefuseIfQuarantined(State& state, Request& request) {
  if (!state.quarantine.IsQuarantined(request.metadata.fingerprint))
    return false;
  state.effects.emplace_back(IncrementCounter{Counter::kQuarantined});
  RefuseRequest(state, request, Refusal::kQuarantined, {});
  return true;
}

bool AwaitsCrashCheck(const State& state, std::uint64_t fingerprint) {
  if (fingerprint == 0) return false;
  const std::size_t checks = CountLocalChecks(state, fingerprint) +
                             (IsCheckedByPeer(state, fingerprint) ? 1 : 0);
  constexpr std::size_t kMaxCrashesWhileSending = 1;
  return checks > 0 && state.quarantine.CrashCount(fingerprint) + checks >
                           kMaxCrashesWhileSending;
}

bool AwaitsLivenessSignal(const State& state, std::uint64_t fingerprint) {
  if (fingerprint == 0) return false;
  return std::any_of(
      state.liveness_checks.begin(), state.liveness_checks.end(),
      [&](const auto& it) {
        const LivenessCheck& check = it.second;
        return state.now < check.since + kFirstProbeResultTimeout &&
               check.attempts_by_fingerprint.contains(fingerprint);
      });
}

bool IsCrashSuspected(const State& state, std::uint64_t fingerprint) {
  if (fingerprint == 0) return false;
  return state.quarantine.CrashCount(fingerprint) > 0 ||
         CountLocalChecks(state, fingerprint) > 0 ||
         IsCheckedByPeer(state, fingerprint);
}

std::vector<std::uint64_t> FingerprintsUnderCheck(const State& state) {
  std::set<std::uint64_t> fingerprints;
  for (const auto& [incarnation, check] : state.liveness_checks) {
    if (state.now >= check.since + kCrashCheckTimeout) continue;
    for (const auto& [fingerprint, attempt] : check.attempts_by_fingerprint) {
      fingerprints.insert(fingerprint);
    }
  }
  return {fingerprints.begin(), fingerprints.end()};
}

// Requests with the same fingerprint that arrive at several daemons together
// must not crash a server each, so they go to the server that already runs one.
// Further isolation depends on the crashes known of the fingerprint:
//   - One server has crashed or may have. Most crashes have another cause, so a
//     short prompt goes to an idle server if there is one, and a long prompt
//     keeps its queue position and its prefill helpers but runs only one at a
//     time.
//   - More servers have crashed. The request runs alone, even if it is late
//     because of that.
Isolation FindIsolation(const State& state, const PlacementDemand& demand,
                        const std::vector<const Backend*>& open) {
  if (demand.fingerprint == 0) return {};
  const std::size_t crashes = state.quarantine.CrashCount(demand.fingerprint);
  const bool suspected =
      demand.crash_suspected || IsCrashSuspected(state, demand.fingerprint);
  const bool is_long = demand.prefill_time > kShortPromptPrefillLimit;
  const bool is_plain = demand.prefill_time == Duration::zero();
  // Two long prompts at one engine would delay each other without need.
  if (!suspected && (is_long || is_plain)) return {};
  const auto active_requests = AllActiveRequests(state);
  const bool any_same_fingerprint =
      std::any_of(active_requests.begin(), active_requests.end(),
                  [&](const ActiveRequest* it) {
                    return it->fingerprint == demand.fingerprint;
                  });
  constexpr std::size_t kProbableCauseCrashCount = 2;
  const bool one_at_a_time = is_long && crashes < kProbableCauseCrashCount;
  if (one_at_a_time) return {.wait = any_same_fingerprint};
  auto all = FindCandidates(state, demand, open, active_requests);
  std::erase_if(all, [](const Candidate& it) { return !HasFreeSlot(it); });
  const auto running_same =
      std::find_if(all.begin(), all.end(),
                   [](const Candidate& it) { return it.same_fingerprint > 0; });
  if (running_same != all.end())
    return {.backend = running_same->backend, .crash_suspected = suspected};
  if (!suspected) return {};
  if (any_same_fingerprint) return {.wait = true};
  const auto best = std::min_element(
      all.begin(), all.end(), [](const Candidate& a, const Candidate& b) {
        return std::pair(a.active_requests, a.rank) <
               std::pair(b.active_requests, b.rank);
      });
  if (best == all.end()) return {};
  return {.backend = best->backend, .crash_suspected = true};
}

void RecordIsolation(State& state, const PlacementDemand& demand,
                     const Isolation& isolation) {
  if (!isolation.crash_suspected) return;
  state.effects.emplace_back(IncrementCounter{Counter::kCrashSuspected});
  Log(state, "in_doubt",
      {{"request", demand.id},
       {"content", FingerprintText(demand.fingerprint)},
       {"ends",
        std::to_string(state.quarantine.CrashCount(demand.fingerprint))},
       {"backend", isolation.backend->server.id},
       {"prompt", std::to_string(demand.prompt_tokens)},
       {"after_ms", Millis(state.now - demand.arrived)}});
}

}  // namespace scaleshed::serving::internal
