#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <fstream>
#include <sstream>
#include <stdexcept>

#include "scaleshed/testing/cluster.h"

namespace scaleshed::testing {

Process::Process(std::vector<std::string> command, const std::string& output)
    : output_(output) {
  std::vector<char*> words;
  words.reserve(command.size() + 1);
  for (std::string& it : command) words.push_back(it.data());
  words.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  constexpr int kMode = 0600;
  posix_spawn_file_actions_addopen(&actions, 1, output.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kMode);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  const int failed = posix_spawn(&pid_, command.front().c_str(), &actions,
                                 nullptr, words.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failed != 0) throw std::runtime_error("can't start " + command.front());
}

Process::~Process() {
  if (!Running()) return;
  Signal(SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void Process::Signal(int signal) const {
  if (!status_) kill(pid_, signal);
}

bool Process::Running() {
  if (status_) return false;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_) return true;
  status_ = status;
  return false;
}

bool Process::EndedWell() {
  return !Running() && WIFEXITED(*status_) && WEXITSTATUS(*status_) == 0;
}

std::string Process::HowEnded() {
  if (Running()) return "running";
  if (WIFEXITED(*status_)) {
    return "status " + std::to_string(WEXITSTATUS(*status_));
  }
  return "signal " + std::to_string(WTERMSIG(*status_));
}

std::string Process::Output() const {
  std::ostringstream text;
  text << std::ifstream(output_).rdbuf();
  return text.str();
}

}  // namespace scaleshed::testing
