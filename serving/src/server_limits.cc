#include <algorithm>

#include "internal/durations.h"
#include "internal/steps.h"
#include "scaleshed/serving/reducer.h"

// An overloaded backend server advertises a rate limit: the requests a second
// that it accepts from all daemons together. The daemons that receive all
// active requests meter the requests that the server gets from everyone: in a
// small fleet every daemon, in a large one the placers, which then place plain
// requests too. Two of them that decide within the latency of a message may
// both take the last rate token; this leaves a deficit of rate tokens that
// delays the following requests.
namespace scaleshed::serving::internal {
namespace {

// Requests a second that a server gets even if it advertises a lower rate
// limit: only a response can tell that the limit has ended.
constexpr double kMinRequestRate = 0.1;
// Full snapshots carry a rate limit for this long after it was last advertised.
constexpr Duration kRateLimitPublishDuration = seconds(30);
// The end of a rate limit is remembered this long, because a daemon that seldom
// sends to the server may still publish the limit.
constexpr Duration kEndedLimitRetention = seconds(600);
// The rate limit of an incarnation without an entry is kept this long, because
// an entry whose lease expired may come back.
constexpr Duration kUnlistedRateLimitRetention = seconds(60);
// A request begins to wait for a rate token only if one is expected within this
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
// Longer than any request waits.
constexpr Duration kNoTokenExpected = seconds(3600);

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

}  // namespace

std::size_t AheadOf(const State& state, const PlacementDemand& demand,
                    Shortage shortage) {
  const Time queue_key = QueueKeyOf(state, demand);
  std::size_t ahead = 0;
  const auto add = [&](const std::string& service, Time other_key) {
    if (service == demand.service && other_key < queue_key) ++ahead;
  };
  for (const auto& [key, it] : state.requests) {
    if (it.phase == Phase::kWaiting && it.waits_for == shortage)
      add(it.service, QueueKeyOf(state, it));
  }
  for (const auto& [key, it] : state.dispatch.remote_placements) {
    const bool waits = !it.placement && it.waits_for == shortage;
    if (waits) add(it.request.service, QueueKeyOf(state, it));
  }
  // Requests that wait for a cold server have a placement request at the
  // warm-up granter, so that snapshots name only those that wait for a rate
  // limit.
  if (shortage != Shortage::kRateLimit) return ahead;
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

PlacementDecision WaitForToken(State& state, const PlacementDemand& demand,
                               const TokenSupply& supply) {
  const std::size_t ahead = AheadOf(state, demand, supply.shortage);
  Duration expected = kNoTokenExpected;
  if (supply.per_second > 0 && supply.next_token < kNoTokenExpected) {
    const std::chrono::duration<double> queue_delay(static_cast<double>(ahead) /
                                                    supply.per_second);
    expected = std::min(
        kNoTokenExpected,
        supply.next_token + std::chrono::duration_cast<Duration>(queue_delay));
  }
  const Duration until_due = demand.due - state.now;
  const Duration max_wait =
      demand.waits_for == supply.shortage
          ? demand.deadline - state.now - demand.prefill_time
          : std::max(FractionOf(until_due, kMaxWaitShare), kMinAcceptedWait);
  if (expected <= max_wait) return NoCapacityNow{supply.shortage};
  const Duration retry_after = RetryAfterOf(state, demand, expected);
  Log(state, supply.shortage == Shortage::kWarmUp ? "warming_up" : "limited",
      {{"request", demand.id},
       {"service", demand.service},
       {"servers", std::to_string(supply.servers)},
       {"ahead", std::to_string(ahead)},
       {"expected_ms", Millis(expected)},
       {"retry_after_ms", Millis(retry_after)},
       {"waited_ms", Millis(state.now - demand.arrived)}});
  return DeadlineUnreachable{.retry_after = retry_after,
                             .shortage = supply.shortage};
}

std::vector<BackendId> BackendsOf(const Placement& placement) {
  std::vector<BackendId> servers{placement.backend};
  servers.insert(servers.end(), placement.helpers.begin(),
                 placement.helpers.end());
  return servers;
}

std::optional<double> RateLimitOf(const State& state, BackendId backend) {
  const auto it = state.limits.find(backend);
  return it == state.limits.end() ? std::nullopt : it->second.limit.per_second;
}

bool IsRateLimited(const State& state, BackendId backend) {
  return RateLimitOf(state, backend).has_value();
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
                                         const Placement& placement) {
  auto servers = BackendsOf(placement);
  std::erase_if(servers,
                [&](BackendId it) { return !state.limits.contains(it); });
  return servers;
}

std::vector<BackendId> UncountedRateLimitsAt(
    const State& state, const PlacementResponse& response) {
  auto servers = BackendsOf(response.placement);
  std::erase_if(servers, [&](BackendId it) {
    const auto& counted = response.rate_limits_counted;
    return !IsRateLimited(state, it) ||
           std::find(counted.begin(), counted.end(), it) != counted.end();
  });
  return servers;
}

void RepublishRateLimits(State& state, const std::vector<BackendId>& backends) {
  for (const BackendId it : backends) state.limits.at(it).unpublished = true;
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
  // Rate tokens go first to the requests that already wait for them.
  if (!within_limit.empty() &&
      AheadOf(state, demand, Shortage::kRateLimit) >= within_limit.size())
    return unlimited;
  unlimited.insert(unlimited.end(), within_limit.begin(), within_limit.end());
  std::sort(unlimited.begin(), unlimited.end(),
            [](const Backend* a, const Backend* b) { return a->id < b->id; });
  return unlimited;
}

PlacementDecision WaitForRateLimit(State& state, const PlacementDemand& demand,
                                   const std::vector<const Backend*>& open) {
  TokenSupply supply{.shortage = Shortage::kRateLimit,
                     .servers = open.size(),
                     .next_token = Duration::max()};
  for (const Backend* it : open) {
    KnownLimit& limit = state.limits.at(it->id);
    supply.per_second += RateOf(limit) * RateShare(state);
    supply.next_token = std::min(supply.next_token,
                                 limit.rate_limiter.TimeUntilToken(state.now));
  }
  return WaitForToken(state, demand, supply);
}

void RecordStart(State& state, BackendId backend) {
  KnownLimit* limit = FindLimit(state, backend);
  if (limit != nullptr) limit->rate_limiter.TakeToken(state.now);
}

void RecordStart(State& state, const Placement& placement) {
  for (const BackendId it : BackendsOf(placement)) RecordStart(state, it);
}

void RecordPeerStarts(State& state, const LoadSnapshot& snapshot,
                      const std::vector<ActiveRequest>& known) {
  if (state.limits.empty() || !ReceivesAllActiveRequests(state)) return;
  for (const ActiveRequest& it : snapshot.active_requests) {
    const bool already_known = std::any_of(
        known.begin(), known.end(), [&](const ActiveRequest& other) {
          return other.id == it.id && other.backend == it.backend;
        });
    // This daemon counted the start when it placed the request as a placer.
    const auto remote =
        state.dispatch.remote_placements.find({snapshot.peer_address, it.id});
    const bool counted_at_placement =
        remote != state.dispatch.remote_placements.end() &&
        remote->second.placement &&
        remote->second.placement->backend == it.backend;
    if (already_known || counted_at_placement) continue;
    RecordStart(state, it.backend);
    for (const BackendId helper : it.helpers) RecordStart(state, helper);
  }
}

void ApplyRateLimit(State& state, const ServerLimit& limit,
                    bool received_directly) {
  const auto found = state.limits.find(limit.backend);
  if (found == state.limits.end()) {
    if (!limit.per_second) return;
    KnownLimit known{.limit = limit,
                     .rate_limiter = StartRateLimiter(state.now)};
    known.received_directly = received_directly;
    known.unpublished = received_directly;
    known.rate_limiter.SetRate(state.now, RateOf(known) * RateShare(state));
    state.limits[limit.backend] = known;
    state.has_unpublished_changes = true;
    return;
  }
  KnownLimit& known = found->second;
  if (limit.received_at < known.limit.received_at) return;
  const bool changed = known.limit.per_second != limit.per_second;
  // The limit is advertised again after it had ended: the requests that were
  // sent meanwhile are unknown, so that the metering starts afresh.
  if (!known.limit.per_second) known.rate_limiter = StartRateLimiter(state.now);
  known.limit = limit;
  known.received_directly = known.received_directly || received_directly;
  if (!changed) return;
  known.unpublished = known.unpublished || received_directly;
  known.rate_limiter.SetRate(state.now, RateOf(known) * RateShare(state));
  state.has_unpublished_changes = true;
}

std::vector<ServerLimit> RateLimitsToPublish(State& state,
                                             bool only_unpublished) {
  std::vector<ServerLimit> limits;
  for (auto& [id, it] : state.limits) {
    const bool publish_again =
        it.received_directly &&
        state.now - it.limit.received_at < kRateLimitPublishDuration;
    if (only_unpublished ? it.unpublished : publish_again)
      limits.push_back(it.limit);
    if (only_unpublished) it.unpublished = false;
  }
  return limits;
}

void DropExpiredRateLimits(State& state) {
  std::erase_if(state.limits, [&](const auto& it) {
    const auto& [id, limit] = it;
    const Duration age = state.now - limit.limit.received_at;
    if (!limit.limit.per_second) return age > kEndedLimitRetention;
    return age > kUnlistedRateLimitRetention &&
           FindBackend(state, id) == nullptr;
  });
}

}  // namespace scaleshed::serving::internal
