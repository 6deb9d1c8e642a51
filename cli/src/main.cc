// scaleshed: the command line for operators and experiments.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <array>
#include <iostream>
#include <string_view>

#include "internal/commands.h"

ABSL_FLAG(std::string, format, "text", "how results are printed: text or json");

namespace scaleshed::internal {

bool WantsJson() { return absl::GetFlag(FLAGS_format) == "json"; }

namespace {

struct Command {
  std::string_view name;
  std::string_view usage;
  ExitCode (*run)(const Arguments&);
};

constexpr std::array kCommands{
    Command{"validate", "FOLDER                checks templates", RunValidate},
    Command{"diff",
            "FOLDER --platform     compares templates with those accepted",
            RunDiff},
    Command{
        "accept",
        "FOLDER --platform --base --operator_name   puts templates in force",
        RunAccept},
    Command{"status", "--daemon              what a daemon knows", RunStatus},
    Command{
        "explain",
        "--daemon --account --model --prompt_tokens   where a call would go",
        RunExplain},
    Command{"lookup", "--daemon              which address a caller would get",
            RunLookup},
    Command{"load",
            "--daemon --profile      puts a load on daemons and measures",
            RunLoad},
    Command{"quarantine",
            "[CONTENT...] --store    requests that end servers; releases them",
            RunQuarantine},
    Command{"evacuations",
            "--store                 evacuated data centres and their servers",
            RunEvacuations},
    Command{"trace",
            "LOGFILE... --request    what became of a request, and why",
            RunTrace},
};

std::string Usage() {
  std::string text = "scaleshed COMMAND [ARGUMENTS] [--format=json]\n\n";
  for (const Command& it : kCommands) {
    text += "  " + std::string(it.name) + "  " + std::string(it.usage) + "\n";
  }
  return text +
         "\nExit codes: 0 done, 1 failed, 2 bad input, 3 conflict, 4 unknown.\n"
         "--helpfull lists all flags.\n";
}

// --help shows the flags of this program, not only those of this file.
bool IsOwnFile(absl::string_view file) {
  return file.find("cli/src/") != absl::string_view::npos;
}

ExitCode Main(int argc, char** argv) {
  absl::SetProgramUsageMessage(Usage());
  absl::FlagsUsageConfig config;
  config.contains_help_flags = IsOwnFile;
  config.contains_helpshort_flags = IsOwnFile;
  absl::SetFlagsUsageConfig(config);
  const std::vector<char*> words = absl::ParseCommandLine(argc, argv);
  const std::string format = absl::GetFlag(FLAGS_format);
  if (format != "text" && format != "json") {
    std::cerr << "scaleshed: --format must be text or json\n";
    return ExitCode::kInvalid;
  }
  if (words.size() < 2) {
    std::cerr << Usage();
    return ExitCode::kInvalid;
  }
  const std::string_view name = words[1];
  for (const Command& it : kCommands) {
    if (it.name != name) continue;
    return it.run(Arguments(words.begin() + 2, words.end()));
  }
  std::cerr << "scaleshed: no command '" << name << "'\n" << Usage();
  return ExitCode::kInvalid;
}

}  // namespace
}  // namespace scaleshed::internal

int main(int argc, char** argv) {
  return static_cast<int>(scaleshed::internal::Main(argc, argv));
}
