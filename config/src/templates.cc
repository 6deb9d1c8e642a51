#include "scaleshed/config/templates.h"

#include <algorithm>
#include <filesystem>

#include "scaleshed/config/field_reader.h"
#include "scaleshed/config/read_file.h"

namespace scaleshed {
namespace {

constexpr std::int64_t kMostTokens = 100'000'000;
constexpr double kMostRate = 1e9;

ModelTemplate ReadModel(FieldReader& reader) {
  ModelTemplate model;
  model.name = reader.Name("name", true);
  model.max_prompt_tokens = reader.Whole("max_prompt_tokens", {1, kMostTokens},
                                         model.max_prompt_tokens);
  model.prefill_us_per_token = reader.Number(
      "prefill_us_per_token", {0.001, 1e6}, model.prefill_us_per_token);
  model.quadratic_tokens = reader.Whole("quadratic_tokens", {1, 1'000'000'000},
                                        model.quadratic_tokens);
  model.decode_ms_per_token = reader.Number("decode_ms_per_token", {0.001, 1e5},
                                            model.decode_ms_per_token);
  return model;
}

FleetTemplate ReadFleet(const TemplateSource& source, ConfigErrors& errors) {
  FieldReader reader(source.file, "",
                     ParseMapping(source.file, source.text, errors), errors);
  FleetTemplate fleet;
  ForEachEntry(reader, source.file, "models", errors, [&](FieldReader& it) {
    const ModelTemplate model = ReadModel(it);
    if (!fleet.models.emplace(model.name, model).second) {
      it.Fault("name", "model '" + model.name + "' stands twice");
    }
  });
  ForEachEntry(reader, source.file, "services", errors, [&](FieldReader& it) {
    ServiceTemplate service;
    service.name = it.Name("name", true);
    service.checks_orders = it.Flag("checks_orders", service.checks_orders);
    const bool is_model = fleet.models.contains(service.name);
    if (is_model || !fleet.services.emplace(service.name, service).second) {
      it.Fault("name", "'" + service.name + "' stands twice");
    }
  });
  fleet.policy = reader.OneOf("policy", kPolicyKindNames, fleet.policy);
  fleet.short_weight =
      reader.Number("short_weight", {0, 1}, fleet.short_weight);
  reader.Finish();
  return fleet;
}

Limits ReadLimits(FieldReader& reader, const std::string& file,
                  ConfigErrors& errors) {
  const YAML::Node node = reader.Child("limits");
  if (!node.IsDefined()) {
    reader.Fault("limits", "is missing");
    return {};
  }
  FieldReader limits(file, "limits", node, errors);
  const Limits read{.requests_per_second =
                        limits.Number("requests_per_second", {0, kMostRate}, 0),
                    .tokens_per_second =
                        limits.Number("tokens_per_second", {0, kMostRate}, 0),
                    .tokens_in_flight = limits.Whole(
                        "tokens_in_flight", {0, 1'000'000'000'000}, 0)};
  limits.Finish();
  return read;
}

void CheckNames(FieldReader& reader, const std::string& field,
                const std::set<std::string>& names, const auto& known) {
  std::string allowed;
  for (const auto& [name, value] : known) {
    allowed += (allowed.empty() ? "" : ", ") + name;
  }
  for (const std::string& it : names) {
    if (known.contains(it)) continue;
    reader.Fault(field, "unknown '" + it + "'; the fleet has: " +
                            (allowed.empty() ? "none" : allowed));
  }
}

AccountTemplate ReadAccount(const TemplateSource& source,
                            const FleetTemplate& fleet, ConfigErrors& errors) {
  FieldReader reader(source.file, "",
                     ParseMapping(source.file, source.text, errors), errors);
  AccountTemplate account;
  account.name = reader.Name("account", true);
  account.priority = reader.OneOf("priority", kPriorityNames, account.priority);
  account.weight = reader.Number("weight", {0.01, 1000}, account.weight);
  account.models = reader.Names("models");
  account.adapters = reader.Names("adapters");
  account.services = reader.Names("services");
  account.limits = ReadLimits(reader, source.file, errors);
  CheckNames(reader, "models", account.models, fleet.models);
  CheckNames(reader, "services", account.services, fleet.services);
  reader.Finish();
  return account;
}

ConfigErrors CannotRead(const std::string& file) {
  return {{.file = file,
           .line = 0,
           .field = {},
           .message = "the file can't be read"}};
}

}  // namespace

Result<TemplateSources, ConfigErrors> ReadTemplates(const std::string& folder) {
  namespace fs = std::filesystem;
  TemplateSources sources;
  ConfigErrors errors;
  const std::string fleet_file = (fs::path(folder) / "fleet.yaml").string();
  const auto fleet = ReadFile(fleet_file);
  if (!fleet) return CannotRead(fleet_file);
  sources[std::string(kFleetDocument)] = {.file = fleet_file, .text = *fleet};
  std::vector<std::string> files;
  std::error_code ec;
  for (const auto& it :
       fs::directory_iterator(fs::path(folder) / "accounts", ec)) {
    if (it.path().extension() == ".yaml") files.push_back(it.path().string());
  }
  std::sort(files.begin(), files.end());
  for (const std::string& file : files) {
    const auto text = ReadFile(file);
    if (!text) return CannotRead(file);
    const YAML::Node node = ParseMapping(file, *text, errors);
    const std::string name = node["account"].as<std::string>("");
    const std::string key = std::string(kAccountPrefix) + name;
    const auto [it, added] =
        sources.emplace(key, TemplateSource{.file = file, .text = *text});
    if (!added) {
      errors.push_back(
          {.file = file,
           .line = node["account"].Mark().line + 1,
           .field = "account",
           .message = "'" + name + "' is already in " + it->second.file});
    }
  }
  if (!errors.empty()) return errors;
  return sources;
}

Result<Configuration, ConfigErrors> BuildConfiguration(
    const TemplateSources& sources, std::uint64_t revision) {
  ConfigErrors errors;
  Configuration configuration{
      .revision = revision, .fleet = {}, .accounts = {}};
  const auto fleet = sources.find(std::string(kFleetDocument));
  if (fleet == sources.end()) return CannotRead("fleet.yaml");
  configuration.fleet = ReadFleet(fleet->second, errors);
  for (const auto& [name, source] : sources) {
    if (name == kFleetDocument) continue;
    AccountTemplate account = ReadAccount(source, configuration.fleet, errors);
    if (std::string(kAccountPrefix) + account.name != name) {
      errors.push_back({.file = source.file,
                        .line = 1,
                        .field = "account",
                        .message = "'" + account.name +
                                   "' does not match the document's name '" +
                                   name + "'"});
    }
    configuration.accounts[account.name] = std::move(account);
  }
  if (!errors.empty()) return errors;
  return configuration;
}

}  // namespace scaleshed
