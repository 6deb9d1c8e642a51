#ifndef SCALESHED_TESTING_CONFIGURATION_LEDGER_H_
#define SCALESHED_TESTING_CONFIGURATION_LEDGER_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "scaleshed/core/types.h"

namespace scaleshed::testing {

// What daemons make of configurations that the operators' writes were
// acknowledged for, as callers see it. Each version names a key of its own and
// drops that of the version before. Counted:
//   - a request under a dropped key that ran, and was sent later than kRevoked
//     after the acknowledgement: none, whatever happens to the daemon or store;
//   - of a daemon that nothing has happened to for kContact, nor to the store:
//   a
//     request sent later than kInForce after an acknowledgement that ran under
//     a dropped key, or was refused (401) under the newest: none.
// Times never fall. That the store lost a version doesn't take back that it was
// acknowledged.
class ConfigurationLedger {
 public:
  static constexpr Duration kRevoked = seconds(5);
  static constexpr Duration kInForce = seconds(2);
  static constexpr Duration kContact = seconds(3);

  static std::string KeyOf(int version) {
    return "version-" + std::to_string(version);
  }

  void Acknowledged(Time now, int version) { acknowledged_[version] = now; }
  void DaemonDisturbed(Time now, const std::string& daemon) {
    daemons_[daemon] = now;
  }
  // Also as long as what the operators wrote is lost and not written again.
  void StoreDisturbed(Time now) { store_ = now; }
  // A request under that version's key was answered.
  void Answered(Time sent, const std::string& daemon, int version, int status);

  // The last; zero: none.
  int newest() const;
  std::size_t answers() const { return answers_; }
  // What was broken, in words; empty: nothing.
  const std::vector<std::string>& Broken() const { return broken_; }

 private:
  bool IsCalm(Time sent, const std::string& daemon) const;

  std::map<int, Time> acknowledged_;
  std::map<std::string, Time> daemons_;
  Time store_{};
  std::size_t answers_ = 0;
  std::vector<std::string> broken_;
};

}  // namespace scaleshed::testing

#endif  // SCALESHED_TESTING_CONFIGURATION_LEDGER_H_
