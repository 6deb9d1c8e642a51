// Bad input to a real daemon: a clear refusal, and the daemon goes on.

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <string>

#include "scaleshed/cli/sync.h"
#include "scaleshed/runtime/address.h"
#include "scaleshed/testing/cluster.h"
#include "scaleshed/wire/caller_json.h"

namespace scaleshed::testing {
namespace {

const ClusterPrograms kPrograms{.daemon = SCALESHED_DAEMON,
                                .engine = SCALESHED_ENGINE,
                                .service = SCALESHED_SERVICE,
                                .platform = SCALESHED_PLATFORM};

HttpCall Completion(const std::string& body, const std::string& account) {
  return {.method = "POST",
          .path = "/v1/completions",
          .headers = {{"X-Client-Account", account}},
          .body = body};
}

// Sends bytes as they are and reads until the daemon closes or has answered.
std::string SendRaw(const std::string& address, const std::string& bytes) {
  const Address to = ParseAddress(address);
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(to.port);
  inet_pton(AF_INET, to.host.c_str(), &name.sin_addr);
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&name), sizeof(name)) == 0);
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const auto n =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) break;
    sent += static_cast<std::size_t>(n);
  }
  shutdown(fd, SHUT_WR);
  std::string answer(4096, '\0');
  const auto n = recv(fd, answer.data(), answer.size(), 0);
  close(fd);
  answer.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
  return answer;
}

TEST_CASE("Bad input gets a clear refusal, and the daemon goes on") {
  std::signal(SIGPIPE, SIG_IGN);
  Scenario scenario;
  scenario.engines = {{.name = "e1"}};
  scenario.services = {"s1"};
  Cluster cluster(kPrograms, scenario);
  REQUIRE(cluster.failures().empty());
  const std::string address = cluster.AddressOf("d1");

  const auto refusal = [&](HttpCall call, int status, const std::string& says) {
    call.address = address;
    const HttpResult result = CallSync(cluster.loop(), std::move(call));
    const HttpResponse* response = ValueOf(result);
    REQUIRE(response != nullptr);
    INFO(response->body);
    CHECK(response->status == status);
    CHECK(response->body.find(says) != std::string::npos);
    CHECK(response->headers.at("x-outcome") == "not_run");
  };
  refusal(Completion(R"({"model": "llm", "pro)", "acme"), 400,
          "not valid JSON");
  refusal(Completion(R"({"model": "llm"})", "acme"), 400,
          "prompt: must be a string");
  refusal(Completion(R"({"model": "none", "prompt": "x"})", "acme"), 400,
          "unknown model 'none'");
  refusal(Completion(R"({"model": "llm", "prompt": "x"})", "nobody"), 401,
          "unknown client account 'nobody'");
  refusal(Completion(R"({"model": "llm", "prompt": "x"})", "a b"), 401,
          "X-Client-Account must be");
  HttpCall negative = Completion(R"({"model": "llm", "prompt": "x"})", "acme");
  negative.headers["X-Time-Limit-Ms"] = "-5";
  refusal(negative, 400, "X-Time-Limit-Ms must be a whole number from 1");
  HttpCall id = Completion(R"({"model": "llm", "prompt": "x"})", "acme");
  id.headers["Idempotency-Key"] = "my-own";
  refusal(id, 400, "id_prefix of a look-up");
  refusal({.method = "POST",
           .path = "/services/none/x",
           .headers = {{"X-Client-Account", "acme"}}},
          400, "unknown service 'none'");

  const std::string big =
      SendRaw(address,
              "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: "
              "104857600\r\n\r\n" +
                  std::string(1000, 'x'));
  CHECK(big.find("413") != std::string::npos);
  const std::string header = SendRaw(
      address,
      "GET / HTTP/1.1\r\nX-Long: " + std::string(1 << 20, 'x') + "\r\n\r\n");
  CHECK(header.find("HTTP/1.1 4") == 0);
  SendRaw(address,
          "POST /v1/completions HTTP/1.1\r\nContent-Length: 50\r\n\r\n{");
  SendRaw(address, std::string("\0\1\2garbage\r\n\r\n", 14));

  HttpCall good = Completion(R"({"model": "llm", "prompt": "x"})", "acme");
  good.address = address;
  const HttpResult result = CallSync(cluster.loop(), std::move(good));
  REQUIRE(ValueOf(result) != nullptr);
  CHECK(ValueOf(result)->status == 200);
}

}  // namespace
}  // namespace scaleshed::testing
