#include "scaleshed/testing/answer_ledger.h"

#include <catch2/catch.hpp>
#include <string>

namespace scaleshed::testing {
namespace {

constexpr Duration kDeadline = seconds(4);
constexpr int kOk = 200;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
const Time kStart{seconds(100)};
const Time kTaken = kStart + milliseconds(100);
const Time kEnd = kStart + seconds(1);

// Of a request "r" at the daemon "d" that the server "s" took from "e".
AnswerLedger TakenLedger() {
  AnswerLedger ledger;
  ledger.Sent(kStart, "r", "d", kStart + kDeadline);
  ledger.Taken(kTaken, "r", "s", "e");
  return ledger;
}

bool Breaks(AnswerLedger ledger, Time now, AnswerEnd end, int status = 0) {
  ledger.Ended(now, "r", end, status);
  return !ledger.Broken().empty();
}

TEST_CASE("A request that a sound server took has to get an answer") {
  CHECK_FALSE(Breaks(TakenLedger(), kEnd, AnswerEnd::kWhole, kOk));
  CHECK_FALSE(Breaks(TakenLedger(), kEnd, AnswerEnd::kStatus, kUnavailable));
  CHECK_FALSE(Breaks(TakenLedger(), kEnd, AnswerEnd::kTimedOut));
  CHECK(Breaks(TakenLedger(), kEnd, AnswerEnd::kStatus, kBadGateway));
  CHECK(Breaks(TakenLedger(), kEnd, AnswerEnd::kCut));
  CHECK(Breaks(TakenLedger(), kEnd, AnswerEnd::kClosed));
}

TEST_CASE("A request that no server took may fail, and not be closed") {
  AnswerLedger ledger;
  ledger.Sent(kStart, "r", "d", kStart + kDeadline);
  CHECK_FALSE(Breaks(ledger, kEnd, AnswerEnd::kStatus, kBadGateway));
  CHECK_FALSE(Breaks(ledger, kEnd, AnswerEnd::kUnsent));
  CHECK(Breaks(ledger, kEnd, AnswerEnd::kClosed));
}

TEST_CASE("A close that may have crossed its request tells nothing") {
  AnswerLedger ledger;
  ledger.Sent(kStart, "r", "d", kStart + kDeadline);
  ledger.NotLooking(kStart - seconds(2), kStart - milliseconds(1));
  ledger.NotLooking(kStart, kStart + AnswerLedger::kLookGap - milliseconds(1));
  CHECK(Breaks(ledger, kEnd, AnswerEnd::kClosed));
  ledger.NotLooking(kStart, kStart + AnswerLedger::kLookGap);
  CHECK_FALSE(Breaks(ledger, kEnd, AnswerEnd::kClosed));
  ledger.Taken(kTaken, "r", "s", "e");
  CHECK(Breaks(ledger, kEnd, AnswerEnd::kClosed));
}

TEST_CASE("From its deadline on a request may be cut, and not be closed") {
  const Time late = kStart + kDeadline;
  CHECK_FALSE(Breaks(TakenLedger(), late, AnswerEnd::kCut));
  CHECK(Breaks(TakenLedger(), late - milliseconds(1), AnswerEnd::kCut));
  CHECK(Breaks(TakenLedger(), late, AnswerEnd::kClosed));
}

TEST_CASE("Disturbed servers excuse a cut, and no close") {
  AnswerLedger ledger = TakenLedger();
  ledger.ServersDisturbed(kStart - seconds(2), kStart - seconds(1));
  ledger.ServersDisturbed(kEnd + seconds(1), kEnd + seconds(2));
  CHECK(Breaks(ledger, kEnd, AnswerEnd::kCut));
  ledger.ServersDisturbed(kTaken, kTaken + milliseconds(1));
  CHECK_FALSE(Breaks(ledger, kEnd, AnswerEnd::kCut));
  CHECK(Breaks(ledger, kEnd, AnswerEnd::kClosed));
}

TEST_CASE("A disturbed daemon excuses its own requests") {
  AnswerLedger ledger = TakenLedger();
  ledger.DaemonDisturbed(kStart - AnswerLedger::kGrace - milliseconds(1), "d");
  ledger.DaemonDisturbed(kTaken, "other");
  CHECK(Breaks(ledger, kEnd, AnswerEnd::kCut));
  ledger.DaemonDisturbed(kTaken, "d");
  CHECK_FALSE(Breaks(ledger, kEnd, AnswerEnd::kCut));
  CHECK_FALSE(Breaks(ledger, kEnd, AnswerEnd::kClosed));
}

TEST_CASE("A disturbed daemon excuses what it had sent to a server") {
  AnswerLedger ledger = TakenLedger();
  ledger.DaemonDisturbed(kTaken, "e");
  CHECK_FALSE(Breaks(ledger, kEnd, AnswerEnd::kCut));
  CHECK(Breaks(ledger, kEnd, AnswerEnd::kClosed));
}

TEST_CASE("Any daemon may have sent what nobody is known to have sent") {
  AnswerLedger ledger = TakenLedger();
  ledger.Taken(kTaken, "r", "s", "");
  CHECK(Breaks(ledger, kEnd, AnswerEnd::kCut));
  ledger.DaemonDisturbed(kTaken, "other");
  CHECK_FALSE(Breaks(ledger, kEnd, AnswerEnd::kCut));
}

}  // namespace
}  // namespace scaleshed::testing
