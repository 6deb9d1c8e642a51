#include "scaleshed/serving/start_meter.h"

#include <catch2/catch.hpp>

namespace scaleshed::serving {
namespace {

const Time kStart{seconds(100)};

StartRateLimiter LimiterOf(double per_second) {
  StartRateLimiter limiter(kStart);
  limiter.SetRate(kStart, per_second);
  return limiter;
}

TEST_CASE("A rate limiter starts empty and holds one token") {
  StartRateLimiter limiter = LimiterOf(2);
  CHECK_FALSE(limiter.HasToken(kStart));
  CHECK(limiter.TimeUntilToken(kStart) == milliseconds(500));
  CHECK(limiter.HasToken(kStart + milliseconds(500)));
  const Time later = kStart + seconds(60);
  limiter.TakeToken(later);
  CHECK_FALSE(limiter.HasToken(later));
}

TEST_CASE("At a high rate the bucket holds the tokens of a quarter second") {
  StartRateLimiter limiter = LimiterOf(100);
  const Time later = kStart + seconds(60);
  int starts = 0;
  for (; limiter.HasToken(later); ++starts) limiter.TakeToken(later);
  CHECK(starts == 25);
}

TEST_CASE("The token deficit is limited to a few seconds of the rate") {
  StartRateLimiter limiter = LimiterOf(2);
  const Time later = kStart + seconds(60);
  for (int i = 0; i < 3; ++i) limiter.TakeToken(later);
  CHECK(limiter.TimeUntilToken(later) == milliseconds(1500));
  for (int i = 0; i < 100; ++i) limiter.TakeToken(later);
  CHECK(limiter.TimeUntilToken(later) == milliseconds(4500));
}

TEST_CASE("A changed rate applies from the time of the change") {
  StartRateLimiter limiter = LimiterOf(1);
  const Time later = kStart + milliseconds(500);
  limiter.SetRate(later, 100);
  CHECK(limiter.TimeUntilToken(later) == milliseconds(5));
}

}  // namespace
}  // namespace scaleshed::serving
