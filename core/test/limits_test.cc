#include "scaleshed/core/limits.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace scaleshed {
namespace {

constexpr Duration kValid = seconds(3);
const Limits kWhole{.requests_per_second = 90,
                    .tokens_per_second = 9000,
                    .tokens_in_flight = 90'000};

Time At(Duration since) { return Time{seconds(100)} + since; }

TEST_CASE("A bucket gives its rate, and says when to come back") {
  TokenBucket bucket;
  bucket.SetRate(10, At(seconds(0)));
  for (int it = 0; it < 10; ++it) {
    REQUIRE(bucket.WaitFor(1, At(seconds(0))) == Duration::zero());
    bucket.Take(1);
  }
  CHECK(bucket.WaitFor(1, At(seconds(0))) == milliseconds(100));
  CHECK(bucket.WaitFor(1, At(milliseconds(100))) == Duration::zero());
}

TEST_CASE("An amount over the capacity waits for a full bucket") {
  TokenBucket bucket;
  bucket.SetRate(10, At(seconds(0)));
  CHECK(bucket.WaitFor(50, At(seconds(0))) == Duration::zero());
  bucket.Take(50);
  CHECK(bucket.WaitFor(1, At(seconds(1))) > seconds(3));
}

TEST_CASE("Without a grant an instance has its even share") {
  AccountLimiter limiter;
  limiter.SetShare(kWhole, 9, At(seconds(0)));
  CHECK(limiter.share().requests_per_second == Approx(10));
  limiter.Grant({.requests_per_second = 50,
                 .tokens_per_second = 5000,
                 .tokens_in_flight = 50'000},
                At(seconds(3)), At(seconds(0)));
  CHECK(limiter.share().requests_per_second == Approx(50));
  limiter.Admit(1, At(seconds(4)));
  CHECK(limiter.share().requests_per_second == Approx(10));
}

TEST_CASE("Tokens in flight are given back") {
  AccountLimiter limiter;
  limiter.SetShare(kWhole, 1, At(seconds(0)));
  limiter.Grant({.requests_per_second = 100,
                 .tokens_per_second = 1e9,
                 .tokens_in_flight = 1000},
                At(seconds(9)), At(seconds(0)));
  CHECK_FALSE(limiter.Admit(800, At(seconds(0))));
  CHECK(limiter.Admit(300, At(seconds(0))));
  limiter.Release(800);
  CHECK_FALSE(limiter.Admit(300, At(seconds(0))));
}

TEST_CASE("The shares of all instances never exceed the limit") {
  constexpr int kInstances = 9;
  AllowanceOwner owner(At(seconds(-10)));
  std::vector<double> shares(kInstances,
                             kWhole.requests_per_second / kInstances);
  // Demands that change, from some of the instances only: the others may be
  // using their even share without the owner's hearing of them.
  for (int round = 0; round < 30; ++round) {
    for (int it = 0; it < kInstances; ++it) {
      const bool cut = it == 8 || (round > 10 && it == 3);
      const double even = kWhole.requests_per_second / kInstances;
      if (cut) {
        shares[static_cast<std::size_t>(it)] = even;
        continue;
      }
      const double wanted = (it * 37 + round * 11) % 60;
      const Limits share = owner.Divide(kWhole, kInstances, std::to_string(it),
                                        {.requests_per_second = wanted},
                                        At(seconds(round)), kValid);
      shares[static_cast<std::size_t>(it)] = share.requests_per_second;
    }
    double sum = 0;
    for (const double it : shares) sum += it;
    // An instance that was cut off just now still has its grant's lifetime.
    const bool settled = round <= 10 || round > 14;
    if (settled) CHECK(sum <= kWhole.requests_per_second * 1.0001);
  }
}

TEST_CASE("A new owner gives even shares until old grants have lapsed") {
  AllowanceOwner owner(At(seconds(0)));
  const Limits demand{.requests_per_second = 80};
  CHECK(owner.Divide(kWhole, 9, "a", demand, At(seconds(1)), kValid)
            .requests_per_second == Approx(10));
  CHECK(owner.Divide(kWhole, 9, "a", demand, At(seconds(4)), kValid)
            .requests_per_second == Approx(10));
  CHECK(owner.Divide(kWhole, 1, "a", demand, At(seconds(8)), kValid)
            .requests_per_second == Approx(90));
}

}  // namespace
}  // namespace scaleshed
