// scaleshedd: one entry instance of scaleshed.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <malloc.h>

#include <csignal>
#include <exception>
#include <iostream>
#include <optional>

#include "scaleshed/config/settings.h"
#include "scaleshed/daemon/daemon.h"
#include "scaleshed/daemon/fleet_daemon.h"
#include "scaleshed/platform/settings_file.h"
#include "scaleshed/runtime/event_loop.h"
#include "scaleshed/runtime/log.h"

ABSL_FLAG(std::string, settings, "", "the settings file (YAML)");

namespace {

constexpr int kBadSettings = 2;
constexpr int kReturnedAtOnceBytes = 128 * 1024;

// Settings may change under a running daemon; what it was started with stays in
// force until the next start, and a fault in them is told at once.
void CheckSettings(const std::string& file) {
  const auto settings = scaleshed::LoadSettings(file);
  if (scaleshed::ValueOf(settings) != nullptr) {
    scaleshed::LogInfo("settings_checked", {{"file", file}});
    return;
  }
  scaleshed::LogWarn(
      "settings_bad",
      {{"faults", scaleshed::ToString(scaleshed::ErrorOf(settings))}});
}

template <typename DaemonType>
int RunDaemon(const scaleshed::Settings& settings, const std::string& file) {
  scaleshed::EventLoop loop;
  // Before it listens, so that nothing that was taken is ended without an
  // answer.
  std::optional<DaemonType> daemon;
  loop.OnSignal(SIGTERM, [&] { daemon->Stop(); });
  loop.OnSignal(SIGINT, [&] { daemon->Stop(); });
  loop.OnSignal(SIGHUP, [&] { CheckSettings(file); });
  daemon.emplace(loop, settings);
  loop.Run();
  scaleshed::LogInfo("stopped", {});
  return 0;
}

int Run(const scaleshed::Settings& settings, const std::string& file) {
  scaleshed::StartLog(settings.log_level, settings.instance);
  std::signal(SIGPIPE, SIG_IGN);
  // The allocator would raise the size from which memory is given back to the
  // system at once with the first large body that is freed.
  mallopt(M_MMAP_THRESHOLD, kReturnedAtOnceBytes);
  if (settings.fleet) return RunDaemon<scaleshed::FleetDaemon>(settings, file);
  return RunDaemon<scaleshed::Daemon>(settings, file);
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("scaleshedd --settings=FILE");
  absl::ParseCommandLine(argc, argv);
  std::string file = absl::GetFlag(FLAGS_settings);
  if (file.empty()) file = scaleshed::platform::SettingsFile();
  if (file.empty()) {
    std::cerr << "scaleshedd: --settings=FILE is needed\n";
    return kBadSettings;
  }
  const auto settings = scaleshed::LoadSettings(file);
  const auto* value = scaleshed::ValueOf(settings);
  if (value == nullptr) {
    std::cerr << scaleshed::ToString(scaleshed::ErrorOf(settings));
    return kBadSettings;
  }
  try {
    return Run(*value, file);
  } catch (const std::exception& error) {
    std::cerr << "scaleshedd: " << error.what() << "\n";
    return 1;
  }
}
