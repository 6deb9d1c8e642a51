#ifndef SCALESHED_TESTING_EVACUATION_LEDGER_H_
#define SCALESHED_TESTING_EVACUATION_LEDGER_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "scaleshed/core/types.h"

namespace scaleshed::testing {

// What the backend servers of evacuated data centres get. Broken by a request
// that reaches one of them later than kInForce after its evacuation was
// requested, from a daemon to which nothing has happened for kContact, nor to
// the store. Times never decrease.
class EvacuationLedger {
 public:
  static constexpr Duration kInForce = seconds(5);
  static constexpr Duration kContact = seconds(3);

  void Requested(Time now, const std::string& data_centre) {
    since_.try_emplace(data_centre, now);
  }
  void Withdrawn(const std::string& data_centre) { since_.erase(data_centre); }
  bool IsEvacuated(const std::string& data_centre) const {
    return since_.contains(data_centre);
  }
  void DaemonDisturbed(Time now, const std::string& daemon) {
    daemons_[daemon] = now;
  }
  // Also as long as what the operators wrote is lost and not written again.
  void StoreDisturbed(Time now) { store_ = now; }
  // A request of the daemon reached a server of the data centre, at `after` or
  // later.
  void Arrived(Time after, const std::string& data_centre,
               const std::string& daemon, const std::string& request);

  std::size_t evacuations() const { return since_.size(); }
  // What was broken, in words; empty: nothing.
  const std::vector<std::string>& Broken() const { return broken_; }

 private:
  std::map<std::string, Time> since_;  // by data centre
  std::map<std::string, Time> daemons_;
  Time store_{};
  std::vector<std::string> broken_;
};

}  // namespace scaleshed::testing

#endif  // SCALESHED_TESTING_EVACUATION_LEDGER_H_
