#include <algorithm>

#include "internal/durations.h"
#include "internal/steps.h"
#include "scaleshed/serving/reducer.h"

// A backend server in need names how many requests a second it takes from all
// daemons together. Those that hear all works meter what it gets from all of
// them: of few daemons each, of many the placers, which are asked then for
// plain requests too. Two that decide within the time of a message may both
// take the last start; it is owed by the next ones.
namespace scaleshed::serving::internal {
namespace {

// A server that takes fewer is asked so often all the same: only an answer
// tells that its limit is over.
constexpr double kMinRequestRate = 0.1;
// A limit is told with whole snapshots for so long after it was last named.
constexpr Duration kPublishDuration = seconds(30);
// That a limit is over is remembered so long: a daemon that seldom sends to
// that server tells of the limit still.
constexpr Duration kEndedLimitRetention = seconds(600);
// Of a life that isn't listed any more; an entry that lapsed may come back.
constexpr Duration kUnlistedLimitRetention = seconds(60);
// A request begins to wait for a start only where one is expected within this
// part of its objective: the rest is for what the estimate doesn't know. One
// that waits is served, late too, as long as its caller waits.
constexpr double kMaxWaitShare = 0.6;
// For one that is past its objective already, sent again.
constexpr Duration kMinAcceptedWait = milliseconds(150);
constexpr Duration kMaxQueueSnapshotAge = milliseconds(300);

double RateOf(const KnownLimit& limit) {
  return std::max(limit.limit.per_second.value_or(0), kMinRequestRate);
}

// Nothing: it has no limit.
KnownLimit* FindLimit(State& state, BackendId backend) {
  return IsRateLimited(state, backend) ? &state.limits.at(backend) : nullptr;
}

// The part of a server's rate that this daemon may use: it hears what all
// others send, or knows only how many these are.
double RateShare(const State& state) {
  return ReceivesAllActiveRequests(state)
             ? 1
             : 1 / static_cast<double>(LiveDaemons(state));
}

bool HasToken(State& state, KnownLimit& limit) {
  limit.rate_limiter.SetRate(state.now, RateOf(limit) * RateShare(state));
  return limit.rate_limiter.HasToken(state.now);
}

// Requests at all daemons that wait for a start of that service and go before
// that one.
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
    // One that has fallen silent isn't waited for: it tells more often than
    // that while anything waits there.
    if (state.now - member.received_at > kMaxQueueSnapshotAge) continue;
    for (const WaitingRequest& it : member.snapshot.waiting) {
      if (it.awaits_rate_limit) add(it.service, it.queue_key);
    }
  }
  return ahead;
}

// Until a request may start that has so many before it.
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

std::vector<BackendId> BackendsOf(const Placement& placed) {
  std::vector<BackendId> servers{placed.backend};
  servers.insert(servers.end(), placed.helpers.begin(), placed.helpers.end());
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
  // A long prompt takes all that an engine has, and its helpers get calls too.
  // A daemon that doesn't hear the others knows too little to use them.
  const bool avoid_limited = demand.prefill_time > kShortPromptPrefillLimit ||
                             !ReceivesAllActiveRequests(state);
  if (!unlimited.empty() && avoid_limited) return unlimited;
  // Those that wait for these starts take them first.
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
    // Counted as it was placed here.
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
  // Named anew after it was over: what was sent meanwhile isn't known.
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
  for (auto& [life, it] : state.limits) {
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
    const auto& [life, limit] = it;
    const Duration age = state.now - limit.limit.received_at;
    if (!limit.limit.per_second) return age > kEndedLimitRetention;
    return age > kUnlistedLimitRetention && FindBackend(state, life) == nullptr;
  });
}

}  // namespace scaleshed::serving::internal
