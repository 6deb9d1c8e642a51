#ifndef SCALESHED_RUNTIME_METRICS_H_
#define SCALESHED_RUNTIME_METRICS_H_

// Boost's quantile header uses std::ostringstream without including it, so the
// order matters here.
// clang-format off
#include <sstream>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
// clang-format on

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>

#include "scaleshed/core/effects.h"
#include "scaleshed/core/types.h"

namespace scaleshed {

// Prompt lengths are reported in these buckets.
enum class LengthBucket { kTo4k, kTo16k, kTo64k, kTo256k, kOver256k };
inline constexpr NameTable<LengthBucket, 5> kLengthBucketNames{{
    {LengthBucket::kTo4k, "1k-4k"},
    {LengthBucket::kTo16k, "4k-16k"},
    {LengthBucket::kTo64k, "16k-64k"},
    {LengthBucket::kTo256k, "64k-256k"},
    {LengthBucket::kOver256k, "over-256k"},
}};

LengthBucket BucketOf(std::int64_t prompt_tokens);

// A histogram with fixed bounds, and quantiles estimated by Boost.Accumulators
// in constant memory.
class LatencyHistogram {
 public:
  LatencyHistogram();
  void Add(Duration elapsed);
  std::uint64_t count() const;
  double sum_seconds() const;
  double max_seconds() const;
  // `probability` is 0.5, 0.95 or 0.99.
  double QuantileSeconds(double probability) const;

  static constexpr std::array<double, 10> kBoundsSeconds{
      0.05, 0.1, 0.2, 0.47, 1, 2, 5, 10, 30, 60};
  // How many were at most kBoundsSeconds[index].
  std::uint64_t AtMost(std::size_t index) const { return at_most_[index]; }

 private:
  using Accumulator = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<
                  boost::accumulators::tag::count,
                  boost::accumulators::tag::sum, boost::accumulators::tag::max,
                  boost::accumulators::tag::extended_p_square_quantile>>;
  Accumulator accumulator_;
  std::array<std::uint64_t, kBoundsSeconds.size()> at_most_{};
};

// Write one value in the text form. `name` is without prefix and suffix.
void RenderCounter(std::ostream& out, std::string_view name,
                   std::uint64_t value);
void RenderGauge(std::ostream& out, std::string_view name, double value);

// Writes `histogram` as `name`_seconds, with its quantiles beside it. `labels`
// are those of the text form, without braces.
void RenderHistogram(std::ostream& out, const std::string& name,
                     const std::string& labels,
                     const LatencyHistogram& histogram);

// All counters and histograms of a daemon. Not thread safe.
class Metrics {
 public:
  void Add(Counter counter) { ++counters_[counter]; }
  void ObserveFirstToken(const struct ObserveFirstToken& observed);
  void Set(const std::string& gauge, double value) { gauges_[gauge] = value; }
  std::uint64_t Get(Counter counter) const;

  // The text form that monitoring tools scrape.
  std::string Render() const;

 private:
  using Key = std::tuple<std::string, Priority, LengthBucket>;
  std::map<Counter, std::uint64_t> counters_;
  std::map<std::string, double> gauges_;
  std::map<Key, LatencyHistogram> first_token_;
};

}  // namespace scaleshed

#endif  // SCALESHED_RUNTIME_METRICS_H_
