#ifndef SCALESHED_TESTING_TEST_PROCESS_FLEET_H_
#define SCALESHED_TESTING_TEST_PROCESS_FLEET_H_

#include <sys/resource.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <memory>
#include <string>
#include <vector>

#include "internal/connection_owner.h"
#include "internal/temporary_folder.h"
#include "raw_worker.h"
#include "scaleshed/runtime/address.h"
#include "scaleshed/runtime/http_client.h"
#include "scaleshed/runtime/log.h"
#include "scaleshed/testing/cluster.h"
#include "scaleshed/testing/fleet_stand_ins.h"
#include "scaleshed/testing/free_address.h"

namespace scaleshed::testing {

// A daemon as a process, with its addresses for all who call it.
class DaemonProcess {
 public:
  DaemonProcess(std::string name, std::string folder)
      : name_(std::move(name)), folder_(std::move(folder)) {}

  // `fleet` is the part of the settings below `fleet:`, without the addresses;
  // empty: the daemon serves its own API. `max_descriptors` bounds the open
  // descriptors of the process; zero: as many as the test.
  void Start(const std::string& program, const std::string& platform,
             const std::string& fleet, rlim_t max_descriptors = 0) {
    const std::string settings = folder_ + "/" + name_ + ".yaml";
    std::ofstream file(settings);
    file << "instance: " << name_ << "\ndata_centre: z1\nlisten: " << listen_
         << "\npeer_listen: " << peer_listen_ << "\nplatform: " << platform
         << "\nmax_body_bytes: 4194304\n";
    if (!fleet.empty()) {
      file << "fleet:\n  ready_listen: " << ready_
           << "\n  look_up_listen: " << look_up_
           << "\n  metrics_listen: " << metrics_ << "\n"
           << fleet;
    }
    file.close();
    rlimit own{};
    getrlimit(RLIMIT_NOFILE, &own);
    const rlimit lowered{
        .rlim_cur = max_descriptors > 0 ? max_descriptors : own.rlim_cur,
        .rlim_max = own.rlim_max};
    setrlimit(RLIMIT_NOFILE, &lowered);
    process_ = std::make_unique<Process>(
        std::vector<std::string>{program, "--settings=" + settings},
        folder_ + "/" + name_ + ".log");
    setrlimit(RLIMIT_NOFILE, &own);
  }
  void End() { process_.reset(); }

  Process& process() { return *process_; }
  const std::string& listen() const { return listen_; }
  const std::string& peer_listen() const { return peer_listen_; }
  const std::string& ready() const { return ready_; }
  const std::string& look_up() const { return look_up_; }
  const std::string& metrics() const { return metrics_; }

  // The most memory that the process has held at once, in bytes.
  std::size_t PeakBytes() const {
    constexpr std::size_t kKilobyte = 1024;
    std::ifstream status(Proc("status"));
    std::string field;
    std::size_t value = 0;
    while (status >> field) {
      if (field == "VmHWM:" && status >> value) return value * kKilobyte;
    }
    return 0;
  }
  std::size_t OpenDescriptors() const {
    const std::filesystem::directory_iterator open(Proc("fd"));
    return static_cast<std::size_t>(std::distance(begin(open), end(open)));
  }

 private:
  std::string Proc(const std::string& file) const {
    return "/proc/" + std::to_string(process_->pid()) + "/" + file;
  }

  std::string name_;
  std::string folder_;
  std::string listen_ = FreeAddress();
  std::string peer_listen_ = FreeAddress();
  std::string ready_ = FreeAddress();
  std::string look_up_ = FreeAddress();
  std::string metrics_ = FreeAddress();
  std::unique_ptr<Process> process_;
};

// Daemons as processes, with a store and backend servers on the test's loop.
class ProcessFleet {
 public:
  struct Options {
    std::string program;  // scaleshedd
    std::size_t daemons = 1;
    // Daemons that serve their own API instead of the platform's clients, and
    // have no platform.
    bool own_api = false;
    // Of each process, see DaemonProcess::Start().
    rlim_t max_descriptors = 0;
    // The service of streams answers without end, as fast as it is read.
    bool endless_streams = false;
  };

  explicit ProcessFleet(const Options& options)
      : options_(options),
        folder_(NewFolder("scaleshed-crowd")),
        store_(loop_),
        client_(loop_) {
    std::signal(SIGPIPE, SIG_IGN);
    StartLog("error", "test");
    Configure();
    AddWorkers();
    for (std::size_t i = 0; i < options_.daemons; ++i) {
      daemons_.push_back(std::make_unique<DaemonProcess>(
          "entry-" + std::to_string(i), folder_));
      Start(i);
    }
    for (const auto& it : daemons_)
      REQUIRE(Eventually([&] { return IsReady(*it); }));
  }
  ~ProcessFleet() {
    daemons_.clear();
    std::filesystem::remove_all(folder_);
  }
  ProcessFleet(const ProcessFleet&) = delete;
  ProcessFleet& operator=(const ProcessFleet&) = delete;

