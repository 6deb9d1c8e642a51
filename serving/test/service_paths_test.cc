#include "scaleshed/serving/service_paths.h"

#include <catch2/catch.hpp>

namespace scaleshed::serving {
namespace {

const Time kNow{seconds(1000)};
constexpr std::size_t kServers = 18;

Time At(int ms) { return kNow + milliseconds(ms); }

ServicePath PathWithMisses(int servers, bool lost = false) {
  ServicePath path;
  for (int i = 1; i <= servers; ++i) {
    path.RecordMiss(static_cast<BackendId>(i), At(i), At(i + 10));
  }
  path.SetLost(lost);
  return path;
}

TEST_CASE("Misses at three servers, or at all of fewer, make a path doubtful") {
  CHECK_FALSE(PathWithMisses(2).IsDoubtful(kServers));
  CHECK(PathWithMisses(3).IsDoubtful(kServers));
  CHECK(PathWithMisses(2).IsDoubtful(2));
  // One server that fails may be at fault itself.
  CHECK_FALSE(PathWithMisses(1).IsDoubtful(1));
}

TEST_CASE("Repeated misses at one server don't make a path doubtful") {
  ServicePath path;
  for (int i = 0; i < 10; ++i) path.RecordMiss(1, At(i), At(i));
  CHECK_FALSE(path.IsDoubtful(kServers));
}

TEST_CASE("Only the answer to a call that began after a miss outweighs it") {
  ServicePath path = PathWithMisses(3);
  path.RecordAnswer(9, At(0));
  CHECK(path.IsDoubtful(kServers));
  path.RecordAnswer(9, At(4));
  CHECK_FALSE(path.IsDoubtful(kServers));
  CHECK(path.misses().empty());
  CHECK_FALSE(path.missing_since());
}

TEST_CASE("A miss of a call that began before an answered one doesn't count") {
  ServicePath path;
  path.RecordAnswer(9, At(100));
  for (int i = 1; i <= 3; ++i) {
    path.RecordMiss(static_cast<BackendId>(i), At(50), At(200));
  }
  CHECK_FALSE(path.IsDoubtful(kServers));
}

TEST_CASE("A lost path is open again once two servers have answered") {
  ServicePath path = PathWithMisses(3, /*lost=*/true);
  path.RecordAnswer(1, At(1000));
  path.RecordAnswer(1, At(1100));
  CHECK(path.IsDoubtful(kServers));
  CHECK(path.HasReturned(1));
  path.RecordAnswer(2, At(1200));
  CHECK_FALSE(path.IsDoubtful(kServers));
  CHECK_FALSE(path.lost());
}

TEST_CASE("A miss between two answers leaves a lost path lost") {
  ServicePath path = PathWithMisses(3, /*lost=*/true);
  path.RecordAnswer(1, At(1000));
  path.RecordMiss(2, At(1100), At(1110));
  path.RecordAnswer(3, At(1200));
  CHECK(path.lost());
}

TEST_CASE("Misses of gone servers and old misses don't count") {
  ServicePath path = PathWithMisses(3);
  path.DropMisses({1, 2}, At(100));
  CHECK_FALSE(path.IsDoubtful(kServers));
  path = PathWithMisses(3);
  path.DropMisses({1, 2, 3}, At(10'000));
  CHECK(path.misses().empty());
  // What keeps a path lost is the lack of answers, however long it lasts.
  path = PathWithMisses(3, /*lost=*/true);
  path.DropMisses({1, 2, 3}, At(10'000));
  CHECK(path.IsDoubtful(kServers));
}

}  // namespace
}  // namespace scaleshed::serving
