#ifndef SCALESHED_CONFIG_SETTINGS_H_
#define SCALESHED_CONFIG_SETTINGS_H_

#include <string>
#include <vector>

#include "scaleshed/config/errors.h"
#include "scaleshed/core/result.h"
#include "scaleshed/core/types.h"

namespace scaleshed {

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
};

Result<Settings, ConfigErrors> ParseSettings(const std::string& file,
                                             const std::string& text);
Result<Settings, ConfigErrors> LoadSettings(const std::string& file);

}  // namespace scaleshed

#endif  // SCALESHED_CONFIG_SETTINGS_H_
