// Runs every scripted scenario of the folder scenarios/.

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <string>
#include <vector>

#include "scaleshed/testing/scenario.h"
#include "scaleshed/testing/world.h"

namespace scaleshed::testing {
namespace {

std::vector<std::string> ScenarioFiles() {
  std::vector<std::string> files;
  for (const auto& it :
       std::filesystem::directory_iterator(SCALESHED_SCENARIOS)) {
    if (it.path().extension() == ".yaml") files.push_back(it.path().string());
  }
  std::sort(files.begin(), files.end());
  return files;
}

TEST_CASE("Scripted scenarios hold") {
  int run = 0;
  for (const std::string& file : ScenarioFiles()) {
    const auto loaded = LoadScenario(file);
    const Scenario* scenario = ValueOf(loaded);
    if (scenario == nullptr) FAIL(ErrorOf(loaded));
    if (scenario->processes) continue;
    ++run;
    DYNAMIC_SECTION(scenario->name) {
      for (const std::string& it : RunScripted(*scenario)) FAIL_CHECK(it);
    }
  }
  CHECK(run > 0);
}

}  // namespace
}  // namespace scaleshed::testing
