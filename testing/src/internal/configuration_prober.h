#ifndef SCALESHED_TESTING_SRC_INTERNAL_CONFIGURATION_PROBER_H_
#define SCALESHED_TESTING_SRC_INTERNAL_CONFIGURATION_PROBER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "scaleshed/runtime/event_loop.h"
#include "scaleshed/runtime/http_client.h"
#include "scaleshed/testing/configuration_ledger.h"
#include "scaleshed/testing/soak_ledger.h"

namespace scaleshed::testing {

// Asks each daemon again and again under the key of the newest configuration
// and of those before, and tells both ledgers what came of it.
class ConfigurationProber {
 public:
  // `daemons`: their addresses for callers. All must outlive this.
  ConfigurationProber(EventLoop& loop, std::vector<std::string> daemons,
                      ConfigurationLedger& ledger, SoakLedger& requests);

  // Called with the id of each request and the daemon that it goes to.
  void OnSend(
      std::function<void(const std::string&, const std::string&)> tell) {
    tell_ = std::move(tell);
  }
  void Begin(Duration every) { timer_.Every(every); }
  void End() { timer_.Cancel(); }
  std::size_t waiting() const { return waiting_; }

 private:
  void AskAll();
  void Ask(const std::string& daemon, int version);

  EventLoop& loop_;
  std::vector<std::string> daemons_;
  ConfigurationLedger& ledger_;
  SoakLedger& requests_;
  HttpClient http_;
  std::function<void(const std::string&, const std::string&)> tell_;
  std::uint64_t last_id_ = 0;
  std::size_t waiting_ = 0;
  int round_ = 0;
  Timer timer_;
};

}  // namespace scaleshed::testing

#endif  // SCALESHED_TESTING_SRC_INTERNAL_CONFIGURATION_PROBER_H_
