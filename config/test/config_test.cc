#include <catch2/catch.hpp>

#include "scaleshed/config/settings.h"
#include "scaleshed/config/templates.h"

namespace scaleshed {
namespace {

constexpr const char* kFleet =
    "models:\n  - name: llm\nservices:\n  - name: app\n";

std::string Errors(const TemplateSources& sources) {
  const auto built = BuildConfiguration(sources, 1);
  return ValueOf(built) != nullptr ? "" : ToString(ErrorOf(built));
}

TEST_CASE("All faults of a template are found in one go, with their lines") {
  const std::string account =
      "account: acme\n"
      "priority: urgent\n"
      "models: [llm, other]\n"
      "colour: red\n"
      "limits:\n"
      "  requests_per_second: -1\n"
      "  tokens_per_second: many\n";
  const std::string errors = Errors({{"fleet", {"fleet.yaml", kFleet}},
                                     {"account/acme", {"acme.yaml", account}}});
  INFO(errors);
  CHECK(errors.find("acme.yaml:2: priority: 'urgent' is not one of: "
                    "interactive, standard, batch") != std::string::npos);
  CHECK(
      errors.find("acme.yaml:3: models: unknown 'other'; the fleet has: llm") !=
      std::string::npos);
  CHECK(errors.find("acme.yaml:4: colour: unknown field") != std::string::npos);
  CHECK(errors.find("acme.yaml:6: limits.requests_per_second: '-1' must be") !=
        std::string::npos);
  CHECK(
      errors.find("acme.yaml:7: limits.tokens_per_second: must be a number") !=
      std::string::npos);
}

TEST_CASE("A template that is right is read") {
  const std::string account =
      "account: acme\npriority: batch\nmodels: [llm]\nservices: [app]\n"
      "limits: {requests_per_second: 5, tokens_per_second: 10, "
      "tokens_in_flight: 20}\n";
  const auto built = BuildConfiguration({{"fleet", {"fleet.yaml", kFleet}},
                                         {"account/acme", {"a.yaml", account}}},
                                        7);
  REQUIRE(ValueOf(built) != nullptr);
  const Configuration& configuration = *ValueOf(built);
  CHECK(configuration.revision == 7);
  CHECK(configuration.accounts.at("acme").priority == Priority::kBatch);
  CHECK(configuration.accounts.at("acme").limits.tokens_in_flight == 20);
}

TEST_CASE("A setting of the machine that is empty keeps its default") {
  const auto parse = [](const std::string& machine) {
    return ParseSettings("s.yaml",
                         "instance: a\ndata_centre: z\nlisten: 1.1.1.1:1\n"
                         "peer_listen: 1.1.1.1:2\nplatform: 1.1.1.1:3\n" +
                             machine);
  };
  const auto given = parse("memory_mb: 260.5\nmax_descriptors: 4100\n");
  REQUIRE(ValueOf(given) != nullptr);
  CHECK(ValueOf(given)->memory_mb == 260.5);
  CHECK(ValueOf(given)->max_descriptors == 4100);
  const auto empty = parse("memory_mb: \nmax_descriptors: \n");
  REQUIRE(ValueOf(empty) != nullptr);
  CHECK(ValueOf(empty)->memory_mb == 160);
  CHECK_FALSE(ValueOf(empty)->max_descriptors);
  CHECK(ValueOf(parse("max_descriptors: 3\n")) == nullptr);
}

TEST_CASE("Text that is no YAML, or no mapping, is refused with its line") {
  CHECK(
      Errors({{"fleet", {"fleet.yaml", "models: [\n"}}}).find("fleet.yaml:") ==
      0);
  CHECK(
      Errors({{"fleet", {"fleet.yaml", "- a\n"}}}).find("must be a mapping") !=
      std::string::npos);
}

TEST_CASE("Settings name what is missing and what is not known") {
  const auto parsed = ParseSettings("s.yaml",
                                    "instance: a b\nlisten: nowhere\n"
                                    "peer_listen: 127.0.0.1:9\nport: 3\n");
  REQUIRE(ValueOf(parsed) == nullptr);
  const std::string errors = ToString(ErrorOf(parsed));
  INFO(errors);
  CHECK(errors.find("s.yaml:1: instance:") != std::string::npos);
  CHECK(errors.find("data_centre: is missing") != std::string::npos);
  CHECK(errors.find("s.yaml:2: listen: 'nowhere'") != std::string::npos);
  CHECK(errors.find("s.yaml:4: port: unknown field") != std::string::npos);
}

// A deployment without evacuations or cold servers leaves these bounds empty.
TEST_CASE("Bounds that a deployment doesn't have are not called for") {
  const std::string start =
      "instance: a\ndata_centre: z1\nlisten: 127.0.0.1:1\n"
      "peer_listen: 127.0.0.1:2\nplatform: 127.0.0.1:3\nfleet:\n"
      "  ready_listen: 127.0.0.1:4\n  look_up_listen: 127.0.0.1:5\n"
      "  configuration_within_ms: 3000\n  leaving_within_ms: 3000\n";
  const auto fleet_of = [&](const std::string& rest) {
    const auto parsed = ParseSettings("s.yaml", start + rest);
    REQUIRE(ValueOf(parsed) != nullptr);
    return *ValueOf(parsed)->fleet;
  };
  const FleetSettings none = fleet_of(
      "  evacuated_within_ms: \n  warm_up_overage: \n  warm_up_slack: \n"
      "  region: \"\"\n  regions: \n");
  CHECK_FALSE(none.bounds_evacuations);
  CHECK(none.news_within == seconds(3));
  CHECK(none.warm_up_overage == 1);
  CHECK(none.warm_up_slack == 0);
  CHECK(none.regions.empty());
  const FleetSettings all = fleet_of(
      "  evacuated_within_ms: 2500\n  warm_up_overage: 1.5\n"
      "  warm_up_slack: 5\n  region: \"north\"\n"
      "  regions: {\"z1\":\"north\",\"z2\":\"south\"}\n");
  CHECK(all.bounds_evacuations);
  CHECK(all.news_within == milliseconds(2500));
  CHECK(all.warm_up_overage == 1.5);
  CHECK(all.warm_up_slack == 5);
  CHECK(all.region == "north");
  CHECK(all.regions.at("z2") == "south");
}

}  // namespace
}  // namespace scaleshed
