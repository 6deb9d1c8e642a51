#include <algorithm>

#include "internal/steps.h"
#include "scaleshed/serving/reducer.h"

namespace scaleshed::serving::internal {
namespace {

// Each engine is asked so often, by one daemon for all. A report costs as much
// as a health check; engines turn slow for some seconds.
constexpr Duration kReportInterval = milliseconds(1400);
// An engine whose passes take so many times as long gets no new work: pauses of
// short prompts keep in time up to about three times, first tokens and gangs
// that wait for their slowest engine do not.
constexpr double kSlowdownThreshold = 1.5;
// Longer than two reports are apart, so that one lost report changes nothing.
constexpr Duration kSlowAvoidance = milliseconds(3100);

// Whether an engine's reports are this daemon's to fetch: the daemons that
// serve agree on one without a word, and on another one when that is gone.
// Of many daemons those of its data centre, as these hear each other; where
// none is heard there, a placer, which hears all.
bool FetchesReportsOf(const State& state, const Backend& backend) {
  const std::string& data_centre = backend.server.data_centre;
  const bool all_place_locally = state.dispatch.place_locally;
  const bool is_local = data_centre == state.options.data_centre;
  if (!all_place_locally && !is_local && !ReceivesAllActiveRequests(state))
    return false;
  const std::uint64_t own_rank =
      HashBytes(state.options.peer_address, backend.id);
  return std::none_of(state.members.begin(), state.members.end(),
                      [&](const auto& it) {
                        const auto& [address, member] = it;
                        if (!IsLive(state, member) || !member.snapshot.serving)
                          return false;
                        const bool is_in_data_centre =
                            member.snapshot.data_centre == data_centre;
                        if (!all_place_locally && !is_local) {
                          return is_in_data_centre ||
                                 (IsPlacer(state, address) &&
                                  HashBytes(address, backend.id) > own_rank);
                        }
                        return (all_place_locally || is_in_data_centre) &&
                               HashBytes(address, backend.id) > own_rank;
                      });
}

// Whatever waits for that engine's first event knows that it lives.
void RecordEngineAlive(State& state, BackendId engine) {
  for (auto& [key, request] : state.requests) {
    if (request.attempt != 0 && request.backend == engine) {
      request.backend_alive_at = state.now;
    }
  }
}

}  // namespace

void FetchDueReports(State& state) {
  if (!IsServing(state)) return;
  for (auto& [name, backend] : state.backends) {
    if (backend.report_due > state.now || !TakesWork(backend)) continue;
    backend.report_due = state.now + kReportInterval;
    const bool is_engine = TimingOf(state, backend.server.service) != nullptr;
    if (!is_engine || !FetchesReportsOf(state, backend)) continue;
    // A report is one of the requests that it takes; what it gets by its limit
    // says enough of its pace.
    if (IsRateLimited(state, backend.id) || IsBackingOff(state, backend.id))
      continue;
    state.effects.emplace_back(FetchEngineReport{
        .backend = backend.id, .address = backend.server.address});
  }
}

void OnReport(State& state, const EngineReportReceived& event) {
  Backend* backend = FindBackend(state, event.backend);
  if (backend == nullptr) return;
  // An answer of another life that is under way says nothing of this one.
  if (event.start_unix_ms != 0 &&
      event.start_unix_ms != backend->server.start_unix_ms) {
    Log(state, "report_of_another_life",
        {{"backend", backend->server.id},
         {"born", std::to_string(event.start_unix_ms)},
         {"known", std::to_string(backend->server.start_unix_ms)}});
    return;
  }
  RecordEngineAlive(state, event.backend);
  const bool was_slow = backend->slow;
  backend->slow = event.slowdown >= kSlowdownThreshold;
  if (backend->slow) {
    AvoidSlowBackend(state, *backend, kSlowAvoidance);
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
