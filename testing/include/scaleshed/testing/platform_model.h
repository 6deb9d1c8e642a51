#ifndef SCALESHED_TESTING_PLATFORM_MODEL_H_
#define SCALESHED_TESTING_PLATFORM_MODEL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "scaleshed/core/types.h"
#include "scaleshed/wire/platform_json.h"

namespace scaleshed::testing {

// The platform's key-value service and list of instances in virtual time:
// compare-and-swap, lifetimes, and a list that lags. Not thread safe.
class PlatformModel {
 public:
  struct Absent {};
  struct Conflict {};
  using ReadResult = std::variant<KeyValue, Absent>;
  using WriteResult = std::variant<KeyValue, Conflict>;

  explicit PlatformModel(Duration list_lag) : list_lag_(list_lag) {}

  ReadResult Get(const std::string& key, Time now);
  WriteResult Put(const KeyWrite& write, Time now);

  void SetInstances(std::vector<Instance> instances, Time now);
  // The list as it was `list_lag` ago.
  std::vector<Instance> List(Time now);

  std::uint64_t reads() const { return reads_; }
  std::uint64_t writes() const { return writes_; }

  // Puts keys back to what Save() gave, as a platform restored from a backup.
  std::map<std::string, KeyValue> Save() const;
  void Restore(const std::map<std::string, KeyValue>& saved);

 private:
  struct Entry {
    KeyValue value;
    Time expires = Time::max();
  };
  Duration list_lag_;
  std::map<std::string, Entry> entries_;
  std::deque<std::pair<Time, std::vector<Instance>>> lists_;
  std::uint64_t reads_ = 0;
  std::uint64_t writes_ = 0;
};

}  // namespace scaleshed::testing

#endif  // SCALESHED_TESTING_PLATFORM_MODEL_H_
