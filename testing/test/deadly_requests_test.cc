// Whole daemons, a store and workers that end under a request; see
// serving/test/deadly_requests_test.cc for the incident.

#include <algorithm>

#include "fleet_harness.h"

namespace scaleshed::testing {
namespace {

// Workers that end under a body "deadly", and come back under another id.
class DeadlyFleet : public Fleet {
 public:
  DeadlyFleet() {
    Configure();
    for (std::size_t i = 0; i < kWorkers; ++i) {
      AddWorker("llm").EndUnder("deadly", milliseconds(20),
                                [this, i] { OnEnd(i); });
      worker(i).EndUnderPart("bad");
    }
  }
  // The status of a prompt with these parts, at that daemon; zero: its answer
  // broke off.
  int AskWithParts(const std::string& parts, std::size_t to) {
    const auto asked =
        Send("/chat/x", {{"X-Prefix-Hash", parts}, {"X-Model", "m"}}, to,
             "question " + std::to_string(++questions_));
    REQUIRE(Until([&] { return asked->done; }));
    return asked->status();
  }
  int ends() const { return ends_; }

 private:
  static constexpr std::size_t kWorkers = 6;
  static constexpr Duration kDownFor = milliseconds(1200);

  void OnEnd(std::size_t i) {
    ++ends_;
    timers_.push_back(std::make_unique<Timer>(loop(), [this, i] {
      store().Remove("servers/" + worker(i).id());
      worker(i).Begin("life-" + std::to_string(ends_) + std::to_string(i));
      store().Put("servers/" + worker(i).id(), worker(i).Entry("llm"));
    }));
    timers_.back()->Once(kDownFor);
  }

