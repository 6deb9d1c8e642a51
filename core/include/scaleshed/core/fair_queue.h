#ifndef SCALESHED_CORE_FAIR_QUEUE_H_
#define SCALESHED_CORE_FAIR_QUEUE_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "scaleshed/core/types.h"

namespace scaleshed {

// Requests that wait for an engine, in the order in which they are to be tried.
//
// Classes go first to last. Within a class, accounts go by their virtual token
// counters: tokens served, divided by weight. A request that has waited for a
// quarter of its time limit moves up a class for each quarter, so that none
// starves. An account's prompts of unlike lengths wait apart, so that a long
// one which does not fit never stands before short ones that do. Not thread
// safe.
class FairQueue {
 public:
  struct Entry {
    RequestKey key = 0;
    std::string account;
    Priority priority = Priority::kStandard;
    // The engine priority, by length first.
    int level = 0;
    Time arrived{};
    Duration time_limit{};
    // Expected prefill time, for the estimate of the wait.
    Duration work{};
    // Not to be tried before this.
    Time not_before{};
    // Whether any of its answer may exist; such a request is not shed.
    bool started = false;
  };

  void Push(Entry entry);
  // Takes a request out of wherever it stands.
  void Remove(RequestKey key);
  // The head of each line that may be tried now, best first.
  std::vector<Entry> Heads(Time now) const;
  // Work that waits at `level` and those before it, of `priority` and the
  // classes before it.
  Duration WorkBefore(Priority priority, int level) const;
  // The last come of the lowest class that is below `priority`.
  std::optional<RequestKey> LowestBelow(Priority priority) const;
  std::size_t size() const { return size_; }

  // Charges `tokens` to the account's virtual counter.
  void Charge(const std::string& account, double weight, std::int64_t tokens);

 private:
  struct LineKey {
    std::string account;
    Priority priority = Priority::kStandard;
    int level = 0;
    auto operator<=>(const LineKey&) const = default;
  };

  std::map<LineKey, std::deque<Entry>> lines_;
  std::map<std::string, double> served_;
  std::size_t size_ = 0;
};

}  // namespace scaleshed

#endif  // SCALESHED_CORE_FAIR_QUEUE_H_
