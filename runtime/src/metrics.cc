#include "scaleshed/runtime/metrics.h"

namespace scaleshed {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles{0.5, 0.95, 0.99};

std::string Labels(const std::string& account, Priority priority,
                   LengthBucket bucket) {
  return "account=\"" + account + "\",class=\"" +
         std::string(NameIn(kPriorityNames, priority)) + "\",length=\"" +
         std::string(NameIn(kLengthBucketNames, bucket)) + "\"";
}

}  // namespace

LengthBucket BucketOf(std::int64_t prompt_tokens) {
  if (prompt_tokens <= 4096) return LengthBucket::kTo4k;
  if (prompt_tokens <= 16384) return LengthBucket::kTo16k;
  if (prompt_tokens <= 65536) return LengthBucket::kTo64k;
  if (prompt_tokens <= 262144) return LengthBucket::kTo256k;
  return LengthBucket::kOver256k;
}

LatencyHistogram::LatencyHistogram()
    : accumulator_(acc::extended_p_square_probabilities = kQuantiles) {}

void LatencyHistogram::Add(Duration elapsed) {
  const double value = static_cast<double>(elapsed.count()) / 1e6;
  accumulator_(value);
  for (std::size_t it = 0; it < kBoundsSeconds.size(); ++it) {
    if (value <= kBoundsSeconds[it]) ++at_most_[it];
  }
}

std::uint64_t LatencyHistogram::count() const {
  return acc::count(accumulator_);
}

double LatencyHistogram::sum_seconds() const { return acc::sum(accumulator_); }

double LatencyHistogram::max_seconds() const {
  return count() == 0 ? 0 : acc::max(accumulator_);
}

double LatencyHistogram::QuantileSeconds(double probability) const {
  // The estimator needs a few values before it gives any.
  if (count() < kQuantiles.size() * 2 + 3) return max_seconds();
  return acc::quantile(accumulator_, acc::quantile_probability = probability);
}

void RenderCounter(std::ostream& out, std::string_view name,
                   std::uint64_t value) {
  out << "# TYPE scaleshed_" << name << "_total counter\n";
  out << "scaleshed_" << name << "_total " << value << "\n";
}

void RenderGauge(std::ostream& out, std::string_view name, double value) {
  out << "# TYPE scaleshed_" << name << " gauge\n";
  out << "scaleshed_" << name << " " << value << "\n";
}

void RenderHistogram(std::ostream& out, const std::string& name,
                     const std::string& labels,
                     const LatencyHistogram& histogram) {
  const std::string seconds_name = name + "_seconds";
  for (std::size_t it = 0; it < LatencyHistogram::kBoundsSeconds.size(); ++it) {
    out << seconds_name << "_bucket{" << labels << ",le=\""
        << LatencyHistogram::kBoundsSeconds[it] << "\"} "
        << histogram.AtMost(it) << "\n";
  }
  out << seconds_name << "_bucket{" << labels << ",le=\"+Inf\"} "
      << histogram.count() << "\n";
  out << seconds_name << "_sum{" << labels << "} " << histogram.sum_seconds()
      << "\n";
  out << seconds_name << "_count{" << labels << "} " << histogram.count()
      << "\n";
  for (const double it : kQuantiles) {
    out << name << "_quantile_seconds{" << labels << ",quantile=\"" << it
        << "\"} " << histogram.QuantileSeconds(it) << "\n";
  }
}

void Metrics::ObserveFirstToken(const struct ObserveFirstToken& observed) {
  const Key key(observed.account, observed.priority,
                BucketOf(observed.prompt_tokens));
  first_token_[key].Add(observed.elapsed);
}

std::uint64_t Metrics::Get(Counter counter) const {
  const auto it = counters_.find(counter);
  return it == counters_.end() ? 0 : it->second;
}

std::string Metrics::Render() const {
  std::ostringstream out;
  for (const auto& [counter, name] : kCounterNames) {
    RenderCounter(out, name, Get(counter));
  }
  for (const auto& [name, value] : gauges_) {
    RenderGauge(out, name, value);
  }
  out << "# TYPE scaleshed_first_token_seconds histogram\n";
  for (const auto& [key, histogram] : first_token_) {
    const auto& [account, priority, bucket] = key;
    RenderHistogram(out, "scaleshed_first_token",
                    Labels(account, priority, bucket), histogram);
  }
  return out.str();
}

}  // namespace scaleshed
