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

// Guards against the requests of one daemon being counted as another's: a
// relayed request is sent by a daemon that its caller doesn't know.
TEST_CASE("Requests in a rest are counted for the daemon that sent them") {
  ServerLedger ledger;
  ledger.AskRest(kStart, "b", "d", seconds(3));
  ServerArrival arrival = Late("b", "b", seconds(1));
  arrival.sender = "other";
  for (int i = 0; i < 5; ++i) ledger.Arrived(arrival);
  CHECK(ledger.Broken().empty());
  arrival.daemon = "other";
  arrival.sender = "d";
  for (std::size_t i = 0; i <= ServerLedger::kMostInRest; ++i)
    ledger.Arrived(arrival);
  CHECK(ledger.Broken().size() == 1);
}

}  // namespace
}  // namespace scaleshed::testing
