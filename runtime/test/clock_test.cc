#include <catch2/catch.hpp>
#include <ctime>

#include "scaleshed/runtime/event_loop.h"

namespace scaleshed {
namespace {

Time Read(clockid_t clock) {
  timespec now{};
  REQUIRE(clock_gettime(clock, &now) == 0);
  return Time(seconds(now.tv_sec) + std::chrono::duration_cast<Duration>(
                                        std::chrono::nanoseconds(now.tv_nsec)));
}

TEST_CASE("Time counts a suspension of the machine") {
  EventLoop loop;
  // CLOCK_MONOTONIC is behind by all suspensions since the machine started,
  // which may be none.
  const Time before = Read(CLOCK_BOOTTIME);
  const Time now = loop.Now();
  CHECK(before <= now);
  CHECK(now <= Read(CLOCK_BOOTTIME));
}

}  // namespace
}  // namespace scaleshed
