#ifndef SCALESHED_TESTING_CLUSTER_H_
#define SCALESHED_TESTING_CLUSTER_H_

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "scaleshed/runtime/event_loop.h"
#include "scaleshed/runtime/http_client.h"
#include "scaleshed/testing/scenario.h"
#include "scaleshed/wire/completion_reader.h"

namespace scaleshed::testing {

// A process that the tests started, with its output in a file. It is ended, by
// its id, when the object goes.
class Process {
 public:
  Process(std::vector<std::string> command, const std::string& output);
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process();

  void Signal(int signal) const;
  // Whether it has ended by itself, with success.
  bool EndedWell();
  bool Running();
  // "running", "status N" or "signal N".
  std::string HowEnded();
  // What it has written so far.
  std::string Output() const;
  int pid() const { return pid_; }

 private:
  int pid_ = 0;
  std::optional<int> status_;
  std::string output_;
};

// Where the programs are.
struct ClusterPrograms {
  std::string daemon;
  std::string engine;
  std::string service;
  std::string platform;
};

// What one caller saw of real processes.
struct ClusterCall {
  SendStep sent;
  std::string prompt;
  CompletionReader reader;
  std::optional<Outcome> outcome;
  std::string detail;
};

// Daemons, engines, services and the platform as real processes on loopback,
// on ports that the system picks. Everything waits on conditions; the bound on
// a wait only ends a test that has failed.
class Cluster {
 public:
  Cluster(const ClusterPrograms& programs, const Scenario& scenario);
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;
  ~Cluster();

  void Apply(const SendStep& step);
  void Apply(const WaitStep& step);
  void Apply(const HangUpStep& step);
  void Apply(const FaultStep& step);
  void Apply(const PlatformStep& step);
  void Apply(const AcceptStep& step);
  void Apply(const ExpectStep& step);
  // Steps of the scripted driver only.
  void Apply(const RunStep& step);
  void Apply(const LinkStep& step);
  void Apply(const PeerStep& step);

  // Where a process listens.
  const std::string& AddressOf(const std::string& name) const {
    return members_.at(name).address;
  }
  EventLoop& loop() { return loop_; }

  // Prefixes the failures that follow.
  void SetPlace(std::string place) { place_ = std::move(place); }
  const Failures& failures() const { return failures_; }

 private:
  enum class Kind { kPlatform, kEngine, kService, kDaemon };
  struct Member {
    Kind kind = Kind::kEngine;
    std::unique_ptr<Process> process;
    std::string address;
    std::string peer_address;
    std::string incarnation;
    std::int64_t started_at_fault = 0;
    bool listed = true;
  };

  void Start(const std::string& name);
  // The engine that "engine_of/REQUEST" stands for: the one that has streams.
  std::string Resolve(const std::string& target);
  std::vector<std::string> CommandOf(const std::string& name, Kind kind);
  void WriteSettings(const std::string& name, const std::string& file);
  void PublishList();
  void AcceptTemplates(double requests_per_second);
  bool WaitFor(const std::function<bool()>& done);
  void Fail(const std::string& what, const std::string& expected,
            const std::string& got);
  // JSON from a process; an empty object where it does not answer.
  nlohmann::json Ask(const std::string& name, const std::string& method,
                     const std::string& path, const std::string& body = "");
  std::string FullId(const std::string& id);
  void OnDone(ClusterCall& call, const HttpResult& result);
  void CheckRequest(const ExpectStep& step);
  void CheckRuns(const ExpectStep& step);
  void CheckBackend(const ExpectStep& step);
  std::int64_t UsedTokens(const std::string& backend);
  std::int64_t StartedAt(const std::string& engine);
  std::vector<std::string> Names(Kind kind) const;

  ClusterPrograms programs_;
  Scenario scenario_;
  std::string folder_;
  EventLoop loop_;
  HttpClient http_;
  std::map<std::string, Member> members_;
  std::map<std::string, ClusterCall> calls_;
  std::map<std::string, HttpClient::CallId> open_;
  std::map<std::string, std::string> ids_;
  std::map<std::string, std::string> resolved_;
  std::uint64_t revision_ = 0;
  std::string place_;
  Failures failures_;
};

Failures RunProcesses(const ClusterPrograms& programs,
                      const Scenario& scenario);

}  // namespace scaleshed::testing

#endif  // SCALESHED_TESTING_CLUSTER_H_
