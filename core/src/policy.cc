#include "scaleshed/core/policy.h"

#include <algorithm>
#include <cmath>

namespace scaleshed {
namespace {

// A group of k engines reads a prompt this much slower than k times as fast.
constexpr double kGroupOverhead = 1.1;
// A group never takes more memory of an engine than this share, so that an
// estimate that is a little off still fits.
constexpr double kUsableMemory = 0.95;
// Short prompts choose at random among engines this close to the best, so that
// daemons with the same late reports don't all choose the same one.
constexpr Duration kNearBest = milliseconds(15);
// Arrival rates are averaged over about this long.
constexpr double kAverageSeconds = 20.0;
// Engines for long prompts are planned to be this busy.
constexpr double kLongUtilisation = 0.7;
// No more engines than this join for one prompt for speed alone.
constexpr int kMostSpread = 4;

std::int64_t SmallestMemory(const PlacementQuery& query) {
  std::int64_t memory = 0;
  for (const Backend* it : query.engines) {
    const std::int64_t n = it->MemoryTokens();
    if (n > 0 && (memory == 0 || n < memory)) memory = n;
  }
  return memory;
}

bool Avoided(const PlacementQuery& query, const Backend& engine) {
  return query.avoid != nullptr && engine.name() == *query.avoid &&
         query.engines.size() > 1;
}

Duration GroupPrefill(const PlacementQuery& query, std::int64_t cached,
                      int size) {
  const Duration alone =
      PrefillTime(*query.model, query.call->prompt_tokens, cached);
  if (size == 1) return alone;
  return Duration(static_cast<std::int64_t>(static_cast<double>(alone.count()) *
                                            kGroupOverhead / size));
}

Placement MakePlacement(const PlacementQuery& query,
                        const std::vector<const Backend*>& engines) {
  Placement placement;
  Duration backlog{};
  for (const Backend* it : engines) {
    placement.engines.push_back(it->name());
    backlog = std::max(backlog, it->Backlog(query.now, query.priority));
  }
  const int size = static_cast<int>(engines.size());
  const std::int64_t cached =
      size == 1 ? engines.front()->CachedTokens(query.call->prefixes) : 0;
  placement.prefill = GroupPrefill(query, cached, size);
  placement.first_token = backlog + placement.prefill;
  placement.tokens_each = (TokensNeeded(*query.call) + size - 1) / size;
  return placement;
}

// The first `size` of `engines` as a group.
std::optional<Placement> FirstOf(const PlacementQuery& query,
                                 const std::vector<const Backend*>& engines,
                                 int size) {
  if (size < 1 || static_cast<int>(engines.size()) < size) return std::nullopt;
  return MakePlacement(query, {engines.begin(), engines.begin() + size});
}

bool Fits(const PlacementQuery& query, const Backend& engine) {
  return engine.FreeTokens() >= TokensNeeded(*query.call);
}

// Engines with room for a call that one engine can hold.
std::vector<const Backend*> WithRoom(const PlacementQuery& query) {
  std::vector<const Backend*> engines;
  for (const Backend* it : query.engines) {
    if (Fits(query, *it) && !Avoided(query, *it)) engines.push_back(it);
  }
  return engines;
}

}  // namespace

std::int64_t TokensNeeded(const ModelCall& call) {
  return call.prompt_tokens + call.max_tokens;
}

int SmallestGroup(const ModelCall& call, std::int64_t memory) {
  if (memory <= 0) return 1;
  if (TokensNeeded(call) <= memory) return 1;
  const double usable = static_cast<double>(memory) * kUsableMemory;
  return static_cast<int>(
      std::ceil(static_cast<double>(TokensNeeded(call)) / usable));
}

std::optional<Placement> RoundRobinPolicy::Place(const PlacementQuery& query,
                                                 std::mt19937_64& /*random*/) {
  const int size = SmallestGroup(*query.call, SmallestMemory(query));
  std::vector<const Backend*> engines =
      size == 1 ? WithRoom(query) : query.engines;
  if (engines.empty()) return std::nullopt;
  const auto shift = static_cast<std::ptrdiff_t>(next_ % engines.size());
  std::rotate(engines.begin(), engines.begin() + shift, engines.end());
  next_ += static_cast<std::size_t>(size);
  return FirstOf(query, engines, size);
}

std::optional<Placement> LeastLoadedPolicy::Place(const PlacementQuery& query,
                                                  std::mt19937_64& random) {
  const int size = SmallestGroup(*query.call, SmallestMemory(query));
  std::vector<const Backend*> engines =
      size == 1 ? WithRoom(query) : query.engines;
  std::shuffle(engines.begin(), engines.end(), random);
  std::stable_sort(engines.begin(), engines.end(),
                   [](const Backend* a, const Backend* b) {
                     return a->InFlight() < b->InFlight();
                   });
  return FirstOf(query, engines, size);
}

void LengthAwarePolicy::Observe(Duration prefill, bool is_long, int peers,
                                Time now) {
  const double elapsed = static_cast<double>((now - observed_).count()) / 1e6;
  const double keep = std::exp(-elapsed / kAverageSeconds);
  const double work = static_cast<double>(prefill.count()) / 1e6 * peers;
  long_work_ = long_work_ * keep + (is_long ? work / kAverageSeconds : 0);
  short_work_ = short_work_ * keep + (is_long ? 0 : work / kAverageSeconds);
  observed_ = now;
}

std::size_t LengthAwarePolicy::LongEngines(std::size_t engines) const {
  if (engines <= 1) return engines;
  const double n = static_cast<double>(engines);
  const double wanted = std::ceil(long_work_ / kLongUtilisation);
  // Short prompts keep what they need, and at least one engine.
  const double for_short = std::max(1.0, std::ceil(short_work_));
  const double most = std::max(1.0, n - for_short);
  return static_cast<std::size_t>(std::clamp(wanted, 1.0, most));
}

std::optional<Placement> LengthAwarePolicy::PlaceShort(
    const PlacementQuery& query, std::mt19937_64& random) {
  const std::size_t lane = LongEngines(query.engines.size());
  std::vector<std::pair<Duration, const Backend*>> ranked;
  Duration best = Duration::max();
  for (std::size_t it = 0; it < query.engines.size(); ++it) {
    const Backend* engine = query.engines[it];
    if (!Fits(query, *engine) || Avoided(query, *engine)) continue;
    const std::int64_t cached = engine->CachedTokens(query.call->prefixes);
    Duration cost =
        engine->Backlog(query.now, query.priority) +
        PrefillTime(*query.model, query.call->prompt_tokens, cached);
    // An engine of the long prompts may get one at any time.
    const bool shared = it < lane || engine->HasHolds();
    if (shared) {
      const double penalty_ms = 1000.0 * query.short_weight;
      cost += Duration(static_cast<std::int64_t>(penalty_ms * 1000.0));
    }
    ranked.emplace_back(cost, engine);
    best = std::min(best, cost);
  }
  std::erase_if(ranked,
                [&](const auto& it) { return it.first > best + kNearBest; });
  if (ranked.empty()) return std::nullopt;
  std::uniform_int_distribution<std::size_t> pick(0, ranked.size() - 1);
  return MakePlacement(query, {ranked[pick(random)].second});
}

std::optional<Placement> LengthAwarePolicy::PlaceLong(
    const PlacementQuery& query) {
  const std::int64_t memory = SmallestMemory(query);
  const int smallest = SmallestGroup(*query.call, memory);
  std::vector<const Backend*> lane = query.engines;
  const auto avoided = [&](const Backend* it) { return Avoided(query, *it); };
  lane.erase(std::remove_if(lane.begin(), lane.end(), avoided), lane.end());
  if (lane.size() < static_cast<std::size_t>(smallest)) lane = query.engines;
  const std::size_t wanted = std::max(LongEngines(query.engines.size()),
                                      static_cast<std::size_t>(smallest));
  if (lane.size() < static_cast<std::size_t>(smallest)) return std::nullopt;
  lane.resize(std::min(wanted, lane.size()));
  std::stable_sort(lane.begin(), lane.end(),
                   [&](const Backend* a, const Backend* b) {
                     return a->Backlog(query.now, query.priority) <
                            b->Backlog(query.now, query.priority);
                   });
  if (smallest == 1) {
    const auto full = [&](const Backend* it) { return !Fits(query, *it); };
    lane.erase(std::remove_if(lane.begin(), lane.end(), full), lane.end());
  }
  // Spread over engines while they are free, share them when they are not.
  int free = 0;
  while (free < static_cast<int>(lane.size()) &&
         lane[static_cast<std::size_t>(free)]->Backlog(
             query.now, query.priority) == Duration::zero()) {
    ++free;
  }
  const int spread =
      std::clamp(free, smallest, std::max(smallest, kMostSpread));
  return FirstOf(query, lane, spread);
}

std::optional<Placement> LengthAwarePolicy::Place(const PlacementQuery& query,
                                                  std::mt19937_64& random) {
  if (query.engines.empty()) return std::nullopt;
  const bool is_long = query.call->prompt_tokens >= kLongPromptTokens;
  return is_long ? PlaceLong(query) : PlaceShort(query, random);
}

Policy MakePolicy(PolicyKind kind) {
  switch (kind) {
    case PolicyKind::kRoundRobin:
      return RoundRobinPolicy();
    case PolicyKind::kLeastLoaded:
      return LeastLoadedPolicy();
    case PolicyKind::kLengthAware:
      break;
  }
  return LengthAwarePolicy();
}

std::optional<Placement> Place(Policy& policy, const PlacementQuery& query,
                               std::mt19937_64& random) {
  return std::visit([&](auto& it) { return it.Place(query, random); }, policy);
}

int EnginePriority(const Policy& policy, Priority priority,
                   std::int64_t prompt_tokens) {
  constexpr int kClasses = static_cast<int>(kPriorityNames.size());
  const int rank = static_cast<int>(priority);
  if (!std::holds_alternative<LengthAwarePolicy>(policy)) {
    return rank * kClasses;
  }
  int band = 1;
  if (prompt_tokens <= kShortPromptTokens) band = 0;
  if (prompt_tokens >= kLongPromptTokens) band = 2;
  return band * kClasses + rank;
}

void ObserveArrival(Policy& policy, Duration prefill, bool is_long, int peers,
                    Time now) {
  auto* own = std::get_if<LengthAwarePolicy>(&policy);
  if (own != nullptr) own->Observe(prefill, is_long, peers, now);
}

}  // namespace scaleshed
