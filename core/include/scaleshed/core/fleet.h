#ifndef SCALESHED_CORE_FLEET_H_
#define SCALESHED_CORE_FLEET_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "scaleshed/core/types.h"

namespace scaleshed {

// How engines are chosen; the alternatives are described in policy.h.
enum class PolicyKind { kRoundRobin, kLeastLoaded, kLengthAware };
inline constexpr NameTable<PolicyKind, 3> kPolicyKindNames{{
    {PolicyKind::kRoundRobin, "round_robin"},
    {PolicyKind::kLeastLoaded, "least_loaded"},
    {PolicyKind::kLengthAware, "length_aware"},
}};

// What a model's engines are expected to need. The figures only have to rank
// placements; a wrong one costs time, never correctness.
struct ModelTemplate {
  std::string name;
  std::int64_t max_prompt_tokens = 1'000'000;
  double prefill_us_per_token = 25.0;
  // Prompt length at which the quadratic part equals the linear one.
  std::int64_t quadratic_tokens = 400'000;
  double decode_ms_per_token = 22.0;
  bool operator==(const ModelTemplate&) const = default;
};

// A plain service that the system routes to.
struct ServiceTemplate {
  std::string name;
  // Whether its instances check fences on orders, as the users told us.
  bool checks_orders = false;
  bool operator==(const ServiceTemplate&) const = default;
};

// The fleet template: one for each deployment.
struct FleetTemplate {
  std::map<std::string, ModelTemplate> models;
  std::map<std::string, ServiceTemplate> services;
  PolicyKind policy = PolicyKind::kLengthAware;
  // 0 weighs the first token of long prompts only, 1 the slowdown of short
  // ones only.
  double short_weight = 0.5;
  bool operator==(const FleetTemplate&) const = default;
};

// What one client account pays for. A limit of zero means "none allowed".
struct Limits {
  double requests_per_second = 0;
  double tokens_per_second = 0;
  std::int64_t tokens_in_flight = 0;
  bool operator==(const Limits&) const = default;
};

// The template of one client account.
struct AccountTemplate {
  std::string name;
  Priority priority = Priority::kStandard;
  double weight = 1.0;
  std::set<std::string> models;
  std::set<std::string> adapters;
  std::set<std::string> services;
  Limits limits;
  bool operator==(const AccountTemplate&) const = default;
};

// All templates in force together. `revision` only ever rises.
struct Configuration {
  std::uint64_t revision = 0;
  FleetTemplate fleet;
  std::map<std::string, AccountTemplate> accounts;
  bool operator==(const Configuration&) const = default;
};

// The expected time to read `tokens` of prompt on one engine of `model` of
// which `cached` are in its prefix cache.
Duration PrefillTime(const ModelTemplate& model, std::int64_t tokens,
                     std::int64_t cached);

// Expected time to generate `tokens`.
Duration DecodeTime(const ModelTemplate& model, std::int64_t tokens);

}  // namespace scaleshed

#endif  // SCALESHED_CORE_FLEET_H_
