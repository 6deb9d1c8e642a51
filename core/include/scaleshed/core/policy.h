#ifndef SCALESHED_CORE_POLICY_H_
#define SCALESHED_CORE_POLICY_H_

#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "scaleshed/core/backend.h"
#include "scaleshed/core/call.h"
#include "scaleshed/core/fleet.h"
#include "scaleshed/core/types.h"

namespace scaleshed {

// Prompts by length: each band holds those of at most so many tokens, the last
// one all that are longer. Engines read the bands in this order.
enum class LengthBand { kShort, kMedium, kLong, kGiant };
inline constexpr std::int64_t kShortPromptTokens = 4 * 1024;
inline constexpr std::int64_t kMediumPromptTokens = 32 * 1024;
inline constexpr std::int64_t kLongPromptTokens = 256 * 1024;
LengthBand BandOf(std::int64_t prompt_tokens);

// What a policy is asked: where should this call go now?
struct PlacementQuery {
  const ModelCall* call = nullptr;
  const ModelTemplate* model = nullptr;
  // Engines of the model that take new work, in the order of their names.
  std::vector<const Backend*> engines;
  double short_weight = 0.5;
  // The engine priority that the call will have.
  int priority = 0;
  // How long the call has been waiting.
  Duration waited{};
  // Engines that one attempt was refused on or failed at, to be avoided.
  const std::string* avoid = nullptr;
  Time now;
};

// Where a call goes. More than one engine: a group, its leader first.
struct Placement {
  std::vector<std::string> engines;
  // Expected time to the first token.
  Duration first_token{};
  // Expected tokens of memory on each engine.
  std::int64_t tokens_each = 0;
  Duration prefill{};
};

// Takes engines in turn. A baseline.
class RoundRobinPolicy {
 public:
  std::optional<Placement> Place(const PlacementQuery& query,
                                 std::mt19937_64& random);

 private:
  std::size_t next_ = 0;
};

// Takes the engine with the least reported load. A baseline.
class LeastLoadedPolicy {
 public:
  std::optional<Placement> Place(const PlacementQuery& query,
                                 std::mt19937_64& random);
};

// The product's own policy: least expected time to the first token, by prompt
// length and cached prefix. Engines read short prompts before long ones, so
// only what is read first counts as being in front. What one engine can't hold
// goes to a group; a long prompt is spread over a few engines while they are
// free, and shares one when they are not.
class LengthAwarePolicy {
 public:
  std::optional<Placement> Place(const PlacementQuery& query,
                                 std::mt19937_64& random);

 private:
  std::optional<Placement> PlaceOnOne(const PlacementQuery& query,
                                      std::mt19937_64& random);
  std::optional<Placement> PlaceLong(const PlacementQuery& query);
};

using Policy =
    std::variant<RoundRobinPolicy, LeastLoadedPolicy, LengthAwarePolicy>;

Policy MakePolicy(PolicyKind kind);

std::optional<Placement> Place(Policy& policy, const PlacementQuery& query,
                               std::mt19937_64& random);

// The level at which engines read the call's prompt. Only the product's own
// policy puts short prompts before long ones; within a length the class
// decides.
int EnginePriority(const Policy& policy, double short_weight, Priority priority,
                   std::int64_t prompt_tokens);

// Tokens of engine memory that a call needs in all.
std::int64_t TokensNeeded(const ModelCall& call);

// The smallest group that holds the call on engines of `memory` tokens.
int SmallestGroup(const ModelCall& call, std::int64_t memory);

}  // namespace scaleshed

#endif  // SCALESHED_CORE_POLICY_H_
