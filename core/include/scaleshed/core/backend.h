#ifndef SCALESHED_CORE_BACKEND_H_
#define SCALESHED_CORE_BACKEND_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "scaleshed/core/call.h"
#include "scaleshed/core/events.h"
#include "scaleshed/core/types.h"

namespace scaleshed {

// What one daemon knows of one backend server: the lagging report, and what it
// has itself sent there since. Not thread safe.
class Backend {
 public:
  explicit Backend(Instance instance) : instance_(std::move(instance)) {}

  // ---- What others say.
  void SetInstance(Instance instance);
  void SetReport(const Report& report, Time now);
  // The backend server itself said that it is leaving.
  void SetLeaving() { said_leaving_ = true; }

  // ---- What this daemon has there.
  void AddWork(AttemptId attempt, Duration prefill, int priority,
               std::int64_t tokens, Time now);
  void FirstToken(AttemptId attempt);
  void RemoveWork(AttemptId attempt);
  bool HasWork(AttemptId attempt) const { return own_.contains(attempt); }
  // Assumes that the engine has cached the prompt, ahead of its own news.
  void AssumeCached(const std::vector<std::uint64_t>& prefixes);

  // ---- Ejection of outliers.
  void Succeeded() { failures_ = 0; }
  // Counts a failure. True where it is time to eject the backend server: at
  // once where it could not be reached, else after some in a row.
  bool Failed(bool unreachable);
  // Gives it no new work for a while, each time longer.
  void Eject(Time now);
  bool IsEjected(Time now) const { return now < ejected_until_; }

  // ---- Answers.
  const Instance& instance() const { return instance_; }
  const std::string& name() const { return instance_.name; }
  bool IsLeaving() const;
  // Where not: no new work may go there.
  bool TakesNewWork(Time now) const;
  // Prefill work in front of a new request of an engine priority.
  Duration Backlog(Time now, int priority = kEnginePriorities) const;
  std::int64_t FreeTokens() const;
  std::int64_t MemoryTokens() const;
  std::int64_t InFlight() const;
  std::int64_t CachedTokens(const std::vector<std::uint64_t>& prefixes) const;
  // Whether a group waits for its memory to drain.
  bool HasHolds() const { return report_ && report_->held_tokens > 0; }
  const std::optional<Report>& report() const { return report_; }
  // Bytes of state, for docs/CAPACITY.md.
  std::size_t StateBytes() const;

 private:
  struct OwnWork {
    Duration prefill{};
    int priority = 0;
    std::int64_t tokens = 0;
    Time sent{};
    bool first_token = false;
  };

  Instance instance_;
  std::optional<Report> report_;
  Time report_at_{};
  bool said_leaving_ = false;
  std::map<AttemptId, OwnWork> own_;
  std::unordered_set<std::uint64_t> cached_;
  int failures_ = 0;
  int ejections_ = 0;
  Time ejected_until_{};
};

}  // namespace scaleshed

#endif  // SCALESHED_CORE_BACKEND_H_
