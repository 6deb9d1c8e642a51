#include <algorithm>

#include "internal/durations.h"
#include "internal/steps.h"
#include "scaleshed/serving/reducer.h"

// An overloaded backend server advertises a rate limit: the requests a second
// that it accepts from all daemons together. The daemons that receive all
// active requests meter the requests that the server gets from everyone: in a
// small fleet every daemon, in a large one the placers, which then place plain
// requests too. Two of them that decide within the latency of a message may
// both take the last token; this leaves a token deficit that delays the
// following requests.
namespace scaleshed::serving::internal {
namespace {

// Requests a second that a server gets even if it advertises a lower rate
// limit: only a response can tell that the limit has ended.
constexpr double kMinRequestRate = 0.1;
// Full snapshots carry a rate limit for this long after it was last advertised.
constexpr Duration kPublishDuration = seconds(30);
// The end of a rate limit is remembered this long, because a daemon that seldom
// sends to the server may still publish the limit.
constexpr Duration kEndedLimitRetention = seconds(600);
// The rate limit of an incarnation without an entry is kept this long, because
// an entry whose lease expired may come back.
constexpr Duration kUnlistedRetention = seconds(60);
// A request begins to wait for a token only if one is expected within this
// share of the time to its objective; the remainder covers what the estimate
// doesn't include. Once it waits, it is served even past its objective, up to
// its deadline.
constexpr double kMaxWaitShare = 0.6;
// Wait that is accepted in any case, so that a retry that is already past its
// objective can still wait.
constexpr Duration kMinAcceptedWait = milliseconds(150);
// Waiting requests of other daemons count only if their last snapshot is no
// older than this.
constexpr Duration kMaxQueueSnapshotAge = milliseconds(300);

// The requests a second that all daemons together may send under this limit.
double RateOf(const KnownLimit& limit) {
  return std::max(limit.limit.per_second.value_or(0), kMinRequestRate);
}

// Returns null if the backend server has no rate limit.
KnownLimit* FindLimit(State& state, BackendId backend) {
  return IsRateLimited(state, backend) ? &state.limits.at(backend) : nullptr;
}

// The share of a server's rate that this daemon may use: all of it if the
// daemon receives all active requests of the others, an equal share otherwise,
// when it knows only how many live daemons there are.
double RateShare(const State& state) {
  return ReceivesAllActiveRequests(state)
             ? 1
             : 1 / static_cast<double>(LiveDaemons(state));
}

// Whether a request may start at the server of this limit now.
bool HasToken(State& state, KnownLimit& limit) {
  limit.rate_limiter.SetRate(state.now, RateOf(limit) * RateShare(state));
  return limit.rate_limiter.HasToken(state.now);
}

// Counts the requests at all daemons that wait for a rate limit of the same
// service and go before `demand`.
std::size_t AheadOf(const State& state, const PlacementDemand& demand) {
  const Time queue_key = QueueKeyOf(state, demand);
  std::size_t ahead = 0;
  const auto add = [&](const std::string& service, Time other_key) {
    if (service == demand.service && other_key < queue_key) ++ahead;
  };
  for (const auto& [key, it] : state.requests) {
    if (AwaitsRateLimit(it)) add(it.service, QueueKeyOf(state, it));
  }
  for (const auto& [key, it] : state.dispatch.remote_placements) {
    const bool awaits_rate_limit =
        !it.placement && it.waits_for == Shortage::kRateLimit;
    if (awaits_rate_limit) add(it.request.service, QueueKeyOf(state, it));
  }
  for (const auto& [address, member] : state.members) {
    // The queue of a daemon that has gone silent is ignored: a daemon publishes
    // more often than this while any request waits there.
    if (state.now - member.received_at > kMaxQueueSnapshotAge) continue;
    for (const WaitingRequest& it : member.snapshot.waiting) {
      if (it.awaits_rate_limit) add(it.service, it.queue_key);
    }
  }
  return ahead;
}

// Estimates the time until a request may start that has `ahead` requests before
// it.
Duration ExpectedWait(State& state, std::size_t ahead,
                      const std::vector<const Backend*>& open) {
  double rate = 0;
  Duration first_token = Duration::max();
  for (const Backend* it : open) {
    KnownLimit& limit = state.limits.at(it->id);
    rate += RateOf(limit) * RateShare(state);
    first_token =
        std::min(first_token, limit.rate_limiter.TimeUntilToken(state.now));
  }
  const std::chrono::duration<double> queue_delay(static_cast<double>(ahead) /
                                                  rate);
  return first_token + std::chrono::duration_cast<Duration>(queue_delay);
}

// The backend server of a placement and its prefill helpers.
std::vector<BackendId> BackendsOf(const Placement& placement) {
  std::vector<BackendId> servers{placement.backend};
  servers.insert(servers.end(), placement.helpers.begin(),
                 placement.helpers.end());
  return servers;
}

}  // namespace

std::optional<double> RateLimitOf(const State& state, BackendId life) {
  const auto it = state.limits.find(life);
  return it == state.limits.end() ? std::nullopt : it->second.limit.per_second;
}

bool IsRateLimited(const State& state, BackendId life) {
  return RateLimitOf(state, life).has_value();
}

bool AnyRateLimited(const State& state, const std::string& service) {
  if (state.limits.empty()) return false;
  return std::any_of(state.backends.begin(), state.backends.end(),
                     [&](const auto& it) {
                       return it.second.server.service == service &&
                              IsRateLimited(state, it.second.id);
                     });
}

std::vector<BackendId> KnownRateLimitsAt(const State& state,
                                         const Placement& placed) {
  auto servers = BackendsOf(placed);
  std::erase_if(servers,
                [&](BackendId it) { return !state.limits.contains(it); });
  return servers;
}

std::vector<BackendId> UncountedRateLimitsAt(const State& state,
                                             const PlacementResponse& answer) {
  auto servers = BackendsOf(answer.placement);
  std::erase_if(servers, [&](BackendId it) {
    const auto& counted = answer.rate_limits_counted;
    return !IsRateLimited(state, it) ||
           std::find(counted.begin(), counted.end(), it) != counted.end();
  });
  return servers;
}

void RepublishRateLimits(State& state, const std::vector<BackendId>& lives) {
  for (const BackendId it : lives) state.limits.at(it).unpublished = true;
  state.has_unpublished_changes = true;
}

std::vector<const Backend*> BackendsWithinRateLimit(
    State& state, const PlacementDemand& demand,
    const std::vector<const Backend*>& open) {
  if (state.limits.empty()) return open;
  std::vector<const Backend*> unlimited;
  std::vector<const Backend*> within_limit;
  for (const Backend* it : open) {
    KnownLimit* limit = FindLimit(state, it->id);
    if (limit == nullptr) {
      unlimited.push_back(it);
    } else if (HasToken(state, *limit)) {
      within_limit.push_back(it);
    }
  }
  // Long prompts avoid rate-limited engines: such a prompt takes all that an
  // engine has, and sends requests to its prefill helpers too. A daemon that
  // doesn't receive all active requests knows too little to use these engines.
  const bool avoid_limited = demand.prefill_time > kShortPromptPrefillLimit ||
                             !ReceivesAllActiveRequests(state);
  if (!unlimited.empty() && avoid_limited) return unlimited;
  // Tokens go first to the requests that already wait for them.
  if (!within_limit.empty() && AheadOf(state, demand) >= within_limit.size())
    return unlimited;
  unlimited.insert(unlimited.end(), within_limit.begin(), within_limit.end());
  std::sort(unlimited.begin(), unlimited.end(),
            [](const Backend* a, const Backend* b) { return a->id < b->id; });
  return unlimited;
}

PlacementDecision WaitForRateLimit(State& state, const PlacementDemand& demand,
                                   const std::vector<const Backend*>& open) {
  const std::size_t ahead = AheadOf(state, demand);
  const Duration expected = ExpectedWait(state, ahead, open);
  const Duration until_due = demand.due - state.now;
  const Duration max_wait =
      demand.awaits_rate_limit
          ? demand.deadline - state.now - demand.prefill_time
          : std::max(FractionOf(until_due, kMaxWaitShare), kMinAcceptedWait);
  if (expected <= max_wait) return NoCapacityNow{Shortage::kRateLimit};
  const Duration retry_after = RetryAfterOf(state, demand, expected);
  Log(state, "limited",
      {{"request", demand.id},
       {"service", demand.service},
       {"servers", std::to_string(open.size())},
       {"ahead", std::to_string(ahead)},
       {"expected_ms", Millis(expected)},
       {"retry_after_ms", Millis(retry_after)},
       {"waited_ms", Millis(state.now - demand.arrived)}});
  return DeadlineUnreachable{.retry_after = retry_after,
                             .shortage = Shortage::kRateLimit};
}

void RecordStart(State& state, BackendId life) {
  KnownLimit* limit = FindLimit(state, life);
  if (limit != nullptr) limit->rate_limiter.TakeToken(state.now);
}

void RecordStart(State& state, const Placement& placed) {
  for (const BackendId it : BackendsOf(placed)) RecordStart(state, it);
}

void RecordPeerStarts(State& state, const LoadSnapshot& told,
                      const std::vector<ActiveRequest>& known) {
  if (state.limits.empty() || !ReceivesAllActiveRequests(state)) return;
  for (const ActiveRequest& it : told.active_requests) {
    const bool already_known = std::any_of(
        known.begin(), known.end(), [&](const ActiveRequest& other) {
          return other.id == it.id && other.backend == it.backend;
        });
    // This daemon counted the start when it placed the request as a placer.
    const auto remote =
        state.dispatch.remote_placements.find({told.peer_address, it.id});
    const bool counted_at_placement =
        remote != state.dispatch.remote_placements.end() &&
        remote->second.placement &&
        remote->second.placement->backend == it.backend;
    if (already_known || counted_at_placement) continue;
    RecordStart(state, it.backend);
    for (const BackendId helper : it.helpers) RecordStart(state, helper);
  }
}

void ApplyRateLimit(State& state, const ServerLimit& named, bool own) {
  const auto found = state.limits.find(named.backend);
  if (found == state.limits.end()) {
    if (!named.per_second) return;
    KnownLimit limit{.limit = named,
                     .rate_limiter = StartRateLimiter(state.now)};
    limit.received_directly = own;
    limit.unpublished = own;
    limit.rate_limiter.SetRate(state.now, RateOf(limit) * RateShare(state));
    state.limits[named.backend] = limit;
    state.has_unpublished_changes = true;
    return;
  }
  KnownLimit& limit = found->second;
  if (named.received_at < limit.limit.received_at) return;
  const bool changed = limit.limit.per_second != named.per_second;
  // The limit is advertised again after it had ended: the requests that were
  // sent meanwhile are unknown, so that the metering starts afresh.
  if (!limit.limit.per_second) limit.rate_limiter = StartRateLimiter(state.now);
  limit.limit = named;
  limit.received_directly = limit.received_directly || own;
  if (!changed) return;
  limit.unpublished = limit.unpublished || own;
  limit.rate_limiter.SetRate(state.now, RateOf(limit) * RateShare(state));
  state.has_unpublished_changes = true;
}

std::vector<ServerLimit> RateLimitsToPublish(State& state, bool news) {
  std::vector<ServerLimit> limits;
  for (auto& [id, it] : state.limits) {
    const bool publish_again =
        it.received_directly &&
        state.now - it.limit.received_at < kPublishDuration;
    if (news ? it.unpublished : publish_again) limits.push_back(it.limit);
    if (news) it.unpublished = false;
  }
  return limits;
}

void DropExpiredRateLimits(State& state) {
  std::erase_if(state.limits, [&](const auto& it) {
    const auto& [id, limit] = it;
    const Duration age = state.now - limit.limit.received_at;
    if (!limit.limit.per_second) return age > kEndedLimitRetention;
    return age > kUnlistedRetention && FindBackend(state, id) == nullptr;
  });
}

}  // namespace scaleshed::serving::internal
