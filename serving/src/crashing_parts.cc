#include <algorithm>
#include <utility>

#include "internal/durations.h"
#include "internal/steps.h"

// Prompt parts that may crash the servers that begin to answer a prompt with
// them. Prompts that are all different may share such a part, so a crash is
// held against each part of the prompts whose responses were beginning at the
// server. What is innocent is cleared by other prompts with that part, mostly
// within moments; what isn't never is.
namespace scaleshed::serving::internal {
namespace {

// A response is past its beginning once an event comes this long after its
// first one. A server that crashes because it began a response has crashed by
// then.
constexpr Duration kBeginning = milliseconds(250);
// How long after its beginning a response clears its parts of crashes. A part
// that starts to crash servers isn't suspected for this long.
constexpr Duration kClearanceDuration = milliseconds(1500);

// Whether the server refuses connections, so that it has probably crashed.
// Most responses that are interrupted come from servers that still run.
bool IsLikelyCrash(const State& state, BackendId incarnation,
                   const LivenessCheck& check) {
  const bool open = state.now < check.since + kCrashCheckTimeout;
  if (!open || check.consecutive_refusals == 0) return false;
  const auto backend =
      std::find_if(state.backends.begin(), state.backends.end(),
                   [&](const auto& it) { return it.second.id == incarnation; });
  return backend == state.backends.end() ||
         !IsPathInQuestion(state, backend->second.server.service);
}

// The parts that other daemons check.
std::set<std::uint64_t> PartsCheckedByPeers(const State& state) {
  std::set<std::uint64_t> parts;
  for (const auto& [address, member] : state.members) {
    if (state.now >= member.received_at + kCrashCheckTimeout) continue;
    parts.insert(member.snapshot.part_checks.begin(),
                 member.snapshot.part_checks.end());
  }
  return parts;
}

// The parts under a check here or at another daemon.
std::set<std::uint64_t> CheckedParts(const State& state) {
  std::set<std::uint64_t> parts = PartsCheckedByPeers(state);
  for (const std::uint64_t it : PartsUnderCheck(state)) parts.insert(it);
  return parts;
}

void ClearPart(State& state, const PromptPart& part, Time began,
               const std::string& request) {
  Time& cleared_at = state.part_clearances[part.fingerprint];
  cleared_at = std::max(cleared_at, began);
  const std::size_t crashes =
      state.part_quarantine.CrashCount(part.fingerprint);
  if (crashes == 0) return;
  state.part_quarantine.ClearFingerprint(part.fingerprint, state.now);
  state.has_unpublished_changes = true;
  state.has_unpublished_crashes = true;
  state.suspected_parts_changed = true;
  Log(state, "part_acquitted",
      {{"request", request},
       {"part", part.id},
       {"content", FingerprintText(part.fingerprint)},
       {"ends", std::to_string(crashes)}});
}

// Whether the crash is accounted for by another quarantined part, which the
// request lacks.
bool IsExplainedByOtherPart(const State& state, const RequestMetadata& metadata,
                            BackendId incarnation) {
  const auto has_part = [&](std::uint64_t fingerprint) {
    return std::any_of(
        metadata.shared_parts.begin(), metadata.shared_parts.end(),
        [&](const PromptPart& it) { return it.fingerprint == fingerprint; });
  };
  const auto suspects = state.part_quarantine.FingerprintsAt(incarnation);
  return std::any_of(suspects.begin(), suspects.end(), [&](std::uint64_t it) {
    return state.part_quarantine.IsQuarantined(it) && !has_part(it);
  });
}

void Append(std::string& list, const std::string& text) {
  list += (list.empty() ? "" : ",") + text;
}

}  // namespace

bool IsPastBeginning(const Request& request, const Attempt& attempt) {
  return attempt.first_event_at != Time{} &&
         request.last_event_at >= attempt.first_event_at + kBeginning;
}

void ClearPartsOnProgress(State& state, Request& request) {
  if (request.current.cleared_parts ||
      !IsPastBeginning(request, request.current))
    return;
  request.current.cleared_parts = true;
  request.current.active_request.suspected_parts.clear();
  for (const PromptPart& it : request.metadata.shared_parts)
    ClearPart(state, it, request.current.first_event_at, request.metadata.id);
}

void ClearPartsAfterSuccess(State& state, const Request& request) {
  const RequestMetadata& metadata = request.metadata;
  // The daemon that a request was relayed to clears the parts.
  const bool is_settled =
      request.current.cleared_parts || request.phase == Phase::kRelayed;
  if (metadata.shared_parts.empty() || is_settled) return;
  const Time began = request.current.first_event_at == Time{}
                         ? request.current.sent_at
                         : request.current.first_event_at;
  state.pending_clearances.push_back({.parts = metadata.shared_parts,
                                      .request = metadata.id,
                                      .backend = request.current.backend,
                                      .began = began,
                                      .due = state.now + kBeginning});
}

void UpdatePartClearances(State& state) {
  auto& pending = state.pending_clearances;
  while (!pending.empty() && pending.front().due <= state.now) {
    PendingClearance it = std::move(pending.front());
    pending.pop_front();
    if (state.ended_incarnations.contains(it.backend)) continue;
    if (state.liveness_checks.contains(it.backend)) {
      it.due = state.now + kBeginning;
      if (it.due < it.began + kClearanceDuration)
        pending.push_back(std::move(it));
      continue;
    }
    for (const PromptPart& part : it.parts)
      ClearPart(state, part, it.began, it.request);
  }
  std::erase_if(state.part_clearances, [&](const auto& it) {
    return state.now >= it.second + kClearanceDuration;
  });
}

bool IsClearedPart(const State& state, std::uint64_t part) {
  const auto it = state.part_clearances.find(part);
  return it != state.part_clearances.end() &&
         state.now < it->second + kClearanceDuration;
}

void SuspectParts(const Request& request, const Attempt& attempt,
                  LivenessCheck& check) {
  if (IsPastBeginning(request, attempt)) return;
  for (const PromptPart& it : request.metadata.shared_parts) {
    SuspectedPart& part = check.parts[it.fingerprint];
    part.id = it.id;
    if (part.incident == 0) part.incident = attempt.backend;
    part.under_suspicion = part.under_suspicion ||
                           attempt.suspected_at_send.contains(it.fingerprint);
  }
}

void RecordPartCrashes(State& state, const LivenessCheck& check,
                       BackendId incarnation) {
  if (check.parts.empty()) return;
  std::string suspects;
  std::string cleared;
  for (const auto& [fingerprint, part] : check.parts) {
    if (IsClearedPart(state, fingerprint)) {
      Append(cleared, part.id);
      continue;
    }
    Append(suspects, part.id + "=" + FingerprintText(fingerprint));
    ApplyCrash(state,
               {.fingerprint = fingerprint,
                .incarnation = incarnation,
                .kind = SuspectKind::kPart,
                .under_suspicion = part.under_suspicion,
                .incident = part.incident,
                .among_others =
                    IsAmongOtherCrashes(state, SuspectKind::kPart, fingerprint),
                .interrupted_at = check.since},
               "");
  }
  const Backend* backend = FindBackend(state, incarnation);
  Log(state, "part_suspects",
      {{"backend", backend == nullptr ? "" : backend->server.id},
       {"life", FingerprintText(incarnation)},
       {"parts", suspects},
       {"acquitted", cleared}});
}

std::set<std::uint64_t> SuspectedParts(const State& state,
                                       const RequestMetadata& metadata) {
  std::set<std::uint64_t> suspected;
  if (metadata.shared_parts.empty()) return suspected;
  const auto checked = CheckedParts(state);
  for (const PromptPart& it : metadata.shared_parts) {
    const bool in_question =
        checked.contains(it.fingerprint) ||
        state.part_quarantine.CrashCount(it.fingerprint) > 0;
    if (in_question && !IsClearedPart(state, it.fingerprint))
      suspected.insert(it.fingerprint);
  }
  return suspected;
}

bool AwaitsPartCheck(const State& state, const std::set<std::uint64_t>& parts) {
  if (parts.empty()) return false;
  const auto checked = CheckedParts(state);
  return std::any_of(parts.begin(), parts.end(), [&](std::uint64_t it) {
    return checked.contains(it) && state.part_quarantine.CrashCount(it) > 0;
  });
}

bool IsSuspectedPartActive(const State& state,
                           const std::set<std::uint64_t>& parts) {
  if (parts.empty()) return false;
  const auto active_requests = AllActiveRequests(state);
  return std::any_of(
      active_requests.begin(), active_requests.end(),
      [&](const ActiveRequest* active) {
        return std::any_of(
            active->suspected_parts.begin(), active->suspected_parts.end(),
            [&](std::uint64_t it) { return parts.contains(it); });
      });
}

// Parts that always come together share their crashes. A request that lacks one
// of them tells which is at fault, so that it is sent, in isolation. So is one
// request after long, which shows whether the part still crashes servers.
const PromptPart* FindQuarantinedPart(const State& state,
                                      const RequestMetadata& metadata) {
  const Quarantine& quarantine = state.part_quarantine;
  if (quarantine.empty()) return nullptr;
  for (const PromptPart& part : metadata.shared_parts) {
    if (!quarantine.IsQuarantined(part.fingerprint) ||
        quarantine.IsTrialDue(part.fingerprint, state.now)) {
      continue;
    }
    const auto incarnations = quarantine.UnderSuspicion(part.fingerprint);
    const bool is_cause = std::any_of(
        incarnations.begin(), incarnations.end(), [&](BackendId it) {
          return !IsExplainedByOtherPart(state, metadata, it);
        });
    if (is_cause) return &part;
  }
  return nullptr;
}

std::vector<std::uint64_t> PartsUnderCheck(const State& state) {
  std::set<std::uint64_t> parts;
  for (const auto& [incarnation, check] : state.liveness_checks) {
    if (!IsLikelyCrash(state, incarnation, check)) continue;
    for (const auto& [fingerprint, part] : check.parts) {
      if (!IsClearedPart(state, fingerprint)) parts.insert(fingerprint);
    }
  }
  return {parts.begin(), parts.end()};
}

void UpdateSuspectedParts(State& state) {
  if (!std::exchange(state.suspected_parts_changed, false)) return;
  for (auto& [key, request] : state.requests) {
    if (!CountsForPlacement(request) ||
        IsPastBeginning(request, request.current))
      continue;
    const auto parts = SuspectedParts(state, request.metadata);
    auto& published = request.current.active_request.suspected_parts;
    const bool same = std::equal(parts.begin(), parts.end(), published.begin(),
                                 published.end());
    if (same) continue;
    published.assign(parts.begin(), parts.end());
    state.has_unpublished_changes = true;
  }
}

std::string PartFingerprintsText(const std::set<std::uint64_t>& parts) {
  std::string text;
  for (const std::uint64_t it : parts) Append(text, FingerprintText(it));
  return text;
}

}  // namespace scaleshed::serving::internal
