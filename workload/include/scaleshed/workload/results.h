#ifndef SCALESHED_WORKLOAD_RESULTS_H_
#define SCALESHED_WORKLOAD_RESULTS_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "scaleshed/core/types.h"
#include "scaleshed/runtime/metrics.h"

namespace scaleshed {

// What came of one request.
struct Sample {
  std::string account;
  Priority priority = Priority::kStandard;
  std::int64_t prompt_tokens = 0;
  Outcome outcome = Outcome::kFailed;
  Duration first_token{};  // zero where there was none
  Duration total{};
  std::int64_t tokens = 0;
  bool late = false;  // answered after its time limit
};

// Exact percentiles of a set of times; for runs, not for daemons.
class Percentiles {
 public:
  void Add(Duration value) { values_.push_back(value); }
  // `share` from 0 to 1. Zero where nothing was added.
  double Millis(double share) const;
  std::size_t count() const { return values_.size(); }

 private:
  mutable std::vector<Duration> values_;
};

// Collects samples and makes the figures that the users measure.
class RunResults {
 public:
  void Add(const Sample& sample);
  const Percentiles& FirstToken(LengthBucket bucket) const;
  std::uint64_t Count(Outcome outcome) const;
  std::uint64_t Refused(Priority priority) const;
  std::uint64_t Sent(Priority priority) const;
  std::uint64_t late() const { return late_; }
  std::int64_t tokens() const { return tokens_; }
  std::map<std::string, std::array<std::uint64_t, 4>> ByAccount() const {
    return by_account_;
  }

 private:
  std::map<LengthBucket, Percentiles> first_token_;
  std::array<std::uint64_t, 4> outcomes_{};
  std::map<Priority, std::uint64_t> refused_;
  std::map<Priority, std::uint64_t> sent_;
  std::map<std::string, std::array<std::uint64_t, 4>> by_account_;
  std::uint64_t late_ = 0;
  std::int64_t tokens_ = 0;
};

// The run's figures as a JSON object.
std::string ResultsJson(const RunResults& results);
// The same as a table for a terminal.
std::string ResultsTable(const RunResults& results);

}  // namespace scaleshed

#endif  // SCALESHED_WORKLOAD_RESULTS_H_
