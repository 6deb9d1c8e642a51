#ifndef SCALESHED_TESTING_PATH_LEDGER_H_
#define SCALESHED_TESTING_PATH_LEDGER_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "scaleshed/core/types.h"

namespace scaleshed::testing {

// Compares how daemons serve that are cut off from all backend servers with how
// the others serve meanwhile, as callers see it. What a caller sent to a daemon
// from kContact after it was cut off until it was reconnected counts; requests
// at daemons that were disturbed within kContact don't.
//
// Broken if the share served at the daemons cut off is less than
// kLeastServedShare of the share served at the others, and more than
// kFailuresAllowed + kFailureShareAllowed of all counted requests fail there.
class PathLedger {
 public:
  static constexpr Duration kContact = seconds(3);
  static constexpr double kLeastServedShare = 2.0 / 3;
  static constexpr double kFailuresAllowed = 10;
  static constexpr double kFailureShareAllowed = 0.02;

  void CutOff(Time now, const std::string& daemon) { cut_[daemon] = now; }
  void Reconnected(const std::string& daemon) { cut_.erase(daemon); }
  // A daemon was killed, stopped, started, frozen or woken.
  void Disturbed(Time now, const std::string& daemon) {
    disturbed_[daemon] = now;
  }
  // A caller sends a request to a daemon. The result is what Ended() takes.
  enum class Group { kNotCounted, kCutOff, kOther };
  Group Sent(Time now, const std::string& daemon) const;
  void Ended(Group group, bool served);

  std::vector<std::string> Broken() const;

 private:
  struct Count {
    std::size_t requests = 0;
    std::size_t served = 0;
    double share() const;
    double failed() const { return static_cast<double>(requests - served); }
  };

  std::map<std::string, Time> cut_;        // when each was cut off
  std::map<std::string, Time> disturbed_;  // when each was last disturbed
  Count cut_off_;
  Count others_;
};

}  // namespace scaleshed::testing

#endif  // SCALESHED_TESTING_PATH_LEDGER_H_
