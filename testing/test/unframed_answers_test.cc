// Answers that have neither a length nor chunks and end with their connection:
// what the clients of a daemon get of them.

#include "raw_fleet.h"
#include "scaleshed/wire/relay_codec.h"

namespace scaleshed::testing {
namespace {

constexpr char kOk[] = "HTTP/1.1 200 OK\r\n";
constexpr char kEvent[] = "id: 1\ndata: piece 1\n\n";
constexpr char kSecondEvent[] = "id: 2\ndata: piece 2\n\n";

TEST_CASE("An answer without a length is whole at an orderly close") {
  RawFleet fleet("app", kOk, "all of it");
  const auto asked = fleet.Ask("/plain/unsafe/a");
  CHECK(asked->status() == 200);
  CHECK(asked->header("X-Response-Seal") == "raw");
  CHECK(asked->body() == "all of it");
  CHECK(asked->header("Content-Length") == "9");
}

TEST_CASE("An answer without a length that is reset isn't whole") {
  RawFleet fleet("app", kOk, "not all of", RawEnd::kReset);
  CHECK(fleet.Ask("/plain/unsafe/a")->status() == 502);
  CHECK(fleet.raw().runs() == 1);
}

// Guards against statuses that are none (000) and reach the client as an
// answer.
TEST_CASE("An answer with a status that is none is served elsewhere") {
  for (const std::string status : {"000", "099", "101", "600", "999"}) {
    for (const char* service : {"app", "llm"}) {
      INFO(status << ", " << service);
      RawFleet fleet(service, "HTTP/1.1 " + status + " S\r\n", "",
                     RawEnd::kClose, "raw", /*with_other=*/true);
      const std::string path =
          service == std::string("app") ? "/plain/safe/a" : "/chat/a";
      for (int i = 0; i < 10; ++i) CHECK(fleet.Ask(path)->status() == 200);
    }
    RawFleet fleet("app", "HTTP/1.1 " + status + " S\r\n", "");
    CHECK(fleet.Ask("/plain/unsafe/a")->status() == 502);
    CHECK(fleet.raw().runs() == 1);
  }
}

// Guards against a cut head that reaches the client as an empty 200.
TEST_CASE("An answer that ends inside of its head is none") {
  for (const std::string head :
       {"HTTP/1.1 200", "HTTP/1.1 200 OK\r\nContent-"}) {
    RawFleet fleet("app", head, "", RawEnd::kCloseInHead);
    CHECK(fleet.Ask("/plain/unsafe/a")->status() == 502);
    CHECK(fleet.raw().runs() == 1);
  }
}

TEST_CASE("An answer that can have no body needs no close") {
  RawFleet fleet("app", "HTTP/1.1 204 No Content\r\n", "");
  const auto asked = fleet.Ask("/plain/unsafe/a");
  CHECK(asked->status() == 204);
  CHECK(asked->body().empty());
}

TEST_CASE("The answer to HEAD is its head") {
  RawFleet fleet("app", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n", "");
  EventLoop& loop = fleet.loop();
  HttpClient client(loop);
  auto asked = std::make_shared<Asked>();
  client.Start({.address = fleet.settings(0).listen,
                .method = "HEAD",
                .path = "/plain/safe/a",
                .headers = {{"Host", "h"},
                            {"X-Request-Id", "head"},
                            {"X-Deadline-Ms", "3000"},
                            {"Api-Key", "k1"}},
                .on_done = [asked](HttpResult it) {
                  asked->result = std::move(it);
                  asked->done = true;
                }});
  REQUIRE(fleet.Until([&] { return asked->done; }));
  CHECK(asked->status() == 200);
  CHECK(asked->body().empty());
}

TEST_CASE("A stream without chunks is whole if it ends between events") {
  RawFleet fleet("llm", kOk, std::string(kEvent) + kSecondEvent);
  const auto asked = fleet.Ask("/once/a");
  CHECK(asked->status() == 200);
  CHECK(asked->body() == std::string(kEvent) + kSecondEvent);
}

TEST_CASE("A stream without chunks that ends inside an event is broken off") {
  RawFleet fleet("llm", kOk, std::string(kEvent) + "id: 2\ndata: pie");
  const auto asked = fleet.Ask("/once/a");
  // The client's stream breaks as well.
  CHECK(ValueOf(asked->result) == nullptr);
  CHECK(asked->streamed == kEvent);
}

TEST_CASE("A stream without chunks that is reset is broken off") {
  RawFleet fleet("llm", kOk, kEvent, RawEnd::kReset);
  const auto asked = fleet.Ask("/once/a");
  CHECK(ValueOf(asked->result) == nullptr);
  CHECK(asked->streamed == kEvent);
}

// A server that crashes closes its connections in good order as well, so that
// an empty stream would look like a whole answer.
TEST_CASE("A stream without chunks and events is broken off") {
  RawFleet fleet("llm", kOk, "");
  CHECK(fleet.Ask("/once/a")->status() == 502);
  CHECK(fleet.raw().runs() == 1);
}

TEST_CASE("A stream that may be resumed goes on elsewhere after such an end") {
  const std::string body =
      GENERATE(std::string(kEvent) + "id: 2\ndata: pie", std::string());
  // Which server is the first one depends on their ids.
  int raw_runs = 0;
  for (int i = 0; i < 6; ++i) {
    RawFleet fleet("llm", kOk, body, RawEnd::kClose, "raw-" + std::to_string(i),
                   /*with_other=*/true);
    const auto asked = fleet.Ask("/chat/a");
    CHECK(asked->status() == 200);
    CHECK(asked->body().starts_with(kEvent));
    CHECK(asked->body().ends_with("data: piece 5\n\n"));
    raw_runs += fleet.raw().runs();
  }
  CHECK(raw_runs > 0);
}

TEST_CASE("A relayed answer without a length comes back whole or not at all") {
  const RawEnd end = GENERATE(RawEnd::kClose, RawEnd::kReset);
  RawFleet fleet("app", kOk, "all of it", end);
  HttpClient client(fleet.loop());
  const RelayEnvelope envelope{.origin = "127.0.0.1:2",
                               .method = "POST",
                               .target = "/plain/unsafe/a",
                               .headers = {{"Host", "h"},
                                           {"X-Request-Id", "relayed"},
                                           {"X-Deadline-Ms", "3000"},
                                           {"Api-Key", "k1"}},
                               .body = "question"};
  auto asked = std::make_shared<Asked>();
  client.Start({.address = fleet.settings(0).peer_listen,
                .method = "POST",
                .path = kRelayPath,
                .body = EncodeRelay(envelope),
                .on_done = [asked](HttpResult it) {
                  asked->result = std::move(it);
                  asked->done = true;
                }});
  REQUIRE(fleet.Until([&] { return asked->done; }));
  const bool whole = end == RawEnd::kClose;
  CHECK(asked->status() == (whole ? 200 : 502));
  CHECK(asked->header(kRelayOutcomeHeader) == (whole ? "served" : "unknown"));
  if (whole) CHECK(asked->body() == "all of it");
}

}  // namespace
}  // namespace scaleshed::testing
