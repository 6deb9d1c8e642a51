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
// What a group that waits for an engine's memory, memory that has to drain
// first, and a failure there just now count as, in time to the first token.
constexpr Duration kHoldPenalty = seconds(10);
constexpr Duration kDrainPenalty = seconds(5);
constexpr Duration kAvoidPenalty = seconds(60);
// From this weight of the short prompts on, the longest prompts wait for the
// long ones too; below it these two take turns.
constexpr double kGiantsLast = 0.5;
// A group reserves memory that has to drain first only after it has waited for
// so long; until then it takes engines that have the room.
constexpr Duration kReserveAfter = seconds(60);
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

std::optional<Placement> LengthAwarePolicy::PlaceOnOne(
    const PlacementQuery& query, std::mt19937_64& random) {
  std::vector<std::pair<Duration, const Backend*>> ranked;
  Duration best = Duration::max();
  for (const Backend* it : query.engines) {
    if (!Fits(query, *it) || Avoided(query, *it)) continue;
    const std::int64_t cached = it->CachedTokens(query.call->prefixes);
    Duration cost =
        it->Backlog(query.now, query.priority) +
        PrefillTime(*query.model, query.call->prompt_tokens, cached);
    if (it->HasHolds()) cost += kHoldPenalty;
    ranked.emplace_back(cost, it);
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
  const int smallest = SmallestGroup(*query.call, SmallestMemory(query));
  const std::int64_t each =
      (TokensNeeded(*query.call) + smallest - 1) / smallest;
  std::vector<std::pair<Duration, const Backend*>> ranked;
  for (const Backend* it : query.engines) {
    if (smallest == 1 && !Fits(query, *it)) continue;
    const bool drained = it->FreeTokens() >= each && !it->HasHolds();
    if (smallest > 1 && !drained && query.waited < kReserveAfter) continue;
    Duration cost = it->Backlog(query.now, query.priority);
    if (it->HasHolds()) cost += kHoldPenalty;
    if (it->FreeTokens() < each) cost += kDrainPenalty;
    if (Avoided(query, *it)) cost += kAvoidPenalty;
    ranked.emplace_back(cost, it);
  }
  std::stable_sort(
      ranked.begin(), ranked.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<const Backend*> engines;
  int free = 0;
  for (const auto& [cost, it] : ranked) {
    engines.push_back(it);
    if (cost == Duration::zero()) ++free;
  }
  // Spread over engines while they are free, share them when they are not.
  const int spread =
      std::clamp(free, smallest, std::max(smallest, kMostSpread));
  return FirstOf(query, engines, spread);
}

std::optional<Placement> LengthAwarePolicy::Place(const PlacementQuery& query,
                                                  std::mt19937_64& random) {
  if (query.engines.empty()) return std::nullopt;
  const bool is_long = query.call->prompt_tokens > kMediumPromptTokens;
  return is_long ? PlaceLong(query) : PlaceOnOne(query, random);
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

LengthBand BandOf(std::int64_t prompt_tokens) {
  if (prompt_tokens <= kShortPromptTokens) return LengthBand::kShort;
  if (prompt_tokens <= kMediumPromptTokens) return LengthBand::kMedium;
  if (prompt_tokens <= kLongPromptTokens) return LengthBand::kLong;
  return LengthBand::kGiant;
}

int EnginePriority(const Policy& policy, double short_weight, Priority priority,
                   std::int64_t prompt_tokens) {
  constexpr int kClasses = static_cast<int>(kPriorityNames.size());
  const int rank = static_cast<int>(priority);
  if (!std::holds_alternative<LengthAwarePolicy>(policy)) {
    return rank * kClasses;
  }
  LengthBand band = BandOf(prompt_tokens);
  const bool even = band == LengthBand::kGiant && short_weight < kGiantsLast;
  if (even) band = LengthBand::kLong;
  return static_cast<int>(band) * kClasses + rank;
}

}  // namespace scaleshed
