#include "scaleshed/workload/results.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace scaleshed {
namespace {

constexpr std::array<std::pair<const char*, double>, 3> kShares{
    {{"p50", 0.5}, {"p95", 0.95}, {"p99", 0.99}}};

double Rounded(double value) { return std::round(value * 10) / 10; }

}  // namespace

double Percentiles::Millis(double share) const {
  if (values_.empty()) return 0;
  const auto last = static_cast<double>(values_.size() - 1);
  const auto index = static_cast<std::ptrdiff_t>(std::ceil(share * last));
  std::nth_element(values_.begin(), values_.begin() + index, values_.end());
  return static_cast<double>(values_[static_cast<std::size_t>(index)].count()) /
         1000.0;
}

void RunResults::Add(const Sample& sample) {
  const auto outcome = static_cast<std::size_t>(sample.outcome);
  ++outcomes_[outcome];
  ++by_account_[sample.account][outcome];
  ++sent_[sample.priority];
  if (sample.outcome == Outcome::kNotRun) ++refused_[sample.priority];
  if (sample.late) ++late_;
  tokens_ += sample.tokens;
  if (sample.first_token > Duration::zero()) {
    first_token_[BucketOf(sample.prompt_tokens)].Add(sample.first_token);
  }
}

const Percentiles& RunResults::FirstToken(LengthBucket bucket) const {
  static const Percentiles kNone;
  const auto it = first_token_.find(bucket);
  return it == first_token_.end() ? kNone : it->second;
}

std::uint64_t RunResults::Count(Outcome outcome) const {
  return outcomes_[static_cast<std::size_t>(outcome)];
}

std::uint64_t RunResults::Refused(Priority priority) const {
  const auto it = refused_.find(priority);
  return it == refused_.end() ? 0 : it->second;
}

std::uint64_t RunResults::Sent(Priority priority) const {
  const auto it = sent_.find(priority);
  return it == sent_.end() ? 0 : it->second;
}

std::string ResultsJson(const RunResults& results) {
  nlohmann::json json;
  for (const auto& [bucket, name] : kLengthBucketNames) {
    const Percentiles& times = results.FirstToken(bucket);
    nlohmann::json& to = json["first_token_ms"][std::string(name)];
    to["count"] = times.count();
    for (const auto& [label, share] : kShares) {
      to[label] = Rounded(times.Millis(share));
    }
  }
  for (const auto& [outcome, name] : kOutcomeNames) {
    json[std::string(name)] = results.Count(outcome);
  }
  for (const auto& [priority, name] : kPriorityNames) {
    json["refused"][std::string(name)] = results.Refused(priority);
    json["sent"][std::string(name)] = results.Sent(priority);
  }
  for (const auto& [account, outcomes] : results.ByAccount()) {
    for (const auto& [outcome, name] : kOutcomeNames) {
      json["accounts"][account][std::string(name)] =
          outcomes[static_cast<std::size_t>(outcome)];
    }
  }
  json["late"] = results.late();
  json["tokens"] = results.tokens();
  return json.dump();
}

std::string ResultsTable(const RunResults& results) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(0);
  out << "prompt length      count   first token ms: p50      p95      p99\n";
  for (const auto& [bucket, name] : kLengthBucketNames) {
    const Percentiles& times = results.FirstToken(bucket);
    out << std::left << std::setw(14) << name << std::right << std::setw(10)
        << times.count() << std::setw(24) << times.Millis(0.5) << std::setw(9)
        << times.Millis(0.95) << std::setw(9) << times.Millis(0.99) << "\n";
  }
  for (const auto& [outcome, name] : kOutcomeNames) {
    out << name << " " << results.Count(outcome) << "  ";
  }
  out << "late " << results.late() << "\n";
  return out.str();
}

}  // namespace scaleshed
