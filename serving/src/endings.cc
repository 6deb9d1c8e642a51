#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "internal/durations.h"
#include "internal/pool.h"
#include "internal/steps.h"

// Handling of requests that crash backend servers. A crash is recorded for the
// fingerprint of each request that ran at the server, published to all daemons
// and kept in the store, because the client's next attempt arrives under a new
// id and at any daemon.
namespace scaleshed::serving::internal {
namespace {

// Most parts that are suspected after a crash are cleared within moments, so
// that one crash of a part isn't logged at every daemon.
constexpr std::size_t kMinPartCrashesToLog = 2;

void LogCrash(State& state, const Crash& crash, const std::string& source) {
  const Quarantine& quarantine = QuarantineOf(state, crash.kind);
  const Backend* backend = FindBackend(state, crash.incarnation);
  Log(state, "ended_under",
      {{"kind", std::string(NameIn(kSuspectKindNames, crash.kind))},
       {"content", FingerprintText(crash.fingerprint)},
       {"backend", backend == nullptr ? "" : backend->server.id},
       {"life", FingerprintText(crash.incarnation)},
       {"told_by", source},
       {"ends", std::to_string(quarantine.CrashCount(crash.fingerprint))},
       {"incidents",
        std::to_string(quarantine.IncidentCount(crash.fingerprint))},
       {"in_doubt", crash.under_suspicion ? "true" : "false"},
       {"held",
        quarantine.IsQuarantined(crash.fingerprint) ? "true" : "false"}});
}

}  // namespace

Quarantine& QuarantineOf(State& state, SuspectKind kind) {
  return kind == SuspectKind::kPart ? state.part_quarantine : state.quarantine;
}

void ApplyCrash(State& state, const Crash& crash, const std::string& source) {
  const bool is_part = crash.kind == SuspectKind::kPart;
  Quarantine& quarantine = QuarantineOf(state, crash.kind);
  const std::size_t crashes_before = quarantine.CrashCount(crash.fingerprint);
  if (!quarantine.AddCrash(crash, state.now)) return;
  state.has_unpublished_changes = true;
  state.suspected_parts_changed = state.suspected_parts_changed || is_part;
  // In a large fleet, hubs pass on the crashes that other daemons publish.
  state.has_unpublished_crashes =
      state.has_unpublished_crashes || source.empty() ||
      (state.dispatch.is_hub && !state.dispatch.place_locally);
  const std::size_t crashes =
      std::max(crashes_before, quarantine.CrashCount(crash.fingerprint));
  const bool is_logged = !is_part || crashes >= kMinPartCrashesToLog;
  if (crash.cleared) {
    if (!is_logged) return;
    Log(state, "forgiven",
        {{"kind", std::string(NameIn(kSuspectKindNames, crash.kind))},
         {"content", FingerprintText(crash.fingerprint)},
         {"life", FingerprintText(crash.incarnation)},
         {"told_by", source}});
    return;
  }
  if (!is_part) state.effects.emplace_back(IncrementCounter{Counter::kCrashes});
  if (is_logged) LogCrash(state, crash, source);
  // A response may have cleared the part here before the crash became known.
  if (is_part && IsClearedPart(state, crash.fingerprint)) {
    quarantine.ClearFingerprint(crash.fingerprint, state.now);
    state.has_unpublished_crashes = true;
  }
}

namespace {

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

// What daemons that place at the same moment agree by on a server, so that all
// of them choose the same one: the suspected part with the most crashes, else
// the request's fingerprint.
std::uint64_t RankSubject(const State& state, const PlacementDemand& demand) {
  const auto worst = std::max_element(
      demand.suspected_parts.begin(), demand.suspected_parts.end(),
      [&](std::uint64_t a, std::uint64_t b) {
        return state.part_quarantine.CrashCount(a) <
               state.part_quarantine.CrashCount(b);
      });
  return worst == demand.suspected_parts.end() ? demand.fingerprint : *worst;
}

std::vector<Candidate> FindCandidates(
    const State& state, const PlacementDemand& demand,
    const std::vector<const Backend*>& open,
    const std::vector<const ActiveRequest*>& active_requests) {
  const auto suspected = SuspectedBackends(state);
  const std::uint64_t rank_subject = RankSubject(state, demand);
  std::map<BackendId, Candidate> by_id;
  for (const Backend* it : open) {
    by_id[it->id] = {.backend = it,
                     .rank = HashBytes(it->server.id, rank_subject),
                     .avoided = suspected.contains(it->id) ||
                                demand.excluded.contains(it->id)};
  }
  for (const ActiveRequest* request : active_requests) {
    const auto it = by_id.find(request->backend);
    if (it == by_id.end()) continue;
    ++it->second.active_requests;
    if (demand.fingerprint != 0 && request->fingerprint == demand.fingerprint)
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
    if (is_open) attempts.insert(it->second.id);
  }
  return attempts.size();
}

}  // namespace

namespace {

// Counts the servers that crashed in the last seconds and fulfil `counts`.
template <typename Predicate>
std::size_t CountRecentCrashesIf(const State& state, Predicate counts) {
  constexpr Duration kRecentCrashWindow = seconds(10);
  return static_cast<std::size_t>(std::count_if(
      state.ended_incarnations.begin(), state.ended_incarnations.end(),
      [&](const auto& it) {
        return state.now < it.second + kRecentCrashWindow && counts(it.first);
      }));
}

}  // namespace

std::size_t CountRecentCrashes(const State& state) {
  return CountRecentCrashesIf(state, [](BackendId) { return true; });
}

bool IsAmongOtherCrashes(const State& state, SuspectKind kind,
                         std::uint64_t fingerprint) {
  const Quarantine& quarantine =
      kind == SuspectKind::kPart ? state.part_quarantine : state.quarantine;
  const auto is_other = [&](BackendId it) {
    return !quarantine.HasCrash(fingerprint, it);
  };
  return CountRecentCrashesIf(state, is_other) > kMaxIsolatedCrashes;
}

void RecordCrash(State& state, std::uint64_t fingerprint, BackendId incarnation,
                 BackendId incident, Time interrupted_at) {
  if (fingerprint == 0) return;
  ApplyCrash(state,
             {.fingerprint = fingerprint,
              .incarnation = incarnation,
              .incident = incident,
              .among_others = IsAmongOtherCrashes(state, SuspectKind::kRequest,
                                                  fingerprint),
              .interrupted_at = interrupted_at},
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
       {"backend", request.current.backend_name}});
}

