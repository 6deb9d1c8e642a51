#include "scaleshed/core/fair_queue.h"

#include <catch2/catch.hpp>

namespace scaleshed {
namespace {

const Time kNow{seconds(100)};

FairQueue::Entry MakeEntry(RequestKey key, const std::string& account,
                           Priority priority) {
  return {.key = key,
          .account = account,
          .priority = priority,
          .arrived = kNow,
          .time_limit = seconds(40),
          .work = seconds(1)};
}

TEST_CASE("Classes go first, then the account that was served least") {
  FairQueue queue;
  queue.Push(MakeEntry(1, "a", Priority::kBatch));
  queue.Push(MakeEntry(2, "b", Priority::kStandard));
  queue.Push(MakeEntry(3, "c", Priority::kStandard));
  queue.Charge("b", 1, 1000);
  const auto heads = queue.Heads(kNow);
  REQUIRE(heads.size() == 3);
  CHECK(heads[0].key == 3);
  CHECK(heads[1].key == 2);
  CHECK(heads[2].key == 1);
}

TEST_CASE("A weight makes served tokens count less") {
  FairQueue queue;
  queue.Push(MakeEntry(1, "a", Priority::kStandard));
  queue.Push(MakeEntry(2, "b", Priority::kStandard));
  queue.Charge("a", 4, 2000);
  queue.Charge("b", 1, 1000);
  CHECK(queue.Heads(kNow)[0].key == 1);
}

TEST_CASE("Waiting moves a request up, so that none starves") {
  FairQueue queue;
  queue.Push(MakeEntry(1, "a", Priority::kBatch));
  // Every quarter of its 40 s moves it up by one class.
  FairQueue::Entry soon = MakeEntry(2, "b", Priority::kInteractive);
  soon.arrived = kNow + seconds(15);
  queue.Push(soon);
  CHECK(queue.Heads(kNow + seconds(15))[0].key == 2);
  queue.Remove(2);
  FairQueue::Entry later = MakeEntry(3, "b", Priority::kInteractive);
  later.arrived = kNow + seconds(31);
  queue.Push(later);
  CHECK(queue.Heads(kNow + seconds(31))[0].key == 1);
}

TEST_CASE("The last of the lowest class is shed, never one that has begun") {
  FairQueue queue;
  queue.Push(MakeEntry(1, "a", Priority::kStandard));
  FairQueue::Entry begun = MakeEntry(2, "b", Priority::kBatch);
  begun.started = true;
  queue.Push(begun);
  CHECK(queue.LowestBelow(Priority::kInteractive) == RequestKey{1});
  CHECK_FALSE(queue.LowestBelow(Priority::kStandard));
}

TEST_CASE("Work counts only up to a level and a class") {
  FairQueue queue;
  queue.Push(MakeEntry(1, "a", Priority::kInteractive));
  FairQueue::Entry dossier = MakeEntry(2, "a", Priority::kInteractive);
  dossier.level = 9;
  queue.Push(dossier);
  queue.Push(MakeEntry(3, "b", Priority::kBatch));
  CHECK(queue.WorkBefore(Priority::kInteractive, 0) == seconds(1));
  CHECK(queue.WorkBefore(Priority::kInteractive, 9) == seconds(2));
  CHECK(queue.WorkBefore(Priority::kBatch, 9) == seconds(3));
}

}  // namespace
}  // namespace scaleshed
