#ifndef SCALESHED_DAEMON_INTERNAL_REGISTRATION_H_
#define SCALESHED_DAEMON_INTERNAL_REGISTRATION_H_

#include <functional>
#include <optional>
#include <random>

#include "scaleshed/platform/store_client.h"
#include "scaleshed/runtime/event_loop.h"
#include "scaleshed/serving/events.h"

namespace scaleshed {

struct RegistrationOptions {
  platform::StoredMember self;
  std::uint64_t seed = 1;
  // Notes what became of a call, by name; false where it failed.
  std::function<bool(const char*, std::optional<platform::StoreError>)> noted;
  // What the store has said of the entry.
  std::function<void(serving::EventBody)> feed;
  // Called whenever the entry has been written.
  std::function<void()> on_registered;
};

// Keeps this daemon's entry in the platform's store, under a lease, so that
// daemons that start find it, and those that share the slack of repeats count
// it. Tells until when the entry stands for certain, and when it does no more.
// Tries again until it stands; ends with Leave().
class Registration {
 public:
  // `store` must outlive this.
  Registration(EventLoop& loop, platform::StoreClient& store,
               RegistrationOptions options);

  void Start() { Open(); }
  // Under a new lease, as the store was restored: the old one may be gone, or
  // its number another daemon's.
  void WriteAgain();
  // Takes the entry away.
  void Leave();
  // The entry was written under a lease that is not known to be over or lost.
  bool stands() const { return stands_; }

 private:
  void Open();
  void Write();
  void Renew();
  // Half of `most` and a drawn part of the other half.
  Duration Drawn(Duration most);
  // The lease runs from when the call arrived, so at least from when it was
  // made.
  void TellHeld(Time asked, bool anew);

  EventLoop& loop_;
  platform::StoreClient& store_;
  RegistrationOptions options_;
  std::mt19937_64 random_;
  std::uint64_t lease_ = 0;
  // Rises where an answer that is still to come is of a lost lease.
  std::uint64_t round_ = 0;
  bool stood_ = false;  // before it was lost; others count it still
  Time opened_at_{};    // when the lease was asked for
  bool stands_ = false;
  bool leaving_ = false;
  Timer timer_;
};

}  // namespace scaleshed

#endif  // SCALESHED_DAEMON_INTERNAL_REGISTRATION_H_
