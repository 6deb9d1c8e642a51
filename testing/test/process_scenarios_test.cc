// Runs every scenario for real processes of the folder scenarios/.

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <string>
#include <vector>

#include "scaleshed/testing/cluster.h"

namespace scaleshed::testing {
namespace {

TEST_CASE("Scenarios hold with real processes") {
  std::signal(SIGPIPE, SIG_IGN);
  const ClusterPrograms programs{.daemon = SCALESHED_DAEMON,
                                 .engine = SCALESHED_ENGINE,
                                 .service = SCALESHED_SERVICE,
                                 .platform = SCALESHED_PLATFORM};
  std::vector<std::string> files;
  for (const auto& it :
       std::filesystem::directory_iterator(SCALESHED_SCENARIOS)) {
    if (it.path().extension() == ".yaml") files.push_back(it.path().string());
  }
  std::sort(files.begin(), files.end());
  int run = 0;
  for (const std::string& file : files) {
    const auto loaded = LoadScenario(file);
    const Scenario* scenario = ValueOf(loaded);
    if (scenario == nullptr) FAIL(ErrorOf(loaded));
    if (!scenario->processes) continue;
    ++run;
    DYNAMIC_SECTION(scenario->name) {
      for (const std::string& it : RunProcesses(programs, *scenario)) {
        FAIL_CHECK(it);
      }
    }
  }
  CHECK(run > 0);
}

}  // namespace
}  // namespace scaleshed::testing
