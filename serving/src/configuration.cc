#include "scaleshed/serving/configuration.h"

#include <algorithm>
#include <utility>

namespace scaleshed::serving {

ConfigurationIndex::ConfigurationIndex(Configuration configuration)
    : configuration_(std::move(configuration)) {
  const auto& routes = configuration_.routes;
  for (std::size_t i = 0; i < routes.size(); ++i) {
    by_host_[routes[i].host].push_back(i);
  }
  for (auto& [host, indexes] : by_host_) {
    std::stable_sort(
        indexes.begin(), indexes.end(), [&](std::size_t a, std::size_t b) {
          return routes[a].path_prefix.size() > routes[b].path_prefix.size();
        });
  }
  if (!configuration_.accounts) return;
  const auto& accounts = *configuration_.accounts;
  for (std::size_t i = 0; i < accounts.size(); ++i) {
    for (const std::string& it : accounts[i].keys) by_key_[it] = i;
  }
}

const Route* ConfigurationIndex::FindRoute(std::string_view host,
                                           std::string_view path) const {
  const auto found = by_host_.find(host);
  if (found == by_host_.end()) return nullptr;
  for (const std::size_t it : found->second) {
    const Route& route = configuration_.routes[it];
    if (path.substr(0, route.path_prefix.size()) == route.path_prefix) {
      return &route;
    }
  }
  return nullptr;
}

const ClientAccount* ConfigurationIndex::FindAccount(
    std::string_view key) const {
  const auto found = by_key_.find(key);
  return found == by_key_.end() ? nullptr
                                : &(*configuration_.accounts)[found->second];
}

const Service* ConfigurationIndex::FindService(const std::string& name) const {
  const auto found = configuration_.services.find(name);
  return found == configuration_.services.end() ? nullptr : &found->second;
}

}  // namespace scaleshed::serving
