#ifndef SCALESHED_CONFIG_SETTINGS_H_
#define SCALESHED_CONFIG_SETTINGS_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "scaleshed/config/errors.h"
#include "scaleshed/core/result.h"
#include "scaleshed/core/types.h"

namespace scaleshed {

// For a daemon on the users' platform: it serves requests by the routes of the
// configuration that lies in the platform's store.
struct FleetSettings {
  std::string ready_listen;    // the platform's checks, "ip:port"
  std::string look_up_listen;  // clients' questions where to go, "ip:port"
  // Counters and histograms, "ip:port"; empty: not served.
  std::string metrics_listen;
  // How long ago the configuration must have been the newest for a request
  // with a key to run; keys count for ever where `keys_fail_closed` is false.
  Duration key_freshness = seconds(5);
  bool keys_fail_closed = true;
  // What the platform's store has taken is in force within this: a new
  // configuration, a backend server's word that it leaves, the evacuation of a
  // data centre. The shortest of the bounds that operators give.
  Duration news_within = seconds(2);
  // Whether operators give a bound for evacuations.
  bool bounds_evacuations = false;
  // The daemon's own region, and the region of each data centre.
  std::string region;
  std::map<std::string, std::string> regions;
  // A cold backend server gets, from all daemons together and within any one
  // second, at most its service's rate times the first plus the second.
  double warm_up_overage = 1;
  double warm_up_slack = 0;
  // Of all daemons together, for each service and window.
  double repeat_ratio = 0.2;
  double repeat_slack = 0;
  Duration repeat_window = seconds(10);
  // From the request to stop to the end of the process.
  Duration grace = seconds(8);
  // What the machine can do against the others of the fleet: of its processor
  // and its link the one that is smaller against kUsualProcessor and
  // kUsualLink. Duties for all go to those with the most.
  double capacity = 1;
};

// What one daemon is told when it starts. A restart is needed to change it.
struct Settings {
  std::string instance;
  std::string data_centre;
  std::string listen;       // HTTP, "ip:port"
  std::string peer_listen;  // ZeroMQ, "ip:port"
  std::string platform;     // "ip:port"
  // Peers to ask while the platform's list can't be had; "ip:port", ZeroMQ.
  std::vector<std::string> seed_peers;
  std::string log_level = "info";
  Duration look_up_keep = seconds(5);
  Duration report_interval = milliseconds(250);
  Duration list_interval = seconds(1);
  Duration default_time_limit = seconds(60);
  std::int64_t max_body_bytes = 16 * 1024 * 1024;
  // Of the machine, for this process; clients' connections may take a part.
  double memory_mb = 160;
  // Open descriptors of this process, at most; none: what the system allows.
  std::optional<std::int64_t> max_descriptors;
  // Where set, the daemon serves the platform's clients instead of its own API.
  std::optional<FleetSettings> fleet;
};

Result<Settings, ConfigErrors> ParseSettings(const std::string& file,
                                             const std::string& text);
Result<Settings, ConfigErrors> LoadSettings(const std::string& file);

}  // namespace scaleshed

#endif  // SCALESHED_CONFIG_SETTINGS_H_
