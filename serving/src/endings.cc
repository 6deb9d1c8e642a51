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
constexpr Duration kVerdictWithin = milliseconds(200);
// A server that lives says so within some milliseconds: most answers that break
// off are of such, and nothing is held against the request then.
constexpr Duration kSignWithin = milliseconds(15);

void LogEnding(State& state, std::uint64_t content, BackendId life,
               const std::string& from) {
  const Backend* backend = FindBackend(state, life);
  const std::size_t n = state.quarantine.CrashCount(content);
  Log(state, "ended_under",
      {{"content", FingerprintText(content)},
       {"backend", backend == nullptr ? "" : backend->server.id},
       {"life", FingerprintText(life)},
       {"told_by", from},
       {"ends", std::to_string(n)},
       {"held", state.quarantine.IsQuarantined(content) ? "true" : "false"}});
}

void TakeEnding(State& state, const Crash& ending, const std::string& from) {
  if (!state.quarantine.AddCrash(ending, state.now)) return;
  state.has_unpublished_changes = true;
  // Of many daemons the others hear it of the hubs.
  state.has_unpublished_crashes =
      state.has_unpublished_crashes || from.empty() ||
      (state.dispatch.is_hub && !state.dispatch.place_locally);
  if (ending.cleared) {
    Log(state, "forgiven",
        {{"content", FingerprintText(ending.fingerprint)},
         {"life", FingerprintText(ending.incarnation)},
         {"told_by", from}});
    return;
  }
  state.effects.emplace_back(IncrementCounter{Counter::kCrashes});
  LogEnding(state, ending.fingerprint, ending.incarnation, from);
}

// What is known of a backend server for a request that has to go alone, or to
// where all copies of it go.
struct Candidate {
  const Backend* backend = nullptr;
  std::uint64_t rank = 0;  // the same at all daemons
  std::int64_t works = 0;
  std::int64_t alike = 0;  // of these, copies
  bool avoided = false;
};

std::vector<Candidate> CandidatesFor(
    const State& state, const PlacementDemand& demand,
    const std::vector<const Backend*>& open,
    const std::vector<const ActiveRequest*>& works) {
  const auto suspects = SuspectedBackends(state);
  std::map<BackendId, Candidate> by_id;
  for (const Backend* it : open) {
    by_id[it->id] = {.backend = it,
                     .rank = HashBytes(it->server.id, demand.fingerprint),
                     .avoided = suspects.contains(it->id) ||
                                demand.excluded.contains(it->id)};
  }
  for (const ActiveRequest* work : works) {
    const auto it = by_id.find(work->backend);
    if (it == by_id.end()) continue;
    ++it->second.works;
    if (work->fingerprint == demand.fingerprint) ++it->second.alike;
  }
  std::vector<Candidate> all;
  all.reserve(by_id.size());
  for (const auto& [id, it] : by_id) all.push_back(it);
  std::sort(all.begin(), all.end(),
            [](const auto& a, const auto& b) { return a.rank < b.rank; });
  return all;
}

bool HasPlace(const Candidate& it) {
  return !it.avoided && it.works < it.backend->server.slots;
}

// Whether another daemon asks right now if one more has ended under it.
bool IsAskedElsewhere(const State& state, std::uint64_t content) {
  return std::any_of(
      state.members.begin(), state.members.end(), [&](const auto& it) {
        const Member& member = it.second;
        const auto& asked = member.snapshot.crash_checks;
        return state.now < member.received_at + kVerdictWithin &&
               std::find(asked.begin(), asked.end(), content) != asked.end();
      });
}

// Of how many attempts that broke off this daemon asks right now if servers
// ended under them.
std::size_t AskedHere(const State& state, std::uint64_t content) {
  std::set<AttemptId> attempts;
  for (const auto& [life, check] : state.liveness_checks) {
    const auto it = check.attempts_by_fingerprint.find(content);
    const bool asks = it != check.attempts_by_fingerprint.end() &&
                      state.now < check.since + kVerdictWithin;
    if (asks) attempts.insert(it->second);
  }
  return attempts.size();
}

}  // namespace

void RecordCrash(State& state, std::uint64_t content, BackendId life) {
  if (content == 0) return;
  TakeEnding(state, {.fingerprint = content, .incarnation = life}, "");
}

