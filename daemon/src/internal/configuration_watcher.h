#ifndef SCALESHED_DAEMON_SRC_INTERNAL_CONFIGURATION_WATCHER_H_
#define SCALESHED_DAEMON_SRC_INTERNAL_CONFIGURATION_WATCHER_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "scaleshed/core/fleet.h"
#include "scaleshed/runtime/http_client.h"
#include "scaleshed/runtime/platform_client.h"
#include "scaleshed/wire/platform_json.h"

namespace scaleshed {

// Follows the configuration's head at the platform with one watch, fetches the
// documents that changed, and gives each complete configuration to `loaded`.
// While the platform can't be read, Fetch() takes it from a peer instead.
class ConfigurationWatcher {
 public:
  using Loaded = std::function<void(Configuration)>;
  // Addresses of peers that may have a newer configuration.
  using Peers = std::function<std::vector<std::string>()>;

  ConfigurationWatcher(EventLoop& loop, PlatformClient& platform, Loaded loaded,
                       Peers peers);

  void Start() { Watch(); }
  // A peer has told of `revision`; asks the peers for it.
  void Fetch(std::uint64_t revision);
  // The configuration in force, as JSON for peers.
  std::string Bundle() const { return BundleJson(in_force_); }

 private:
  void Watch();
  void WatchAgain(Duration delay);
  void OnHead(const PlatformResult<KeyValue>& result);
  void FetchDocuments(ConfigurationHead head);
  void FetchNext();
  void Complete();
  void Apply(ConfigurationBundle bundle);

  EventLoop& loop_;
  PlatformClient& platform_;
  HttpClient http_;
  Loaded loaded_;
  Peers peers_;
  Timer retry_;
  int failures_ = 0;
  std::uint64_t head_version_ = 0;
  bool has_head_ = false;
  // The head whose documents are being fetched.
  std::optional<ConfigurationHead> fetching_;
  // Texts by the platform's key.
  std::map<std::string, std::string> texts_;
  ConfigurationBundle in_force_;
};

}  // namespace scaleshed

#endif  // SCALESHED_DAEMON_SRC_INTERNAL_CONFIGURATION_WATCHER_H_
