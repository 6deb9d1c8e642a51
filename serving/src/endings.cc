#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "internal/pool.h"
#include "internal/steps.h"

// Requests under which backend servers end. What an end teaches is noted for
// the content of each request that was there, told to all daemons and kept in
// the store, as the next copy comes under a new id, at any daemon.
namespace scaleshed::serving::internal {
namespace {

// A request under which a server ended before waits for so long to learn
// whether this one has ended too, which takes 50 to 70 ms; others are sent on
// at once.
constexpr Duration kCrashCheckTimeout = milliseconds(200);
// A server that lives says so within some milliseconds: most answers that break
// off are of such, and nothing is held against the request then.
constexpr Duration kLivenessSignalTimeout = milliseconds(15);

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
  // Of many daemons the others hear it of the hubs.
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

// What is known of a backend server for a request that has to go alone, or to
// where all copies of it go.
struct Candidate {
  const Backend* backend = nullptr;
  std::uint64_t rank = 0;  // the same at all daemons
  std::int64_t active_requests = 0;
  std::int64_t same_fingerprint = 0;  // of these, copies
  bool avoided = false;
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

// Whether another daemon asks right now if one more has ended under it.
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

// Of how many attempts that broke off this daemon asks right now if servers
// ended under them.
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
        return state.now < check.since + kLivenessSignalTimeout &&
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

// Copies that come together at several daemons are not to end a server each:
// they go where one is in work. How much more is done depends on what is known
// against the content:
//   - one server ended, or may have: most end by themselves. A short one goes
//   to
//     a server with nothing else where there is one; a long one keeps its turn
//     and its helpers, one copy at a time.
//   - more: it goes alone, whatever that costs it.
Isolation FindIsolation(const State& state, const PlacementDemand& demand,
                        const std::vector<const Backend*>& open) {
  if (demand.fingerprint == 0) return {};
  const std::size_t crashes = state.quarantine.CrashCount(demand.fingerprint);
  const bool suspected =
      demand.crash_suspected || IsCrashSuspected(state, demand.fingerprint);
  const bool is_long = demand.prefill_time > kShortPromptPrefillLimit;
  const bool is_plain = demand.prefill_time == Duration::zero();
  // Two long ones at one engine would be late for nothing.
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
