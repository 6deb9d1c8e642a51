// fleet_soak: real daemons as processes before stand-ins of the platform, with
// callers and faults, counted from outside. Prints a line for each run and what
// was broken; ends with 0 only if nothing was.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <iostream>

#include "scaleshed/testing/soak.h"

ABSL_FLAG(std::string, daemon, "", "path of scaleshedd");
ABSL_FLAG(int, daemons, 8, "how many");
ABSL_FLAG(int, data_centres, 3, "over how many");
ABSL_FLAG(std::uint64_t, seed, 1, "of the first run");
ABSL_FLAG(int, runs, 1, "with seeds one after another");
ABSL_FLAG(int, length_ms, 12000, "from the callers' begin to their end");
ABSL_FLAG(int, warm_up_ms, 3000, "from the first start to the callers' begin");
ABSL_FLAG(int, start_gap_ms, 0, "between the starts of two daemons");
ABSL_FLAG(double, rate, 120, "requests a second");
ABSL_FLAG(int, idle_servers, 0, "entries of servers that nobody asks");
ABSL_FLAG(double, slack, 80, "of the repeats, over the fleet");
ABSL_FLAG(int, window_ms, 3000, "of the bound on repeats");
ABSL_FLAG(std::string, series, "",
          "FAULT:AT_MS:TIMES:GAP_MS:SHARE:LENGTH_MS,...; empty: drawn");
ABSL_FLAG(bool, data_centre_faults, false,
          "draw evacuations and losses of data centres too");
ABSL_FLAG(bool, cold_servers, false, "draw servers that become cold too");
ABSL_FLAG(bool, endless_answers, false,
          "draw servers that answer without end too");
ABSL_FLAG(bool, pauses, false,
          "draw pausing servers and slow callers, and no servers that fail");
ABSL_FLAG(int, max_attempts, 2, "that the routes allow at most");
ABSL_FLAG(bool, keep_logs, false, "leave the daemons' logs where they are");

namespace {

using namespace scaleshed;           // NOLINT
using namespace scaleshed::testing;  // NOLINT

SoakOptions OptionsOf(std::uint64_t seed) {
  SoakOptions options{
      .daemon = absl::GetFlag(FLAGS_daemon),
      .seed = seed,
      .daemons = static_cast<std::size_t>(absl::GetFlag(FLAGS_daemons)),
      .data_centres =
          static_cast<std::size_t>(absl::GetFlag(FLAGS_data_centres)),
      .start_gap = milliseconds(absl::GetFlag(FLAGS_start_gap_ms)),
      .warm_up = milliseconds(absl::GetFlag(FLAGS_warm_up_ms)),
      .length = milliseconds(absl::GetFlag(FLAGS_length_ms)),
      .requests_per_second = absl::GetFlag(FLAGS_rate),
      .idle_servers =
          static_cast<std::size_t>(absl::GetFlag(FLAGS_idle_servers)),
      .bound = {.ratio = 0.2,
                .slack = absl::GetFlag(FLAGS_slack),
                .window = milliseconds(absl::GetFlag(FLAGS_window_ms))},
      .max_attempts = absl::GetFlag(FLAGS_max_attempts),
      .keep_logs = absl::GetFlag(FLAGS_keep_logs)};
  const std::string series = absl::GetFlag(FLAGS_series);
  if (!series.empty()) {
    options.series = ParseSeries(series);
    return options;
  }
  options.series = absl::GetFlag(FLAGS_pauses)
                       ? DrawPauseSeries(seed, options.length)
                       : DrawSeries(seed, options.length);
  if (absl::GetFlag(FLAGS_data_centre_faults)) {
    for (const SoakSeries& it : DrawDataCentreSeries(seed, options.length))
      options.series.push_back(it);
  }
  if (absl::GetFlag(FLAGS_cold_servers)) {
    for (const SoakSeries& it : DrawColdSeries(seed, options.length))
      options.series.push_back(it);
  }
  if (absl::GetFlag(FLAGS_endless_answers)) {
    for (const SoakSeries& it : DrawEndlessSeries(seed, options.length))
      options.series.push_back(it);
  }
  return options;
}

void Print(std::uint64_t seed, const SoakOptions& options,
           const SoakReport& report) {
  std::cout << "seed " << seed << ": "
            << (report.broken.empty() ? "held" : "BROKEN") << ", "
            << report.requests << " requests, " << report.answered
            << " answered, " << report.refused << " refused, " << report.failed
            << " failed, " << report.faults << " faults, " << report.ends
            << " ends, " << report.words << " words, " << report.slow
            << " slow, " << report.checked << " checked, " << report.probes
            << " probes, " << report.most_calls
            << " store calls in a second, growth " << report.growth / 1024
            << " KB, at most " << report.processor_share << " of a core";
  for (const RepeatWindow& it : report.windows) {
    std::cout << ", " << it.service << " repeats " << it.repeats << " of "
              << it.allowed;
  }
  std::cout << ", looked " << report.latest.count() / 1000 << " ms apart, "
            << ToString(options.series);
  if (!report.folder.empty()) std::cout << ", logs " << report.folder;
  std::cout << std::endl;
  for (const std::string& it : report.broken) {
    std::cout << "  " << it << std::endl;
  }
}

}  // namespace

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  int broken = 0;
  for (int i = 0; i < absl::GetFlag(FLAGS_runs); ++i) {
    const std::uint64_t seed =
        absl::GetFlag(FLAGS_seed) + static_cast<std::uint64_t>(i);
    const SoakOptions options = OptionsOf(seed);
    const SoakReport report = RunSoak(options);
    Print(seed, options, report);
    if (!report.broken.empty()) ++broken;
  }
  std::cout << absl::GetFlag(FLAGS_runs) - broken << " held, " << broken
            << " broken" << std::endl;
  return broken == 0 ? 0 : 1;
}
