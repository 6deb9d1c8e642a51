#include "internal/fleet_metrics.h"

#include <algorithm>
#include <set>
#include <sstream>

#include "scaleshed/serving/reducer.h"

namespace scaleshed {
namespace {

double SecondsOf(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

void RenderBackends(std::ostream& out, const serving::State& state) {
  double open = 0;
  double leaving = 0;
  double suspect = 0;
  for (const auto& [name, backend] : state.backends) {
    (backend.server.leaving ? leaving : open) += 1;
    if (backend.avoided_until() > state.now) suspect += 1;
  }
  RenderGauge(out, "backends_open", open);
  RenderGauge(out, "backends_leaving", leaving);
  RenderGauge(out, "backends_suspect", suspect);
  const auto limited = std::count_if(
      state.limits.begin(), state.limits.end(),
      [](const auto& it) { return it.second.limit.per_second.has_value(); });
  RenderGauge(out, "backends_limited", static_cast<double>(limited));
  const auto resting =
      std::count_if(state.backoffs.begin(), state.backoffs.end(),
                    [&](const auto& it) { return it.second > state.now; });
  RenderGauge(out, "backends_resting", static_cast<double>(resting));
  const auto cold = std::count_if(
      state.warm_ups.begin(), state.warm_ups.end(),
      [&](const auto& it) { return it.second.until > state.now; });
  RenderGauge(out, "backends_cold", static_cast<double>(cold));
  RenderGauge(out, "warm_up_granter", serving::IsWarmUpGranter(state) ? 1 : 0);
}

void RenderDispatch(std::ostream& out,
                    const serving::PlacementDuties& dispatch) {
  RenderGauge(out, "all_daemons_place", dispatch.place_locally ? 1 : 0);
  RenderGauge(out, "is_hub", dispatch.is_hub ? 1 : 0);
  RenderGauge(out, "placers_known",
              static_cast<double>(dispatch.placers.size()));
  RenderGauge(out, "prompts_of_others",
              static_cast<double>(dispatch.remote_placements.size()));
}

void RenderClients(std::ostream& out, const ConnectionBudget& budget,
                   std::size_t open_connections) {
  RenderGauge(out, "connections_open", static_cast<double>(open_connections));
  RenderGauge(out, "connections_held_bytes",
              static_cast<double>(budget.held_bytes()));
  RenderGauge(out, "connections_max_bytes",
              static_cast<double>(budget.max_bytes()));
  for (const auto& [reason, name] : kShedReasonNames) {
    RenderCounter(out, "connections_shed_" + std::string(name),
                  budget.shed(reason));
  }
}

void RenderRequests(std::ostream& out, const serving::State& state) {
  std::array<double, serving::kPhaseNames.size()> by_phase{};
  for (const auto& [key, request] : state.requests) {
    by_phase[static_cast<std::size_t>(request.phase)] += 1;
  }
  out << "# TYPE scaleshed_requests_in_work gauge\n";
  for (const auto& [phase, name] : serving::kPhaseNames) {
    out << "scaleshed_requests_in_work{phase=\"" << name << "\"} "
        << by_phase[static_cast<std::size_t>(phase)] << "\n";
  }
}

}  // namespace

void FleetMetrics::Add(serving::Counter counter) {
  ++counters_[static_cast<std::size_t>(counter)];
}

void FleetMetrics::Observe(const serving::ObserveLatency& observed) {
  latencies_[{observed.account, observed.route}].Add(observed.elapsed);
}

void FleetMetrics::CountDatagram(DatagramKind kind, std::size_t bytes) {
  Sent& sent = sent_[static_cast<std::size_t>(kind)];
  ++sent.datagrams;
  sent.bytes += bytes;
}

void FleetMetrics::CountCut(ConnectionStage stage) {
  ++cut_[static_cast<std::size_t>(stage)];
}

void FleetMetrics::KeepOnly(const serving::Configuration& configuration) {
  std::set<std::string> routes;
  for (const auto& it : configuration.routes) routes.insert(it.name);
  // Public routes belong to no account.
  std::set<std::string> accounts{""};
  if (configuration.accounts) {
    for (const auto& it : *configuration.accounts) accounts.insert(it.name);
  }
  std::erase_if(latencies_, [&](const auto& it) {
    const auto& [account, route] = it.first;
    return !accounts.contains(account) || !routes.contains(route);
  });
}

std::string FleetMetrics::Render(const serving::State& state,
                                 const ConnectionBudget& budget,
                                 std::size_t open_connections) const {
  std::ostringstream out;
  RenderClients(out, budget, open_connections);
  for (const auto& [counter, name] : serving::kCounterNames) {
    RenderCounter(out, name, counters_[static_cast<std::size_t>(counter)]);
  }
  for (const auto& [kind, name] : kDatagramKindNames) {
    const Sent& sent = sent_[static_cast<std::size_t>(kind)];
    const std::string what(name);
    RenderCounter(out, "datagrams_" + what, sent.datagrams);
    RenderCounter(out, "datagram_bytes_" + what, sent.bytes);
  }
  for (const auto& [stage, name] : kConnectionStageNames) {
    if (stage == ConnectionStage::kIdle) continue;
    RenderCounter(out, "connections_cut_" + std::string(name),
                  cut_[static_cast<std::size_t>(stage)]);
  }
  RenderGauge(out, "serving", serving::IsServing(state) ? 1 : 0);
  if (state.configuration) {
    const auto& configuration = state.configuration->configuration();
    RenderGauge(out, "configuration_revision",
                static_cast<double>(configuration.revision.number));
    RenderGauge(out, "configuration_version",
                static_cast<double>(configuration.version));
    RenderGauge(out, "configuration_proof_age_seconds",
                SecondsOf(state.now - state.confirmed_at));
  }
  RenderGauge(out, "store_era", static_cast<double>(state.store.epoch.number));
  RenderGauge(out, "store_awaits_operators",
              serving::AwaitsConfigurationRewrite(state) ||
                  !state.store.epoch.reconciled);
  RenderGauge(out, "backends_proof_age_seconds",
              SecondsOf(state.now - state.store.backends_confirmed_at));
  RenderBackends(out, state);
  const serving::EvacuationCounts evacuated = serving::CountEvacuations(state);
  RenderGauge(out, "data_centres_evacuated",
              static_cast<double>(evacuated.data_centres));
  RenderGauge(out, "backends_evacuated",
              static_cast<double>(evacuated.backends));
  RenderGauge(out, "requests_in_evacuated",
              static_cast<double>(evacuated.requests));
  RenderGauge(out, "takes_clients", serving::TakesClients(state) ? 1 : 0);
  const auto lost =
      std::count_if(state.paths.begin(), state.paths.end(),
                    [](const auto& it) { return it.second.evidence.lost(); });
  RenderGauge(out, "paths_lost", static_cast<double>(lost));
  RenderGauge(out, "paths_doubtful",
              static_cast<double>(state.doubtful_services.size()));
  const auto daemons =
      std::count_if(state.members.begin(), state.members.end(),
                    [](const auto& it) { return it.second.snapshot.serving; });
  RenderGauge(out, "other_daemons_serving", static_cast<double>(daemons));
  RenderGauge(out, "daemons_heard",
              static_cast<double>(state.logged_daemon_count.live));
  RenderGauge(out, "daemons_listed",
              static_cast<double>(state.logged_daemon_count.listed));
  // Contents under which servers ended; of these, those that are sent to none.
  RenderGauge(out, "contents_doubtful",
              static_cast<double>(state.quarantine.size()));
  RenderGauge(out, "contents_held",
              static_cast<double>(state.quarantine.quarantined_count()));
  RenderGauge(out, "parts_doubtful",
              static_cast<double>(state.part_quarantine.size()));
  RenderGauge(out, "parts_held",
              static_cast<double>(state.part_quarantine.quarantined_count()));
  RenderDispatch(out, state.dispatch);
  RenderRequests(out, state);
  out << "# TYPE scaleshed_loop_late_seconds histogram\n";
  RenderHistogram(out, "scaleshed_loop_late", "", loop_late_);
  out << "# TYPE scaleshed_latency_seconds histogram\n";
  for (const auto& [key, histogram] : latencies_) {
    const std::string labels =
        "account=\"" + key.first + "\",route=\"" + key.second + "\"";
    RenderHistogram(out, "scaleshed_latency", labels, histogram);
  }
  return out.str();
}

}  // namespace scaleshed
