#ifndef SCALESHED_CLI_SRC_INTERNAL_COMMANDS_H_
#define SCALESHED_CLI_SRC_INTERNAL_COMMANDS_H_

#include <string>
#include <vector>

namespace scaleshed::internal {

// Exit codes of the command line; docs/OPERATORS.md lists them.
enum class ExitCode {
  kOk = 0,
  kFailed = 1,
  kInvalid = 2,
  kConflict = 3,
  kUnknown = 4,
};

using Arguments = std::vector<std::string>;

ExitCode RunValidate(const Arguments& arguments);
ExitCode RunDiff(const Arguments& arguments);
ExitCode RunAccept(const Arguments& arguments);
ExitCode RunStatus(const Arguments& arguments);
ExitCode RunExplain(const Arguments& arguments);
ExitCode RunLookup(const Arguments& arguments);
ExitCode RunLoad(const Arguments& arguments);
ExitCode RunQuarantine(const Arguments& arguments);
ExitCode RunEvacuations(const Arguments& arguments);
ExitCode RunTrace(const Arguments& arguments);

// Whether --format=json was given. Any format but text and json is refused
// before a command runs.
bool WantsJson();

}  // namespace scaleshed::internal

#endif  // SCALESHED_CLI_SRC_INTERNAL_COMMANDS_H_
