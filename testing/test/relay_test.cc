// Requests that one daemon passes to another because it doesn't reach the
// backend servers: both ends, against peers that keep to the protocol and peers
// that don't.

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>

#include "fleet_harness.h"
#include "scaleshed/runtime/datagram_socket.h"
#include "scaleshed/wire/datagram_codec.h"
#include "scaleshed/wire/relay_codec.h"

namespace scaleshed::testing {
namespace {

constexpr char kStream[] = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n";

// A daemon that publishes that it reaches all services, and whose handling of
// relayed requests the test sets.
class FakePeer {
 public:
  using Handler = std::function<void(HttpExchange&, const RelayEnvelope&)>;

  FakePeer(EventLoop& loop, std::string daemon, Handler handler)
      : loop_(loop),
        daemon_(std::move(daemon)),
        address_(FreeAddress()),
        socket_(loop, address_, [](const auto&) {}),
        server_(loop, {.address = address_},
                [this, handler = std::move(handler)](const auto& exchange) {
                  const auto envelope = DecodeRelay(exchange->TakeBody());
                  REQUIRE(envelope);
                  ++relayed_;
                  held_.push_back(exchange);
                  handler(*exchange, *envelope);
                }),
        publish_(loop, [this] { Publish(); }) {
    constexpr Duration kInterval = milliseconds(100);
    publish_.Every(kInterval);
    Publish();
  }

  int relayed() const { return relayed_; }
  // Closes the connections of requests without a response.
  void BreakHeld() {
    for (const auto& it : held_) it->Abort();
  }

 private:
  void Publish() {
    serving::LoadSnapshot snapshot{.instance = "127.0.0.1:1",
                                   .peer_address = address_,
                                   .data_centre = "z1",
                                   .incarnation = 1,
                                   .sequence = ++sequence_,
                                   .serving = true,
                                   .relays = true};
    for (const char* it : {"llm", "app"}) {
      snapshot.paths.push_back({.service = it, .answered = loop_.Now()});
    }
    socket_.Send(daemon_, EncodeDatagram(snapshot, loop_.Now()));
  }

