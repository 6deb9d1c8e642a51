#include <algorithm>

#include "internal/steps.h"

namespace scaleshed::internal {
namespace {

constexpr Duration kFetchInterval = milliseconds(500);
constexpr Duration kIdsWriteInterval = seconds(1);
constexpr Duration kLedgerExpiryInterval = seconds(10);
// Callers may have asked just before this daemon said that it is leaving.
constexpr Duration kKeptAnswerMargin = seconds(1);

void Log(Effects& out, std::string what, std::string subject,
         std::string detail) {
  out.push_back(LogChange{.what = std::move(what),
                          .subject = std::move(subject),
                          .detail = std::move(detail)});
}

void UpdateReady(State& state, Effects& out) {
  if (state.ready || state.configuration.revision == 0 || !state.listed) return;
  if (state.configuration.revision <
      state.membership.highest_revision_heard()) {
    return;
  }
  state.ready = true;
  Log(out, "ready", ToString(state.options.self.incarnation),
      "revision " + std::to_string(state.configuration.revision));
}

void AddBackend(State& state, const Instance& instance, Effects& out) {
  Backend* known = FindBackend(state, instance.name);
  if (known != nullptr && known->instance().service == instance.service) {
    if (known->instance().state != instance.state) {
      Log(out, "backend", instance.name,
          std::string(NameIn(kInstanceStateNames, instance.state)));
    }
    known->SetInstance(instance);
    return;
  }
  state.pools[instance.service].emplace(instance.name, Backend(instance));
  state.service_of[instance.name] = instance.service;
  Log(out, "backend", instance.name, "listed");
}

// A backend server that is no longer listed is forgotten once nothing of ours
// is there; until then it counts as leaving.
void RemoveUnlisted(State& state, const std::set<std::string>& listed,
                    Effects& out) {
  for (auto& [service, pool] : state.pools) {
    for (auto it = pool.begin(); it != pool.end();) {
      Backend& backend = it->second;
      if (listed.contains(it->first)) {
        ++it;
        continue;
      }
      const bool in_use =
          std::any_of(state.attempts.begin(), state.attempts.end(),
                      [&](const auto& n) { return backend.HasWork(n.first); });
      if (in_use) {
        backend.SetLeaving();
        ++it;
        continue;
      }
      Log(out, "backend", it->first, "unlisted");
      state.service_of.erase(it->first);
      it = pool.erase(it);
    }
  }
}

// Cancels what an engine still keeps for holders that do not know of it. Only
// what was in the report before too: a report is late, and a stream that has
// just ended may still be in one.
void SweepOrphans(State& state, const Backend& backend,
                  const std::vector<HolderEntry>& before, Effects& out) {
  const Incarnation& self = state.options.self.incarnation;
  std::optional<bool> sweeps;
  for (const HolderEntry& it : backend.report()->entries) {
    if (std::find(before.begin(), before.end(), it) == before.end()) continue;
    const bool own_orphan =
        it.holder == self && !state.attempts.contains(it.attempt);
    bool dead_orphan = false;
    if (it.holder != self && state.membership.IsOver(it.holder)) {
      if (!sweeps)
        sweeps = AccountOwner(state, backend.name()) == self.instance;
      dead_orphan = *sweeps;
    }
    if (!own_orphan && !dead_orphan) continue;
    if (state.cancels.contains({it.holder, it.attempt})) continue;
    Add(out, Counter::kOrphansSwept);
    StartCancel(state, it.holder, it.attempt, backend.name(), out);
  }
}

// Ends the process once the finished ids are left. Calls of other homes that
// came in meanwhile are answered first.
void LeaveIds(State& state, Effects& out) {
  state.ids_left = state.ids_left || state.ids.size() == 0 ||
                   state.now - state.stop_since > state.options.leave_ids_for;
  if (state.ids_left && state.requests.empty()) {
    state.stop = StopPhase::kStopped;
    out.push_back(Exit{});
    return;
  }
  if (state.ids_left || state.now < state.next_ids_write) return;
  state.next_ids_write = state.now + kIdsWriteInterval;
  out.push_back(WriteFinishedIds{.home = state.options.self.incarnation,
                                 .ids = state.ids.FinishedIds()});
}

}  // namespace

void OnInstancesListed(State& state, const InstancesListed& event,
                       Effects& out) {
  state.membership.Listed(event.instances);
  std::set<std::string> listed;
  for (const Instance& it : event.instances) {
    if (it.kind == InstanceKind::kEntry) continue;
    listed.insert(it.name);
    AddBackend(state, it, out);
  }
  RemoveUnlisted(state, listed, out);
  // An empty list comes from a platform that knows nothing yet.
  state.listed = state.listed || !listed.empty();
  UpdateReady(state, out);
}

void OnConfigurationLoaded(State& state, const ConfigurationLoaded& event,
                           Effects& out) {
  if (event.configuration.revision <= state.configuration.revision) return;
  const PolicyKind before = state.configuration.fleet.policy;
  const bool first = state.configuration.revision == 0;
  state.configuration = event.configuration;
  if (first || before != state.configuration.fleet.policy) {
    state.policy = MakePolicy(state.configuration.fleet.policy);
  }
  for (auto it = state.limiters.begin(); it != state.limiters.end();) {
    const auto account = state.configuration.accounts.find(it->first);
    if (account == state.configuration.accounts.end()) {
      it = state.limiters.erase(it);
      continue;
    }
    // Grants and owned shares of the old limits end now, not when they lapse.
    it->second.EndGrant();
    it->second.SetShare(account->second.limits,
                        state.membership.KnownInstances(), state.now);
    ++it;
  }
  state.owned.clear();
  state.membership.SetRevision(state.configuration.revision);
  Log(out, "configuration", "revision",
      std::to_string(state.configuration.revision));
  UpdateReady(state, out);
}

void TickConfiguration(State& state, Effects& out) {
  UpdateReady(state, out);
  const std::uint64_t heard = state.membership.highest_revision_heard();
  if (heard <= state.configuration.revision || state.now < state.next_fetch) {
    return;
  }
  state.next_fetch = state.now + kFetchInterval;
  out.push_back(FetchConfiguration{.revision = heard});
}

void OnReportArrived(State& state, const ReportArrived& event, Effects& out) {
  Backend* backend = FindBackend(state, event.backend);
  if (backend == nullptr) return;
  const bool replaced = backend->report() && backend->report()->incarnation !=
                                                 event.report.incarnation;
  const bool was_leaving = backend->IsLeaving();
  const std::vector<HolderEntry> before = backend->report()
                                              ? backend->report()->entries
                                              : std::vector<HolderEntry>();
  backend->SetReport(event.report, state.now);
  if (replaced) FailAttemptsAt(state, event.backend, out);
  if (!was_leaving && backend->IsLeaving()) {
    Log(out, "backend", event.backend, "leaving");
  }
  SweepOrphans(state, *backend, before, out);
  Pump(state, out);
}

void OnStopRequested(State& state, Effects& out) {
  if (state.stop != StopPhase::kServing) return;
  state.stop = StopPhase::kLeaving;
  state.stop_since = state.now;
  state.membership.SetLeaving();
  Log(out, "stop", ToString(state.options.self.incarnation), "leaving");
}

void TickStop(State& state, Effects& out) {
  if (state.now >= state.next_ledger_expiry) {
    state.next_ledger_expiry = state.now + kLedgerExpiryInterval;
    state.ids.Expire(CurrentBlock(state));
  }
  if (state.stop == StopPhase::kLeaving) {
    const Duration kept = state.options.look_up_keep + kKeptAnswerMargin;
    const bool may_close = state.now - state.stop_since >= kept &&
                           state.requests.empty() && state.cancels.empty();
    if (!may_close) return;
    state.stop = StopPhase::kClosed;
    state.stop_since = state.now;
    Log(out, "stop", ToString(state.options.self.incarnation), "closed");
    out.push_back(CloseListener{});
  }
  if (state.stop == StopPhase::kClosed) LeaveIds(state, out);
}

void OnFinishedIdsWritten(State& state, const FinishedIdsWritten& event,
                          Effects& /*out*/) {
  state.ids_left = state.ids_left || event.ok;
}

}  // namespace scaleshed::internal
