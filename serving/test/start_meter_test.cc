#include "scaleshed/serving/start_meter.h"

#include <catch2/catch.hpp>

namespace scaleshed::serving {
namespace {

const Time kStart{seconds(100)};

StartRateLimiter MeterOf(double per_second) {
  StartRateLimiter meter(kStart);
  meter.SetRate(kStart, per_second);
  return meter;
}

TEST_CASE("A meter begins without a start and saves one") {
  StartRateLimiter meter = MeterOf(2);
  CHECK_FALSE(meter.HasToken(kStart));
  CHECK(meter.TimeUntilToken(kStart) == milliseconds(500));
  CHECK(meter.HasToken(kStart + milliseconds(500)));
  const Time later = kStart + seconds(60);
  meter.TakeToken(later);
  CHECK_FALSE(meter.HasToken(later));
}

TEST_CASE("A high rate saves a short time's worth") {
  StartRateLimiter meter = MeterOf(100);
  const Time later = kStart + seconds(60);
  int starts = 0;
  for (; meter.HasToken(later); ++starts) meter.TakeToken(later);
  CHECK(starts == 25);
}

TEST_CASE("Starts of others beyond it are owed, for some seconds at most") {
  StartRateLimiter meter = MeterOf(2);
  const Time later = kStart + seconds(60);
  for (int i = 0; i < 3; ++i) meter.TakeToken(later);
  CHECK(meter.TimeUntilToken(later) == milliseconds(1500));
  for (int i = 0; i < 100; ++i) meter.TakeToken(later);
  CHECK(meter.TimeUntilToken(later) == milliseconds(4500));
}

TEST_CASE("A rate that changes counts from then on") {
  StartRateLimiter meter = MeterOf(1);
  const Time later = kStart + milliseconds(500);
  meter.SetRate(later, 100);
  CHECK(meter.TimeUntilToken(later) == milliseconds(5));
}

}  // namespace
}  // namespace scaleshed::serving
