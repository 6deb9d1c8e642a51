#ifndef SCALESHED_RUNTIME_EVENT_LOOP_H_
#define SCALESHED_RUNTIME_EVENT_LOOP_H_

#include <event2/event.h>

#include <functional>
#include <memory>
#include <vector>

#include "scaleshed/core/types.h"

namespace scaleshed {

// The clock of `Time`, which the steady clock of C++ is not: it stands still
// while the machine is suspended. Throws std::system_error where there is none.
Time ElapsedNow();

// One libevent loop. Everything on it runs in the thread that calls Run().
//
// Not thread safe. Timers and clients must not outlive their loop.
class EventLoop {
 public:
  EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;
  ~EventLoop();

  // Returns after Stop().
  void Run();
  void Stop();
  // Runs `work` once, from the loop, soon. For freeing what is in use further
  // up the stack.
  void Defer(std::function<void()> work);
  // Calls `handler` for each `signal`.
  void OnSignal(int signal, std::function<void()> handler);

  // ElapsedNow(). Timers stand still while the machine is suspended: they only
  // say when to look, and what is due is decided by this.
  Time Now() const { return ElapsedNow(); }
  event_base* base() const { return base_; }

 private:
  struct SignalWatch;
  static void RunDeferred(evutil_socket_t fd, short what, void* arg);

  event_base* base_;
  event* wake_ = nullptr;
  std::vector<std::function<void()>> deferred_;
  std::vector<std::unique_ptr<SignalWatch>> signals_;
};

// Calls back once or again and again. Stops when it is destroyed; it may be
// destroyed from within its own callback.
class Timer {
 public:
  Timer(EventLoop& loop, std::function<void()> work);
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  ~Timer();

  void Once(Duration delay);
  void Every(Duration interval);
  void Cancel();

 private:
  void Start(Duration delay);
  static void Fire(evutil_socket_t fd, short what, void* arg);

  struct Shared;
  std::shared_ptr<Shared> shared_;
};

// Wall clock in microseconds since the epoch.
std::int64_t UnixMicros();

}  // namespace scaleshed

#endif  // SCALESHED_RUNTIME_EVENT_LOOP_H_
