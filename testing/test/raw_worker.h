#ifndef SCALESHED_TESTING_TEST_RAW_WORKER_H_
#define SCALESHED_TESTING_TEST_RAW_WORKER_H_

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <map>
#include <memory>
#include <set>
#include <string>

#include "scaleshed/runtime/address.h"
#include "scaleshed/runtime/event_loop.h"

namespace scaleshed::testing {

// How a RawWorker ends the connection of an answer.
enum class RawEnd {
  kClose,        // in good order
  kCloseInHead,  // the same, behind the given head and before its end
  kReset,
  kNever,  // goes on sending the body until the caller closes
};

// A backend server that answers each request with given bytes and then ends the
// connection, so that answers can be framed in any way. The bytes follow a head
// with the request's id and a seal, which the worker writes itself.
class RawWorker {
 public:
  // `head` is the status line and further header lines, each with its end.
  RawWorker(EventLoop& loop, std::string head, std::string body, RawEnd end)
      : loop_(loop), head_(std::move(head)), body_(std::move(body)), end_(end) {
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    listener_ = evconnlistener_new_bind(
        loop.base(), OnAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
        -1, reinterpret_cast<sockaddr*>(&name), sizeof(name));
    socklen_t length = sizeof(name);
    getsockname(evconnlistener_get_fd(listener_),
                reinterpret_cast<sockaddr*>(&name), &length);
    address_ = "127.0.0.1:" + std::to_string(ntohs(name.sin_port));
  }
  ~RawWorker() {
    for (const auto& [bev, timer] : connections_) bufferevent_free(bev);
    evconnlistener_free(listener_);
  }
  RawWorker(const RawWorker&) = delete;
  RawWorker& operator=(const RawWorker&) = delete;

  const std::string& address() const { return address_; }
  int runs() const { return runs_; }
  int health_checks() const { return health_checks_; }
  std::size_t open_connections() const { return connections_.size(); }
  // Bytes that callers or their sockets have taken.
  std::size_t bytes_taken() const { return bytes_taken_; }
  // Answers reports, too, without end.
  void SpoilReports() { spoils_reports_ = true; }

 private:
  static void OnAccept(evconnlistener* /*listener*/, evutil_socket_t fd,
                       sockaddr* /*from*/, int /*length*/, void* arg) {
    auto* self = static_cast<RawWorker*>(arg);
    bufferevent* bev =
        bufferevent_socket_new(self->loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(bev, OnRead, OnWritten, OnEvent, self);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
    self->connections_[bev] = nullptr;
  }

  static void OnEvent(bufferevent* bev, short /*what*/, void* arg) {
    static_cast<RawWorker*>(arg)->Drop(bev);
  }

  static void OnWritten(bufferevent* bev, void* arg) {
    static_cast<RawWorker*>(arg)->GoOn(bev);
  }

  static void OnRead(bufferevent* bev, void* arg) {
    static_cast<RawWorker*>(arg)->Read(bev);
  }

  void Read(bufferevent* bev) {
    evbuffer* in = bufferevent_get_input(bev);
    const std::string text(
        reinterpret_cast<const char*>(evbuffer_pullup(in, -1)),
        evbuffer_get_length(in));
    // The tests' bodies come with the head.
    if (text.find("\r\n\r\n") == std::string::npos) return;
    evbuffer_drain(in, text.size());
    const bool is_report = text.starts_with("GET /v1/report");
    if (is_report && !spoils_reports_) {
      Answer(bev, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
      return;
    }
    const bool is_health_check = text.starts_with("GET /health");
    if (is_health_check) ++health_checks_;
    if (!is_report && !is_health_check) ++runs_;
    endless_.insert(bev);
    if (end_ == RawEnd::kCloseInHead) {
      Answer(bev, head_);
      return;
    }
    Answer(bev, head_ + "X-Request-Id: " + HeaderOf(text, "X-Request-Id") +
                    "\r\nX-Response-Seal: raw\r\n\r\n" + body_);
  }

  static std::string HeaderOf(const std::string& text,
                              const std::string& name) {
    const std::size_t from = text.find(name + ": ");
    if (from == std::string::npos) return "";
    const std::size_t value = from + name.size() + 2;
    return text.substr(value, text.find("\r\n", value) - value);
  }

  void GoOn(bufferevent* bev) {
    if (end_ != RawEnd::kNever || !endless_.contains(bev)) return;
    constexpr std::size_t kBytesAtOnce = 64 * 1024;
    std::string bytes;
    while (bytes.size() < kBytesAtOnce) bytes += body_;
    bufferevent_write(bev, bytes.data(), bytes.size());
    bytes_taken_ += bytes.size();
  }

  void Answer(bufferevent* bev, const std::string& bytes) {
    bufferevent_write(bev, bytes.data(), bytes.size());
    if (end_ == RawEnd::kNever && endless_.contains(bev)) return;
    // The bytes are read before the connection ends.
    constexpr Duration kReadWithin = milliseconds(50);
    connections_[bev] =
        std::make_unique<Timer>(loop_, [this, bev] { End(bev); });
    connections_[bev]->Once(kReadWithin);
  }

  void End(bufferevent* bev) {
    if (end_ == RawEnd::kReset) {
      constexpr linger kAtOnce{.l_onoff = 1, .l_linger = 0};
      setsockopt(bufferevent_getfd(bev), SOL_SOCKET, SO_LINGER, &kAtOnce,
                 sizeof(kAtOnce));
    }
    loop_.Defer([this, bev] { Drop(bev); });
  }

  void Drop(bufferevent* bev) {
    endless_.erase(bev);
    if (connections_.erase(bev) > 0) bufferevent_free(bev);
  }

  EventLoop& loop_;
  std::string head_;
  std::string body_;
  RawEnd end_;
  evconnlistener* listener_ = nullptr;
  std::string address_;
  std::map<bufferevent*, std::unique_ptr<Timer>> connections_;
  // Those that get an answer of `body_`.
  std::set<bufferevent*> endless_;
  int runs_ = 0;
  int health_checks_ = 0;
  std::size_t bytes_taken_ = 0;
  bool spoils_reports_ = false;
};

}  // namespace scaleshed::testing

#endif  // SCALESHED_TESTING_TEST_RAW_WORKER_H_
