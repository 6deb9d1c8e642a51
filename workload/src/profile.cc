#include "scaleshed/workload/profile.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <cmath>
#include <random>

#include "scaleshed/config/field_reader.h"
#include "scaleshed/config/read_file.h"

namespace scaleshed {
namespace {

constexpr std::int64_t kMostTokens = 10'000'000;
constexpr std::int64_t kMostMillis = 3'600'000;
constexpr std::uint64_t kSharedPrefixes = 8;

LengthClass ReadLengths(FieldReader& reader) {
  LengthClass lengths;
  lengths.least_tokens =
      reader.Whole("least_tokens", {1, kMostTokens}, lengths.least_tokens);
  lengths.most_tokens =
      reader.Whole("most_tokens", {1, kMostTokens}, lengths.most_tokens);
  lengths.share = reader.Number("share", {0, 1}, lengths.share);
  lengths.answer_tokens =
      reader.Whole("answer_tokens", {1, kMostTokens}, lengths.answer_tokens);
  lengths.time_limit =
      reader.Millis("limit_ms", {1, kMostMillis}, lengths.time_limit);
  if (lengths.most_tokens < lengths.least_tokens) {
    reader.Fault("most_tokens", "must not be under least_tokens");
  }
  return lengths;
}

// Draws an index with the weights of `shares`.
template <typename T>
const T& DrawByShare(const std::vector<T>& values, std::mt19937_64& random) {
  double total = 0;
  for (const T& it : values) total += it.share;
  double left = std::uniform_real_distribution<double>(0, total)(random);
  for (const T& it : values) {
    left -= it.share;
    if (left <= 0) return it;
  }
  return values.back();
}

// Short lengths are as frequent as long ones on a logarithmic scale.
std::int64_t DrawLength(const LengthClass& lengths, std::mt19937_64& random) {
  std::uniform_real_distribution<double> exponent(
      std::log(static_cast<double>(lengths.least_tokens)),
      std::log(static_cast<double>(lengths.most_tokens)));
  return static_cast<std::int64_t>(std::exp(exponent(random)));
}

Arrival DrawPrompt(const LoadProfile& profile, std::mt19937_64& random) {
  const LengthClass& lengths = DrawByShare(profile.lengths, random);
  Arrival arrival{.prompt_tokens = DrawLength(lengths, random),
                  .answer_tokens = lengths.answer_tokens,
                  .time_limit = lengths.time_limit};
  const double draw = std::uniform_real_distribution<double>(0, 1)(random);
  if (draw < profile.shared_prefix) {
    arrival.prefix = 1 + random() % kSharedPrefixes;
  }
  return arrival;
}

}  // namespace

Result<LoadProfile, ConfigErrors> LoadProfileFile(const std::string& file) {
  ConfigErrors errors;
  const auto text = ReadFile(file);
  if (!text) {
    return ConfigErrors{{.file = file,
                         .line = 0,
                         .field = {},
                         .message = "the file can't be read"}};
  }
  FieldReader reader(file, "", ParseMapping(file, *text, errors), errors);
  LoadProfile profile;
  profile.name = reader.Name("name", true);
  profile.model = reader.Name("model", true);
  profile.service = reader.Name("service", false);
  profile.engines =
      static_cast<int>(reader.Whole("engines", {1, 100'000}, profile.engines));
  profile.engine_memory_tokens = reader.Whole(
      "engine_memory_tokens", {1, kMostTokens}, profile.engine_memory_tokens);
  profile.entries =
      static_cast<int>(reader.Whole("entries", {1, 1000}, profile.entries));
  profile.duration =
      reader.Millis("duration_ms", {100, kMostMillis}, profile.duration);
  profile.seed =
      static_cast<std::uint64_t>(reader.Whole("seed", {0, INT64_MAX}, 1));
  profile.short_weight =
      reader.Number("short_weight", {0, 1}, profile.short_weight);
  profile.load = reader.Number("load", {0.01, 10}, profile.load);
  profile.plain_calls =
      reader.Number("plain_calls", {0, 100}, profile.plain_calls);
  profile.shared_prefix =
      reader.Number("shared_prefix", {0, 1}, profile.shared_prefix);
  ForEachEntry(reader, file, "lengths", errors, [&](FieldReader& it) {
    profile.lengths.push_back(ReadLengths(it));
  });
  ForEachEntry(reader, file, "accounts", errors, [&](FieldReader& it) {
    AccountTemplate account;
    account.name = it.Name("account", true);
    account.priority = it.OneOf("priority", kPriorityNames, account.priority);
    account.weight = it.Number("weight", {0.01, 1000}, account.weight);
    account.models = {profile.model};
    account.limits = {
        .requests_per_second = it.Number("requests_per_second", {0, 1e9}, 1e6),
        .tokens_per_second = it.Number("tokens_per_second", {0, 1e12}, 1e9),
        .tokens_in_flight = 1'000'000'000'000};
    profile.accounts.push_back(
        {.account = account.name, .share = it.Number("share", {0, 1000}, 1)});
    profile.templates[account.name] = account;
  });
  if (profile.lengths.empty()) reader.Fault("lengths", "must have an entry");
  if (profile.accounts.empty()) {
    reader.Fault("accounts", "must have an entry");
  }
  reader.Finish();
  if (!errors.empty()) return errors;
  return profile;
}

double EngineSeconds(const ModelTemplate& model, const LengthClass& lengths) {
  // Prefill takes the engine for itself; a token of an answer shares its step
  // with the batch, for which the part below is taken.
  constexpr double kStepShare = 0.01;
  constexpr int kSteps = 32;
  double prefill = 0;
  const double low = std::log(static_cast<double>(lengths.least_tokens));
  const double high = std::log(static_cast<double>(lengths.most_tokens));
  for (int it = 0; it < kSteps; ++it) {
    const double exponent = low + (high - low) * (it + 0.5) / kSteps;
    const auto tokens = static_cast<std::int64_t>(std::exp(exponent));
    prefill += static_cast<double>(PrefillTime(model, tokens, 0).count()) / 1e6;
  }
  const double decode =
      static_cast<double>(DecodeTime(model, lengths.answer_tokens).count()) /
      1e6;
  return prefill / kSteps + decode * kStepShare;
}

double ArrivalRate(const LoadProfile& profile, const ModelTemplate& model) {
  double shares = 0;
  double each = 0;
  for (const LengthClass& it : profile.lengths) {
    shares += it.share;
    each += it.share * EngineSeconds(model, it);
  }
  return profile.load * profile.engines / (each / shares);
}

std::vector<Arrival> DrawArrivals(const LoadProfile& profile,
                                  const ModelTemplate& model) {
  std::mt19937_64 random(profile.seed);
  const double rate = ArrivalRate(profile, model) * (1 + profile.plain_calls);
  std::exponential_distribution<double> gap(rate);
  std::uniform_real_distribution<double> draw(0, 1);
  const double plain = profile.plain_calls / (1 + profile.plain_calls);
  std::vector<Arrival> arrivals;
  Duration at{};
  while (true) {
    at += Duration(static_cast<std::int64_t>(gap(random) * 1e6));
    if (at >= profile.duration) return arrivals;
    const bool is_plain = draw(random) < plain;
    Arrival arrival = is_plain ? Arrival{.time_limit = seconds(10)}
                               : DrawPrompt(profile, random);
    arrival.at = at;
    arrival.is_plain = is_plain;
    arrival.account = DrawByShare(profile.accounts, random).account;
    arrivals.push_back(std::move(arrival));
  }
}

}  // namespace scaleshed