void ApplyCrashes(State& state, const std::vector<Crash>& crashes) {
  for (const Crash& it : crashes) {
    ApplyCrash(state, it, "peer");
    if (!it.cleared) EndIncarnation(state, it.incarnation);
  }
}

bool RefuseIfQuarantined(State& state, Request& request) {
  const PromptPart* part = FindQuarantinedPart(state, request.metadata);
  if (part == nullptr &&
      !state.quarantine.IsQuarantined(request.metadata.fingerprint)) {
    return false;
  }
  if (part != nullptr) {
    Log(state, "held_for_part",
        {{"request", request.metadata.id},
         {"part", part->id},
         {"content", FingerprintText(part->fingerprint)},
         {"ends", std::to_string(
                      state.part_quarantine.CrashCount(part->fingerprint))}});
  }
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
// Prompts that share a suspected part, which may all be different, run one at a
// time in the whole fleet, until a response clears the part or the part is
// quarantined.
Isolation FindIsolation(const State& state, const PlacementDemand& demand,
                        const std::vector<const Backend*>& open) {
  if (demand.fingerprint == 0 && demand.suspected_parts.empty()) return {};
  std::size_t crashes = state.quarantine.CrashCount(demand.fingerprint);
  for (const std::uint64_t it : demand.suspected_parts)
    crashes = std::max(crashes, state.part_quarantine.CrashCount(it));
  const bool suspected = demand.crash_suspected ||
                         IsCrashSuspected(state, demand.fingerprint) ||
                         !demand.suspected_parts.empty();
  const bool is_long = demand.prefill_time > kShortPromptPrefillLimit;
  const bool is_plain = demand.prefill_time == Duration::zero();
  // Two long prompts at one engine would delay each other without need.
  if (!suspected && (is_long || is_plain)) return {};
  const auto active_requests = AllActiveRequests(state);
  const bool any_same_fingerprint = std::any_of(
      active_requests.begin(), active_requests.end(),
      [&](const ActiveRequest* it) {
        return demand.fingerprint != 0 && it->fingerprint == demand.fingerprint;
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
       {"parts", PartFingerprintsText(demand.suspected_parts)},
       {"backend", isolation.backend->server.id},
       {"prompt", std::to_string(demand.prompt_tokens)},
       {"after_ms", Millis(state.now - demand.arrived)}});
}

}  // namespace scaleshed::serving::internal
