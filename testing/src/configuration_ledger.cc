#include "scaleshed/testing/configuration_ledger.h"

#include <algorithm>

namespace scaleshed::testing {
namespace {

constexpr int kOk = 200;
constexpr int kUnauthorized = 401;

}  // namespace

int ConfigurationLedger::newest() const {
  return acknowledged_.empty() ? 0 : acknowledged_.rbegin()->first;
}

bool ConfigurationLedger::IsCalm(Time sent, const std::string& daemon) const {
  const auto it = daemons_.find(daemon);
  const Time disturbed =
      std::max(store_, it == daemons_.end() ? Time{} : it->second);
  return sent > disturbed + kContact;
}

void ConfigurationLedger::Answered(Time sent, const std::string& daemon,
                                   int version, int status) {
  ++answers_;
  const bool calm = IsCalm(sent, daemon);
  const auto next = acknowledged_.upper_bound(version);
  const std::string what = daemon + " answered " + std::to_string(status) +
                           " under the key of version " +
                           std::to_string(version);
  if (next == acknowledged_.end()) {
    const bool known = sent > acknowledged_.at(version) + kInForce;
    if (calm && known && status == kUnauthorized) {
      broken_.push_back(what + ", which is the newest");
    }
    return;
  }
  const Duration dropped = sent - next->second;
  const bool late = dropped > kRevoked || (calm && dropped > kInForce);
  if (!late || status != kOk) return;
  const auto ms = std::chrono::duration_cast<milliseconds>(dropped).count();
  broken_.push_back(what + ", dropped " + std::to_string(ms) + " ms before" +
                    (calm ? "" : " (in trouble)"));
}

}  // namespace scaleshed::testing