  int ends_ = 0;
  int questions_ = 0;
  std::vector<std::unique_ptr<Timer>> timers_;
};

// Asks for it at daemons in turn until it is held.
bool IsHeldAfterThree(DeadlyFleet& fleet, std::size_t daemons) {
  for (std::size_t n = 0; n < 12; ++n) {
    if (fleet.AskWith("/chat/x", "deadly", n % daemons) == 400) return true;
  }
  return false;
}

// The store names as many lives as ended.
bool IsStored(DeadlyFleet& fleet) {
  constexpr std::size_t kThreeLives = 3 * 16 + 2;
  return fleet.Until([&] {
    const std::string key = fleet.store().KeyWith("scaleshed/endings/");
    return fleet.store().Value(key).size() == kThreeLives;
  });
}

TEST_CASE("A request that ends workers is held by all daemons, for good") {
  DeadlyFleet fleet;
  fleet.AddDaemon();
  fleet.AddDaemon();
  REQUIRE(fleet.WaitReady(0));
  REQUIRE(fleet.WaitReady(1));
  REQUIRE(IsHeldAfterThree(fleet, 2));
  CHECK(fleet.ends() == 3);
  for (std::size_t i = 0; i < 2; ++i) {
    CHECK(fleet.AskWith("/chat/x", "deadly", i) == 400);
    // Another body at the same path is served.
    CHECK(fleet.AskWith("/chat/x", "harmless", i) == 200);
  }
  REQUIRE(IsStored(fleet));
  // One that starts later knows it from the store alone.
  fleet.AddDaemon();
  REQUIRE(fleet.WaitReady(2));
  CHECK(fleet.AskWith("/chat/x", "deadly", 2) == 400);
  CHECK(fleet.ends() == 3);
}

// The store refused the write of more than it takes at once, again and again,
// and daemons took it for away.
TEST_CASE("Ends under more contents than one write takes are all kept") {
  constexpr std::size_t kHeld = 40;
  Fleet fleet;
  fleet.Configure();
  FakeWorker& worker = fleet.AddWorker("app");
  worker.SetMode(WorkerMode::kHanging);
  worker.EndUnder("deadly", milliseconds(20), [] {});
  fleet.AddDaemon();
  REQUIRE(fleet.WaitReady());
  std::vector<std::shared_ptr<Asked>> held;
  for (std::size_t i = 0; i < kHeld; ++i) {
    held.push_back(
        fleet.Send("/plain/safe/a", {}, 0, "held " + std::to_string(i)));
  }
  REQUIRE(
      fleet.Until([&] { return worker.runs() == static_cast<int>(kHeld); }));
  held.push_back(fleet.Send("/plain/safe/a", {}, 0, "deadly"));
  CHECK(fleet.Until([&] {
    return fleet.store().KeysWith("scaleshed/endings/").size() == kHeld + 1;
  }));
}

TEST_CASE("An operator releases a content by its entry in the store") {
  DeadlyFleet fleet;
  fleet.AddDaemon();
  REQUIRE(fleet.WaitReady());
  REQUIRE(IsHeldAfterThree(fleet, 1));
  REQUIRE(IsStored(fleet));
  fleet.store().Remove(fleet.store().KeyWith("scaleshed/endings/"));
  REQUIRE(fleet.Eventually(
      [&] { return fleet.AskWith("/chat/x", "deadly", 0) != 400; }));
  CHECK(fleet.ends() > 3);
}

// Asks with prompts that are all different at daemons in turn, until they are
// refused; beside them with sound ones, which have to be served.
bool IsPartHeldAfterThree(DeadlyFleet& fleet, std::size_t daemons) {
  for (std::size_t n = 0; n < 12; ++n) {
    const std::size_t to = n % daemons;
    CHECK(fleet.AskWithParts("c0:40,a1:10,ffff:20", to) == 200);
    const std::string middle = "b" + std::to_string(n);
    if (fleet.AskWithParts("c0:40,bad:10," + middle + ":10,ee:20", to) == 400)
      return true;
  }
  return false;
}

constexpr char kPartsPrefix[] = "scaleshed/part-endings/";

// The store names three lives that ended under a part, one of them while the
// part was suspected already.
bool IsPartStored(DeadlyFleet& fleet) {
  constexpr std::size_t kThreeLives = 3 * 16 + 2;
  return fleet.Until([&] {
    const auto keys = fleet.store().KeysWith(kPartsPrefix);
    return std::any_of(keys.begin(), keys.end(), [&](const std::string& it) {
      const std::size_t lives = fleet.store().Value(it).find(" suspected:");
      return lives != std::string::npos && lives >= kThreeLives;
    });
  });
}

TEST_CASE("Prompts with a part that ends workers are held, the others served") {
  DeadlyFleet fleet;
  fleet.AddDaemon();
  fleet.AddDaemon();
  REQUIRE(fleet.WaitReady(0));
  REQUIRE(fleet.WaitReady(1));
  REQUIRE(IsPartHeldAfterThree(fleet, 2));
  CHECK(fleet.ends() <= 4);
  const int ends = fleet.ends();
  for (std::size_t i = 0; i < 2; ++i) {
    CHECK(fleet.AskWithParts("c0:40,bad:10,a2:10,dd:20", i) == 400);
    CHECK(fleet.AskWithParts("c0:40,a2:10,dd:20", i) == 200);
    // The last part is the request's own, whatever its name.
    CHECK(fleet.AskWithParts("c0:40,a2:10", i) == 200);
  }
  CHECK(fleet.ends() == ends);
  REQUIRE(IsPartStored(fleet));
  // One that starts later knows it from the store alone.
  fleet.AddDaemon();
  REQUIRE(fleet.WaitReady(2));
  CHECK(fleet.AskWithParts("c0:40,bad:10,dd:20", 2) == 400);
  CHECK(fleet.ends() == ends);
}

TEST_CASE("An operator releases a prompt part by its entry in the store") {
  DeadlyFleet fleet;
  fleet.AddDaemon();
  REQUIRE(fleet.WaitReady());
  REQUIRE(IsPartHeldAfterThree(fleet, 1));
  REQUIRE(IsPartStored(fleet));
  for (std::size_t i = 0; i < 6; ++i) fleet.worker(i).EndUnderPart("");
  for (const std::string& it : fleet.store().KeysWith(kPartsPrefix))
    fleet.store().Remove(it);
  CHECK(fleet.Eventually(
      [&] { return fleet.AskWithParts("c0:40,bad:10,dd:20", 0) == 200; }));
}

}  // namespace
}  // namespace scaleshed::testing
