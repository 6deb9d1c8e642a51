// Guards against answers without end, which ended the process with bad_alloc or
// filled its memory: servers that send bytes until the caller closes.

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdint>
#include <string>
#include <thread>

#include "scaleshed/runtime/address.h"
#include "scaleshed/runtime/http_client.h"

namespace scaleshed {
namespace {

constexpr std::uint64_t kMaxBodyBytes = 1024 * 1024;
// What the bounds let pass, and what the sockets of both sides hold.
constexpr std::uint64_t kMaxBytesTaken = 32 * 1024 * 1024;
// Ends the server of a call that takes everything.
constexpr std::uint64_t kMostBytes = 256 * 1024 * 1024;

const std::string kOk = "HTTP/1.1 200 OK\r\n";

// Sends a head and then the same piece again and again until its caller closes.
class EndlessServer {
 public:
  EndlessServer(const std::string& head, const std::string& piece)
      : listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    auto name = *SocketAddress("127.0.0.1:0");
    socklen_t length = sizeof(name);
    REQUIRE(bind(listener_, reinterpret_cast<sockaddr*>(&name), length) == 0);
    REQUIRE(listen(listener_, 1) == 0);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&name), &length);
    address_ = "127.0.0.1:" + std::to_string(ntohs(name.sin_port));
    std::string pieces;
    while (pieces.size() < kBytesAtOnce) pieces += piece;
    thread_ = std::thread([this, head, pieces] { Serve(head, pieces); });
  }
  ~EndlessServer() {
    if (thread_.joinable()) thread_.join();
    close(listener_);
  }
  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  const std::string& address() const { return address_; }
  // Returns the bytes that it sent until its caller closed.
  std::uint64_t AwaitEnd() {
    thread_.join();
    return sent_;
  }

 private:
  static constexpr std::size_t kBytesAtOnce = 64 * 1024;

  void Serve(const std::string& head, const std::string& pieces) {
    const int fd = accept(listener_, nullptr, nullptr);
    char buf[4096];
    (void)!recv(fd, buf, sizeof(buf), 0);
    bool open = Send(fd, head);
    while (open && sent_ < kMostBytes) open = Send(fd, pieces);
    close(fd);
  }
  bool Send(int fd, const std::string& bytes) {
    const auto n = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n < 0) return false;
    sent_ += static_cast<std::uint64_t>(n);
    return true;
  }

  int listener_;
  std::string address_;
  std::thread thread_;
  std::uint64_t sent_ = 0;
};

// Lets the loop close the connections of calls that have ended.
void CloseFinished(EventLoop& loop) {
  Timer stop(loop, [&] { loop.Stop(); });
  stop.Once(milliseconds(1));
  loop.Run();
}

struct EndlessResult {
  HttpResult result = HttpError::kCancelled;
  std::uint64_t sent = 0;
};

EndlessResult CallEndlessServer(const std::string& head,
                                const std::string& piece,
                                const std::string& method = "GET") {
  EndlessServer server(head, piece);
  EventLoop loop;
  HttpClient client(loop);
  EndlessResult result;
  client.Start({.address = server.address(),
                .method = method,
                .timeout = seconds(20),
                .max_body_bytes = kMaxBodyBytes,
                .on_done = [&](HttpResult it) {
                  result.result = std::move(it);
                  loop.Stop();
                }});
  loop.Run();
  CloseFinished(loop);
  result.sent = server.AwaitEnd();
  return result;
}

void CheckEndedBy(HttpError error, const EndlessResult& it) {
  REQUIRE(ValueOf(it.result) == nullptr);
  CHECK(NameIn(kHttpErrorNames, ErrorOf(it.result)) ==
        NameIn(kHttpErrorNames, error));
  CHECK(it.sent < kMaxBytesTaken);
}

// The length was reserved as it stood: std::bad_alloc ended the process.
TEST_CASE("A length that no memory holds ends the call alone") {
  CheckEndedBy(
      HttpError::kBodyTooLong,
      CallEndlessServer(kOk + "Content-Length: 99999999999999\r\n\r\n", "x"));
}

TEST_CASE("A body over the bound ends its call") {
  CheckEndedBy(HttpError::kBodyTooLong,
               CallEndlessServer(kOk + "\r\n", "no length"));
}

TEST_CASE("Chunks over the bound end their call") {
  CheckEndedBy(HttpError::kBodyTooLong,
               CallEndlessServer(kOk + "Transfer-Encoding: chunked\r\n\r\n",
                                 "8\r\n12345678\r\n"));
}

TEST_CASE("A chunk's head without end ends its call") {
  CheckEndedBy(
      HttpError::kHeadTooLong,
      CallEndlessServer(kOk + "Transfer-Encoding: chunked\r\n\r\n8;", "name"));
}

TEST_CASE("A field without end ends its call") {
  CheckEndedBy(HttpError::kHeadTooLong,
               CallEndlessServer(kOk + "X-Field: ", "value"));
}

TEST_CASE("Fields without end end their call") {
  CheckEndedBy(HttpError::kHeadTooLong,
               CallEndlessServer(kOk, "X-Field: value\r\n"));
}

TEST_CASE("Interim answers without end end their call") {
  CheckEndedBy(HttpError::kTooManyInterim,
               CallEndlessServer("", "HTTP/1.1 100 Continue\r\n\r\n"));
}

TEST_CASE("A length over the bound is none of a body for HEAD") {
  const auto it = CallEndlessServer(
      kOk + "Content-Length: 99999999999999\r\n\r\n", "x", "HEAD");
  REQUIRE(ValueOf(it.result) != nullptr);
  CHECK(ValueOf(it.result)->body.empty());
  CHECK(it.sent < kMaxBytesTaken);
}

// A stream is passed on without being held, whatever length its head names.
TEST_CASE("A stream of any length is passed on until it is cancelled") {
  EndlessServer server(kOk + "Content-Length: 99999999999999\r\n\r\n",
                       "data: x\n\n");
  EventLoop loop;
  HttpClient client(loop);
  std::uint64_t passed_on = 0;
  const auto call =
      client.Start({.address = server.address(),
                    .max_body_bytes = kMaxBodyBytes,
                    .on_chunk =
                        [&](const std::string& it) {
                          passed_on += it.size();
                          if (passed_on > 4 * kMaxBodyBytes) loop.Stop();
                        },
                    .on_done = [&](const HttpResult&) { loop.Stop(); }});
  loop.Run();
  CHECK(passed_on > 4 * kMaxBodyBytes);
  client.Cancel(call);
  CloseFinished(loop);
  CHECK(server.AwaitEnd() < kMaxBytesTaken);
}

TEST_CASE("A body that just keeps to the bound is whole") {
  for (const std::uint64_t over : {0, 1}) {
    const std::string body(kMaxBodyBytes + over, 'x');
    std::string answer = kOk;
    answer += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    answer += body;
    const auto it = CallEndlessServer(answer, "y");
    CHECK((ValueOf(it.result) != nullptr) == (over == 0));
  }
}

}  // namespace
}  // namespace scaleshed
