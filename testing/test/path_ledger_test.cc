#include "scaleshed/testing/path_ledger.h"

#include <catch2/catch.hpp>
#include <string>

namespace scaleshed::testing {
namespace {

const Time kStart{seconds(100)};

// Sends requests to a daemon, of which `served` are served.
void SendMany(PathLedger& ledger, Time now, const std::string& daemon,
              int requests, int served) {
  for (int i = 0; i < requests; ++i) {
    ledger.Ended(ledger.Sent(now, daemon), i < served);
  }
}

TEST_CASE("Daemons that are cut off have to serve two thirds as often") {
  PathLedger ledger;
  ledger.CutOff(kStart, "a");
  const Time later = kStart + seconds(3);
  SendMany(ledger, later, "b", 100, 90);
  SendMany(ledger, later, "a", 100, 60);
  CHECK(ledger.Broken().empty());
  SendMany(ledger, later, "a", 20, 0);
  CHECK(ledger.Broken().size() == 1);
}

TEST_CASE("A few failures are allowed") {
  PathLedger ledger;
  ledger.CutOff(kStart, "a");
  const Time later = kStart + seconds(3);
  SendMany(ledger, later, "b", 100, 100);
  SendMany(ledger, later, "a", 12, 0);
  CHECK(ledger.Broken().empty());
  SendMany(ledger, later, "a", 1, 0);
  CHECK(ledger.Broken().size() == 1);
}

TEST_CASE("Only what is sent after contact and during a cut counts") {
  PathLedger ledger;
  SendMany(ledger, kStart, "a", 50, 0);
  ledger.CutOff(kStart, "a");
  SendMany(ledger, kStart + seconds(2), "a", 50, 0);
  ledger.Disturbed(kStart + seconds(3), "a");
  SendMany(ledger, kStart + seconds(5), "a", 50, 0);
  ledger.Reconnected("a");
  SendMany(ledger, kStart + seconds(9), "a", 50, 0);
  CHECK(ledger.Broken().empty());
}

}  // namespace
}  // namespace scaleshed::testing
