#ifndef SCALESHED_TESTING_SRC_INTERNAL_SOAK_WRITERS_H_
#define SCALESHED_TESTING_SRC_INTERNAL_SOAK_WRITERS_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "scaleshed/runtime/event_loop.h"
#include "scaleshed/testing/fleet_stand_ins.h"

namespace scaleshed::testing {

// The operators and the servers, who write to the store, and write again what
// a restore of it has lost.
class SoakWriters {
 public:
  // `store` must outlive this.
  SoakWriters(EventLoop& loop, FakeStore& store, std::uint64_t seed)
      : loop_(loop), store_(store), random_(seed) {}

  void Write(const std::string& key, const std::string& value);
  void Erase(const std::string& key);
  // The store is copied, goes away after half of `length`, and is back from
  // that copy at its end; what it lacks is written up to 1.5 s later.
  void Restore(Duration length);

  // From the copy until all is written again.
  bool LackAnything() const { return loop_.Now() < lost_until_; }
  // A restore's writes ended so long ago.
  bool HaveWrittenFor(Duration time) const {
    return lost_until_ != Time{} && loop_.Now() >= lost_until_ + time;
  }

 private:
  void At(Duration after, std::function<void()> work);
  void WriteAgain();
  void EndLapsed();

  EventLoop& loop_;
  FakeStore& store_;
  std::mt19937_64 random_;
  std::map<std::string, std::string> written_;  // by key
  Time lost_until_{};
  std::list<std::unique_ptr<Timer>> plan_;
};

}  // namespace scaleshed::testing

#endif  // SCALESHED_TESTING_SRC_INTERNAL_SOAK_WRITERS_H_