  EventLoop& loop() { return loop_; }
  DaemonProcess& daemon(std::size_t i = 0) { return *daemons_.at(i); }
  std::size_t size() const { return daemons_.size(); }
  // The worker of endless streams, where there is one.
  RawWorker& endless() { return *endless_; }
  int runs() const {
    int n = 0;
    for (const auto& it : workers_) n += it->runs();
    return n;
  }
  // Ends that daemon without a word, and starts it again.
  void Restart(std::size_t i) {
    daemons_.at(i)->End();
    Start(i);
  }
  // From now on what that daemon sends to servers is lost on the way.
  void CutFromServers(std::size_t i) {
    const pid_t pid = daemons_.at(i)->process().pid();
    for (const auto& it : workers_) {
      const sockaddr_in server = *SocketAddress(it->address());
      it->SetLink([pid, server](const std::string& client) {
        const auto owner =
            OwnerOfConnection(*SocketAddress(client), server, {pid});
        return owner ? WorkerMode::kResetting : WorkerMode::kServing;
      });
    }
  }

  // True once `done` holds; false at the limit.
  bool Until(const std::function<bool()>& done) {
    const Time limit = loop_.Now() + kHangLimit;
    bool held = false;
    Timer poll(loop_, [&] {
      held = done();
      if (held || loop_.Now() > limit) loop_.Stop();
    });
    poll.Every(milliseconds(5));
    loop_.Run();
    return held;
  }
  // Whether an ordinary request is answered, at the latest after some retries.
  bool ServesOrdinaryRequest(std::size_t i = 0) {
    return Eventually([&] { return Ask(*daemons_.at(i)) == 200; });
  }
  bool IsReady(const DaemonProcess& daemon) {
    return options_.own_api ? Get(daemon.listen(), "/healthz") == 200
                            : Get(daemon.ready(), "/v1/ready") == 200;
  }
  // The status of the answer, or 0.
  int Get(const std::string& address, const std::string& path) {
    return StatusOf({.address = address,
                     .path = path,
                     .timeout = seconds(4),
                     .on_head = {},
                     .on_chunk = {},
                     .on_done = {}});
  }

 private:
  // Ends a test that hangs; no verdict depends on how long anything takes.
  static constexpr Duration kHangLimit = seconds(30);

  void Configure() {
    nlohmann::json configuration = FleetConfiguration();
    configuration["limits"] = {{"max_header_bytes", 16384},
                               {"max_body_bytes", 4194304},
                               {"header_timeout_ms", 60000},
                               {"idle_timeout_ms", 60000}};
    store_.Put("op/config", configuration.dump());
  }
  void AddWorkers() {
    for (const char* service : {"app", "app"}) {
      workers_.push_back(std::make_unique<FakeWorker>(
          loop_, "i-" + std::to_string(workers_.size())));
      FakeWorker& it = *workers_.back();
      store_.Put("servers/" + it.id(), it.Entry(service));
    }
    if (options_.endless_streams) AddEndlessWorker();
  }
  void AddEndlessWorker() {
    constexpr std::size_t kEventBytes = 32 * 1024;
    endless_ = std::make_unique<RawWorker>(
        loop_, "HTTP/1.1 200 OK\r\n",
        "id: 1\ndata: " + std::string(kEventBytes, 'e') + "\n\n",
        RawEnd::kNever);
    nlohmann::json entry =
        nlohmann::json::parse(workers_.front()->Entry("llm"));
    entry["address"] = endless_->address();
    entry["slots"] = 1000;
    store_.Put("servers/i-endless", entry.dump());
  }
  void Start(std::size_t i) {
    daemons_.at(i)->Start(
        options_.program, options_.own_api ? FreeAddress() : store_.address(),
        options_.own_api ? "" : "  repeat_slack: 1000\n  grace_s: 2\n",
        options_.max_descriptors);
  }
  bool Eventually(const std::function<bool()>& holds) {
    const Time limit = loop_.Now() + kHangLimit;
    while (loop_.Now() < limit) {
      if (holds()) return true;
    }
    return false;
  }
  int Ask(const DaemonProcess& daemon) {
    if (options_.own_api) return Get(daemon.listen(), "/v1/status");
    HttpCall call{.address = daemon.listen(),
                  .method = "POST",
                  .path = "/plain/safe/a",
                  .headers = {{"Host", "h"},
                              {"Api-Key", "k1"},
                              {"X-Deadline-Ms", "4000"}},
                  .body = std::string(1000, 'q'),
                  .timeout = seconds(4),
                  .on_head = {},
                  .on_chunk = {},
                  .on_done = {}};
    call.headers.Add("X-Request-Id", "own-" + std::to_string(++last_request_));
    return StatusOf(std::move(call));
  }
  int StatusOf(HttpCall call) {
    bool done = false;
    int status = 0;
    call.on_done = [&](const HttpResult& it) {
      const auto* response = ValueOf(it);
      status = response == nullptr ? 0 : response->status;
      done = true;
      loop_.Stop();
    };
    client_.Start(std::move(call));
    while (!done) loop_.Run();
    return status;
  }

  Options options_;
  std::string folder_;
  EventLoop loop_;
  FakeStore store_;
  HttpClient client_;
  std::vector<std::unique_ptr<FakeWorker>> workers_;
  std::unique_ptr<RawWorker> endless_;
  std::vector<std::unique_ptr<DaemonProcess>> daemons_;
  int last_request_ = 0;
};

}  // namespace scaleshed::testing

#endif  // SCALESHED_TESTING_TEST_PROCESS_FLEET_H_
