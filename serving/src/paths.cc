#include <algorithm>
#include <set>
#include <utility>

#include "internal/steps.h"

// This daemon's network paths to the backend servers of each service: whether
// failed calls are more likely due to the path than to the servers.
namespace scaleshed::serving::internal {
namespace {

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

// Logs and publishes whether the path is doubted, after a change of `path`.
void ApplyPathChange(State& state, const std::string& service,
                     const ServicePath& path) {
  const bool doubtful = IsPathDoubtful(state, service);
  const bool was_doubtful = state.doubtful_services.contains(service);
  if (doubtful == was_doubtful) return;
  if (doubtful) {
    state.doubtful_services.insert(service);
  } else {
    state.doubtful_services.erase(service);
  }
  state.has_unpublished_changes = true;
  LogPath(state, service, path, doubtful ? "doubtful" : "open");
}

}  // namespace

const PublishedPath* PathOf(const Member& member, const std::string& service) {
  for (const PublishedPath& it : member.snapshot.paths) {
    if (it.service == service) return &it;
  }
  return nullptr;
}

bool IsPathDoubtful(const State& state, const std::string& service) {
  const auto it = state.paths.find(service);
  return it != state.paths.end() &&
         it->second.IsDoubtful(ServersOf(state, service).size());
}

void RecordAnswered(State& state, BackendId id, Time began) {
  const Backend* backend = FindBackend(state, id);
  if (backend == nullptr) return;
  const std::string& service = backend->server.service;
  ServicePath& path = state.paths[service];
  path.RecordAnswer(id, began, state.now);
  ApplyPathChange(state, service, path);
}

void RecordMissed(State& state, BackendId id, Time began) {
  const Backend* backend = FindBackend(state, id);
  if (backend == nullptr) return;
  const std::string& service = backend->server.service;
  ServicePath& path = state.paths[service];
  path.RecordMiss(id, began, state.now);
  ApplyPathChange(state, service, path);
}

void UpdatePaths(State& state) {
  for (auto& [service, path] : state.paths) {
    if (path.misses().empty()) continue;
    path.DropMisses(ServersOf(state, service), state.now);
    ApplyPathChange(state, service, path);
  }
}

std::vector<PublishedPath> PathsToPublish(const State& state) {
  std::vector<PublishedPath> paths;
  for (const auto& [service, path] : state.paths) {
    paths.push_back({.service = service,
                     .answered = path.answered(),
                     .doubtful = state.doubtful_services.contains(service)});
  }
  return paths;
}

}  // namespace scaleshed::serving::internal
