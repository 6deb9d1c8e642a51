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
constexpr double kLeastRate = 0.1;
// A limit is told with whole snapshots for so long after it was last named.
constexpr Duration kTellFor = seconds(30);
// That a limit is over is remembered so long: a daemon that seldom sends to
// that server tells of the limit still.
constexpr Duration kEndedFor = seconds(600);
// Of a life that isn't listed any more; an entry that lapsed may come back.
constexpr Duration kForgetAfter = seconds(60);
// A request begins to wait for a start only where one is expected within this
// part of its objective: the rest is for what the estimate doesn't know. One
// that waits is served, late too, as long as its caller waits.
constexpr double kPatience = 0.6;
// For one that is past its objective already, sent again.
constexpr Duration kLeastPatience = milliseconds(150);
constexpr Duration kHeardWithin = milliseconds(300);

double RateOf(const KnownLimit& limit) {
  return std::max(limit.named.per_second.value_or(0), kLeastRate);
}

// Nothing: it has no limit.
KnownLimit* FindLimit(State& state, BackendId life) {
  return IsLimited(state, life) ? &state.limits.at(life) : nullptr;
}

// The part of a server's rate that this daemon may use: it hears what all
// others send, or knows only how many these are.
double PartOfRate(const State& state) {
  return PlacesItself(state) ? 1 : 1 / static_cast<double>(LiveDaemons(state));
}

bool HasStart(State& state, KnownLimit& limit) {
  limit.meter.SetRate(state.now, RateOf(limit) * PartOfRate(state));
  return limit.meter.HasStart(state.now);
}

// Requests at all daemons that wait for a start of that service and go before
// that one.
std::size_t AheadOf(const State& state, const Demand& demand) {
  const Time turn = TurnOf(state, demand);
  std::size_t ahead = 0;
  const auto add = [&](const std::string& service, Time other) {
    if (service == demand.service && other < turn) ++ahead;
  };
  for (const auto& [key, it] : state.requests) {
    if (AwaitsStart(it)) add(it.service, TurnOf(state, it));
  }
  for (const auto& [key, it] : state.dispatch.asked) {
    const bool waits = !it.placed && it.waits_for == Shortage::kLimit;
    if (waits) add(it.question.service, TurnOf(state, it));
  }
  for (const auto& [address, member] : state.members) {
    // One that has fallen silent isn't waited for: it tells more often than
    // that while anything waits there.
    if (state.now - member.heard > kHeardWithin) continue;
    for (const Waiting& it : member.snapshot.waiting) {
      if (it.for_start) add(it.service, it.turn);
    }
  }
  return ahead;
}

// Until a request may start that has so many before it.
Duration ExpectedWait(State& state, std::size_t ahead,
                      const std::vector<const Backend*>& open) {
  double rate = 0;
  Duration first = Duration::max();
  for (const Backend* it : open) {
    KnownLimit& limit = state.limits.at(it->id);
    rate += RateOf(limit) * PartOfRate(state);
    first = std::min(first, limit.meter.UntilStart(state.now));
  }
  const std::chrono::duration<double> line(static_cast<double>(ahead) / rate);
  return first + std::chrono::duration_cast<Duration>(line);
}

std::vector<BackendId> ServersOf(const Placed& placed) {
  std::vector<BackendId> servers{placed.backend};
  servers.insert(servers.end(), placed.helpers.begin(), placed.helpers.end());
  return servers;
}

}  // namespace

std::optional<double> LimitOf(const State& state, BackendId life) {
  const auto it = state.limits.find(life);
  return it == state.limits.end() ? std::nullopt : it->second.named.per_second;
}

bool IsLimited(const State& state, BackendId life) {
  return LimitOf(state, life).has_value();
}

bool AnyLimited(const State& state, const std::string& service) {
  if (state.limits.empty()) return false;
  return std::any_of(state.backends.begin(), state.backends.end(),
                     [&](const auto& it) {
                       return it.second.server.service == service &&
                              IsLimited(state, it.second.id);
                     });
}

std::vector<BackendId> KnownLimitsAt(const State& state, const Placed& placed) {
  auto servers = ServersOf(placed);
  std::erase_if(servers,
                [&](BackendId it) { return !state.limits.contains(it); });
  return servers;
}

std::vector<BackendId> UncountedAt(const State& state,
                                   const PlaceAnswer& answer) {
  auto servers = ServersOf(answer.placed);
  std::erase_if(servers, [&](BackendId it) {
    const auto& counted = answer.counted;
    return !IsLimited(state, it) ||
           std::find(counted.begin(), counted.end(), it) != counted.end();
  });
  return servers;
}

void TellLimitsAgain(State& state, const std::vector<BackendId>& lives) {
  for (const BackendId it : lives) state.limits.at(it).news = true;
  state.changed = true;
}

