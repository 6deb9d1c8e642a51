#include "scaleshed/config/settings.h"

#include <algorithm>

#include "scaleshed/config/field_reader.h"
#include "scaleshed/config/read_file.h"

namespace scaleshed {
namespace {

enum class LogLevel { kDebug, kInfo, kWarn, kError };
constexpr NameTable<LogLevel, 4> kLogLevelNames{{
    {LogLevel::kDebug, "debug"},
    {LogLevel::kInfo, "info"},
    {LogLevel::kWarn, "warn"},
    {LogLevel::kError, "error"},
}};

constexpr std::int64_t kMostBodyBytes = 256 * 1024 * 1024;
constexpr std::int64_t kOneHourMillis = 3'600'000;
constexpr double kMostMemoryMb = 1e6;
constexpr std::int64_t kLeastDescriptors = 64;
constexpr std::int64_t kMostDescriptors = 10'000'000;
constexpr double kMostSeconds = 3600;
constexpr double kMostRepeats = 1e6;
constexpr double kMostOverage = 1000;
// Of the smallest machines that daemons are sized for: shares of a core and
// Mbit/s. Only how machines compare matters.
constexpr double kUsualProcessor = 0.12;
constexpr double kUsualLink = 20;
constexpr double kMostCores = 1024;
constexpr double kMostLink = 1e6;

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

FleetSettings ReadFleet(const std::string& file, const YAML::Node& node,
                        ConfigErrors& errors) {
  FieldReader reader(file, "fleet", node, errors);
  FleetSettings fleet;
  fleet.ready_listen = reader.Address("ready_listen");
  fleet.look_up_listen = reader.Address("look_up_listen");
  if (reader.Child("metrics_listen").IsDefined()) {
    fleet.metrics_listen = reader.Address("metrics_listen");
  }
  fleet.key_freshness = reader.Millis("key_freshness_ms", {500, kOneHourMillis},
                                      fleet.key_freshness);
  fleet.keys_fail_closed =
      reader.Flag("keys_fail_closed", fleet.keys_fail_closed);
  const Duration configuration = reader.Millis(
      "configuration_within_ms", {200, kOneHourMillis}, fleet.news_within);
  const Duration leaving = reader.Millis(
      "leaving_within_ms", {200, kOneHourMillis}, fleet.news_within);
  fleet.news_within = std::min(configuration, leaving);
  fleet.bounds_evacuations = reader.Child("evacuated_within_ms").IsDefined();
  fleet.news_within =
      std::min(fleet.news_within,
               reader.Millis("evacuated_within_ms", {200, kOneHourMillis},
                             fleet.news_within));
  fleet.region = reader.Text("region", false);
  fleet.regions = reader.TextsByName("regions");
  fleet.warm_up_overage = reader.Number("warm_up_overage", {0, kMostOverage},
                                        fleet.warm_up_overage);
  fleet.warm_up_slack =
      reader.Number("warm_up_slack", {0, kMostRepeats}, fleet.warm_up_slack);
  fleet.repeat_ratio =
      reader.Number("repeat_ratio", {0, 10}, fleet.repeat_ratio);
  fleet.repeat_slack =
      reader.Number("repeat_slack", {0, kMostRepeats}, fleet.repeat_slack);
  fleet.repeat_window =
      FromSeconds(reader.Number("repeat_window_s", {0.1, kMostSeconds}, 10));
  fleet.grace = FromSeconds(reader.Number("grace_s", {0.5, kMostSeconds}, 8));
  const double processor =
      reader.Number("processor_cores", {0.001, kMostCores}, kUsualProcessor);
  const double link = reader.Number("link_mbps", {0.1, kMostLink}, kUsualLink);
  fleet.capacity = std::min(processor / kUsualProcessor, link / kUsualLink);
  reader.Finish();
  return fleet;
}

}  // namespace

Result<Settings, ConfigErrors> ParseSettings(const std::string& file,
                                             const std::string& text) {
  ConfigErrors errors;
  FieldReader reader(file, "", ParseMapping(file, text, errors), errors);
  Settings settings;
  settings.instance = reader.Name("instance", true);
  settings.data_centre = reader.Name("data_centre", true);
  settings.listen = reader.Address("listen");
  settings.peer_listen = reader.Address("peer_listen");
  settings.platform = reader.Address("platform");
  settings.seed_peers = reader.Addresses("seed_peers");
  settings.log_level = std::string(
      NameIn(kLogLevelNames,
             reader.OneOf("log_level", kLogLevelNames, LogLevel::kInfo)));
  settings.look_up_keep =
      reader.Millis("look_up_keep_ms", {100, 60'000}, settings.look_up_keep);
  settings.report_interval = reader.Millis("report_interval_ms", {20, 10'000},
                                           settings.report_interval);
  settings.list_interval =
      reader.Millis("list_interval_ms", {50, 60'000}, settings.list_interval);
  settings.default_time_limit =
      reader.Millis("default_time_limit_ms", {100, kOneHourMillis},
                    settings.default_time_limit);
  settings.max_body_bytes = reader.Whole(
      "max_body_bytes", {1024, kMostBodyBytes}, settings.max_body_bytes);
  settings.memory_mb =
      reader.Number("memory_mb", {16, kMostMemoryMb}, settings.memory_mb);
  const std::int64_t descriptors =
      reader.Whole("max_descriptors", {kLeastDescriptors, kMostDescriptors}, 0);
  if (descriptors > 0) settings.max_descriptors = descriptors;
  const YAML::Node fleet = reader.Child("fleet");
  if (fleet.IsDefined()) settings.fleet = ReadFleet(file, fleet, errors);
  reader.Finish();
  if (!errors.empty()) return errors;
  return settings;
}

Result<Settings, ConfigErrors> LoadSettings(const std::string& file) {
  const auto text = ReadFile(file);
  if (!text) {
    return ConfigErrors{{.file = file,
                         .line = 0,
                         .field = {},
                         .message = "the file can't be read"}};
  }
  return ParseSettings(file, *text);
}

}  // namespace scaleshed
