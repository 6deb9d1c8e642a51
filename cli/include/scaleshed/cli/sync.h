#ifndef SCALESHED_CLI_SYNC_H_
#define SCALESHED_CLI_SYNC_H_

#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "scaleshed/cli/accept.h"
#include "scaleshed/runtime/event_loop.h"
#include "scaleshed/runtime/http_client.h"

namespace scaleshed {

// Runs `start` with a callback and the loop until the callback is called.
template <typename T>
T Await(EventLoop& loop,
        const std::function<void(std::function<void(T)>)>& start) {
  std::optional<T> result;
  start([&](T value) {
    result = std::move(value);
    loop.Stop();
  });
  while (!result) loop.Run();
  return std::move(*result);
}

// The platform behind a PlatformClient, call by call.
class SyncStore : public PlatformStore {
 public:
  SyncStore(EventLoop& loop, const std::string& address)
      : loop_(loop),
        client_(loop, {.address = address, .calls_per_second = 1000}) {}

  PlatformResult<KeyValue> Get(const std::string& key) override;
  PlatformResult<std::uint64_t> Put(const KeyWrite& write) override;
  void Pause(Duration duration) override;

 private:
  EventLoop& loop_;
  PlatformClient client_;
};

HttpResult CallSync(EventLoop& loop, HttpCall call);

}  // namespace scaleshed

#endif  // SCALESHED_CLI_SYNC_H_
