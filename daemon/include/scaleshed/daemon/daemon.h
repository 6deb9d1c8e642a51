#ifndef SCALESHED_DAEMON_DAEMON_H_
#define SCALESHED_DAEMON_DAEMON_H_

#include <deque>
#include <memory>
#include <string>

#include "scaleshed/config/settings.h"
#include "scaleshed/core/reducer.h"
#include "scaleshed/runtime/event_loop.h"
#include "scaleshed/runtime/http_client.h"
#include "scaleshed/runtime/http_server.h"
#include "scaleshed/runtime/metrics.h"
#include "scaleshed/runtime/peer_transport.h"
#include "scaleshed/runtime/platform_client.h"

namespace scaleshed {

class BackendClient;
class CallerApi;
class ConfigurationWatcher;

// One entry instance: feeds everything that happens into the reducer and
// carries out what the reducer decides.
//
// Lives on one loop and one thread. Stop() begins the planned stop; the loop is
// stopped when that is complete.
class Daemon {
 public:
  // Throws std::runtime_error where an address can't be listened on.
  Daemon(EventLoop& loop, const Settings& settings);
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;
  ~Daemon();

  void Stop();

 private:
  void Feed(EventBody body);
  void Drain();
  void Carry(Effect& effect);
  void CarryToPeer(SendPeer& effect);
  void OnPeerBytes(const std::string& bytes);
  void ListInstances();
  void ListFromPeer();
  void OnList(std::vector<Instance> instances);
  std::vector<std::string> PeerAddresses() const;
  void WriteIds(const WriteFinishedIds& effect);
  void ReadIds(const ReadFinishedIds& effect);
  void UpdateGauges();

  EventLoop& loop_;
  Settings settings_;
  Metrics metrics_;
  PeerTransport peers_;
  HttpClient peer_http_;
  PlatformClient platform_;
  std::shared_ptr<ConnectionBudget> budget_;
  HttpServer http_;
  State state_;
  // The list as it was last had, for peers.
  std::vector<Instance> instances_;
  std::unique_ptr<CallerApi> callers_;
  std::unique_ptr<BackendClient> backends_;
  std::unique_ptr<ConfigurationWatcher> configuration_;
  std::deque<EventBody> pending_;
  bool draining_ = false;
  Timer tick_;
  Timer list_;
  Timer report_;
  Timer housekeeping_;
};

}  // namespace scaleshed

#endif  // SCALESHED_DAEMON_DAEMON_H_
