#ifndef SCALESHED_WORKLOAD_PROFILE_H_
#define SCALESHED_WORKLOAD_PROFILE_H_

#include <map>
#include <string>
#include <vector>

#include "scaleshed/config/errors.h"
#include "scaleshed/core/fleet.h"
#include "scaleshed/core/result.h"
#include "scaleshed/core/types.h"

namespace scaleshed {

// Prompts of one range of lengths.
struct LengthClass {
  std::int64_t least_tokens = 1000;
  std::int64_t most_tokens = 4096;
  double share = 1;  // of all prompts
  std::int64_t answer_tokens = 64;
  Duration time_limit = seconds(60);
};

// Whose requests they are.
struct AccountLoad {
  std::string account;
  double share = 1;
};

// A load to be put on a fleet: open-loop arrivals with exponential gaps, drawn
// from a seed.
struct LoadProfile {
  std::string name;
  std::string model;
  std::string service;  // of plain calls; empty for none
  int engines = 20;     // of the fleet that `load` 1.0 fills
  std::int64_t engine_memory_tokens = 400'000;
  int entries = 9;
  Duration duration = seconds(120);
  std::uint64_t seed = 1;
  double short_weight = 0.5;
  // The share of the engines' capacity that arrives.
  double load = 0.7;
  // How many plain calls there are for each prompt.
  double plain_calls = 0;
  // The share of prompts that begin with a prefix that others share.
  double shared_prefix = 0.3;
  std::vector<LengthClass> lengths;
  std::vector<AccountLoad> accounts;
  std::map<std::string, AccountTemplate> templates;
};

Result<LoadProfile, ConfigErrors> LoadProfileFile(const std::string& file);

// One request of a load.
struct Arrival {
  Duration at{};
  std::string account;
  bool is_plain = false;
  std::int64_t prompt_tokens = 0;
  std::int64_t answer_tokens = 0;
  Duration time_limit{};
  // Prompts with the same number begin alike; zero: with nothing shared.
  std::uint64_t prefix = 0;
};

// What one request costs an engine, in seconds of its time.
double EngineSeconds(const ModelTemplate& model, const LengthClass& lengths);

// Requests a second that make up the profile's load.
double ArrivalRate(const LoadProfile& profile, const ModelTemplate& model);

// All arrivals in the order of their times; the same for the same profile.
std::vector<Arrival> DrawArrivals(const LoadProfile& profile,
                                  const ModelTemplate& model);

}  // namespace scaleshed

#endif  // SCALESHED_WORKLOAD_PROFILE_H_
