#include "scaleshed/testing/configuration_ledger.h"

#include <catch2/catch.hpp>

namespace scaleshed::testing {
namespace {

const Time kStart{seconds(100)};

// Two versions, the second one acknowledged at kStart; all calm before.
ConfigurationLedger TwoVersions() {
  ConfigurationLedger ledger;
  ledger.Acknowledged(kStart - seconds(50), 1);
  ledger.Acknowledged(kStart, 2);
  return ledger;
}

TEST_CASE("A dropped key that runs late at a calm daemon is counted") {
  ConfigurationLedger ledger = TwoVersions();
  ledger.Answered(kStart + milliseconds(1900), "a", 1, 200);
  ledger.Answered(kStart + milliseconds(2100), "a", 1, 401);
  ledger.Answered(kStart + milliseconds(2100), "a", 1, 503);
  CHECK(ledger.Broken().empty());
  ledger.Answered(kStart + milliseconds(2100), "a", 1, 200);
  CHECK(ledger.Broken().size() == 1);
}

TEST_CASE("Trouble excuses a lag, and no dropped key for longer") {
  ConfigurationLedger ledger = TwoVersions();
  ledger.StoreDisturbed(kStart);
  ledger.DaemonDisturbed(kStart + seconds(3), "a");
  ledger.Answered(kStart + milliseconds(2500), "b", 1, 200);
  ledger.Answered(kStart + milliseconds(4900), "a", 1, 200);
  CHECK(ledger.Broken().empty());
  ledger.Answered(kStart + milliseconds(3100), "b", 1, 200);
  ledger.Answered(kStart + milliseconds(5100), "a", 1, 200);
  CHECK(ledger.Broken().size() == 2);
}

TEST_CASE("The newest key that is refused is counted") {
  ConfigurationLedger ledger = TwoVersions();
  ledger.Answered(kStart + milliseconds(1900), "a", 2, 401);
  ledger.Answered(kStart + milliseconds(2100), "a", 2, 503);
  CHECK(ledger.Broken().empty());
  ledger.Answered(kStart + milliseconds(2100), "a", 2, 401);
  CHECK(ledger.Broken().size() == 1);
}

}  // namespace
}  // namespace scaleshed::testing
