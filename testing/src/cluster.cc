#include "scaleshed/testing/cluster.h"

#include <signal.h>

#include <filesystem>
#include <fstream>
#include <regex>
#include <stdexcept>

#include "internal/temporary_folder.h"
#include "scaleshed/cli/accept.h"
#include "scaleshed/cli/sync.h"
#include "scaleshed/wire/caller_json.h"

namespace scaleshed::testing {
namespace {

using Json = nlohmann::json;

// Only a test that has failed waits so long.
constexpr Duration kLongestWait = seconds(60);
constexpr Duration kPoll = milliseconds(20);
constexpr int kEngineSpeed = 20;
constexpr std::string_view kModel = "llm";

std::string Find(const std::string& text, const std::string& pattern) {
  std::smatch match;
  return std::regex_search(text, match, std::regex(pattern)) ? match[1].str()
                                                             : "";
}

std::string PromptOf(const SendStep& step) {
  std::string prompt;
  const auto n = static_cast<std::size_t>(step.prompt_tokens * kBytesPerToken);
  while (prompt.size() < n) prompt += step.name + " ";
  prompt.resize(n);
  return prompt;
}

}  // namespace

Cluster::Cluster(const ClusterPrograms& programs, const Scenario& scenario)
    : programs_(programs),
      scenario_(scenario),
      folder_(NewFolder("scaleshed")),
      http_(loop_) {
  members_["platform"].kind = Kind::kPlatform;
  for (const EngineSpec& it : scenario_.engines) {
    members_[it.name].kind = Kind::kEngine;
  }
  for (const std::string& it : scenario_.services) {
    members_[it].kind = Kind::kService;
  }
  for (int it = 1; it <= scenario_.daemons; ++it) {
    members_["d" + std::to_string(it)].kind = Kind::kDaemon;
  }
  for (const Kind kind :
       {Kind::kPlatform, Kind::kEngine, Kind::kService, Kind::kDaemon}) {
    for (const std::string& it : Names(kind)) Start(it);
  }
  PublishList();
  AcceptTemplates(1e6);
  const std::size_t daemons = Names(Kind::kDaemon).size();
  const bool ready = WaitFor([&] {
    for (const std::string& it : Names(Kind::kDaemon)) {
      const Json status = Ask(it, "GET", "/v1/status");
      if (!status.value("ready", false)) return false;
      if (status["members"].size() != daemons) return false;
    }
    return true;
  });
  if (!ready) Fail("start", "all daemons ready", "some are not");
}

Cluster::~Cluster() {
  members_.clear();
  std::filesystem::remove_all(folder_);
}

std::vector<std::string> Cluster::Names(Kind kind) const {
  std::vector<std::string> names;
  for (const auto& [name, it] : members_) {
    if (it.kind == kind) names.push_back(name);
  }
  return names;
}

void Cluster::Fail(const std::string& what, const std::string& expected,
                   const std::string& got) {
  failures_.push_back(place_ + ": " + what + ": expected " + expected +
                      ", got " + got);
}

bool Cluster::WaitFor(const std::function<bool()>& done) {
  const Time until = loop_.Now() + kLongestWait;
  while (!done()) {
    if (loop_.Now() >= until) return false;
    Timer timer(loop_, [this] { loop_.Stop(); });
    timer.Once(kPoll);
    loop_.Run();
  }
  return true;
}

// ---- Processes.

void Cluster::WriteSettings(const std::string& name, const std::string& file) {
  std::string seeds;
  for (const auto& [other, it] : members_) {
    const bool is_peer = it.kind == Kind::kDaemon && other != name;
    if (!is_peer || it.peer_address.empty()) continue;
    seeds += (seeds.empty() ? "" : ", ") + it.peer_address;
  }
  std::ofstream(file) << "instance: " << name << "\n"
                      << "data_centre: here\n"
                      << "listen: 127.0.0.1:0\n"
                      << "peer_listen: 127.0.0.1:0\n"
                      << "platform: " << members_["platform"].address << "\n"
                      << "look_up_keep_ms: 500\n"
                      << "report_interval_ms: 50\n"
                      << "list_interval_ms: 200\n"
                      << "seed_peers: [" << seeds << "]\n";
}

std::vector<std::string> Cluster::CommandOf(const std::string& name,
                                            Kind kind) {
  switch (kind) {
    case Kind::kPlatform:
      return {programs_.platform, "--list_lag_ms=100"};
    case Kind::kEngine: {
      std::int64_t memory = 0;
      for (const EngineSpec& it : scenario_.engines) {
        if (it.name == name) memory = it.memory_tokens;
      }
      return {programs_.engine, "--name=" + name,
              "--memory_tokens=" + std::to_string(memory),
              "--speed=" + std::to_string(kEngineSpeed)};
    }
    case Kind::kService:
      return {programs_.service, "--name=" + name};
    case Kind::kDaemon:
      break;
  }
  const std::string file = folder_ + "/" + name + ".yaml";
  WriteSettings(name, file);
  return {programs_.daemon, "--settings=" + file};
}

void Cluster::Start(const std::string& name) {
  Member& member = members_.at(name);
  const std::string output =
      folder_ + "/" + name + "-" + std::to_string(UnixMicros()) + ".log";
  member.process =
      std::make_unique<Process>(CommandOf(name, member.kind), output);
  const bool is_daemon = member.kind == Kind::kDaemon;
  const bool listens = WaitFor([&] {
    const std::string text = member.process->Output();
    member.address =
        is_daemon ? Find(text, R"re("event":"listening","address":"([^"]+)")re")
                  : Find(text, "listening ([0-9.:]+)\n");
    member.peer_address = Find(text, R"re("peer_address":"([^"]+)")re");
    member.incarnation = Find(text, R"re("incarnation":"([^"]+)")re");
    return !member.address.empty() &&
           (!is_daemon || !member.incarnation.empty());
  });
  if (!listens) Fail(name, "to listen", member.process->Output());
}

void Cluster::PublishList() {
  std::vector<Instance> list;
  for (const auto& [name, it] : members_) {
    if (it.kind == Kind::kPlatform || !it.listed) continue;
    Instance instance{.name = name,
                      .data_centre = "here",
                      .address = it.address,
                      .peer_address = it.peer_address};
    if (it.kind == Kind::kEngine) {
      instance.kind = InstanceKind::kEngine;
      instance.service = kModel;
    } else if (it.kind == Kind::kService) {
      instance.kind = InstanceKind::kService;
      instance.service = scenario_.services.front();
    }
    list.push_back(instance);
  }
  Ask("platform", "PUT", "/control/instances", InstancesJson(list));
}

Json Cluster::Ask(const std::string& name, const std::string& method,
                  const std::string& path, const std::string& body) {
  const HttpResult result =
      CallSync(loop_, {.address = members_.at(name).address,
                       .method = method,
                       .path = path,
                       .body = body,
                       .timeout = seconds(2)});
  const HttpResponse* response = ValueOf(result);
  if (response == nullptr) return Json::object();
  Json json = Json::parse(response->body, nullptr, false);
  return json.is_object() ? json : Json::object();
}

// ---- Configuration.

void Cluster::AcceptTemplates(double requests_per_second) {
  const double prefill = 25.0 / kEngineSpeed;
  const double decode = 22.0 / kEngineSpeed;
  std::string fleet = "models:\n  - name: llm\n    prefill_us_per_token: " +
                      std::to_string(prefill) +
                      "\n    decode_ms_per_token: " + std::to_string(decode) +
                      "\nservices:\n";
  std::string services;
  if (scenario_.services.empty()) fleet += "  []\n";
  if (!scenario_.services.empty()) {
    services = scenario_.services.front();
    fleet += "  - name: " + services + "\n";
  }
  const std::string account =
      "account: acme\nmodels: [llm]\nservices: [" + services +
      "]\nlimits:\n  requests_per_second: " +
      std::to_string(requests_per_second) +
      "\n  tokens_per_second: 1000000000\n  tokens_in_flight: 100000000000\n";
  const TemplateSources sources{
      {"fleet", {.file = "fleet.yaml", .text = fleet}},
      {"account/acme", {.file = "acme.yaml", .text = account}}};
  SyncStore store(loop_, members_["platform"].address);
  const AcceptResult result =
      Accept(store, sources,
             {.base_revision = revision_,
              .operator_name = "test",
              .change = "change-" + std::to_string(UnixMicros())});
  const auto* accepted = std::get_if<Accepted>(&result);
  if (accepted == nullptr) {
    Fail("accept", "accepted", "result " + std::to_string(result.index()));
    return;
  }
  revision_ = accepted->revision;
}

void Cluster::Apply(const AcceptStep& step) {
  AcceptTemplates(step.requests_per_second);
}

void Cluster::Apply(const PlatformStep& step) {
  const Json control = {{"mode", NameIn(kPlatformModeNames, step.mode)}};
  Ask("platform", "POST", "/control", control.dump());
}

// ---- Faults.

std::string Cluster::Resolve(const std::string& target) {
  if (!target.starts_with("engine_of/")) return target;
  const auto known = resolved_.find(target);
  if (known != resolved_.end()) return known->second;
  std::string found = target;
  WaitFor([&] {
    for (const std::string& it : Names(Kind::kEngine)) {
      if (Ask(it, "GET", "/control").value("streams", 0) > 0) found = it;
    }
    return found != target;
  });
  return resolved_[target] = found;
}

void Cluster::Apply(const FaultStep& step) {
  const std::string target = Resolve(step.target);
  Member& member = members_.at(target);
  if (member.kind == Kind::kEngine && step.kind != FaultKind::kThaw) {
    member.started_at_fault = StartedAt(target);
  }
  switch (step.kind) {
    case FaultKind::kKill:
      member.process->Signal(SIGKILL);
      WaitFor([&] { return !member.process->Running(); });
      return;
    case FaultKind::kStart:
      Start(target);
      member.listed = true;
      PublishList();
      return;
    case FaultKind::kFreeze:
      member.process->Signal(SIGSTOP);
      return;
    case FaultKind::kThaw:
      member.process->Signal(SIGCONT);
      return;
    case FaultKind::kStop:
      member.process->Signal(SIGTERM);
      return;
    case FaultKind::kCut:
      Ask(target, "POST", "/control", R"({"cut": true})");
      return;
    case FaultKind::kLeave:
      Ask(target, "POST", "/control", R"({"leaving": true})");
      return;
    case FaultKind::kUnlist:
      member.listed = false;
      PublishList();
      return;
  }
}

// ---- Callers.

std::string Cluster::FullId(const std::string& id) {
  const auto known = ids_.find(id);
  if (known != ids_.end()) return known->second;
  const std::size_t slash = id.find('/');
  const auto home =
      ParseIncarnation(members_.at(id.substr(0, slash)).incarnation);
  constexpr std::int64_t kMicrosPerMinute = 60'000'000;
  std::string full =
      IdPrefix(*home, UnixMicros() / kMicrosPerMinute) + id.substr(slash + 1);
  ids_[id] = full;
  return full;
}

void Cluster::Apply(const SendStep& step) {
  ClusterCall& call = calls_[step.name];
  call.sent = step;
  const auto limit = step.time_limit.count() / 1000;
  HttpCall http{
      .address = members_.at(step.to.empty() ? "d1" : step.to).address,
      .method = "POST",
      .headers = {{"X-Client-Account", step.account},
                  {"X-Time-Limit-Ms", std::to_string(limit)}},
      .timeout = step.time_limit + kLongestWait};
  if (!step.id.empty()) http.headers["Idempotency-Key"] = FullId(step.id);
  if (step.service.empty()) {
    call.prompt = PromptOf(step);
    http.path = "/v1/completions";
    http.body = Json{
        {"model", kModel},
        {"prompt", call.prompt},
        {"max_tokens", step.max_tokens},
        {"stream",
         true}}.dump();
    http.on_chunk = [&call](const std::string& bytes) {
      call.reader.Feed(bytes);
    };
  } else {
    http.path = "/services/" + step.service + "/sign-offs";
    http.body = "{}";
  }
  http.on_done = [this, &call](const HttpResult& result) {
    OnDone(call, result);
  };
  open_[step.name] = http_.Start(std::move(http));
}

void Cluster::OnDone(ClusterCall& call, const HttpResult& result) {
  open_.erase(call.sent.name);
  if (call.reader.final()) {
    call.outcome = call.reader.final()->outcome;
    call.detail = FinalJson(*call.reader.final());
    return;
  }
  const HttpResponse* response = ValueOf(result);
  if (response == nullptr) {
    // The caller can't know; for a refused connection it can.
    call.outcome =
        IsUnsent(ErrorOf(result)) ? Outcome::kNotRun : Outcome::kUnknown;
    call.detail = "the connection broke";
    return;
  }
  const auto outcome = response->headers.find("x-outcome");
  if (outcome != response->headers.end()) {
    call.outcome = FindIn(kOutcomeNames, outcome->second);
  }
  if (!call.outcome) call.outcome = Outcome::kUnknown;
  call.detail = response->body;
}

void Cluster::Apply(const WaitStep& step) {
  const ClusterCall& call = calls_.at(step.request);
  const bool seen = WaitFor([&] {
    return call.outcome.has_value() ||
           (step.first_token && call.reader.tokens() > 0);
  });
  if (!seen) Fail("wait for " + step.request, "an answer", "none");
}

void Cluster::Apply(const HangUpStep& step) {
  const auto it = open_.find(step.request);
  if (it == open_.end()) return;
  http_.Cancel(it->second);
  open_.erase(it);
}

void Cluster::Apply(const RunStep& /*step*/) {
  Fail("step run_ms", "conditions to wait for", "a time");
}
void Cluster::Apply(const LinkStep& /*step*/) {
  Fail("step link", "the scripted driver", "real processes");
}
void Cluster::Apply(const PeerStep& /*step*/) {
  Fail("step peer", "the scripted driver", "real processes");
}

Failures RunProcesses(const ClusterPrograms& programs,
                      const Scenario& scenario) {
  Cluster cluster(programs, scenario);
  for (const NumberedStep& it : scenario.steps) {
    cluster.SetPlace(scenario.file + ":" + std::to_string(it.line));
    std::visit([&](const auto& step) { cluster.Apply(step); }, it.step);
  }
  return cluster.failures();
}

}  // namespace scaleshed::testing
