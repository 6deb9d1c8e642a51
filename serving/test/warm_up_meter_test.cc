// Tests of the meter of a cold server. They guard against more requests within
// a second than the server bears: grants are used up to kWarmUpGrantLifetime
// later, so that those of 1.3 s may arrive within one second.

#include "scaleshed/serving/warm_up_meter.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <vector>

#include "serving_harness.h"

namespace scaleshed::serving::test {
namespace {

struct Grants {
  std::vector<Time> used;  // when each grant was used
  // Tokens that the rate gives until the last attempt, without those that a
  // full bucket doesn't hold.
  double offered = 0;
};

// Takes tokens at random times, as fast as they come.
Grants UseGrants(WarmUpMeter& meter, const WarmUpRate& rate, Time from,
                 Time until, std::mt19937& random) {
  Grants grants;
  Time last = from;
  for (Time now = from; now < until;) {
    const double gained =
        rate.per_second * std::chrono::duration<double>(now - last).count();
    const double held = meter.TokensAt(last);
    grants.offered += std::min(gained, rate.burst - held);
    last = now;
    while (meter.HasToken(now)) {
      meter.TakeToken(now);
      grants.used.push_back(now + milliseconds(random() % 300));
    }
    const auto longest = random() % 50 == 0 ? 900U : 20U;
    now += milliseconds(1 + random() % longest);
  }
  return grants;
}

std::size_t MostInASecond(std::vector<Time> times) {
  std::sort(times.begin(), times.end());
  std::size_t most = 0;
  for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] >= seconds(1)) ++first;
    most = std::max(most, last - first + 1);
  }
  return most;
}

TEST_CASE("Grants stay within the bound over a change of the granter") {
  std::mt19937 random(3);
  for (const double bound : {1.0, 1.5, 2.0, 3.0, 7.9, 26.0, 44.0, 500.0}) {
    for (const double per_second : {0.4, 1.0, 26.0, 1000.0}) {
      const WarmUpRate rate = WarmUpRateFor(bound, per_second);
      const Time change = kStart + seconds(20);
      std::vector<Time> used;
      double offered = 0;
      for (const auto& [from, until] :
           {std::pair{kStart, change},
            std::pair{change + seconds(1), change + seconds(20)}}) {
        WarmUpMeter meter(from);
        meter.SetRate(from, rate);
        const Grants more = UseGrants(meter, rate, from, until, random);
        used.insert(used.end(), more.used.begin(), more.used.end());
        // Less than one token is left at the end.
        offered += more.offered - 1;
      }
      INFO("bound " << bound << ", " << per_second << " a second");
      CHECK(static_cast<double>(MostInASecond(used)) <= bound);
      CHECK(static_cast<double>(used.size()) >= offered);
      // At least the rate of one request in the time that grants cover.
      CHECK(rate.per_second >= std::min({per_second, 0.6 * bound, 0.6}));
    }
  }
}

TEST_CASE("A bound below one request a second grants nothing") {
  WarmUpMeter meter(kStart);
  meter.SetRate(kStart, WarmUpRateFor(0.9, 26));
  CHECK_FALSE(meter.HasToken(kStart + seconds(100)));
  CHECK(meter.TimeUntilToken(kStart) == Duration::max());
}

}  // namespace
}  // namespace scaleshed::serving::test
