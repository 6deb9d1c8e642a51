#include "scaleshed/testing/server_ledger.h"

#include <catch2/catch.hpp>

namespace scaleshed::testing {
namespace {

const Time kStart = Time{} + seconds(100);

// `after` the daemon "d" had passed on that the server "b" leaves.
ServerArrival Late(const std::string& server, const std::string& expected,
                   Duration after) {
  const Time now = kStart + after;
  return {.sent = now,
          .after = now,
          .now = now,
          .server = server,
          .expected = expected,
          .daemon = "d",
          .request = "r"};
}

// The life that had the address before the leaving one got the request.
TEST_CASE(
    "Requests for another life are not counted as sent to a leaving one") {
  ServerLedger ledger;
  ledger.ToldLeaving(kStart, "b", "d");
  ledger.Arrived(Late("b", "a", seconds(3)));
  CHECK(ledger.Broken().empty());
}

TEST_CASE("Requests for a leaving server are counted, whoever gets them") {
  for (const std::string server : {"b", "c"}) {
    ServerLedger ledger;
    ledger.ToldLeaving(kStart, "b", "d");
    ledger.Arrived(Late(server, "b", ServerLedger::kDrain));
    CHECK(ledger.Broken().empty());
    ledger.Arrived(Late(server, "b", ServerLedger::kDrain + milliseconds(1)));
    CHECK(ledger.Broken().size() == 1);
  }
}

}  // namespace
}  // namespace scaleshed::testing
