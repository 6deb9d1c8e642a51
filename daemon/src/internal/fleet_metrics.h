#ifndef SCALESHED_DAEMON_INTERNAL_FLEET_METRICS_H_
#define SCALESHED_DAEMON_INTERNAL_FLEET_METRICS_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "scaleshed/runtime/http_server.h"
#include "scaleshed/runtime/metrics.h"
#include "scaleshed/serving/state.h"

namespace scaleshed {

// Messages to other daemons, by what they say.
enum class DatagramKind { kSnapshot, kRelay, kQuestion, kPlacement };
inline constexpr NameTable<DatagramKind, 4> kDatagramKindNames{{
    {DatagramKind::kSnapshot, "snapshot"},
    {DatagramKind::kRelay, "relay"},
    {DatagramKind::kQuestion, "question"},
    {DatagramKind::kPlacement, "placement"},
}};

// What one daemon on the platform has counted and measured, and what it
// believes now. Not thread safe.
class FleetMetrics {
 public:
  void Add(serving::Counter counter);
  // How long an answer or a stream's first event took, by account and route.
  void Observe(const serving::ObserveLatency& observed);

  void CountDatagram(DatagramKind kind, std::size_t bytes);
  // Counts a connection that ended in the middle of something.
  void CountCut(ConnectionStage stage);
  // How long after it was due the loop came to a tick: what waits for a
  // processor that is short waits as long.
  void ObserveLate(Duration late) { loop_late_.Add(late); }

  // Forgets what was measured for routes and accounts that are not in it, so
  // that memory doesn't grow with the number of changes.
  void KeepOnly(const serving::Configuration& configuration);

  // The text form that monitoring tools scrape.
  std::string Render(const serving::State& state,
                     const ConnectionBudget& budget,
                     std::size_t open_connections) const;

 private:
  struct Sent {
    std::uint64_t datagrams = 0;
    std::uint64_t bytes = 0;
  };

  std::array<std::uint64_t, serving::kCounterNames.size()> counters_{};
  std::map<std::pair<std::string, std::string>, LatencyHistogram> latencies_;
  std::array<Sent, kDatagramKindNames.size()> sent_{};
  std::array<std::uint64_t, kConnectionStageNames.size()> cut_{};
  LatencyHistogram loop_late_;
};

}  // namespace scaleshed

#endif  // SCALESHED_DAEMON_INTERNAL_FLEET_METRICS_H_
