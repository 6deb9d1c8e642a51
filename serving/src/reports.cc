#include <algorithm>
#include <cmath>

#include "internal/steps.h"
#include "scaleshed/serving/reducer.h"

namespace scaleshed::serving::internal {
namespace {

// Interval at which one daemon on behalf of all fetches an engine's report. A
// report costs as much as a health check, and engines turn slow for some
// seconds at a time.
constexpr Duration kReportInterval = milliseconds(1400);
// An engine whose steps take this many times as long as configured gets no new
// work. The event gaps of short prompts stay within their limit up to a
// slowdown of about three. First tokens don't, nor do groups of engines, which
// wait for their slowest one.
constexpr double kSlowdownThreshold = 1.5;
// Time for which a report keeps a slow engine out. It exceeds two report
// intervals, so that one lost report changes nothing.
constexpr Duration kSlowAvoidanceDuration = milliseconds(3100);

// The rank of a daemon among those that may fetch an engine's reports. A daemon
// ranks highest for a share of the engines that is proportional to its
// capacity; daemons of equal capacity rank by the hash alone.
double ReportRank(const std::string& peer_address, double capacity,
                  BackendId engine) {
  constexpr int kFractionBits = 52;
  const std::uint64_t hash =
      HashBytes(peer_address, engine) >> (64 - kFractionBits);
  // Lies above 0 and below 1.
  const double share =
      std::ldexp(static_cast<double>(hash) + 0.5, -kFractionBits);
  return capacity / -std::log(share);
}

// Whether this daemon fetches the reports of an engine. The serving daemons
// agree on one of them without messages, by the highest rank, and on another
// one when it is gone. In a large fleet the candidates are the daemons of the
// engine's data centre, which receive each other's snapshots; if none of these
// is live, they are the placers, which receive the snapshots of all.
bool FetchesReportsOf(const State& state, const Backend& backend) {
  const std::string& data_centre = backend.server.data_centre;
  const bool all_place_locally = state.dispatch.place_locally;
  const bool is_local = data_centre == state.options.data_centre;
  if (!all_place_locally && !is_local && !ReceivesAllActiveRequests(state))
    return false;
  const std::string& service = backend.server.service;
  if (IsPathDoubtful(state, service)) return false;
  const double own_rank = ReportRank(state.options.peer_address,
                                     state.options.capacity, backend.id);
  const auto ranks_higher = [&](const auto& peer) {
    return ReportRank(peer.first, peer.second.snapshot.capacity, backend.id) >
           own_rank;
  };
  return std::none_of(
      state.members.begin(), state.members.end(), [&](const auto& it) {
        const auto& [address, member] = it;
        const PublishedPath* path = PathOf(member, service);
        const bool doubts = path != nullptr && path->doubtful;
        if (!IsLive(state, member) || !member.snapshot.serving || doubts)
          return false;
        const bool is_in_data_centre =
            member.snapshot.data_centre == data_centre;
        if (!all_place_locally && !is_local) {
          return is_in_data_centre ||
                 (IsPlacer(state, address) && ranks_higher(it));
        }
        return (all_place_locally || is_in_data_centre) && ranks_higher(it);
      });
}

// Records for all attempts at the engine that its process runs, so that
// requests which wait for a first event see that it is alive.
void RecordEngineAlive(State& state, BackendId engine) {
  for (auto& [key, request] : state.requests) {
    if (request.current.id != 0 && request.current.backend == engine)
      request.current.backend_alive_at = state.now;
    for (Attempt& it : request.stalled) {
      if (it.backend == engine) it.backend_alive_at = state.now;
    }
  }
}

}  // namespace

void FetchDueReports(State& state) {
  if (!IsServing(state)) return;
  for (auto& [name, backend] : state.backends) {
    // A cold engine gets no report calls; it is expected to be slow.
    const bool is_blocked = FindSendBlock(state, backend, {}).has_value();
    if (backend.report_due > state.now || is_blocked) continue;
    backend.report_due = state.now + kReportInterval;
    const bool is_engine = TimingOf(state, backend.server.service) != nullptr;
    if (!is_engine || !FetchesReportsOf(state, backend)) continue;
    // A report counts against a server's rate limit, and the requests that the
    // limit admits show well enough how slow the engine is.
    if (IsRateLimited(state, backend.id) || IsBackingOff(state, backend.id))
      continue;
    state.effects.emplace_back(FetchEngineReport{
        .backend = backend.id, .address = backend.server.address});
  }
}

void OnReport(State& state, const EngineReportReceived& event) {
  Backend* backend = FindBackend(state, event.backend);
  if (backend == nullptr) return;
  // A late response of another incarnation says nothing about the current one.
  if (event.start_unix_ms != 0 &&
      event.start_unix_ms != backend->server.start_unix_ms) {
    Log(state, "report_of_another_life",
        {{"backend", backend->server.id},
         {"born", std::to_string(event.start_unix_ms)},
         {"known", std::to_string(backend->server.start_unix_ms)}});
    const bool is_later = event.start_unix_ms > backend->server.start_unix_ms;
    if (is_later) RecordRestart(state, *backend);
    return;
  }
  RecordEngineAlive(state, event.backend);
  // A report that was fetched before the engine was known to be cold.
  if (IsCold(state, *backend)) return;
  const bool was_slow = backend->slow;
  backend->slow = event.slowdown >= kSlowdownThreshold;
  if (backend->slow) {
    AvoidSlowBackend(state, *backend, kSlowAvoidanceDuration);
  } else if (was_slow) {
    backend->slow_until = state.now;
    state.has_unpublished_changes = true;
  }
  if (backend->slow == was_slow) return;
  Log(state, "pace",
      {{"backend", backend->server.id},
       {"pace_percent",
        std::to_string(static_cast<std::int64_t>(event.slowdown * 100))},
       {"slow", backend->slow ? "true" : "false"}});
}

}  // namespace scaleshed::serving::internal
