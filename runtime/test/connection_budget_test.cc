// What connections give up when memory or connections are short.

#include "scaleshed/runtime/connection_budget.h"

#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "internal/shedding.h"
#include "loopback_client.h"
#include "scaleshed/runtime/http_server.h"
#include "scaleshed/runtime/log.h"

namespace scaleshed {
namespace {

using internal::ChooseForConnection;
using internal::ChooseForMemory;
using internal::ConnectionLoad;

constexpr std::uint64_t kLarge = 1024 * 1024;

ConnectionLoad Reading(std::uint64_t bytes, std::optional<double> rate,
                       Duration began) {
  return {.stage = ConnectionStage::kBody,
          .reads_body = true,
          .request_bytes = bytes,
          .request_rate = rate,
          .since = Time(began)};
}

TEST_CASE("Memory is given up by those that move least, then by the newest") {
  const ConnectionLoad fast = Reading(kLarge, 1e9, seconds(1));
  const ConnectionLoad newest = Reading(kLarge, std::nullopt, seconds(9));
  const ConnectionLoad slow = Reading(kLarge, 2, seconds(2));
  const ConnectionLoad slowest = Reading(kLarge, 1, seconds(3));
  const ConnectionLoad small = Reading(100, 0, seconds(4));
  const ConnectionLoad ahead{.stage = ConnectionStage::kAnswering,
                             .read_ahead_bytes = kLarge};
  const ConnectionLoad unread{.stage = ConnectionStage::kSending,
                              .unsent_bytes = kLarge,
                              .answer_rate = 0};
  const auto check = [](const std::vector<ConnectionLoad>& loads,
                        bool only_large, std::size_t index, ShedReason reason) {
    const auto choice = ChooseForMemory(loads, only_large);
    REQUIRE(choice);
    CHECK(choice->index == index);
    CHECK(choice->reason == reason);
  };
  check({fast, slow, slowest, unread, ahead}, true, 4, ShedReason::kReadAhead);
  check({fast, slow, slowest, unread, newest}, true, 2,
        ShedReason::kSlowRequest);
  check({fast, newest, unread}, true, 2, ShedReason::kUnreadAnswer);
  check({fast, newest, small}, true, 1, ShedReason::kNewestRequest);
  check({fast, newest, small}, false, 2, ShedReason::kSlowRequest);
  CHECK_FALSE(ChooseForMemory({small}, true));
  CHECK_FALSE(ChooseForMemory({{.stage = ConnectionStage::kAnswering}}, false));
}

TEST_CASE("A connection at rest is closed before one that is used") {
  const ConnectionLoad lingering{.since = Time(seconds(9)), .lingering = true};
  const ConnectionLoad silent{.since = Time(seconds(5))};
  const ConnectionLoad kept{.since = Time(seconds(1)), .served = true};
  const ConnectionLoad slow = Reading(100, 1, seconds(1));
  const ConnectionLoad fast = Reading(100, 1e9, seconds(1));
  CHECK(ChooseForConnection({fast, slow, kept, silent, lingering})->index == 4);
  CHECK(ChooseForConnection({fast, slow, kept, silent})->index == 3);
  CHECK(ChooseForConnection({fast, slow, kept})->index == 2);
  CHECK(ChooseForConnection({fast, slow})->index == 1);
  CHECK_FALSE(ChooseForConnection({fast}));
}

// A server with room for one large body; it answers with the body's size.
class BudgetServer {
 public:
  BudgetServer()
      : budget_(std::make_shared<ConnectionBudget>(
            ConnectionBudgetOptions{.max_bytes = 4 * kLarge})),
        server_(loop_, {.budget = budget_}, [](const auto& exchange) {
          const bool omitted = exchange->request().body_omitted;
          exchange->Reply(omitted ? 401 : 200, {},
                          std::to_string(exchange->request().body.size()));
        }) {
    std::signal(SIGPIPE, SIG_IGN);
    StartLog("error", "test");
  }
  ~BudgetServer() { Stop(); }

  // Serves in a thread of its own.
  void Start() {
    thread_ = std::thread([this] { loop_.Run(); });
  }
  void Stop() {
    if (!thread_.joinable()) return;
    stops_ = true;
    thread_.join();
  }
  std::uint16_t port() const { return server_.port(); }
  HttpServer& server() { return server_; }
  const ConnectionBudget& budget() const { return *budget_; }

 private:
  EventLoop loop_;
  std::atomic<bool> stops_ = false;
  Timer poll_{loop_, [this] {
                if (stops_) loop_.Stop();
              }};
  bool polls_ = (poll_.Every(milliseconds(2)), true);
  std::shared_ptr<ConnectionBudget> budget_;
  HttpServer server_;
  std::thread thread_;
};

std::string Post(std::size_t length) {
  return "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: " +
         std::to_string(length) + "\r\n\r\n";
}

// Guards against a crowd's stalled body that keeps the next one out.
TEST_CASE("A stalled body gives way to one that moves") {
  constexpr std::size_t kBody = kLarge / 4 * 7;
  BudgetServer server;
  server.Start();
  const int stalled = ConnectTo(server.port());
  Send(stalled, Post(kBody) + std::string(kBody - 1, 'x'));
  std::this_thread::sleep_for(milliseconds(1100));
  const int moving = ConnectTo(server.port());
  Send(moving, Post(kBody) + std::string(kBody, 'x'));
  CHECK(ReadToEnd(moving).starts_with("HTTP/1.1 200"));
  CHECK(ReadToEnd(stalled).starts_with("HTTP/1.1 503"));
  const int small = ConnectTo(server.port());
  Send(small, Post(1) + "x");
  CHECK(ReadToEnd(small).starts_with("HTTP/1.1 200"));
  for (const int fd : {stalled, moving, small}) close(fd);
  server.Stop();
  CHECK(server.budget().shed(ShedReason::kSlowRequest) == 1);
}

// Guards against a reset that takes the refusal from a client which reads only
// once it has sent all.
TEST_CASE("A refused client that goes on sending gets its refusal") {
  constexpr std::size_t kBody = 8 * kLarge;
  BudgetServer server;
  server.Start();
  const int fd = ConnectTo(server.port());
  Send(fd, Post(kBody) + std::string(kBody, 'x'));
  const std::string refusal = ReadToEnd(fd);
  CHECK(refusal.starts_with("HTTP/1.1 503"));
  CHECK(refusal.find("\r\nRetry-After: 1\r\n") != std::string::npos);
  close(fd);
  server.Stop();
  CHECK(server.budget().held_bytes() == 0);
}

// Guards against a body that is read although its request is refused anyway.
TEST_CASE("A large request that can't be served is answered at its head") {
  BudgetServer server;
  server.server().OnLargeRequest([](const HttpRequest&) { return false; });
  server.Start();
  const int large = ConnectTo(server.port());
  Send(large, Post(kLarge));
  std::string text;
  while (text.find("\r\n\r\n") == std::string::npos && ReadSome(large, text)) {
  }
  CHECK(text.starts_with("HTTP/1.1 401"));
  close(large);
}

}  // namespace
}  // namespace scaleshed
