// trace: one request's way through the logs of many daemons.

#include <absl/flags/flag.h>

#include <fstream>
#include <iostream>
#include <vector>

#include "internal/commands.h"
#include "scaleshed/cli/trace.h"

ABSL_FLAG(std::string, request, "", "trace: the request's id");

namespace scaleshed::internal {

ExitCode RunTrace(const Arguments& arguments) {
  const std::string request = absl::GetFlag(FLAGS_request);
  if (request.empty() || arguments.empty()) {
    std::cerr << "scaleshed: trace needs --request=ID and log files\n";
    return ExitCode::kInvalid;
  }
  std::vector<TraceLine> lines;
  for (const std::string& it : arguments) {
    std::ifstream log(it);
    if (!log) {
      std::cerr << "scaleshed: " << it << " can't be read\n";
      return ExitCode::kInvalid;
    }
    for (TraceLine& line : ReadTrace(log, request)) {
      lines.push_back(std::move(line));
    }
  }
  SortTrace(lines);
  std::cout << ExplainTrace(lines);
  return lines.empty() ? ExitCode::kUnknown : ExitCode::kOk;
}

}  // namespace scaleshed::internal
