// The HTTP server and client against peers that frame badly, on loopback.

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <cerrno>
#include <csignal>
#include <memory>
#include <string>
#include <thread>

#include "loopback_client.h"
#include "scaleshed/runtime/address.h"
#include "scaleshed/runtime/http_client.h"
#include "scaleshed/runtime/http_query.h"
#include "scaleshed/runtime/http_server.h"
#include "scaleshed/runtime/log.h"

namespace scaleshed {
namespace {

// Ends a test that hangs; no test's verdict depends on how long it takes.
constexpr Duration kHangLimit = seconds(20);

// Answers every request with its method, path and body.
class EchoServer {
 public:
  explicit EchoServer(const HttpServerOptions& options = {})
      : server_(
            loop_, options, [this](const std::shared_ptr<HttpExchange>& it) {
              ++requests_;
              const std::string said = it->method() + " " + it->path() + " ";
              it->Reply(200, {}, said + it->TakeBody());
            }) {
    StartLog("error", "test");
  }

  // Sends bytes and gives all that comes until the server closes.
  std::string Send(const std::string& bytes) {
    std::string answer;
    std::atomic<bool> answered = false;
    std::thread client([&] {
      const int fd = ConnectTo(server_.port());
      (void)!write(fd, bytes.data(), bytes.size());
      answer = ReadToEnd(fd);
      close(fd);
      answered = true;
    });
    // The loop is its own thread's: it looks for itself whether all is done.
    Timer poll(loop_, [&] {
      if (answered) loop_.Stop();
    });
    poll.Every(milliseconds(1));
    loop_.Run();
    client.join();
    return answer;
  }
  int requests() const { return requests_; }

