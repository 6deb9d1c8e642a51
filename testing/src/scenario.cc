#include "scaleshed/testing/scenario.h"

#include <yaml-cpp/yaml.h>

#include <functional>
#include <stdexcept>
#include <utility>

namespace scaleshed::testing {
namespace {

// Reads the fields of one mapping; whatever was not asked for is a fault.
class Fields {
 public:
  explicit Fields(const YAML::Node& node) : node_(node) {
    if (!node_.IsMap()) Fail("a mapping is expected");
  }

  bool Has(const std::string& field) {
    known_.insert({field, true});
    return node_[field].IsDefined();
  }

  template <typename T>
  void Read(const std::string& field, T& to) {
    if (!Has(field)) return;
    try {
      to = node_[field].as<T>();
    } catch (const YAML::Exception&) {
      Fail("'" + field + "' has the wrong type");
    }
  }

  template <typename T>
  void Read(const std::string& field, std::optional<T>& to) {
    if (!Has(field)) return;
    T value{};
    Read(field, value);
    to = value;
  }

  void Read(const std::string& field, Duration& to) {
    if (!Has(field)) return;
    std::int64_t millis = 0;
    Read(field, millis);
    to = milliseconds(millis);
  }

  void Read(const std::string& field, std::optional<Duration>& to) {
    if (!Has(field)) return;
    Duration value{};
    Read(field, value);
    to = value;
  }

  template <typename E, std::size_t N>
  E Enum(const std::string& field, const NameTable<E, N>& table) {
    std::string text;
    Read(field, text);
    const auto value = FindIn(table, text);
    if (!value) Fail("'" + text + "' is not allowed for '" + field + "'");
    return *value;
  }

  YAML::Node Child(const std::string& field) {
    Has(field);
    return node_[field];
  }

  void Finish() {
    for (const auto& it : node_) {
      const auto name = it.first.as<std::string>();
      if (!known_.contains(name)) Fail("unknown field '" + name + "'");
    }
  }

  [[noreturn]] void Fail(const std::string& what) const {
    throw std::runtime_error(std::to_string(node_.Mark().line + 1) + ": " +
                             what);
  }

