#include <algorithm>
#include <cstdio>

#include "internal/steps.h"

namespace scaleshed::serving::internal {
namespace {

// Full snapshots carry for this long that a server is leaving.
constexpr Duration kLeavingPublishDuration = seconds(10);
// That an incarnation is leaving is remembered this long after it was learned,
// and longer while the incarnation has an entry: an entry that is gone may come
// back, if only its lease expired.
constexpr Duration kUnlistedLeavingRetention = seconds(60);
// Upper limit of the time for which other daemons avoid a server that asked
// this daemon for a backoff.
constexpr Duration kMaxPublishedAvoidance = seconds(1);

// Formats a rate limit for a log field; no limit: empty.
std::string RateText(std::optional<double> per_second) {
  if (!per_second) return "";
  char buf[32];
  (void)std::snprintf(buf, sizeof(buf), "%.3g", *per_second);
  return buf;
}

// Applies the rate limit, or its absence, in the head of a response to
// `request` and logs a change.
void ApplyAdvertisedRateLimit(State& state, const Request& request,
                              const Attempt& attempt,
                              std::optional<double> advertised) {
  const auto previous = RateLimitOf(state, attempt.backend);
  if (!previous && !advertised) return;
  // A response without a rate limit ends the known limit only if its request
  // was sent after the limit was received. The server may have begun any
  // earlier response before it advertised the limit.
  const bool may_be_outdated =
      !advertised &&
      attempt.sent_at <= state.limits.at(attempt.backend).limit.received_at;
  if (may_be_outdated) return;
  ApplyRateLimit(state,
                 {.backend = attempt.backend,
                  .per_second = advertised,
                  .received_at = state.now},
                 /*received_directly=*/true);
  if (previous == advertised) return;
  const std::string change = !previous     ? "named"
                             : !advertised ? "ended"
                                           : "changed";
  Log(state, "server_limit",
      {{"backend", attempt.backend_name},
       {"life", FingerprintText(attempt.backend)},
       {"what", change},
       {"per_second", RateText(advertised)},
       {"before", RateText(previous)},
       {"request", request.metadata.id},
       {"sent_ms_ago", Millis(state.now - attempt.sent_at)}});
}

// Records that the server of `request` asked for a backoff, and avoids the
// server.
void RecordBackoff(State& state, const Request& request, const Attempt& attempt,
                   Duration backoff) {
  Time& until = state.backoffs[attempt.backend];
  const bool is_new = until <= state.now;
  until = std::max(until, state.now + backoff);
  Log(state, "server_rest",
      {{"backend", attempt.backend_name},
       {"life", FingerprintText(attempt.backend)},
       {"what", is_new ? "asked" : "renewed"},
       {"for_ms", Millis(until - state.now)},
       {"request", request.metadata.id}});
  Backend* backend = FindBackend(state, attempt.backend);
  if (backend == nullptr) return;
  ApplyBackoff(state, *backend, std::min(backoff, kMaxPublishedAvoidance));
}

}  // namespace

void OnResponseHead(State& state, const ResponseHeadReceived& event) {
  const auto found = state.attempts.find(event.attempt);
  if (found == state.attempts.end()) return;
  Request& request = state.requests.at(found->second);
  Attempt& attempt = AttemptOf(request, event.attempt);
  RecordResponse(state, request, attempt);
  const ServerSignals& signals = event.signals;
  if (signals.rate_limit || !event.rate_limit_unreadable) {
    ApplyAdvertisedRateLimit(state, request, attempt, signals.rate_limit);
  }
  if (signals.leaving) {
    ApplyLeaving(state, attempt.backend, request.metadata.id,
                 /*received_directly=*/true);
  }
  if (signals.backoff > Duration::zero())
    RecordBackoff(state, request, attempt, signals.backoff);
}

void ApplyLeaving(State& state, BackendId incarnation,
                  const std::string& request, bool received_directly) {
  const auto [known, is_new] = state.leaving.try_emplace(
      incarnation,
      KnownLeaving{.received_at = state.now, .unpublished = received_directly});
  if (!is_new) return;
  state.has_unpublished_changes = true;
  const Backend* backend = FindBackend(state, incarnation);
  Log(state, "server_leaving",
      {{"backend", backend == nullptr ? "" : backend->server.id},
       {"life", FingerprintText(incarnation)},
       {"heard_of", received_directly ? "itself" : "peer"},
       {"request", request}});
  RecordBackendGone(
      state, incarnation,
      received_directly ? "its own response" : "a response to another daemon");
}

bool IsBackingOff(const State& state, BackendId backend) {
  const auto it = state.backoffs.find(backend);
  return it != state.backoffs.end() && it->second > state.now;
}

std::set<BackendId> ServersBackingOff(const State& state) {
  std::set<BackendId> backing_off;
  for (const auto& [id, until] : state.backoffs) {
    if (until > state.now) backing_off.insert(id);
  }
  return backing_off;
}

bool RefuseIfAllBackingOff(State& state, Request& request,
                           const std::vector<const Backend*>& open) {
  Time first_end = Time::max();
  for (const Backend* it : open) {
    if (!IsBackingOff(state, it->id)) return false;
    first_end = std::min(first_end, state.backoffs.at(it->id));
  }
  if (open.empty()) return false;
  Log(state, "all_rest",
      {{"request", request.metadata.id},
       {"service", request.service},
       {"servers", std::to_string(open.size())},
       {"left_ms", Millis(first_end - state.now)}});
  RefuseRequest(state, request, Refusal::kBackendsBackingOff,
                first_end - state.now);
  return true;
}

void DropExpiredBackoffs(State& state) {
  std::erase_if(state.backoffs, [&](const auto& it) {
    if (it.second > state.now) return false;
    const Backend* backend = FindBackend(state, it.first);
    Log(state, "server_rest",
        {{"backend", backend == nullptr ? "" : backend->server.id},
         {"life", FingerprintText(it.first)},
         {"what", "over"}});
    return true;
  });
}

std::vector<BackendId> LeavingToPublish(State& state, bool only_unpublished) {
  std::vector<BackendId> leaving;
  for (auto& [id, it] : state.leaving) {
    const bool publish_again =
        state.now - it.received_at < kLeavingPublishDuration;
    if (only_unpublished ? it.unpublished : publish_again)
      leaving.push_back(id);
    if (only_unpublished) it.unpublished = false;
  }
  return leaving;
}

void DropExpiredLeaving(State& state) {
  std::erase_if(state.leaving, [&](const auto& it) {
    return state.now - it.second.received_at > kUnlistedLeavingRetention &&
           FindBackend(state, it.first) == nullptr;
  });
}

}  // namespace scaleshed::serving::internal