 private:
  EventLoop loop_;
  int requests_ = 0;
  HttpServer server_;
};

// Accepts one connection, reads the request, sends `answer` and closes it, in
// good order or by a reset.
HttpResult AskServerThatSends(const std::string& answer, bool reset = false) {
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in name{};
  name.sin_family = AF_INET;
  inet_pton(AF_INET, "127.0.0.1", &name.sin_addr);
  REQUIRE(bind(listener, reinterpret_cast<sockaddr*>(&name), sizeof(name)) ==
          0);
  REQUIRE(listen(listener, 1) == 0);
  socklen_t length = sizeof(name);
  getsockname(listener, reinterpret_cast<sockaddr*>(&name), &length);
  std::thread server([&] {
    const int fd = accept(listener, nullptr, nullptr);
    char buf[4096];
    (void)!read(fd, buf, sizeof(buf));
    (void)!write(fd, answer.data(), answer.size());
    if (reset) {
      // Time for the bytes to be read before the reset discards them.
      usleep(100'000);
      const linger hard{.l_onoff = 1, .l_linger = 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    }
    close(fd);
  });
  EventLoop loop;
  HttpClient client(loop);
  HttpResult result = HttpError::kCancelled;
  client.Start({.address = "127.0.0.1:" + std::to_string(ntohs(name.sin_port)),
                .timeout = kHangLimit,
                .on_done = [&](HttpResult it) {
                  result = std::move(it);
                  loop.Stop();
                }});
  loop.Run();
  server.join();
  close(listener);
  return result;
}

std::string OutcomeOf(const HttpResult& result) {
  if (const auto* response = ValueOf(result)) {
    return std::to_string(response->status) + " " + response->body;
  }
  switch (ErrorOf(result)) {
    case HttpError::kNotSent:
      return "not_sent";
    case HttpError::kRefused:
      return "refused";
    case HttpError::kTimeout:
      return "timeout";
    default:
      return "broken";
  }
}

TEST_CASE("A request that could be read in two ways is refused") {
  std::signal(SIGPIPE, SIG_IGN);
  const std::string post = "POST /a HTTP/1.1\r\nHost: h\r\n";
  const std::string get = "GET /a HTTP/1.1\r\n";
  const std::string traps[] = {
      post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
      post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
      post + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
      post + "Content-Length: -3\r\n\r\nabc",
      get + "Host: h\r\nX-A: b\r\n folded\r\n\r\n",
      get + "Host: h\nX-A: b\r\n\r\n",
      get + "Host : h\r\n\r\n",
      get + "Host: h\r\nHost: g\r\n\r\n",
      get + "\r\n",
      get + "Host: h\r\nX-A: b" + '\0' + "c\r\n\r\n",
  };
  for (const std::string& it : traps) {
    EchoServer server;
    const std::string answer = server.Send(it);
    INFO("sent: " << it << "\nanswered: " << answer);
    CHECK(answer.substr(0, 12) == "HTTP/1.1 400");
    CHECK(server.requests() == 0);
  }
}

TEST_CASE("Bodies arrive unchanged, with a length or in chunks") {
  EchoServer server;
  const std::string answer = server.Send(
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"
      "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
      "Connection: close\r\n\r\n3\r\nwor\r\n2\r\nld\r\n0\r\n\r\n");
  INFO(answer);
  CHECK(server.requests() == 2);
  CHECK(answer.find("POST /a hello") != std::string::npos);
  CHECK(answer.find("POST /b world") != std::string::npos);
}

TEST_CASE("Requests over the limits are refused with their own status") {
  EchoServer big({.max_body_bytes = 10});
  CHECK(big.Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n")
            .substr(0, 12) == "HTTP/1.1 413");
  EchoServer chunks({.max_body_bytes = 10});
  CHECK(chunks
            .Send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                  "chunked\r\n\r\nb\r\nhello world\r\n0\r\n\r\n")
            .substr(0, 12) == "HTTP/1.1 413");
  EchoServer head({.max_header_bytes = 100});
  CHECK(head.Send("GET / HTTP/1.1\r\nHost: h\r\nX-A: " + std::string(200, 'x'))
            .substr(0, 12) == "HTTP/1.1 431");
}

TEST_CASE("A slow head is refused") {
  EchoServer server(HttpServerOptions{.header_timeout = milliseconds(50)});
  CHECK(server.Send("GET / HTTP/1.1\r\nHost:").substr(0, 12) == "HTTP/1.1 408");
}

TEST_CASE("Only a whole answer counts as one") {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  CHECK(OutcomeOf(AskServerThatSends(ok + "Content-Length: 2\r\n\r\nhi")) ==
        "200 hi");
  CHECK(OutcomeOf(AskServerThatSends(ok + "Content-Length: 2\r\n\r\nhiHTTP/1.1 "
                                          "200 OK\r\n\r\nother")) == "200 hi");
  CHECK(OutcomeOf(AskServerThatSends(ok + "Content-Length: 9\r\n\r\nhi")) ==
        "broken");
  CHECK(OutcomeOf(AskServerThatSends(
            ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n")) == "broken");
  CHECK(OutcomeOf(AskServerThatSends(ok + "\r\nhi")) == "200 hi");
  CHECK(OutcomeOf(AskServerThatSends(ok + "\r\nhi", true)) == "broken");
  CHECK(OutcomeOf(AskServerThatSends("\x16\x03 no answer\r\n\r\n")) ==
        "broken");
  CHECK(OutcomeOf(AskServerThatSends("")) == "broken");
  CHECK(OutcomeOf(AskServerThatSends("HTTP/1.1 100 Continue\r\n\r\n" + ok +
                                     "Content-Length: 2\r\n\r\nhi")) ==
        "200 hi");
}

// Guards against a status that is none and reaches the caller as an answer.
TEST_CASE("A response whose status is none is no answer") {
  for (const std::string status :
       {"000", "001", "099", "101", "600", "999", "0", "20", "2000", "-20",
        "2 0", "abc", ""}) {
    for (const std::string rest :
         {"\r\n\r\n", "\r\n\r\nbody", "\r\nContent-Length: 2\r\n\r\nhi",
          "\r\nContent-Length: 0\r\n\r\n",
          "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"}) {
      const std::string answer =
          std::string("HTTP/1.1 ").append(status).append(" S").append(rest);
      INFO(answer);
      CHECK(OutcomeOf(AskServerThatSends(answer)) == "broken");
    }
  }
  for (const std::string status : {"200", "299", "404", "500", "599"}) {
    INFO(status);
    CHECK(OutcomeOf(AskServerThatSends("HTTP/1.1 " + status +
                                       " S\r\nContent-Length: 2\r\n\r\nhi")) ==
          status + " hi");
  }
}

// Guards against an answer that ends inside of a head and looks whole.
TEST_CASE("A response that ends inside of its head is no answer") {
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
  for (std::size_t n = 0; n < head.size(); ++n) {
    INFO(n);
    CHECK(OutcomeOf(AskServerThatSends(head.substr(0, n))) == "broken");
  }
  CHECK(OutcomeOf(AskServerThatSends(interim)) == "broken");
  CHECK(OutcomeOf(AskServerThatSends(interim + head.substr(0, 17))) ==
        "broken");
  CHECK(OutcomeOf(AskServerThatSends(interim + head)) == "200 ");
}

// Guards against text of others that becomes part of a request's head.
TEST_CASE("A call whose parts would end its head early is not sent") {
  EventLoop loop;
  int requests = 0;
  HttpServer server(loop, {}, [&](const auto& exchange) {
    ++requests;
    exchange->Reply(200, {}, "");
  });
  const auto call = [&](HttpCall it) {
    HttpResult result = HttpError::kCancelled;
    it.address = "127.0.0.1:" + std::to_string(server.port());
    it.on_done = [&](HttpResult done) {
      result = std::move(done);
      loop.Stop();
    };
    HttpClient client(loop);
    client.Start(std::move(it));
    loop.Run();
    return result;
  };
  for (const char* path : {"/a b", "/a\r\nX: y", "/a\tb"}) {
    CHECK(ErrorOf(call({.path = path})) == HttpError::kMalformed);
  }
  CHECK(ErrorOf(call({.headers = {{"X", "a\r\nY: b"}}})) ==
        HttpError::kMalformed);
  CHECK(ErrorOf(call({.headers = {{"X\n", "a"}}})) == HttpError::kMalformed);
  CHECK(requests == 0);
  CHECK(ValueOf(call({.path = "/a%20b", .headers = {{"X", "a b"}}})) !=
        nullptr);
}

// Guards against queries whose fields change with what stands in them.
TEST_CASE("Whatever a query's field holds, it comes back as it was") {
  for (const std::string text :
       {"", "a", "a b", "a+b", "a&b=c", "#", "%41", "%", "=", "?", "/x:y~",
        "\xc3\xa4", "\r\n", "\xff"}) {
    INFO(text);
    const std::string target = TargetWithQuery(
        "/p", {{"first", "1"}, {"second", text}, {"third", "3"}});
    CHECK(target.substr(0, 3) == "/p?");
    const std::string query = target.substr(3);
    CHECK(QueryValue(query, "second") == text);
    CHECK(QueryValue(query, "third") == "3");
    CHECK(QueryValue(query, "fourth").empty());
  }
  const std::string zero("a\0b", 3);
  CHECK(QueryValue(TargetWithQuery("", {{"x", zero}}).substr(1), "x") == zero);
}

TEST_CASE("A port on which nobody listens is told as refused") {
  EventLoop loop;
  HttpClient client(loop);
  HttpResult result = HttpError::kCancelled;
  client.Start({.address = "127.0.0.1:1", .on_done = [&](HttpResult it) {
                  result = std::move(it);
                  loop.Stop();
                }});
  loop.Run();
  CHECK(OutcomeOf(result) == "refused");
}

// One call to a server that answers with `pieces` of a body, one each 50 ms,
// and ends the answer after them, or never.
HttpResult CallSlowServer(int pieces, bool ends, Duration silence) {
  EventLoop loop;
  std::shared_ptr<HttpExchange> exchange;
  int sent = 0;
  Timer piece(loop, [&] {
    if (exchange == nullptr || sent > pieces) return;
    if (++sent <= pieces) {
      exchange->SendChunk("x");
    } else if (ends) {
      exchange->EndStream();
    }
  });
  HttpServer server(loop, {}, [&](const auto& it) {
    exchange = it;
    exchange->StartStream(200, {});
  });
  HttpClient client(loop);
  HttpResult result = HttpError::kCancelled;
  client.Start({.address = "127.0.0.1:" + std::to_string(server.port()),
                .timeout = kHangLimit,
                .silence = silence,
                .on_done = [&](auto it) {
                  result = std::move(it);
                  loop.Stop();
                }});
  piece.Every(milliseconds(50));
  loop.Run();
  return result;
}

TEST_CASE("An answer that goes on coming is not given up, one that stops is") {
  // More time in all than the silence that is allowed.
  const auto slow = CallSlowServer(30, /*ends=*/true, milliseconds(1200));
  REQUIRE(ValueOf(slow) != nullptr);
  CHECK(ValueOf(slow)->body == std::string(30, 'x'));
  const auto stopped = CallSlowServer(2, /*ends=*/false, milliseconds(300));
  REQUIRE(ValueOf(stopped) == nullptr);
  CHECK(ErrorOf(stopped) == HttpError::kTimeout);
}

// Requests of clients that had left reached backend servers half a second
// later: their bytes had waited in the socket, behind a full link, and an
// orderly close sends them first.
TEST_CASE("A call that is given up takes its unsent bytes back") {
  EventLoop loop;
  const int server = socket(AF_INET, SOCK_STREAM, 0);
  auto name = *SocketAddress("127.0.0.1:0");
  socklen_t length = sizeof(name);
  REQUIRE(bind(server, reinterpret_cast<sockaddr*>(&name), length) == 0);
  REQUIRE(listen(server, 1) == 0);
  REQUIRE(getsockname(server, reinterpret_cast<sockaddr*>(&name), &length) ==
          0);
  HttpClient client(loop);
  // More than the sockets hold, to a server that does not read yet.
  constexpr std::size_t kBytes = 32 * 1024 * 1024;
  const auto call = client.Start(
      {.address = "127.0.0.1:" + std::to_string(ntohs(name.sin_port)),
       .method = "POST",
       .body = std::string(kBytes, 'x')});
  int connection = -1;
  char head = 0;
  bool given_up = false;
  Timer poll(loop, [&] {
    if (connection < 0) {
      connection = accept4(server, nullptr, nullptr, SOCK_NONBLOCK);
    }
    if (recv(connection, &head, 1, MSG_PEEK) == 1 || given_up) loop.Stop();
  });
  poll.Every(milliseconds(1));
  loop.Run();
  client.Cancel(call);
  given_up = true;
  // The loop closes what was given up.
  poll.Once(milliseconds(1));
  loop.Run();
  fcntl(connection, F_SETFL, 0);  // waits for the end now
  char buf[4096];
  ssize_t n = 1;
  while (n > 0) n = recv(connection, buf, sizeof(buf), 0);
  CHECK(n < 0);
  CHECK(errno == ECONNRESET);
  close(connection);
  close(server);
}

}  // namespace
}  // namespace scaleshed
