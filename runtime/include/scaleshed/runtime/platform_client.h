#ifndef SCALESHED_RUNTIME_PLATFORM_CLIENT_H_
#define SCALESHED_RUNTIME_PLATFORM_CLIENT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "scaleshed/core/limits.h"
#include "scaleshed/core/result.h"
#include "scaleshed/core/types.h"
#include "scaleshed/runtime/http_client.h"
#include "scaleshed/wire/platform_json.h"

namespace scaleshed {

enum class PlatformError {
  kUnavailable,  // no answer; a write may or may not have taken effect
  kNotSent,      // a write did not take effect
  kAbsent,       // the key does not exist
  kConflict,     // the key is at another version; nothing was written
  kBudget,       // refused here, as this client has called too often
  kInvalid,      // the answer could not be read
};
inline constexpr NameTable<PlatformError, 6> kPlatformErrorNames{{
    {PlatformError::kUnavailable, "unavailable"},
    {PlatformError::kNotSent, "not_sent"},
    {PlatformError::kAbsent, "absent"},
    {PlatformError::kConflict, "conflict"},
    {PlatformError::kBudget, "over_budget"},
    {PlatformError::kInvalid, "invalid"},
}};

template <typename T>
using PlatformResult = Result<T, PlatformError>;

struct PlatformClientOptions {
  std::string address;
  // A reserve against our own faults; ordinary use is far below.
  double calls_per_second = 20;
  Duration timeout = seconds(2);
  // How long a watch waits at the platform; each wait is one call.
  Duration watch_wait = seconds(20);
};

// The only way by which a process calls the platform, so that its calls can be
// counted and bounded. Retrying is left to the caller. Used from the loop's
// thread only.
class PlatformClient {
 public:
  PlatformClient(EventLoop& loop, PlatformClientOptions options);

  void Get(const std::string& key,
           std::function<void(PlatformResult<KeyValue>)> done);
  // Answers when the key's version is over `version`, or after the wait with
  // the version as it is. An absent key has version zero.
  void Watch(const std::string& key, std::uint64_t version,
             std::function<void(PlatformResult<KeyValue>)> done);
  // Gives the new version.
  void Put(const KeyWrite& write,
           std::function<void(PlatformResult<std::uint64_t>)> done);
  void List(std::function<void(PlatformResult<std::vector<Instance>>)> done);

  std::uint64_t calls() const { return calls_; }

 private:
  // False where the budget is spent.
  bool Spend();
  HttpCall MakeCall(std::string method, std::string path,
                    std::string body) const;

  EventLoop& loop_;
  PlatformClientOptions options_;
  HttpClient http_;
  TokenBucket budget_;
  std::uint64_t calls_ = 0;
};

}  // namespace scaleshed

#endif  // SCALESHED_RUNTIME_PLATFORM_CLIENT_H_
