// Cluster: what has to be seen of real processes.

#include "scaleshed/testing/cluster.h"
#include "scaleshed/testing/engine_model.h"

namespace scaleshed::testing {

using Json = nlohmann::json;

void Cluster::CheckRequest(const ExpectStep& step) {
  const ClusterCall& call = calls_.at(step.request);
  if (!call.outcome) {
    Fail("request " + step.request, "a final answer", "none");
    return;
  }
  if (step.outcome && *step.outcome != *call.outcome) {
    Fail("request " + step.request,
         std::string(NameIn(kOutcomeNames, *step.outcome)),
         std::string(NameIn(kOutcomeNames, *call.outcome)) + " " + call.detail);
  }
  const bool is_whole_prompt =
      call.sent.service.empty() && *call.outcome == Outcome::kDone;
  if (!is_whole_prompt) return;
  const std::string expected =
      EngineModel::Answer(call.prompt, call.sent.max_tokens);
  if (call.reader.text() != expected) {
    Fail("text of " + step.request,
         std::to_string(call.sent.max_tokens) + " right tokens",
         std::to_string(call.reader.tokens()) + " tokens, or others");
  }
}

void Cluster::CheckRuns(const ExpectStep& step) {
  const std::string id = FullId(step.runs_of);
  int runs = 0;
  for (const std::string& it : Names(Kind::kService)) {
    runs += Ask(it, "GET", "/runs").value(id, 0);
  }
  if (step.runs_at_most && runs > *step.runs_at_most) {
    Fail("runs of " + step.runs_of,
         "at most " + std::to_string(*step.runs_at_most), std::to_string(runs));
  }
  if (step.runs_at_least && runs < *step.runs_at_least) {
    Fail("runs of " + step.runs_of,
         "at least " + std::to_string(*step.runs_at_least),
         std::to_string(runs));
  }
}

std::int64_t Cluster::UsedTokens(const std::string& backend) {
  std::int64_t used = 0;
  for (const std::string& it : Names(Kind::kEngine)) {
    const bool wanted = backend == "all" || backend == it;
    if (!wanted || !members_.at(it).process->Running()) continue;
    used += Ask(it, "GET", "/control").value("used_tokens", std::int64_t{-1});
  }
  return used;
}

std::int64_t Cluster::StartedAt(const std::string& engine) {
  return Ask(engine, "GET", "/control").value("started", std::int64_t{0});
}

void Cluster::CheckBackend(const ExpectStep& step) {
  const std::string backend = Resolve(step.backend);
  if (step.used_tokens) {
    std::int64_t used = 0;
    const bool equal = WaitFor([&] {
      used = UsedTokens(backend);
      return used == *step.used_tokens;
    });
    if (!equal) {
      Fail("used tokens of " + step.backend, std::to_string(*step.used_tokens),
           std::to_string(used));
    }
  }
  if (step.new_work) {
    const std::int64_t since =
        StartedAt(backend) - members_.at(backend).started_at_fault;
    if ((since > 0) != *step.new_work) {
      Fail("new work at " + step.backend, *step.new_work ? "some" : "none",
           std::to_string(since) + " streams");
    }
  }
}

void Cluster::Apply(const ExpectStep& step) {
  if (!step.request.empty()) CheckRequest(step);
  if (!step.runs_of.empty()) CheckRuns(step);
  if (!step.backend.empty()) CheckBackend(step);
  if (step.revision) {
    const bool everywhere = WaitFor([&] {
      for (const std::string& it : Names(Kind::kDaemon)) {
        if (!members_.at(it).process->Running()) continue;
        const Json status = Ask(it, "GET", "/v1/status");
        if (status.value("revision", std::uint64_t{0}) != *step.revision) {
          return false;
        }
      }
      return true;
    });
    if (!everywhere) {
      Fail("revision", std::to_string(*step.revision) + " at all daemons",
           "another one at some");
    }
  }
  if (step.stopped) {
    Process& process = *members_.at(step.daemon).process;
    const bool ended = WaitFor([&] { return process.EndedWell(); });
    if (!ended) Fail("planned stop", "exit with success", process.Output());
  }
}

}  // namespace scaleshed::testing