  EventLoop& loop_;
  std::string daemon_;
  std::string address_;
  DatagramSocket socket_;
  std::vector<std::shared_ptr<HttpExchange>> held_;
  HttpServer server_;
  Timer publish_;
  std::uint64_t sequence_ = 0;
  int relayed_ = 0;
};

HttpHeaders WorkerHeaders(const RelayEnvelope& envelope) {
  HttpHeaders headers{{"X-Response-Seal", "seal"}};
  for (const auto& [name, value] : envelope.headers) {
    if (SameHeader(name, "X-Request-Id")) headers.Add(name, value);
  }
  return headers;
}

HttpHeaders ServedHeaders(const RelayEnvelope& envelope) {
  HttpHeaders headers = WorkerHeaders(envelope);
  headers.Add(kRelayOutcomeHeader, "served");
  return headers;
}

HttpHeaders RefusedHeaders(const std::string& reason) {
  return {{kRelayOutcomeHeader, reason}, {kRelayRetryHeader, "700"}};
}

// A fleet of one daemon none of whose servers takes a connection.
class LonelyFleet : public Fleet {
 public:
  LonelyFleet() {
    Configure();
    constexpr int kServersOfEach = 3;
    for (int i = 0; i < kServersOfEach; ++i) {
      AddWorker("llm").End();
      AddWorker("app").End();
    }
    AddDaemon();
    REQUIRE(WaitReady());
  }
  std::unique_ptr<FakePeer> AddPeer(FakePeer::Handler handler) {
    return std::make_unique<FakePeer>(loop(), settings(0).peer_listen,
                                      std::move(handler));
  }
};

// Passes a request to a daemon as another daemon does.
std::shared_ptr<Asked> Relay(Fleet& fleet, HttpClient& client,
                             const std::string& path, const std::string& key) {
  const RelayEnvelope envelope{.origin = "127.0.0.1:2",
                               .method = "POST",
                               .target = path,
                               .headers = {{"Host", "h"},
                                           {"X-Request-Id", "relayed"},
                                           {"X-Deadline-Ms", "3000"},
                                           {"Api-Key", key}},
                               .body = "question"};
  auto asked = std::make_shared<Asked>();
  client.Start(
      {.address = fleet.settings(0).peer_listen,
       .method = "POST",
       .path = kRelayPath,
       .body = EncodeRelay(envelope),
       .on_chunk = [asked](const std::string& it) { asked->streamed += it; },
       .on_done =
           [asked](HttpResult it) {
             asked->result = std::move(it);
             asked->done = true;
           }});
  REQUIRE(fleet.Until([&] { return asked->done; }));
  return asked;
}

TEST_CASE("A daemon serves relayed requests under its own checks") {
  Fleet fleet;
  fleet.Configure();
  FakeWorker& worker = fleet.AddWorker("app");
  fleet.AddWorker("llm");
  fleet.AddDaemon();
  REQUIRE(fleet.WaitReady());
  HttpClient client(fleet.loop());
  const auto served = Relay(fleet, client, "/plain/unsafe/a", "k1");
  CHECK(served->status() == 200);
  CHECK(served->header(kRelayOutcomeHeader) == "served");
  CHECK(served->header("X-Response-Seal") == "seal-of-" + worker.id());
  CHECK(worker.last_request().headers.Get("X-Tenant") == "acme");
  CHECK(worker.last_request().headers.Count("Api-Key") == 0);
  const auto streamed = Relay(fleet, client, "/chat/a", "k1");
  CHECK(streamed->status() == 200);
  CHECK(streamed->header(kRelayOutcomeHeader) == "served");
  const auto denied = Relay(fleet, client, "/plain/unsafe/a", "forged");
  CHECK(denied->status() == 401);
  CHECK(denied->header(kRelayOutcomeHeader) == "unknown_key");
  const auto unknown = Relay(fleet, client, "/nowhere/", "k1");
  CHECK(unknown->header(kRelayOutcomeHeader) == "unknown_route");
  CHECK(worker.RunsOf("relayed") == 1);
}

TEST_CASE("A relayed request may run once, whatever its kind") {
  Fleet fleet;
  fleet.Configure();
  FakeWorker& first = fleet.AddWorker("app");
  FakeWorker& second = fleet.AddWorker("app");
  first.SetMode(WorkerMode::kResetting);
  second.SetMode(WorkerMode::kResetting);
  fleet.AddDaemon();
  REQUIRE(fleet.WaitReady());
  HttpClient client(fleet.loop());
  const auto asked = Relay(fleet, client, "/plain/safe/a", "k1");
  CHECK(asked->status() == 502);
  CHECK(asked->header(kRelayOutcomeHeader) == "unknown");
  CHECK(first.RunsOf("relayed") + second.RunsOf("relayed") == 1);
}

TEST_CASE("Calls between daemons that are no relayed request are refused") {
  Fleet fleet;
  fleet.Configure();
  fleet.AddWorker("app");
  fleet.AddDaemon();
  REQUIRE(fleet.WaitReady());
  const auto asked = fleet.Get(fleet.settings(0).peer_listen, kRelayPath);
  CHECK(asked->status() == 400);
  CHECK(asked->header(kRelayOutcomeHeader).empty());
}

TEST_CASE("A daemon that reaches no server relays to one that does") {
  LonelyFleet fleet;
  const auto peer = fleet.AddPeer([](auto& exchange, const auto& envelope) {
    const HttpHeaders headers = ServedHeaders(envelope);
    if (envelope.target.starts_with("/plain/")) {
      exchange.Reply(200, headers, "body");
      return;
    }
    exchange.StartStream(200, headers);
    exchange.SendChunk(kStream);
    exchange.EndStream();
  });
  CHECK(fleet.Ask("/plain/unsafe/a")->body() == "body");
  CHECK(fleet.Ask("/plain/safe/a")->body() == "body");
  const auto streamed = fleet.Ask("/chat/a");
  CHECK(streamed->status() == 200);
  CHECK(streamed->body() == kStream);
  CHECK(streamed->header("X-Response-Seal") == "seal");
  CHECK(streamed->header(kRelayOutcomeHeader).empty());
  CHECK(peer->relayed() == 3);
  CHECK(fleet.daemon(0).open_attempts() == 0);
}

TEST_CASE("The refusal of the daemon that was relayed to reaches the client") {
  LonelyFleet fleet;
  const auto peer = fleet.AddPeer([](auto& exchange, const auto&) {
    exchange.Reply(503, RefusedHeaders("overload"), "");
  });
  const auto asked = fleet.Ask("/plain/unsafe/a");
  CHECK(asked->status() == 503);
  CHECK(asked->header("Retry-After") == "0.700");
  CHECK(peer->relayed() == 1);
}

// Nothing shows that such a request has not run.
TEST_CASE("A peer's response without a known outcome ends in a 502") {
  using Reply = std::function<void(HttpExchange&, const RelayEnvelope&)>;
  const auto reply = GENERATE(
      as<Reply>(),
      [](auto& it, const auto& envelope) {
        it.Reply(200, WorkerHeaders(envelope), "body");
      },
      [](auto& it, const auto&) {
        it.Reply(503, RefusedHeaders("no_such_reason"), "");
      },
      [](auto& it, const auto& envelope) {
        HttpHeaders headers = ServedHeaders(envelope);
        headers.Add(kRelayOutcomeHeader, "overload");
        it.Reply(200, headers, "body");
      },
      [](auto& it, const auto&) {
        it.Reply(502, RefusedHeaders("unknown"), "");
      },
      [](auto& it, const auto&) {
        it.Reply(200, {{kRelayOutcomeHeader, "served"}}, "unsealed");
      },
      [](auto& it, const auto&) { it.Abort(); });
  LonelyFleet fleet;
  const auto peer = fleet.AddPeer(reply);
  const auto asked = fleet.Ask("/plain/unsafe/a");
  CHECK(asked->status() == 502);
  CHECK(peer->relayed() == 1);
}

TEST_CASE("A relayed stream that breaks off doesn't look whole") {
  LonelyFleet fleet;
  const auto peer =
      fleet.AddPeer([](auto& exchange, const RelayEnvelope& envelope) {
        exchange.StartStream(200, ServedHeaders(envelope));
        exchange.SendChunk(kStream);
      });
  const auto asked = fleet.Send("/once/a");
  REQUIRE(fleet.Until([&] { return asked->streamed == kStream; }));
  peer->BreakHeld();
  REQUIRE(fleet.Until([&] { return asked->done; }));
  CHECK(ValueOf(asked->result) == nullptr);
  CHECK(peer->relayed() == 1);
}

TEST_CASE("A client that leaves ends its relayed request") {
  LonelyFleet fleet;
  bool cancelled = false;
  const auto peer =
      fleet.AddPeer([&](auto& exchange, const RelayEnvelope& /*envelope*/) {
        exchange.OnClosed([&] { cancelled = true; });
      });
  const auto asked = fleet.Send("/chat/a");
  REQUIRE(fleet.Until([&] { return peer->relayed() == 1; }));
  fleet.Leave(*asked);
  CHECK(fleet.Until([&] { return cancelled; }));
}

// Guards against slow servers being taken for a lost path: daemons withdrew one
// by one, and refused as `unreachable` what the servers would have answered.
TEST_CASE("Servers that take connections and answer late are served from") {
  constexpr Duration kWork = milliseconds(900);
  constexpr Duration kInterval = milliseconds(50);
  constexpr std::size_t kRequests = 80;
  Fleet fleet;
  fleet.Configure();
  for (int i = 0; i < 3; ++i) {
    fleet.AddWorker("llm").SetWork(kWork);
    fleet.AddWorker("app").SetWork(kWork);
  }
  fleet.AddDaemon();
  fleet.AddDaemon();
  REQUIRE((fleet.WaitReady(0) && fleet.WaitReady(1)));
  std::vector<std::shared_ptr<Asked>> sent;
  Time next = fleet.loop().Now();
  while (sent.size() < kRequests) {
    const bool is_plain = sent.size() % 4 < 2;
    sent.push_back(fleet.Send(is_plain ? "/plain/unsafe/a" : "/chat/a", {},
                              sent.size() % 2));
    next += kInterval;
    REQUIRE(fleet.Until([&] { return fleet.loop().Now() >= next; }));
    if (sent.size() % 20 == 0) CHECK((fleet.IsReady(0) && fleet.IsReady(1)));
  }
  for (const auto& it : sent) {
    REQUIRE(fleet.Until([&] { return it->done; }));
    CHECK(it->status() == 200);
  }
}

// With nobody who reaches the servers there is nothing to wait for.
TEST_CASE("Requests that no daemon can pass on are refused as not run") {
  LonelyFleet fleet;
  const auto asked = fleet.Ask("/plain/unsafe/a");
  CHECK(asked->status() == 503);
  CHECK_FALSE(asked->header("Retry-After").empty());
  CHECK(fleet.IsReady());
}

}  // namespace
}  // namespace scaleshed::testing
