// A small deployment on loopback addresses: the store, workers as processes,
// daemons started by the command of the deploy file, and clients.
#pragma once
#include <signal.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <fstream>
#include <iostream>
#include <memory>
#include <random>
#include <sstream>

#include "worker.hpp"

namespace review {

inline int FreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in name{};
  name.sin_family = AF_INET;
  socklen_t size = sizeof(name);
  bind(fd, reinterpret_cast<sockaddr*>(&name), sizeof(name));
  getsockname(fd, reinterpret_cast<sockaddr*>(&name), &size);
  close(fd);
  return ntohs(name.sin_port);
}

// What is sent, answered and run, with the seconds since the start.
class Record {
 public:
  explicit Record(std::string path) : path_(std::move(path)), start_(Now()) {
    std::ofstream(path_, std::ios::trunc);
    fd_ = open(path_.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
  }
  void Line(const std::string& text) {
    char time[32];
    std::snprintf(time, sizeof(time), "%.3f ", Now());
    const std::string line = time + text + "\n";
    (void)!write(fd_, line.data(), line.size());
  }
  const std::string& path() const { return path_; }
  double start() const { return start_; }

 private:
  std::string path_;
  double start_;
  int fd_;
};

class Processes {
 public:
  ~Processes() { EndAll(); }
  pid_t Start(const std::vector<std::string>& words, const std::string& output,
              const std::vector<std::string>& variables = {}) {
    const pid_t pid = fork();
    if (pid == 0) {
      // It ends with this process, however that one ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int fd = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(fd, 1);
      dup2(fd, 2);
      for (const auto& it : variables) putenv(strdup(it.c_str()));
      std::vector<char*> argv;
      for (const auto& it : words) argv.push_back(strdup(it.c_str()));
      argv.push_back(nullptr);
      execv(argv[0], argv.data());
      _exit(127);
    }
    pids_.push_back(pid);
    return pid;
  }
  void End(pid_t pid, int signal = SIGKILL) {
    kill(pid, signal);
    if (signal != SIGKILL) return;
    waitpid(pid, nullptr, 0);
    std::erase(pids_, pid);
  }
  bool Runs(pid_t pid) {
    if (std::find(pids_.begin(), pids_.end(), pid) == pids_.end()) return false;
    int status = 0;
    if (waitpid(pid, &status, WNOHANG) == 0) return true;
    std::erase(pids_, pid);
    return false;
  }
  void EndAll() {
    for (const pid_t it : pids_) {
      kill(it, SIGCONT);
      kill(it, SIGKILL);
    }
    for (const pid_t it : pids_) waitpid(it, nullptr, 0);
    pids_.clear();
  }

 private:
  std::vector<pid_t> pids_;
};

struct Daemon {
  std::string name, zone, ip;
  int front = 0, ready = 0, look_up = 0, peer = 0;
  std::string settings;
  pid_t pid = -1;
  std::string Front() const { return ip + ":" + std::to_string(front); }
};

class Deployment {
 public:
  Deployment(std::string self, std::string folder, Record& record)
      : self_(std::move(self)), folder_(std::move(folder)), record_(record) {
    char text[] = "/tmp/scaleshed-review-XXXXXX";
    scratch_ = mkdtemp(text);
    store_address_ = "127.0.0.9:" + std::to_string(FreePort());
    store_ = std::make_unique<Store>(store_address_);
  }
  // Ends all processes and removes the temporary folder. The deployment itself
  // stays until the program ends, as connections' threads still use it.
  int Finish(int code) {
    processes_.EndAll();
    const std::string command = "rm -rf '" + scratch_ + "'";
    if (getenv("KEEP_LOGS") == nullptr) (void)!system(command.c_str());
    return code;
  }
  bool ok() const { return store_->ok(); }
  Store& store() { return *store_; }
  Processes& processes() { return processes_; }
  const std::string& scratch() const { return scratch_; }
  const std::string& store_address() const { return store_address_; }
  std::vector<Daemon>& daemons() { return daemons_; }