void ClearAfterSuccess(State& state, const Request& request) {
  const std::uint64_t content = request.metadata.fingerprint;
  for (auto& [life, check] : state.liveness_checks)
    check.attempts_by_fingerprint.erase(content);
  if (state.quarantine.CrashCount(content) == 0) return;
  state.quarantine.ClearFingerprint(content, state.now);
  state.has_unpublished_changes = true;
  state.has_unpublished_crashes = true;
  Log(state, "acquitted",
      {{"request", request.metadata.id},
       {"content", FingerprintText(content)},
       {"backend", request.backend_name}});
}

void ApplyCrashes(State& state, const std::vector<Crash>& endings) {
  for (const Crash& it : endings) {
    TakeEnding(state, it, "peer");
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

bool AwaitsCrashCheck(const State& state, std::uint64_t content) {
  if (content == 0) return false;
  const std::size_t asked =
      AskedHere(state, content) + (IsAskedElsewhere(state, content) ? 1 : 0);
  constexpr std::size_t kSentOn = 1;
  return asked > 0 && state.quarantine.CrashCount(content) + asked > kSentOn;
}

bool AwaitsLivenessSignal(const State& state, std::uint64_t content) {
  if (content == 0) return false;
  return std::any_of(state.liveness_checks.begin(), state.liveness_checks.end(),
                     [&](const auto& it) {
                       const LivenessCheck& check = it.second;
                       return state.now < check.since + kSignWithin &&
                              check.attempts_by_fingerprint.contains(content);
                     });
}

bool IsCrashSuspected(const State& state, std::uint64_t content) {
  if (content == 0) return false;
  return state.quarantine.CrashCount(content) > 0 ||
         AskedHere(state, content) > 0 || IsAskedElsewhere(state, content);
}

std::vector<std::uint64_t> FingerprintsUnderCheck(const State& state) {
  std::set<std::uint64_t> contents;
  for (const auto& [life, check] : state.liveness_checks) {
    if (state.now >= check.since + kVerdictWithin) continue;
    for (const auto& [content, attempt] : check.attempts_by_fingerprint) {
      contents.insert(content);
    }
  }
  return {contents.begin(), contents.end()};
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
  const std::size_t ends = state.quarantine.CrashCount(demand.fingerprint);
  const bool asked =
      demand.crash_suspected || IsCrashSuspected(state, demand.fingerprint);
  const bool is_long = demand.prefill_time > kShortPromptPrefillLimit;
  const bool plain = demand.prefill_time == Duration::zero();
  // Two long ones at one engine would be late for nothing.
  if (!asked && (is_long || plain)) return {};
  const auto works = AllActiveRequests(state);
  const bool any_alike =
      std::any_of(works.begin(), works.end(), [&](const ActiveRequest* it) {
        return it->fingerprint == demand.fingerprint;
      });
  constexpr std::size_t kProbable = 2;
  const bool one_at_a_time = is_long && ends < kProbable;
  if (one_at_a_time) return {.wait = any_alike};
  auto all = CandidatesFor(state, demand, open, works);
  std::erase_if(all, [](const Candidate& it) { return !HasPlace(it); });
  const auto like = std::find_if(
      all.begin(), all.end(), [](const Candidate& it) { return it.alike > 0; });
  if (like != all.end())
    return {.backend = like->backend, .crash_suspected = asked};
  if (!asked) return {};
  if (any_alike) return {.wait = true};
  const auto best = std::min_element(
      all.begin(), all.end(), [](const Candidate& a, const Candidate& b) {
        return std::pair(a.works, a.rank) < std::pair(b.works, b.rank);
      });
  if (best == all.end()) return {};
  return {.backend = best->backend, .crash_suspected = true};
}

void RecordIsolation(State& state, const PlacementDemand& demand,
                     const Isolation& with) {
  if (!with.crash_suspected) return;
  state.effects.emplace_back(IncrementCounter{Counter::kCrashSuspected});
  Log(state, "in_doubt",
      {{"request", demand.id},
       {"content", FingerprintText(demand.fingerprint)},
       {"ends",
        std::to_string(state.quarantine.CrashCount(demand.fingerprint))},
       {"backend", with.backend->server.id},
       {"prompt", std::to_string(demand.prompt_tokens)},
       {"after_ms", Millis(state.now - demand.arrived)}});
}

}  // namespace scaleshed::serving::internal