std::vector<const Backend*> Startable(State& state, const Demand& demand,
                                      const std::vector<const Backend*>& open) {
  if (state.limits.empty()) return open;
  std::vector<const Backend*> free;
  std::vector<const Backend*> limited;
  for (const Backend* it : open) {
    KnownLimit* limit = FindLimit(state, it->id);
    if (limit == nullptr) {
      free.push_back(it);
    } else if (HasStart(state, *limit)) {
      limited.push_back(it);
    }
  }
  // A long prompt takes all that an engine has, and its helpers get calls too.
  // A daemon that doesn't hear the others knows too little to use them.
  const bool keep_off = demand.read > kShortRead || !PlacesItself(state);
  if (!free.empty() && keep_off) return free;
  // Those that wait for these starts take them first.
  if (!limited.empty() && AheadOf(state, demand) >= limited.size()) return free;
  free.insert(free.end(), limited.begin(), limited.end());
  std::sort(free.begin(), free.end(),
            [](const Backend* a, const Backend* b) { return a->id < b->id; });
  return free;
}

Verdict AwaitStart(State& state, const Demand& demand,
                   const std::vector<const Backend*>& open) {
  const std::size_t ahead = AheadOf(state, demand);
  const Duration expected = ExpectedWait(state, ahead, open);
  const Duration until_due = demand.due - state.now;
  const Duration patience =
      demand.awaits_start
          ? demand.deadline - state.now - demand.read
          : std::max(PartOf(until_due, kPatience), kLeastPatience);
  if (expected <= patience) return NoRoomNow{Shortage::kLimit};
  const Duration again = RetryAfterOf(state, demand, expected);
  Log(state, "limited",
      {{"request", demand.id},
       {"service", demand.service},
       {"servers", std::to_string(open.size())},
       {"ahead", std::to_string(ahead)},
       {"expected_ms", Millis(expected)},
       {"retry_after_ms", Millis(again)},
       {"waited_ms", Millis(state.now - demand.arrived)}});
  return GivenUp{.retry_after = again, .of = Shortage::kLimit};
}

void NoteStart(State& state, BackendId life) {
  KnownLimit* limit = FindLimit(state, life);
  if (limit != nullptr) limit->meter.Take(state.now);
}

void NoteStart(State& state, const Placed& placed) {
  for (const BackendId it : ServersOf(placed)) NoteStart(state, it);
}

void NoteStartsOf(State& state, const LoadSnapshot& told,
                  const std::vector<Work>& known) {
  if (state.limits.empty() || !PlacesItself(state)) return;
  for (const Work& it : told.works) {
    const bool same =
        std::any_of(known.begin(), known.end(), [&](const Work& other) {
          return other.id == it.id && other.backend == it.backend;
        });
    // Counted as it was placed here.
    const auto asked = state.dispatch.asked.find({told.peer_address, it.id});
    const bool counted = asked != state.dispatch.asked.end() &&
                         asked->second.placed &&
                         asked->second.placed->backend == it.backend;
    if (same || counted) continue;
    NoteStart(state, it.backend);
    for (const BackendId helper : it.helpers) NoteStart(state, helper);
  }
}

void TakeLimit(State& state, const ServerLimit& named, bool own) {
  const auto found = state.limits.find(named.backend);
  if (found == state.limits.end()) {
    if (!named.per_second) return;
    KnownLimit limit{.named = named, .meter = StartMeter(state.now)};
    limit.own = own;
    limit.news = own;
    limit.meter.SetRate(state.now, RateOf(limit) * PartOfRate(state));
    state.limits[named.backend] = limit;
    state.changed = true;
    return;
  }
  KnownLimit& limit = found->second;
  if (named.heard < limit.named.heard) return;
  const bool changed = limit.named.per_second != named.per_second;
  // Named anew after it was over: what was sent meanwhile isn't known.
  if (!limit.named.per_second) limit.meter = StartMeter(state.now);
  limit.named = named;
  limit.own = limit.own || own;
  if (!changed) return;
  limit.news = limit.news || own;
  limit.meter.SetRate(state.now, RateOf(limit) * PartOfRate(state));
  state.changed = true;
}

std::vector<ServerLimit> LimitsToTell(State& state, bool news) {
  std::vector<ServerLimit> limits;
  for (auto& [life, it] : state.limits) {
    const bool tells = it.own && state.now - it.named.heard < kTellFor;
    if (news ? it.news : tells) limits.push_back(it.named);
    if (news) it.news = false;
  }
  return limits;
}

void ForgetLimits(State& state) {
  std::erase_if(state.limits, [&](const auto& it) {
    const auto& [life, limit] = it;
    const Duration age = state.now - limit.named.heard;
    if (!limit.named.per_second) return age > kEndedFor;
    return age > kForgetAfter && FindBackend(state, life) == nullptr;
  });
}

}  // namespace scaleshed::serving::internal