  // `bounds` are lines of the `fleet` part of the settings file.
  void AddDaemons(int n, const std::string& bounds) {
    static const char* kZones[] = {"fl-a", "fl-b", "fl-c"};
    const int front = FreePort(), ready = FreePort(), look_up = FreePort(),
              peer = FreePort(), metrics = FreePort();
    for (int i = 0; i < n; ++i) {
      Daemon it{.name = "entry-" + std::to_string(i + 1),
                .zone = kZones[i % 3],
                .ip = "127.0.1." + std::to_string(i + 1),
                .front = front,
                .ready = ready,
                .look_up = look_up,
                .peer = peer};
      it.settings = scratch_ + "/" + it.name + ".yaml";
      const auto at = [&](int port) {
        return it.ip + ":" + std::to_string(port);
      };
      std::ofstream(it.settings)
          << "instance: \"" << it.name << "\"\n"
          << "data_centre: \"" << it.zone << "\"\n"
          << "listen: \"" << it.Front() << "\"\n"
          << "peer_listen: \"" << at(peer) << "\"\n"
          << "platform: \"" << store_address_ << "\"\n"
          << "fleet:\n"
          << "  ready_listen: \"" << at(ready) << "\"\n"
          << "  look_up_listen: \"" << at(look_up) << "\"\n"
          << "  metrics_listen: \"" << at(metrics) << "\"\n"
          << "  region: \"be-flanders\"\n"
          << "  regions: {\"fl-a\": \"be-flanders\", \"fl-b\": "
             "\"be-flanders\", "
             "\"fl-c\": \"be-flanders\"}\n"
          << bounds;
      daemons_.push_back(it);
    }
  }
  void StartDaemon(Daemon& it) {
    it.pid = processes_.Start({"target/daemon/scaleshedd"},
                              scratch_ + "/" + it.name + ".log",
                              {"SCALESHED_NODE_FILE=" + it.settings});
    record_.Line("daemon " + it.name + " starts at " + it.Front());
  }
  // Starts a worker process. Returns its process id.
  pid_t StartWorker(const WorkerOptions& it) {
    std::ostringstream text;
    std::vector<std::string> words{self_,
                                   "worker",
                                   it.address,
                                   store_address_,
                                   it.id,
                                   it.service,
                                   it.zone,
                                   record_.path(),
                                   it.engine ? "engine" : "plain",
                                   std::to_string(it.slots),
                                   std::to_string(it.plain_ms),
                                   std::to_string(it.memory),
                                   std::to_string(it.read_per_ms),
                                   std::to_string(it.pairs_per_m),
                                   std::to_string(it.event_ms)};
    const pid_t pid =
        processes_.Start(words, scratch_ + "/worker-" + it.id + ".log");
    record_.Line("worker " + it.id + " of " + it.service + " starts at " +
                 it.address);
    return pid;
  }
  // Until all daemons are ready, and then.
  bool AwaitReady(double within) {
    const double until = Now() + within;
    for (const Daemon& it : daemons_) {
      for (;;) {
        int status = 0;
        Call(it.ip + ":" + std::to_string(it.ready), "GET", "/v1/ready", "", 1,
             status);
        if (status == 200) break;
        if (Now() > until) return false;
        SleepFor(0.1);
      }
    }
    return true;
  }
  // The addresses that a daemon of the directory names.
  std::vector<std::string> Resolve(const std::string& host,
                                   const std::string& zone) {
    for (const Daemon& it : daemons_) {
      int status = 0;
      const Message answer =
          Call(it.ip + ":" + std::to_string(it.look_up), "GET",
               "/v1/resolve?name=" + host + "&region=be-flanders&zone=" + zone,
               "", 1, status);
      if (status != 200) continue;
      const Json json = Json::parse(answer.body, nullptr, false);
      if (json.is_object() && json["addresses"].is_array() &&
          !json["addresses"].empty())
        return json["addresses"].get<std::vector<std::string>>();
    }
    return {};
  }

 private:
  std::string self_, folder_, scratch_, store_address_;
  Record& record_;
  std::unique_ptr<Store> store_;
  Processes processes_;
  std::vector<Daemon> daemons_;
};

struct Outcome {
  int status = 0;       // 0: no answer, or a broken one
  bool sealed = false;  // carries a worker's seal
  bool whole = false;
  double seconds = 0;
  double retry_after = -1;
  std::string body, last_event, content;
};

// One client attempt on a new connection.
inline Outcome Attempt(
    const std::string& address, const std::string& method,
    const std::string& target,
    const std::vector<std::pair<std::string, std::string>>& headers,
    const std::string& body, double deadline_s) {
  Outcome outcome;
  const double began = Now();
  const double until = began + deadline_s;
  const int fd = Link::Connect(address, 1.0);
  if (fd < 0) return outcome;
  Link link(fd);
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers)
    text += name + ": " + value + "\r\n";
  text +=
      "X-Deadline-Ms: " + std::to_string(static_cast<int>(deadline_s * 1000)) +
      "\r\n";
  if (method != "GET")
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  Message answer;
  if (link.Write(text + "\r\n" + body) && ReadHead(link, answer, until)) {
    outcome.status = std::stoi(answer.first[1]);
    outcome.sealed = !answer.Get("X-Response-Seal").empty();
    if (!answer.Get("Retry-After").empty())
      outcome.retry_after = std::stod(answer.Get("Retry-After"));
    outcome.whole = ReadBody(link, answer, until);
    outcome.body = answer.body;
    const auto at = answer.body.rfind("id: ");
    if (at != std::string::npos) {
      outcome.last_event =
          answer.body.substr(at + 4, answer.body.find('\n', at) - at - 4);
    }
  }
  outcome.seconds = Now() - began;
  return outcome;
}

inline std::string NewId(std::mt19937_64& random) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(random()));
  return text;
}

}  // namespace review
