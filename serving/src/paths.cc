#include <algorithm>
#include <set>
#include <utility>

#include "internal/steps.h"

// This daemon's network paths to the backend servers of each service: whether
// failed calls are more likely due to the path than to the servers.
namespace scaleshed::serving::internal {
namespace {

// After a call without an answer, the time in which another server's answer to
// a later call may show that the path is open.
constexpr Duration kProbeDelay = milliseconds(100);
constexpr Duration kProbeInterval = milliseconds(500);
// A path that was probed so short a time ago isn't probed again.
constexpr Duration kMinProbeInterval = milliseconds(250);
// A path is lost once it was doubtful for this long while other daemons reached
// the service. Until then requests are relayed, and clients stay.
constexpr Duration kDoubtBeforeLoss = milliseconds(300);
// How long the answer to a relayed request shows that another daemon reaches
// the service.
constexpr Duration kRelayProofAge = seconds(3);
// The time in which servers that aren't slow answer a probe.
constexpr Duration kTimelyAnswer = milliseconds(600);
// How long a daemon asks the others, by publishing its path, whether servers
// answer them in time, and, while it doubts its path, relies on their answers.
constexpr Duration kTimelinessRetention = seconds(2);
// Servers that are probed together to tell the path from a server.
constexpr std::size_t kProbesAtOnce = 2;
// Servers without a connection, and how long none stood, that show a partition
// of this daemon even where most daemons doubt their paths. Servers that refuse
// only some connections let one of so many calls through.
constexpr std::size_t kMissedServersToShowPartition = 6;
constexpr Duration kMissesToShowPartition = seconds(1);

std::set<BackendId> ServersOf(const State& state, const std::string& service) {
  std::set<BackendId> servers;
  for (const Backend* it : OpenBackends(state, service)) {
    const bool ended = state.ended_incarnations.contains(it->id);
    if (!ended) servers.insert(it->id);
  }
  return servers;
}

// Counts the live daemons that have reached a server of the service by a call
// that began at `since` or later.
std::size_t CountReachingPeers(const State& state, const std::string& service,
                               Time since) {
  return static_cast<std::size_t>(std::count_if(
      state.members.begin(), state.members.end(), [&](const auto& it) {
        const PublishedPath* path = PathOf(it.second, service);
        return IsLive(state, it.second) && path != nullptr && !path->doubtful &&
               path->answered >= since;
      }));
}

std::size_t CountDoubtingPeers(const State& state, const std::string& service) {
  return static_cast<std::size_t>(std::count_if(
      state.members.begin(), state.members.end(), [&](const auto& it) {
        const PublishedPath* path = PathOf(it.second, service);
        return IsLive(state, it.second) && path != nullptr && path->doubtful;
      }));
}

void LogPath(State& state, const std::string& service, const ServicePath& path,
             const std::string& change) {
  const Time since = path.missing_since().value_or(state.now);
  Log(state, "path",
      {{"service", service},
       {"state", change},
       {"servers", std::to_string(ServersOf(state, service).size())},
       {"missed", std::to_string(path.misses().size())},
       {"missing_for_ms", Millis(state.now - since)},
       {"answered_ms_ago",
        path.answered() == Time{} ? "" : Millis(state.now - path.answered())},
       {"peers_reach",
        std::to_string(CountReachingPeers(state, service, since))},
       {"peers_doubt", std::to_string(CountDoubtingPeers(state, service))}});
}

// Withdraws this daemon's suspicions of servers whose missed calls are probably
// due to the path.
void ClearSuspicionsOf(State& state, const ServicePath& path) {
  for (const auto& [id, began] : path.misses()) {
    Backend* backend = FindBackend(state, id);
    if (backend == nullptr) continue;
    backend->suspect_until = Time{};
    backend->consecutive_failures = 0;
    backend->suspected_until = Time{};
    backend->consecutive_suspicions = 0;
  }
}

std::set<std::string> ListedServices(const State& state) {
  std::set<std::string> services;
  for (const auto& [name, backend] : state.backends) {
    const bool is_open =
        !FindSendBlock(state, backend, {.has_warm_up_grant = true});
    if (is_open) services.insert(backend.server.service);
  }
  return services;
}

// Makes the paths of all other services be probed.
void ProbeOtherServices(State& state, const std::string& service) {
  for (const std::string& it : ListedServices(state)) {
    const bool probe = it != service && !state.doubtful_services.contains(it) &&
                       HasSeveralServers(state, it);
    if (probe) ProbePathNow(state, it);
  }
}

bool ShouldDoubt(const State& state, const std::string& service,
                 const ServicePath& path) {
  // Counting the servers of a large service takes long, and is seldom needed.
  if (path.misses().empty() && !path.lost()) return false;
  return path.IsDoubtful(ServersOf(state, service).size());
}

// Logs and publishes whether the path is doubted, after a change of `path`.
void ApplyPathChange(State& state, const std::string& service,
                     TrackedPath& path) {
  const bool doubtful = ShouldDoubt(state, service, path.evidence);
  const bool was_doubtful = state.doubtful_services.contains(service);
  if (doubtful == was_doubtful) return;
  if (doubtful) {
    state.doubtful_services.insert(service);
    path.doubted_at = state.now;
    ClearSuspicionsOf(state, path.evidence);
    // The services that are called seldom would tell much later.
    ProbeOtherServices(state, service);
  } else {
    state.doubtful_services.erase(service);
  }
  state.has_unpublished_changes = true;
  LogPath(state, service, path.evidence, doubtful ? "doubtful" : "open");
}

// Whether another daemon has reached the service since this one doubts its own
// path: by what it publishes, or as it served a relayed request.
bool IsReachedByOthers(const State& state, const std::string& service,
                       const TrackedPath& path) {
  const Time since = path.evidence.missing_since().value_or(path.doubted_at);
  return CountReachingPeers(state, service, since) > 0 ||
         (path.relay_answered_at >= path.doubted_at &&
          state.now < path.relay_answered_at + kRelayProofAge);
}

// Whether this daemon has lost its paths to all services that have several
// servers, while other daemons reach them.
bool HasLostItsPaths(const State& state) {
  const bool any_lost =
      std::any_of(state.paths.begin(), state.paths.end(),
                  [](const auto& it) { return it.second.evidence.lost(); });
  if (!any_lost) return false;
  const std::set<std::string> services = ListedServices(state);
  return std::all_of(
      services.begin(), services.end(), [&](const std::string& it) {
        const auto path = state.paths.find(it);
        const bool lost =
            path != state.paths.end() && path->second.evidence.lost();
        return lost || !HasSeveralServers(state, it);
      });
}

// Whether the answer that a daemon published last came in time.
bool IsAnsweredInTime(const Member& member, const PublishedPath& path) {
  return member.paths_received_at - path.answered <= kTimelyAnswer;
}

// Whether servers answer other daemons' calls that began at `began` or later in
// time. Silence on this daemon's connections is then due to its path; where
// nobody is answered in time, the servers are slow.
bool AreOnlyOthersAnswered(const State& state, const std::string& service,
                           TrackedPath& path, Time began) {
  const bool timely = std::any_of(
      state.members.begin(), state.members.end(), [&](const auto& it) {
        const PublishedPath* theirs = PathOf(it.second, service);
        return IsLive(state, it.second) && theirs != nullptr &&
               !theirs->doubtful && theirs->answered >= began &&
               IsAnsweredInTime(it.second, *theirs);
      });
  if (timely) path.others_timely_at = state.now;
  return timely || (state.doubtful_services.contains(service) &&
                    state.now < path.others_timely_at + kTimelinessRetention);
}

// Whether another daemon publishes that servers don't answer it in time, and
// those of this daemon's path do.
bool IsTimelinessAskedFor(const State& state, const std::string& service,
                          const TrackedPath& path) {
  if (state.now - path.evidence.answered() > kTimelyAnswer) return false;
  return std::any_of(state.members.begin(), state.members.end(),
                     [&](const auto& it) {
                       const PublishedPath* theirs = PathOf(it.second, service);
                       return IsLive(state, it.second) && theirs != nullptr &&
                              !IsAnsweredInTime(it.second, *theirs);
                     });
}

// Whether so many calls failed for so long, with no connection meanwhile, that
// servers which refuse some of their connections don't explain it.
bool IsPartitionShown(const State& state, const std::string& service,
                      const ServicePath& path) {
  const std::size_t due =
      std::min(ServersOf(state, service).size(), kMissedServersToShowPartition);
  return path.misses().size() >= due &&
         state.now - path.missing_since().value_or(state.now) >=
             kMissesToShowPartition;
}

// Whether this daemon is among the first half of all daemons, in the order of
// their addresses, counting only those that doubt their paths to the service.
// So many may lose their paths before a partition is shown; where more doubt,
// the servers are the likelier cause, and withdrawals would concentrate the
// load on the few daemons left.
bool IsInFirstHalfOfDoubting(const State& state, const std::string& service) {
  std::size_t live = 1;
  std::size_t doubting = 1;
  for (const auto& [address, member] : state.members) {
    if (!IsLive(state, member)) continue;
    ++live;
    const PublishedPath* path = PathOf(member, service);
    const bool doubts = path != nullptr && path->doubtful;
    if (doubts && address < state.options.peer_address) ++doubting;
  }
  return 2 * doubting <= live;
}

// Updates whether a doubtful path counts as lost.
void UpdateLost(State& state, const std::string& service, TrackedPath& path) {
  const bool was_lost = path.evidence.lost();
  const bool lost = state.doubtful_services.contains(service) &&
                    state.now >= path.doubted_at + kDoubtBeforeLoss &&
                    IsReachedByOthers(state, service, path) &&
                    (IsInFirstHalfOfDoubting(state, service) ||
                     IsPartitionShown(state, service, path.evidence));
  if (lost == was_lost) return;
  path.evidence.SetLost(lost);
  state.has_unpublished_changes = true;
  LogPath(state, service, path.evidence, lost ? "lost" : "doubtful");
}

// Returns up to `most` servers to probe: those that missed no call first, in
// random order, then those whose last miss is longest ago; last those
// that have answered since the path was lost.
std::vector<const Backend*> ServersToProbe(State& state,
                                           const std::string& service,
                                           std::size_t most) {
  const TrackedPath& path = state.paths.at(service);
  std::vector<const Backend*> servers;
  for (const Backend* it : OpenBackends(state, service)) {
    const bool is_probed =
        path.probes.contains(it->id) || state.liveness_checks.contains(it->id);
    const bool spares = IsRateLimited(state, it->id) ||
                        IsBackingOff(state, it->id) || IsCold(state, *it);
    if (!is_probed && !spares) servers.push_back(it);
  }
  const auto missed_at = [&](const Backend* it) {
    if (path.evidence.HasReturned(it->id)) return Time::max();
    const auto miss = path.evidence.misses().find(it->id);
    return miss == path.evidence.misses().end() ? Time{} : miss->second;
  };
  std::shuffle(servers.begin(), servers.end(), state.random);
  std::stable_sort(servers.begin(), servers.end(),
                   [&](const Backend* a, const Backend* b) {
                     return missed_at(a) < missed_at(b);
                   });
  if (servers.size() > most) servers.resize(most);
  return servers;
}

// Sends the probes of a path that are due.
void ProbePath(State& state, const std::string& service, TrackedPath& path) {
  if (path.probe_due > state.now) return;
  const bool doubtful = state.doubtful_services.contains(service);
  const bool asked_for = std::exchange(path.probe_asked_for, false);
  if (path.evidence.misses().empty() && !doubtful && !asked_for) {
    path.probe_due = Time::max();
    return;
  }
  // Before the path is doubted two answers decide; afterwards one shows that it
  // is worth looking again.
  const std::size_t most = doubtful ? 1 : kProbesAtOnce;
  const auto servers = ServersToProbe(state, service, most);
  // The probe stays due, so that a request may try the path.
  if (doubtful && servers.empty() && path.probes.empty()) return;
  for (const Backend* it : servers) {
    path.probes[it->id] = state.now;
    RecordStart(state, it->id);
    state.effects.emplace_back(
        ProbeLiveness{.backend = it->id, .address = it->server.address});
  }
  path.probe_due = state.now + kProbeInterval;
}

}  // namespace

const PublishedPath* PathOf(const Member& member, const std::string& service) {
  for (const PublishedPath& it : member.snapshot.paths) {
    if (it.service == service) return &it;
  }
  return nullptr;
}

bool HasSeveralServers(const State& state, const std::string& service) {
  return ServersOf(state, service).size() > 1;
}

bool HasReachedServiceSince(const State& state, const std::string& service,
                            Time since) {
  const auto it = state.paths.find(service);
  return it != state.paths.end() && it->second.evidence.reached() >= since;
}

bool DoOthersReach(const State& state, const std::string& service, Time since) {
  return CountReachingPeers(state, service, since) > 0;
}

bool HasMissed(const State& state, const std::string& service, BackendId id) {
  const auto it = state.paths.find(service);
  return it != state.paths.end() && it->second.evidence.misses().contains(id);
}

bool IsPathInQuestion(const State& state, const std::string& service) {
  constexpr std::size_t kMissedServers = 2;
  const auto it = state.paths.find(service);
  return it != state.paths.end() &&
         it->second.evidence.misses().size() >= kMissedServers;
}

bool TakePathTrial(State& state, const std::string& service) {
  const auto it = state.paths.find(service);
  if (it == state.paths.end()) return false;
  TrackedPath& path = it->second;
  const bool is_due = state.doubtful_services.contains(service) &&
                      path.probe_due <= state.now && path.probes.empty();
  if (!is_due || !ServersToProbe(state, service, 1).empty()) return false;
  path.probe_due = state.now + kProbeInterval;
  return true;
}

bool IsPathDoubtful(const State& state, const std::string& service) {
  return state.doubtful_services.contains(service);
}

void RecordAnswered(State& state, BackendId id, Time began) {
  const Backend* backend = FindBackend(state, id);
  if (backend == nullptr) return;
  const std::string& service = backend->server.service;
  TrackedPath& path = state.paths[service];
  path.evidence.RecordAnswer(id, began);
  ApplyPathChange(state, service, path);
}

void RecordConnected(State& state, BackendId id, Time began) {
  const Backend* backend = FindBackend(state, id);
  if (backend == nullptr) return;
  const std::string& service = backend->server.service;
  TrackedPath& path = state.paths[service];
  path.evidence.RecordConnection(id, began);
  ApplyPathChange(state, service, path);
}

void RecordSilent(State& state, BackendId id, Time began) {
  const Backend* backend = FindBackend(state, id);
  if (backend == nullptr) return;
  const std::string& service = backend->server.service;
  TrackedPath& path = state.paths[service];
  // A later call has shown more.
  if (path.evidence.reached() > began) return;
  path.silent_at = state.now;
  if (AreOnlyOthersAnswered(state, service, path, began)) {
    RecordMissed(state, id, began);
  } else {
    RecordConnected(state, id, began);
  }
}

void RecordMissed(State& state, BackendId id, Time began) {
  const Backend* backend = FindBackend(state, id);
  if (backend == nullptr) return;
  const std::string& service = backend->server.service;
  TrackedPath& path = state.paths[service];
  path.evidence.RecordMiss(id, began, state.now);
  ApplyPathChange(state, service, path);
  if (!state.doubtful_services.contains(service))
    path.probe_due = std::min(path.probe_due, state.now + kProbeDelay);
}

void ProbePathNow(State& state, const std::string& service) {
  TrackedPath& path = state.paths[service];
  const bool just_probed =
      path.probe_due != Time::max() &&
      path.probe_due > state.now + kProbeInterval - kMinProbeInterval;
  if (just_probed) return;
  path.probe_due = state.now;
  path.probe_asked_for = true;
  ProbePath(state, service, path);
}

void OnPathProbed(State& state, const LivenessProbed& event) {
  for (auto& [service, path] : state.paths) {
    const auto probe = path.probes.extract(event.backend);
    if (probe.empty()) continue;
    if (event.result == ProbeResult::kAlive) {
      RecordAnswered(state, event.backend, probe.mapped());
    } else if (event.result == ProbeResult::kConnected) {
      RecordSilent(state, event.backend, probe.mapped());
    } else {
      RecordMissed(state, event.backend, probe.mapped());
    }
    return;
  }
}

void UpdatePaths(State& state) {
  for (auto& [service, path] : state.paths) {
    if (!path.evidence.misses().empty()) {
      path.evidence.DropMisses(ServersOf(state, service), state.now);
      ApplyPathChange(state, service, path);
    }
    UpdateLost(state, service, path);
    ProbePath(state, service, path);
  }
  state.withdrawn = HasLostItsPaths(state);
  std::erase_if(state.relays_avoided_until,
                [&](const auto& it) { return it.second <= state.now; });
}

void RecordRelayAnswered(State& state, const std::string& service) {
  state.paths[service].relay_answered_at = state.now;
}

std::vector<PublishedPath> PathsToPublish(const State& state) {
  std::vector<PublishedPath> paths;
  for (const auto& [service, path] : state.paths) {
    const bool is_news = state.doubtful_services.contains(service) ||
                         state.published_doubtful_services.contains(service);
    const bool is_silent = path.silent_at != Time{} &&
                           state.now < path.silent_at + kTimelinessRetention;
    if (!is_news && !is_silent && CountDoubtingPeers(state, service) == 0 &&
        !IsTimelinessAskedFor(state, service, path))
      continue;
    paths.push_back({.service = service,
                     .answered = path.evidence.answered(),
                     .doubtful = state.doubtful_services.contains(service)});
  }
  return paths;
}

}  // namespace scaleshed::serving::internal