 private:
  YAML::Node node_;
  std::map<std::string, bool> known_;
};

Step ReadSend(Fields& fields) {
  SendStep step;
  fields.Read("as", step.name);
  fields.Read("account", step.account);
  fields.Read("service", step.service);
  fields.Read("prompt_tokens", step.prompt_tokens);
  fields.Read("max_tokens", step.max_tokens);
  fields.Read("limit_ms", step.time_limit);
  fields.Read("id", step.id);
  fields.Read("to", step.to);
  if (step.name.empty()) fields.Fail("send needs 'as'");
  return step;
}

Step ReadWait(Fields& fields) {
  WaitStep step;
  fields.Read("request", step.request);
  fields.Read("first_token", step.first_token);
  return step;
}

Step ReadLink(Fields& fields) {
  LinkStep step;
  fields.Read("target", step.target);
  fields.Read("lose_frames", step.lose_frames);
  fields.Read("lose_cancels", step.lose_cancels);
  fields.Read("lose_answers", step.lose_answers);
  fields.Read("double_frames", step.double_frames);
  fields.Read("cross_frames", step.cross_frames);
  fields.Read("delay_frames_ms", step.delay_frames);
  return step;
}

Step ReadAccept(Fields& fields) {
  AcceptStep step;
  fields.Read("revision", step.revision);
  fields.Read("requests_per_second", step.requests_per_second);
  return step;
}

Step ReadPeer(Fields& fields) {
  PeerStep step;
  fields.Read("name", step.peer);
  step.says = fields.Enum("says", kPeerSaysNames);
  fields.Read("revision", step.revision);
  fields.Read("id", step.id);
  fields.Read("service", step.service);
  if (fields.Has("outcome"))
    step.outcome = fields.Enum("outcome", kOutcomeNames);
  return step;
}

Step ReadExpect(Fields& fields) {
  ExpectStep step;
  fields.Read("request", step.request);
  if (fields.Has("outcome"))
    step.outcome = fields.Enum("outcome", kOutcomeNames);
  if (fields.Has("reason")) step.reason = fields.Enum("reason", kReasonNames);
  fields.Read("answered_within_ms", step.answered_within);
  fields.Read("answered", step.answered);
  fields.Read("retry_after", step.retry_after);
  fields.Read("runs_of", step.runs_of);
  fields.Read("runs_at_most", step.runs_at_most);
  fields.Read("runs_at_least", step.runs_at_least);
  fields.Read("backend", step.backend);
  fields.Read("used_tokens", step.used_tokens);
  fields.Read("new_work", step.new_work);
  fields.Read("revision", step.revision);
  fields.Read("ready", step.ready);
  fields.Read("stopped", step.stopped);
  fields.Read("daemon", step.daemon);
  fields.Read("lookup_names", step.lookup_names);
  fields.Read("counter", step.counter);
  fields.Read("counter_at_least", step.counter_at_least);
  return step;
}

using Reader = std::function<Step(Fields&)>;

const std::map<std::string, Reader>& MappingSteps() {
  static const std::map<std::string, Reader> kSteps{
      {"send", ReadSend},     {"wait", ReadWait}, {"link", ReadLink},
      {"accept", ReadAccept}, {"peer", ReadPeer}, {"expect", ReadExpect},
  };
  return kSteps;
}

Step ReadStep(const YAML::Node& node) {
  if (!node.IsMap() || node.size() != 1) {
    throw std::runtime_error(std::to_string(node.Mark().line + 1) +
                             ": a step is a mapping with one field");
  }
  const auto name = node.begin()->first.as<std::string>();
  const YAML::Node value = node.begin()->second;
  const auto mapping = MappingSteps().find(name);
  if (mapping != MappingSteps().end()) {
    Fields fields(value);
    Step step = mapping->second(fields);
    fields.Finish();
    return step;
  }
  Fields fields(node);
  if (name == "run_ms") {
    RunStep step;
    fields.Read(name, step.duration);
    return step;
  }
  if (name == "hang_up") {
    HangUpStep step;
    fields.Read(name, step.request);
    return step;
  }
  if (name == "platform") {
    return PlatformStep{.mode = fields.Enum(name, kPlatformModeNames)};
  }
  const auto fault = FindIn(kFaultKindNames, name);
  if (!fault) fields.Fail("unknown step '" + name + "'");
  FaultStep step{.kind = *fault, .target = {}};
  fields.Read(name, step.target);
  return step;
}

void ReadGiven(Fields& given, Scenario& scenario) {
  for (const auto& it : given.Child("engines")) {
    Fields engine(it);
    EngineSpec spec;
    engine.Read("name", spec.name);
    engine.Read("memory_tokens", spec.memory_tokens);
    engine.Finish();
    scenario.engines.push_back(std::move(spec));
  }
  given.Read("services", scenario.services);
  given.Read("peers", scenario.peers);
  given.Read("daemons", scenario.daemons);
  given.Read("list_lag_ms", scenario.list_lag);
  given.Finish();
}

Scenario ReadScenario(const std::string& file) {
  Scenario scenario{.file = file};
  Fields fields(YAML::LoadFile(file));
  fields.Read("name", scenario.name);
  fields.Read("promise", scenario.promise);
  fields.Read("processes", scenario.processes);
  if (fields.Has("given")) {
    Fields given(fields.Child("given"));
    ReadGiven(given, scenario);
  }
  for (const auto& it : fields.Child("steps")) {
    scenario.steps.push_back(
        {.line = it.Mark().line + 1, .step = ReadStep(it)});
  }
  fields.Finish();
  return scenario;
}

}  // namespace

Result<Scenario, std::string> LoadScenario(const std::string& file) {
  try {
    return ReadScenario(file);
  } catch (const std::exception& error) {
    return file + ":" + error.what();
  }
}

}  // namespace scaleshed::testing
