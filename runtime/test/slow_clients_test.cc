// The HTTP server before clients that are slow to send or to read.

#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "loopback_client.h"
#include "scaleshed/runtime/http_server.h"
#include "scaleshed/runtime/log.h"

namespace scaleshed {
namespace {

constexpr char kGet[] = "GET / HTTP/1.1\r\nHost: h\r\n";
// More than the sockets hold.
constexpr std::size_t kLargeBytes = 24 * 1024 * 1024;

// Answers every request with that body, or with its own.
class Server {
 public:
  explicit Server(const HttpServerOptions& options, std::string body = "")
      : server_(loop_, options, [this, body](const auto& exchange) {
          ++requests_;
          exchange->Reply(200, {}, body.empty() ? exchange->TakeBody() : body);
        }) {
    std::signal(SIGPIPE, SIG_IGN);
    StartLog("error", "test");
    server_.OnCut([this](const CutConnection& it) { cut_.push_back(it); });
  }

  // Runs `client` on a connection in a thread of its own until it returns, and
  // gives what it returned.
  std::string Serve(const std::function<std::string(int fd)>& client) {
    std::string answer;
    std::atomic<bool> done = false;
    std::thread thread([&] {
      const int fd = ConnectTo(server_.port());
      answer = client(fd);
      close(fd);
      done = true;
    });
    Timer poll(loop_, [&] {
      if (done) loop_.Stop();
      if (on_poll_) on_poll_();
    });
    poll.Every(milliseconds(1));
    loop_.Run();
    thread.join();
    return answer;
  }

  // Serves on after a client has left, whose end may be seen a little later.
  void ServeFor(Duration time) {
    Serve([time](int) {
      std::this_thread::sleep_for(time);
      return std::string();
    });
  }

  HttpServer& server() { return server_; }
  int requests() const { return requests_; }
  const std::vector<CutConnection>& cut() const { return cut_; }
  void OnPoll(std::function<void()> work) { on_poll_ = std::move(work); }

