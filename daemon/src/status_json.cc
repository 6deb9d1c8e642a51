#include <map>
#include <nlohmann/json.hpp>

#include "internal/caller_api.h"

namespace scaleshed {
namespace {

using Json = nlohmann::json;

double Millis(Duration duration) {
  return static_cast<double>(duration.count()) / 1000.0;
}

Json MembersJson(const State& state) {
  Json members = Json::array();
  for (const Member* it : state.membership.Members()) {
    members.push_back({{"incarnation", ToString(it->incarnation)},
                       {"address", it->address},
                       {"data_centre", it->data_centre},
                       {"state", NameIn(kMemberStateNames, it->state)}});
  }
  return members;
}

Json BackendsJson(const State& state) {
  Json backends = Json::array();
  for (const auto& [service, pool] : state.pools) {
    for (const auto& [name, it] : pool) {
      backends.push_back({{"name", name},
                          {"service", service},
                          {"leaving", it.IsLeaving()},
                          {"takes_new_work", it.TakesNewWork(state.now)},
                          {"backlog_ms", Millis(it.Backlog(state.now))},
                          {"free_tokens", it.FreeTokens()},
                          {"in_flight", it.InFlight()}});
    }
  }
  return backends;
}

Json RequestsJson(const State& state) {
  std::map<std::string, int> phases;
  for (const auto& [phase, name] : kPhaseNames) phases[std::string(name)] = 0;
  for (const auto& [key, request] : state.requests) {
    ++phases[std::string(NameIn(kPhaseNames, request.phase))];
  }
  return phases;
}

}  // namespace

std::string StatusJson(const State& state) {
  const Json status = {
      {"instance", state.options.self.incarnation.instance},
      {"incarnation", ToString(state.options.self.incarnation)},
      {"data_centre", state.options.self.data_centre},
      {"ready", state.ready},
      {"stop", NameIn(kStopPhaseNames, state.stop)},
      {"revision", state.configuration.revision},
      {"policy", NameIn(kPolicyKindNames, state.configuration.fleet.policy)},
      {"accounts", state.configuration.accounts.size()},
      {"requests", RequestsJson(state)},
      {"queued", state.queue.size()},
      {"pending_cancels", state.cancels.size()},
      {"ids_kept", state.ids.size()},
      {"members", MembersJson(state)},
      {"backends", BackendsJson(state)}};
  return status.dump();
}

std::string ExplanationJson(const Explanation& explanation) {
  const Json json = {
      {"would_run", explanation.refused == Reason::kNone},
      {"reason", NameIn(kReasonNames, explanation.refused)},
      {"message", explanation.message},
      {"engines", explanation.placement.engines},
      {"first_token_ms", Millis(explanation.placement.first_token)},
      {"prefill_ms", Millis(explanation.placement.prefill)},
      {"tokens_on_each_engine", explanation.placement.tokens_each},
      {"engines_known", explanation.engines_known},
      {"engines_open", explanation.engines_open}};
  return json.dump();
}

}  // namespace scaleshed
