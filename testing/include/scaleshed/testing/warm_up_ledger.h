#ifndef SCALESHED_TESTING_WARM_UP_LEDGER_H_
#define SCALESHED_TESTING_WARM_UP_LEDGER_H_

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "scaleshed/core/types.h"

namespace scaleshed::testing {

// What cold backend servers get from all daemons together. Broken by more than
// `bound` requests within one second at a server that is cold, counted from
// when the daemons can know: kKnown after it became cold and after the store
// was disturbed. Times never decrease.
class WarmUpLedger {
 public:
  static constexpr Duration kKnown = seconds(3);
  static constexpr Duration kWindow = seconds(1);

  explicit WarmUpLedger(double bound) : bound_(bound) {}

  void BecameCold(Time now, const std::string& server, Duration length);
  void BecameWarm(const std::string& server) { cold_.erase(server); }
  // Daemons may not learn what servers say of themselves.
  void StoreDisturbed(Time now) { store_ = now; }
  // A request reached the server between `after` and `now`.
  void Arrived(Time after, Time now, const std::string& server);

  // Requests that were counted, so that a run shows that it tests something.
  std::size_t counted() const { return counted_; }
  // What was broken, in words, once for each server; empty: nothing.
  std::vector<std::string> Broken() const;

 private:
  struct Cold {
    Time since{};
    Time until{};
    std::deque<Time> arrivals;  // of the last window
    std::size_t most = 0;
  };

  double bound_;
  std::map<std::string, Cold> cold_;
  std::map<std::string, std::size_t> broken_;  // the most requests by server
  Time store_{};
  std::size_t counted_ = 0;
};

}  // namespace scaleshed::testing

#endif  // SCALESHED_TESTING_WARM_UP_LEDGER_H_
