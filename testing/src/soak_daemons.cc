#include "internal/soak_daemons.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <utility>

#include "scaleshed/testing/free_address.h"

namespace scaleshed::testing {
namespace {

// From SIGTERM to the end of a process, at most; shorter than the users' so
// that a run has several.
constexpr double kGraceSeconds = 2;
constexpr Duration kPoll = milliseconds(20);
// Only a run that has failed waits so long.
constexpr Duration kLongestEnd = seconds(20);

}  // namespace

SoakDaemons::SoakDaemons(EventLoop& loop, const SoakOptions& options,
                         const std::string& platform, std::string folder)
    : loop_(loop), program_(options.daemon), folder_(std::move(folder)) {
  daemons_.resize(options.daemons);
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    Daemon& it = daemons_[i];
    it.name = "entry-" + std::to_string(i);
    it.data_centre = "dc-" + std::to_string(i % options.data_centres);
    it.timer = std::make_unique<Timer>(loop_, [] {});
    WriteSettings(it, options, platform);
  }
}

void SoakDaemons::WriteSettings(Daemon& daemon, const SoakOptions& options,
                                const std::string& platform) {
  daemon.settings = folder_ + "/" + daemon.name + ".yaml";
  daemon.look_up = FreeAddress();
  daemon.listen = FreeAddress();
  daemon.peer_listen = FreeAddress();
  const double window =
      std::chrono::duration<double>(options.bound.window).count();
  const bool evacuates = std::any_of(
      options.series.begin(), options.series.end(),
      [](const SoakSeries& it) { return it.fault == SoakFault::kEvacuate; });
  std::ofstream(daemon.settings)
      << "instance: " << daemon.name << "\n"
      << "data_centre: " << daemon.data_centre << "\n"
      << "listen: " << daemon.listen << "\n"
      << "peer_listen: " << daemon.peer_listen << "\n"
      << "platform: " << platform << "\n"
      << "fleet:\n"
      << "  ready_listen: " << FreeAddress() << "\n"
      << "  look_up_listen: " << daemon.look_up << "\n"
      << "  repeat_ratio: " << options.bound.ratio << "\n"
      << "  repeat_slack: " << options.bound.slack << "\n"
      << "  repeat_window_s: " << window << "\n"
      << "  evacuated_within_ms: " << (evacuates ? "5000" : "") << "\n"
      << "  warm_up_overage: " << SoakOptions::kColdOverage << "\n"
      << "  warm_up_slack: " << SoakOptions::kColdSlack << "\n"
      << "  grace_s: " << kGraceSeconds << "\n";
}

void SoakDaemons::Start(std::size_t i) {
  Daemon& it = daemons_[i];
  it.timer->Cancel();
  it.stopping = false;
  tell_(it.listen);
  const std::string output =
      folder_ + "/" + it.name + "." + std::to_string(++it.lives) + ".log";
  it.process.reset();
  it.process = std::make_unique<Process>(
      std::vector<std::string>{program_, "--settings=" + it.settings}, output);
}

void SoakDaemons::Kill(std::size_t i, Duration pause) {
  Daemon& it = daemons_[i];
  if (!it.process) return;
  // Gone with its object.
  it.process.reset();
  it.frozen = false;
  tell_(it.listen);
  it.timer = std::make_unique<Timer>(loop_, [this, i] { Start(i); });
  it.timer->Once(pause);
}

void SoakDaemons::Restart(std::size_t i) {
  Daemon& it = daemons_[i];
  if (!it.process || it.frozen || it.stopping) return;
  it.stopping = true;
  tell_(it.listen);
  it.process->Signal(SIGTERM);
  AwaitEnd(i);
}

void SoakDaemons::AwaitEnd(std::size_t i) {
  daemons_[i].timer = std::make_unique<Timer>(loop_, [this, i] {
    Daemon& it = daemons_[i];
    if (it.process && it.process->Running()) return;
    if (it.process && !EndedInOrder(it)) {
      NoteBadEnd(it);
    }
    Start(i);
  });
  daemons_[i].timer->Every(kPoll);
}

void SoakDaemons::Freeze(std::size_t i, Duration length) {
  Daemon& it = daemons_[i];
  // One that is on its way to its end or start is left to that.
  if (!it.process || it.frozen || it.stopping) return;
  it.frozen = true;
  tell_(it.listen);
  it.process->Signal(SIGSTOP);
  it.timer = std::make_unique<Timer>(loop_, [this, i] {
    Daemon& woken = daemons_[i];
    woken.frozen = false;
    tell_(woken.listen);
    if (woken.process) woken.process->Signal(SIGCONT);
  });
  it.timer->Once(length);
}

// Before a process has come to its first statement, and written its first line,
// the signal ends it whatever it is.
void SoakDaemons::HangUp(std::size_t i) {
  Daemon& it = daemons_[i];
  const bool has_begun = it.process && !it.process->Output().empty();
  if (has_begun) it.process->Signal(SIGHUP);
}

// One that is told to end before it has begun, and written its first line, has
// taken nothing, and ends as any process does.
bool SoakDaemons::EndedInOrder(Daemon& daemon) {
  if (daemon.process->EndedWell()) return true;
  const std::string by_term = "signal " + std::to_string(SIGTERM);
  return daemon.process->HowEnded() == by_term &&
         daemon.process->Output().empty();
}

void SoakDaemons::NoteBadEnd(Daemon& daemon) {
  faults_.push_back(daemon.name + " in its life " +
                    std::to_string(daemon.lives) +
                    " did not end well: " + daemon.process->HowEnded());
}

std::vector<std::string> SoakDaemons::StopAll() {
  for (Daemon& it : daemons_) {
    it.timer->Cancel();
    if (!it.process) continue;
    if (!it.process->Running()) {
      if (!EndedInOrder(it)) NoteBadEnd(it);
      it.process.reset();
      continue;
    }
    it.process->Signal(SIGCONT);
    it.process->Signal(SIGTERM);
  }
  const Time limit = loop_.Now() + kLongestEnd;
  Timer poll(loop_, [&] {
    bool running = false;
    for (Daemon& it : daemons_) {
      running = running || (it.process && it.process->Running());
    }
    if (!running || loop_.Now() > limit) loop_.Stop();
  });
  poll.Every(kPoll);
  loop_.Run();
  for (Daemon& it : daemons_) {
    if (it.process && !EndedInOrder(it)) {
      NoteBadEnd(it);
    }
    it.process.reset();
  }
  return std::exchange(faults_, {});
}

}  // namespace scaleshed::testing