 private:
  EventLoop loop_;
  int requests_ = 0;
  std::vector<CutConnection> cut_;
  std::function<void()> on_poll_;
  HttpServer server_;
};

// Sends a request and reads the large answer after a pause; how many bytes
// came. `half_closes` says that the client sends no more, before it reads.
std::size_t ReadAfterPause(Server& server, const std::string& request,
                           Duration pause, bool half_closes = false) {
  const std::string answer = server.Serve([&](int fd) {
    Send(fd, request);
    char first = 0;
    (void)!recv(fd, &first, 1, 0);
    std::this_thread::sleep_for(pause);
    if (half_closes) shutdown(fd, SHUT_WR);
    std::string text(1, first);
    while (text.size() <= kLargeBytes && ReadSome(fd, text)) {
    }
    return text;
  });
  return answer.size();
}

// Guards against an answer that is cut a second after it was handed to the
// write buffer, while its client had still to take it.
TEST_CASE("A closing connection waits for a client that reads late") {
  Server server({}, std::string(kLargeBytes, 'x'));
  CHECK(ReadAfterPause(server, std::string(kGet) + "Connection: close\r\n\r\n",
                       milliseconds(2500)) > kLargeBytes);
  CHECK(server.cut().empty());
}

// Guards against the same cut by the client's half-close.
TEST_CASE("A client that sends no more gets the rest of its answer") {
  Server server({}, std::string(kLargeBytes, 'x'));
  CHECK(ReadAfterPause(server, std::string(kGet) + "\r\n", milliseconds(300),
                       /*half_closes=*/true) > kLargeBytes);
}

// Guards against the same cut on a kept connection whose idle time is short.
TEST_CASE("An answer that its client still takes isn't cut as idle") {
  Server server({.idle_timeout = milliseconds(200)},
                std::string(kLargeBytes, 'x'));
  CHECK(ReadAfterPause(server, std::string(kGet) + "\r\n", milliseconds(1000)) >
        kLargeBytes);
}

// Guards against the same cut where the server closes what is idle, as a
// process does that stops.
TEST_CASE("Closing idle connections leaves answers that are being sent") {
  Server server({}, std::string(kLargeBytes, 'x'));
  server.OnPoll([&] {
    if (server.requests() > 0) server.server().CloseIdle();
  });
  CHECK(ReadAfterPause(server, std::string(kGet) + "\r\n", milliseconds(300)) >
        kLargeBytes);
  CHECK(server.cut().empty());
}

// Guards against a request that ends with a close and nothing else: it came
// after the idle time was over, before a busy loop got to close the connection.
TEST_CASE("A request that has come isn't closed as idle") {
  EventLoop loop;
  HttpServer server(loop, {.idle_timeout = milliseconds(100)},
                    [](const auto& exchange) {
                      if (exchange->path() == "/slow")
                        std::this_thread::sleep_for(milliseconds(300));
                      exchange->Reply(200, {}, "");
                    });
  const int idle = ConnectTo(server.port());
  const int slow = ConnectTo(server.port());
  std::string answer;
  std::atomic<bool> ended = false;
  Timer busy(loop, [&] {
    // Both the other connection's request and the idle time are due next.
    Send(slow, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n");
    std::this_thread::sleep_for(milliseconds(200));
  });
  busy.Once(milliseconds(50));
  std::thread client([&] {
    std::this_thread::sleep_for(milliseconds(400));
    Send(idle, std::string(kGet) + "\r\n");
    ReadSome(idle, answer);
    ended = true;
  });
  Timer poll(loop, [&] {
    if (ended) loop.Stop();
  });
  poll.Every(milliseconds(1));
  loop.Run();
  client.join();
  close(idle);
  close(slow);
  CHECK(answer.starts_with("HTTP/1.1 200"));
}

std::string PostOf(std::size_t bytes) {
  return "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
         "Content-Length: " +
         std::to_string(bytes) + "\r\n\r\n";
}

// Guards against a request that ends with a close and nothing else, as its body
// took longer in all than a connection may be idle.
TEST_CASE("A body that keeps arriving may take longer than the idle time") {
  Server server({.idle_timeout = milliseconds(300)});
  constexpr int kPieces = 12;
  const std::string answer = server.Serve([&](int fd) {
    Send(fd, PostOf(kPieces));
    for (int i = 0; i < kPieces; ++i) {
      std::this_thread::sleep_for(milliseconds(100));
      Send(fd, "x");
    }
    return ReadToEnd(fd);
  });
  CHECK(answer.starts_with("HTTP/1.1 200"));
  CHECK(answer.ends_with(std::string(kPieces, 'x')));
}

// Guards against a close without a word in the middle of a body.
TEST_CASE("A body that stops arriving is answered with 408") {
  Server server({.idle_timeout = milliseconds(100)});
  const std::string answer = server.Serve([&](int fd) {
    Send(fd, PostOf(10) + "x");
    return ReadToEnd(fd);
  });
  CHECK(answer.starts_with("HTTP/1.1 408"));
  CHECK(server.requests() == 0);
}

TEST_CASE("A connection that ends in the middle of something is told") {
  Server server({.idle_timeout = milliseconds(100)},
                std::string(kLargeBytes, 'x'));
  SECTION("of a body") {
    server.Serve([&](int fd) {
      Send(fd, PostOf(10) + "x");
      return std::string();
    });
    server.ServeFor(milliseconds(50));
    REQUIRE(server.cut().size() == 1);
    CHECK(server.cut()[0].stage == ConnectionStage::kBody);
    CHECK(server.cut()[0].end == ConnectionEnd::kClient);
  }
  SECTION("of an answer") {
    server.Serve([&](int fd) {
      Send(fd, std::string(kGet) + "\r\n");
      char first = 0;
      (void)!recv(fd, &first, 1, 0);
      return std::string();
    });
    server.ServeFor(milliseconds(100));
    REQUIRE_FALSE(server.cut().empty());
    CHECK(server.cut()[0].stage == ConnectionStage::kSending);
    CHECK(server.cut()[0].unsent_bytes > 0);
  }
}

// Guards against a stream without end that fills the memory of its server while
// the client doesn't read.
TEST_CASE("A stream without end is not held for a client that doesn't read") {
  EventLoop loop;
  std::vector<std::shared_ptr<HttpExchange>> exchanges;
  bool closed = false;
  HttpServer server(loop, {}, [&](const auto& it) {
    exchanges.push_back(it);
    it->OnClosed([&] { closed = true; });
    it->StartStream(200, {});
  });
  std::vector<CutConnection> cut;
  server.OnCut([&](const CutConnection& it) { cut.push_back(it); });
  std::atomic<bool> done = false;
  std::thread client([&] {
    const int fd = ConnectTo(server.port());
    Send(fd, std::string(kGet) + "\r\n");
    while (!done) std::this_thread::sleep_for(milliseconds(1));
    close(fd);
  });
  std::size_t sent = 0;
  const std::string piece(256 * 1024, 'x');
  Timer poll(loop, [&] {
    if (closed || sent > 4 * kLargeBytes) loop.Stop();
    if (exchanges.empty()) return;
    exchanges[0]->SendChunk(piece);
    sent += piece.size();
  });
  poll.Every(milliseconds(1));
  loop.Run();
  done = true;
  client.join();
  CHECK(closed);
  CHECK(sent < 2 * kLargeBytes);
  REQUIRE(cut.size() == 1);
  CHECK(cut[0].end == ConnectionEnd::kUnread);
}

}  // namespace
}  // namespace scaleshed
