#include "scaleshed/cli/sync.h"

namespace scaleshed {

PlatformResult<KeyValue> SyncStore::Get(const std::string& key) {
  return Await<PlatformResult<KeyValue>>(
      loop_, [&](auto done) { client_.Get(key, std::move(done)); });
}

PlatformResult<std::uint64_t> SyncStore::Put(const KeyWrite& write) {
  return Await<PlatformResult<std::uint64_t>>(
      loop_, [&](auto done) { client_.Put(write, std::move(done)); });
}

void SyncStore::Pause(Duration duration) {
  Timer timer(loop_, [this] { loop_.Stop(); });
  timer.Once(duration);
  loop_.Run();
}

HttpResult CallSync(EventLoop& loop, HttpCall call) {
  HttpClient client(loop);
  return Await<HttpResult>(loop, [&](auto done) {
    call.on_done = std::move(done);
    client.Start(std::move(call));
  });
}

}  // namespace scaleshed
