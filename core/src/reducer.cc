#include "scaleshed/core/reducer.h"

#include <algorithm>

#include "internal/steps.h"

namespace scaleshed {
namespace internal {

Backend* FindBackend(State& state, const std::string& name) {
  const auto service = state.service_of.find(name);
  if (service == state.service_of.end()) return nullptr;
  Pool& pool = state.pools[service->second];
  const auto it = pool.find(name);
  return it == pool.end() ? nullptr : &it->second;
}

std::int64_t CurrentBlock(const State& state) {
  const auto elapsed = state.now - state.options.started;
  return state.options.started_minute +
         std::chrono::duration_cast<std::chrono::minutes>(elapsed).count();
}

Request* FindRequest(State& state, RequestKey key) {
  const auto it = state.requests.find(key);
  return it == state.requests.end() ? nullptr : &it->second;
}

Request* RequestOf(State& state, AttemptId attempt) {
  const auto it = state.attempts.find(attempt);
  return it == state.attempts.end() ? nullptr : FindRequest(state, it->second);
}

Attempt* FindAttempt(Request& request, AttemptId attempt) {
  const auto it =
      std::find_if(request.attempts.begin(), request.attempts.end(),
                   [&](const Attempt& n) { return n.id == attempt; });
  return it == request.attempts.end() ? nullptr : &*it;
}

namespace {

void OnTick(State& state, Effects& out) {
  TickMembership(state, out);
  TickConfiguration(state, out);
  TickAllowances(state, out);
  ExpireRequests(state, out);
  ExpireProgress(state, out);
  RenewHolds(state, out);
  RetryCancels(state, out);
  Pump(state, out);
  TickStop(state, out);
}

}  // namespace
}  // namespace internal

Effects Reduce(State& state, const Event& event) {
  using namespace internal;  // NOLINT(google-build-using-namespace)
  state.now = std::max(state.now, event.now);
  Effects out;
  std::visit(
      Overloaded{
          [&](const Submit& it) { OnSubmit(state, it, out); },
          [&](const CallerGone& it) { OnCallerGone(state, it, out); },
          [&](const StreamFrame& it) { OnStreamFrame(state, it, out); },
          [&](const StreamEnd& it) { OnStreamEnd(state, it, out); },
          [&](const AttemptFailed& it) { OnAttemptFailed(state, it, out); },
          [&](const HoldAnswer& it) { OnHoldAnswer(state, it, out); },
          [&](const CancelAnswer& it) { OnCancelAnswer(state, it, out); },
          [&](const ServiceAnswer& it) { OnServiceAnswer(state, it, out); },
          [&](const ReportArrived& it) { OnReportArrived(state, it, out); },
          [&](const InstancesListed& it) { OnInstancesListed(state, it, out); },
          [&](const ConfigurationLoaded& it) {
            OnConfigurationLoaded(state, it, out);
          },
          [&](const FinishedIdsRead& it) { OnFinishedIdsRead(state, it, out); },
          [&](const FinishedIdsWritten& it) {
            OnFinishedIdsWritten(state, it, out);
          },
          [&](const PeerReceived& it) { OnPeerReceived(state, it, out); },
          [&](const Tick&) { OnTick(state, out); },
          [&](const StopRequested&) { OnStopRequested(state, out); },
      },
      event.body);
  return out;
}

LookUpAnswer LookUp(const State& state, const std::string& data_centre,
                    std::uint64_t draw) {
  std::vector<const Member*> open;
  for (const Member* it : state.membership.Members()) {
    if (it->state == MemberState::kAlive) open.push_back(it);
  }
  // A daemon that leaves alone still is better than no address at all.
  if (open.empty()) open.push_back(&state.membership.self());
  const std::string& wanted =
      data_centre.empty() ? state.options.self.data_centre : data_centre;
  const auto rank = [&](const Member* it) {
    return std::pair(it->data_centre != wanted,
                     HashBytes(it->incarnation.instance, draw));
  };
  std::sort(open.begin(), open.end(), [&](const Member* a, const Member* b) {
    return rank(a) < rank(b);
  });
  constexpr std::size_t kAlternates = 3;
  LookUpAnswer answer{.address = open.front()->address,
                      .alternates = {},
                      .keep = state.options.look_up_keep,
                      .id_prefix = IdPrefix(open.front()->incarnation,
                                            internal::CurrentBlock(state))};
  for (std::size_t it = 1; it < std::min(open.size(), kAlternates + 1); ++it) {
    answer.alternates.push_back(open[it]->address);
  }
  return answer;
}

Explanation Explain(const State& state, const CallSpec& spec) {
  Explanation explanation;
  const auto refused = internal::CheckAllowed(state, spec);
  if (refused) {
    explanation.refused = refused->reason;
    explanation.message = refused->message;
    return explanation;
  }
  const auto* call = std::get_if<ModelCall>(&spec.call);
  if (call == nullptr) return explanation;
  const auto pool = state.pools.find(call->model);
  if (pool != state.pools.end()) {
    explanation.engines_known = pool->second.size();
  }
  const PlacementQuery query = internal::MakeQuery(
      state, *call, state.configuration.accounts.at(spec.account).priority,
      nullptr);
  explanation.engines_open = query.engines.size();
  // Copies, so that asking does not turn the policy's wheel.
  Policy policy = state.policy;
  std::mt19937_64 random = state.random;
  const auto placement = Place(policy, query, random);
  if (placement) {
    explanation.placement = *placement;
  } else {
    explanation.message = "would wait: no engine has room now";
  }
  return explanation;
}

std::size_t RequestStateBytes(const Request& request) {
  constexpr std::size_t kNodes = 3 * 48;  // its map, deadline and attempt nodes
  const ModelCall* call = request.model_call();
  const std::size_t prefixes = call == nullptr ? 0 : call->prefixes.size();
  return sizeof(Request) + kNodes + request.attempts.size() * sizeof(Attempt) +
         prefixes * sizeof(std::uint64_t);
}

}  // namespace scaleshed
