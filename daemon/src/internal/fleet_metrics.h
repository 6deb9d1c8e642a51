#ifndef SCALESHED_DAEMON_INTERNAL_FLEET_METRICS_H_
#define SCALESHED_DAEMON_INTERNAL_FLEET_METRICS_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "scaleshed/runtime/metrics.h"
#include "scaleshed/serving/state.h"

namespace scaleshed {

// What one daemon on the platform has counted and measured, and what it
// believes now. Not thread safe.
class FleetMetrics {
 public:
  void Add(serving::Counter counter);
  // How long an answer or a stream's first event took, by account and route.
  void Observe(const serving::ObserveLatency& observed);

  // Forgets what was measured for routes and accounts that are not in it, so
  // that memory doesn't grow with the number of changes.
  void KeepOnly(const serving::Configuration& configuration);

  // The text form that monitoring tools scrape.
  std::string Render(const serving::State& state) const;

 private:
  std::array<std::uint64_t, serving::kCounterNames.size()> counters_{};
  std::map<std::pair<std::string, std::string>, LatencyHistogram> latencies_;
};

}  // namespace scaleshed

#endif  // SCALESHED_DAEMON_INTERNAL_FLEET_METRICS_H_
