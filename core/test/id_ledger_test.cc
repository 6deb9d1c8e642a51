#include "scaleshed/core/id_ledger.h"

#include <catch2/catch.hpp>

namespace scaleshed {
namespace {

constexpr std::int64_t kRetention = 15;

TEST_CASE("An id is new once, then in flight, then finished") {
  IdLedger ledger(kRetention);
  CHECK(std::holds_alternative<IdLedger::New>(ledger.Find("a", 100, 100)));
  ledger.Begin("a", 100, 7);
  const auto running = ledger.Find("a", 100, 100);
  REQUIRE(std::holds_alternative<IdLedger::InFlight>(running));
  CHECK(std::get<IdLedger::InFlight>(running).key == 7);
  ledger.Finish("a", Final{.outcome = Outcome::kDone, .body = "receipt"});
  const auto ended = ledger.Find("a", 100, 100);
  REQUIRE(std::holds_alternative<IdLedger::Finished>(ended));
  CHECK(std::get<IdLedger::Finished>(ended).final->body == "receipt");
}

TEST_CASE("A forgotten id can't run again, even if the clock is set back") {
  IdLedger ledger(kRetention);
  ledger.Begin("a", 100, 1);
  ledger.Finish("a", Final{.outcome = Outcome::kDone});
  ledger.Expire(200);
  CHECK(ledger.size() == 0);
  CHECK(std::holds_alternative<IdLedger::Expired>(ledger.Find("a", 100, 200)));
  CHECK(std::holds_alternative<IdLedger::Expired>(ledger.Find("a", 100, 100)));
}

TEST_CASE("A running id outlives the retention") {
  IdLedger ledger(kRetention);
  ledger.Begin("a", 100, 1);
  ledger.Expire(200);
  CHECK(std::holds_alternative<IdLedger::InFlight>(ledger.Find("a", 100, 200)));
}

TEST_CASE("Ids from the future are not accepted") {
  const IdLedger ledger(kRetention);
  CHECK(std::holds_alternative<IdLedger::New>(ledger.Find("a", 102, 100)));
  CHECK(std::holds_alternative<IdLedger::Expired>(ledger.Find("a", 103, 100)));
}

TEST_CASE("A large answer is not kept, its outcome is") {
  IdLedger ledger(kRetention);
  ledger.Begin("a", 100, 1);
  ledger.Finish("a",
                Final{.outcome = Outcome::kDone,
                      .body = std::string(IdLedger::kMaxKeptBody + 1, 'x')});
  const auto ended = ledger.Find("a", 100, 100);
  REQUIRE(std::holds_alternative<IdLedger::Finished>(ended));
  CHECK(std::get<IdLedger::Finished>(ended).final->outcome == Outcome::kDone);
  CHECK(std::get<IdLedger::Finished>(ended).final->body.empty());
}

TEST_CASE("Request ids are read back, and bad ones are refused") {
  const Incarnation home{.instance = "hall-a-1", .number = 0x18c2f3};
  const auto id = ParseRequestId(IdPrefix(home, 7) + "sign-off");
  REQUIRE(id);
  CHECK(id->home == home);
  CHECK(id->block == 7);
  CHECK(id->suffix == "sign-off");
  for (const std::string bad :
       {"", "a", "a.b", "a.1.2", "a.1.2-", ".1.2-x", "a.zz.2-x", "a.1.x-y"}) {
    INFO(bad);
    CHECK_FALSE(ParseRequestId(bad));
  }
  CHECK_FALSE(ParseRequestId(IdPrefix(home, 7) + std::string(65, 'x')));
  CHECK_FALSE(ParseRequestId(IdPrefix(home, 7) + "\xff"));
}

}  // namespace
}  // namespace scaleshed
