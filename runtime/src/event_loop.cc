#include "scaleshed/runtime/event_loop.h"

#include <cerrno>
#include <ctime>
#include <stdexcept>
#include <system_error>
#include <utility>

namespace scaleshed {
namespace {

timeval ToTimeval(Duration duration) {
  const auto micros = std::max<std::int64_t>(duration.count(), 0);
  return {.tv_sec = micros / 1'000'000, .tv_usec = micros % 1'000'000};
}

}  // namespace

struct EventLoop::SignalWatch {
  event* watched = nullptr;
  std::function<void()> handler;
  ~SignalWatch() {
    if (watched != nullptr) event_free(watched);
  }
  static void Fire(evutil_socket_t /*fd*/, short /*what*/, void* arg) {
    static_cast<SignalWatch*>(arg)->handler();
  }
};

EventLoop::EventLoop() : base_(event_base_new()) {
  if (base_ == nullptr) throw std::runtime_error("libevent gave no loop");
  wake_ = event_new(base_, -1, 0, RunDeferred, this);
}

EventLoop::~EventLoop() {
  signals_.clear();
  // What was not run any more is freed while its events still may be.
  deferred_.clear();
  event_free(wake_);
  event_base_free(base_);
}

void EventLoop::Run() { event_base_dispatch(base_); }

void EventLoop::Stop() { event_base_loopbreak(base_); }

void EventLoop::Defer(std::function<void()> work) {
  deferred_.push_back(std::move(work));
  event_active(wake_, 0, 0);
}

void EventLoop::RunDeferred(evutil_socket_t /*fd*/, short /*what*/, void* arg) {
  auto* self = static_cast<EventLoop*>(arg);
  const auto works = std::exchange(self->deferred_, {});
  for (const auto& it : works) it();
}

void EventLoop::OnSignal(int signal, std::function<void()> handler) {
  auto watch = std::make_unique<SignalWatch>();
  watch->handler = std::move(handler);
  watch->watched = evsignal_new(base_, signal, SignalWatch::Fire, watch.get());
  event_add(watch->watched, nullptr);
  signals_.push_back(std::move(watch));
}

Time ElapsedNow() {
  timespec now{};
  if (clock_gettime(CLOCK_BOOTTIME, &now) != 0) {
    throw std::system_error(errno, std::generic_category(), "CLOCK_BOOTTIME");
  }
  return Time(seconds(now.tv_sec) + std::chrono::duration_cast<Duration>(
                                        std::chrono::nanoseconds(now.tv_nsec)));
}

struct Timer::Shared {
  event* watched = nullptr;
  std::function<void()> work;
  Duration interval{};
  bool repeats = false;
  ~Shared() { event_free(watched); }
};

Timer::Timer(EventLoop& loop, std::function<void()> work)
    : shared_(std::make_shared<Shared>()) {
  shared_->work = std::move(work);
  shared_->watched = evtimer_new(loop.base(), Fire, this);
}

Timer::~Timer() { Cancel(); }

void Timer::Fire(evutil_socket_t /*fd*/, short /*what*/, void* arg) {
  auto* self = static_cast<Timer*>(arg);
  // Keeps the work alive where it destroys its own timer.
  const std::shared_ptr<Shared> shared = self->shared_;
  if (shared->repeats) self->Start(shared->interval);
  shared->work();
}

void Timer::Start(Duration delay) {
  const timeval tv = ToTimeval(delay);
  evtimer_add(shared_->watched, &tv);
}

void Timer::Once(Duration delay) {
  shared_->repeats = false;
  Start(delay);
}

void Timer::Every(Duration interval) {
  shared_->repeats = true;
  shared_->interval = interval;
  Start(interval);
}

void Timer::Cancel() { evtimer_del(shared_->watched); }

std::int64_t UnixMicros() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

}  // namespace scaleshed
