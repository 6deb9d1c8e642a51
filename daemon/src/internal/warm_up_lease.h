#ifndef SCALESHED_DAEMON_INTERNAL_WARM_UP_LEASE_H_
#define SCALESHED_DAEMON_INTERNAL_WARM_UP_LEASE_H_

#include <functional>
#include <optional>
#include <string>

#include "scaleshed/platform/store_client.h"
#include "scaleshed/runtime/event_loop.h"
#include "scaleshed/serving/events.h"

namespace scaleshed {

struct WarmUpLeaseOptions {
  std::string peer_address;  // of this daemon
  // Notes what became of a call, by name; false where it failed.
  std::function<bool(const char*, std::optional<platform::StoreError>)> noted;
  std::function<void(serving::EventBody)> feed;
};

// The key of the warm-up granter in the platform's store, under a lease of its
// own. The reducer decides when to take, renew and release it, and is told
// until when it is held for certain: counted from before the call that took or
// renewed it. Each call is answered by one event, but for a release.
class WarmUpLease {
 public:
  // `store` must outlive this.
  WarmUpLease(EventLoop& loop, platform::StoreClient& store,
              WarmUpLeaseOptions options);

  void Acquire();
  void Renew();
  void Release();

 private:
  void Write(Time called_at, std::uint64_t lease);
  void Refuse(platform::StoreError error);

  EventLoop& loop_;
  platform::StoreClient& store_;
  WarmUpLeaseOptions options_;
  std::uint64_t lease_ = 0;  // zero: not held
  // Of the key as this daemon wrote it.
  serving::StoreRevision revision_;
  // Rises where a response that is still to come doesn't count any more.
  std::uint64_t round_ = 0;
};

}  // namespace scaleshed

#endif  // SCALESHED_DAEMON_INTERNAL_WARM_UP_LEASE_H_
