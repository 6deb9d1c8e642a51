// Crowds of clients that send more than a daemon may hold, against a real
// process. Verdicts depend on no machine's speed: the process lives, its memory
// and descriptors stay under a bound, and an ordinary request is answered.

#include <set>
#include <sstream>

#include "client_crowd.h"
#include "process_fleet.h"

namespace scaleshed::testing {
namespace {

constexpr std::size_t kMegabyte = 1024 * 1024;
// The memory of the smallest machine that a daemon is given.
constexpr std::size_t kMaxPeakBytes = 160 * kMegabyte;
constexpr std::size_t kBodyBytes = 4 * kMegabyte;
// Descriptors beside those of before, once a crowd has left.
constexpr std::size_t kMaxLeftDescriptors = 20;

ProcessFleet::Options Options() { return {.program = SCALESHED_DAEMON}; }

std::string Head(const std::string& path, const std::string& key,
                 const std::string& framing, const std::string& id) {
  return "POST " + path + " HTTP/1.1\r\nHost: h\r\nApi-Key: " + key +
         "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 10000\r\n" + framing +
         "\r\n\r\n";
}

std::string Length(std::size_t n) {
  return "Content-Length: " + std::to_string(n);
}

constexpr char kChunked[] = "Transfer-Encoding: chunked";

// A whole body of `bytes` in chunks of `chunk_bytes`, without the last chunk.
std::string Chunks(std::size_t bytes, std::size_t chunk_bytes) {
  std::ostringstream text;
  for (std::size_t n = 0; n < bytes; n += chunk_bytes) {
    const std::size_t size = std::min(chunk_bytes, bytes - n);
    text << std::hex << size << "\r\n" << std::string(size, 'x') << "\r\n";
  }
  return text.str();
}

// Each client's request: its own id, the rest in common.
CrowdOptions Requests(const std::string& framing, std::string body,
                      const std::string& path = "/plain/safe/a",
                      const std::string& key = "k1") {
  return {.head =
              [=](std::size_t i) {
                return Head(path, key, framing, "crowd-" + std::to_string(i));
              },
          .body = std::move(body)};
}

CrowdOptions Short(const std::string& path = "/plain/safe/a",
                   const std::string& key = "k1") {
  return Requests(Length(kBodyBytes), std::string(kBodyBytes - 1, 'x'), path,
                  key);
}

// What answers to a crowd may be: served, or refused with a status that fits. A
// refusal that may be tried again says when.
void CheckAnswers(const ClientCrowd& crowd) {
  const std::set<std::string> allowed{"200", "401", "404", "408",
                                      "413", "431", "503"};
  for (const std::string& it : crowd.Heads()) {
    INFO(it);
    const std::string status = it.substr(sizeof("HTTP/1.1"), 3);
    CHECK(allowed.contains(status));
    const bool has_time = it.find("\r\nRetry-After: ") != std::string::npos;
    CHECK((status != "503" || has_time));
  }
}

void CheckBounds(ProcessFleet& fleet) {
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    CHECK(fleet.daemon(i).process().HowEnded() == "running");
    CHECK(fleet.daemon(i).PeakBytes() <= kMaxPeakBytes);
  }
}

// Lets a crowd do what it does, and checks that the daemon serves an ordinary
// request beside it and after it has left.
void CheckCrowd(ProcessFleet& fleet, const std::string& address,
                CrowdOptions options) {
  const std::size_t descriptors = fleet.daemon().OpenDescriptors();
  {
    const ClientCrowd crowd(fleet.loop(), address, std::move(options));
    CHECK(fleet.Until([&] { return crowd.IsSettled(); }));
    CHECK(fleet.ServesOrdinaryRequest());
    CheckAnswers(crowd);
    CheckBounds(fleet);
  }
  CHECK(fleet.ServesOrdinaryRequest());
  CHECK(fleet.Until([&] {
    return fleet.daemon().OpenDescriptors() <=
           descriptors + kMaxLeftDescriptors;
  }));
  CheckBounds(fleet);
}

void CheckFront(CrowdOptions options) {
  ProcessFleet fleet(Options());
  CheckCrowd(fleet, fleet.daemon().listen(), std::move(options));
  CHECK(fleet.IsReady(fleet.daemon()));
}

// Guards against memory that grows with the bodies that clients don't finish.
TEST_CASE("Unfinished bodies leave a daemon within its memory") {
  SECTION("at once") { CheckFront(Short()); }
  SECTION("in pieces") {
    CrowdOptions options = Short();
    options.piece_bytes = 40'000;
    options.pause = milliseconds(20);
    CheckFront(std::move(options));
  }
  SECTION("in small pieces") {
    CrowdOptions options = Short();
    options.piece_bytes = 4'000;
    options.pause = milliseconds(2);
    CheckFront(std::move(options));
  }
  SECTION("in chunks") {
    CheckFront(Requests(kChunked, Chunks(kBodyBytes - 1, 60'000)));
  }
  SECTION("in chunks of one byte") {
    CheckFront(Requests(kChunked, Chunks(kBodyBytes / 16, 1)));
  }
  SECTION("without a known key") {
    CheckFront(Short("/plain/safe/a", "unknown"));
  }
  SECTION("on an unknown route") { CheckFront(Short("/nowhere/a")); }
  SECTION("behind a request on the same connection") {
    CrowdOptions options = Short();
    options.head = [](std::size_t i) {
      const std::string id = "crowd-" + std::to_string(i);
      return Head("/plain/safe/a", "k1", Length(1), id + "-first") + "x" +
             Head("/plain/safe/a", "k1", Length(kBodyBytes), id);
    };
    CheckFront(std::move(options));
  }
}

// Guards against memory that grows with the bodies that come at once.
TEST_CASE("Whole bodies at once leave a daemon within its memory") {
  SECTION("with a length") {
    CheckFront(Requests(Length(kBodyBytes), std::string(kBodyBytes, 'x')));
  }
  SECTION("in chunks") {
    CheckFront(Requests(kChunked, Chunks(kBodyBytes, 60'000) + "0\r\n\r\n"));
  }
  SECTION("without a known key") {
    CheckFront(Requests(Length(kBodyBytes), std::string(kBodyBytes, 'x'),
                        "/plain/safe/a", "unknown"));
  }
}

// Guards against memory that grows with bodies that are over the limit.
TEST_CASE("Bodies far over the limit leave a daemon within its memory") {
  constexpr std::size_t kOverLimit = 30 * kBodyBytes;
  SECTION("sent in chunks") {
    CheckFront(Requests(kChunked, Chunks(3 * kBodyBytes, 60'000)));
  }
  SECTION("announced") {
    CheckFront(Requests(Length(kOverLimit), std::string(kBodyBytes, 'x')));
  }
  SECTION("announced, and held back until asked for") {
    CheckFront(Requests("Expect: 100-continue\r\n" + Length(kOverLimit), ""));
  }
}

// Guards against bodies being kept on addresses that take none.
TEST_CASE("Bodies on other addresses leave a daemon within its memory") {
  const std::string path = "/v1/resolve?name=h&region=r&zone=z1";
  for (const char* framing : {"short", "chunks", "whole"}) {
    const std::string form = framing;
    for (int address = 0; address < 4; ++address) {
      INFO(form << " at address " << address);
      ProcessFleet fleet(Options());
      const DaemonProcess& daemon = fleet.daemon();
      const std::string addresses[] = {daemon.look_up(), daemon.ready(),
                                       daemon.metrics(), daemon.peer_listen()};
      CrowdOptions options = Short(path);
      if (form == "chunks")
        options = Requests(kChunked, Chunks(kBodyBytes - 1, 60'000), path);
      if (form == "whole")
        options =
            Requests(Length(kBodyBytes), std::string(kBodyBytes, 'x'), path);
      CheckCrowd(fleet, addresses[address], std::move(options));
      CHECK(fleet.IsReady(fleet.daemon()));
    }
  }
}

// Guards against memory that grows with heads that have no end.
TEST_CASE("Unfinished heads leave a daemon within its memory") {
  CrowdOptions options;
  options.clients = 1500;
  options.head = [](std::size_t) {
    return "POST /plain/safe/a HTTP/1.1\r\nHost: h\r\n";
  };
  for (int i = 0; i < 1400; ++i)
    options.body += "X-" + std::to_string(i) + ": 1\r\n";
  CheckFront(std::move(options));
}

// Guards against memory that grows with answers that clients don't read.
TEST_CASE("Unread answers leave a daemon within its memory") {
  ProcessFleet::Options fleet_options = Options();
  fleet_options.endless_streams = true;
  ProcessFleet fleet(fleet_options);
  CrowdOptions options = Requests(Length(1), "x", "/once/a");
  options.reads = false;
  const ClientCrowd crowd(fleet.loop(), fleet.daemon().listen(),
                          std::move(options));
  CHECK(fleet.Until([&] {
    return fleet.endless().runs() > 0 &&
           fleet.endless().open_connections() == 0;
  }));
  CHECK(fleet.ServesOrdinaryRequest());
  CheckBounds(fleet);
}

// Guards against silent connections that take all descriptors.
TEST_CASE("Silent connections leave descriptors to others") {
  ProcessFleet::Options fleet_options = Options();
  fleet_options.max_descriptors = 600;
  for (int address = 0; address < 5; ++address) {
    INFO("at address " << address);
    ProcessFleet fleet(fleet_options);
    const DaemonProcess& daemon = fleet.daemon();
    const std::string addresses[] = {daemon.listen(), daemon.look_up(),
                                     daemon.ready(), daemon.metrics(),
                                     daemon.peer_listen()};
    CrowdOptions options;
    options.clients = 800;
    const ClientCrowd crowd(fleet.loop(), addresses[address],
                            std::move(options));
    CHECK(fleet.Until([&] { return crowd.IsSettled(); }));
    CHECK(fleet.ServesOrdinaryRequest());
    CHECK(fleet.Get(daemon.look_up(), "/v1/resolve?name=h&region=r&zone=z1") ==
          200);
    CHECK(fleet.IsReady(daemon));
    // A tenth is left for what the daemon itself opens.
    CHECK(daemon.OpenDescriptors() <= 540);
    CheckBounds(fleet);
  }
}

// Guards against memory that grows with the copies of relayed bodies.
TEST_CASE("Bodies that are relayed leave both daemons within their memory") {
  ProcessFleet::Options fleet_options = Options();
  fleet_options.daemons = 2;
  ProcessFleet fleet(fleet_options);
  fleet.CutFromServers(0);
  CHECK(fleet.ServesOrdinaryRequest());
  CheckCrowd(fleet, fleet.daemon().listen(),
             Requests(Length(kBodyBytes), std::string(kBodyBytes, 'x')));
  CHECK(fleet.ServesOrdinaryRequest(1));
  CHECK(fleet.IsReady(fleet.daemon(1)));
}

// Guards against a crowd that keeps a daemon from starting again.
TEST_CASE("A daemon that is killed beside a crowd serves again") {
  ProcessFleet fleet(Options());
  const ClientCrowd crowd(fleet.loop(), fleet.daemon().listen(), Short());
  CHECK(fleet.Until([&] { return crowd.IsSettled(); }));
  fleet.Restart(0);
  const ClientCrowd next(fleet.loop(), fleet.daemon().listen(), Short());
  CHECK(fleet.ServesOrdinaryRequest());
  CheckBounds(fleet);
}

// Guards against the same growth where a daemon serves its own API.
TEST_CASE("Crowds leave a daemon of the own API within its memory") {
  const std::string path = "/v1/completions";
  ProcessFleet::Options fleet_options = Options();
  fleet_options.own_api = true;
  CrowdOptions options = Short(path);
  SECTION("unfinished bodies") {}
  SECTION("unfinished chunks") {
    options = Requests(kChunked, Chunks(kBodyBytes - 1, 60'000), path);
  }
  SECTION("whole bodies") {
    options = Requests(Length(kBodyBytes), std::string(kBodyBytes, 'x'), path);
  }
  ProcessFleet fleet(fleet_options);
  CheckCrowd(fleet, fleet.daemon().listen(), std::move(options));
  CHECK(fleet.IsReady(fleet.daemon()));
}

// Guards against bounds on crowds that refuse a single request.
TEST_CASE("A single request of the largest size is served") {
  ProcessFleet fleet(Options());
  const auto check_served = [&](CrowdOptions options) {
    options.clients = 1;
    const ClientCrowd crowd(fleet.loop(), fleet.daemon().listen(),
                            std::move(options));
    CHECK(fleet.Until([&] { return !crowd.received(0).empty(); }));
    CHECK(crowd.received(0).starts_with("HTTP/1.1 200"));
  };
  const std::string body(kBodyBytes, 'x');
  for (int i = 0; i < 5; ++i) {
    check_served(Requests(Length(kBodyBytes), body));
    check_served(Requests(kChunked, Chunks(kBodyBytes, 60'000) + "0\r\n\r\n"));
  }
  CrowdOptions slow = Requests(Length(kBodyBytes), body);
  slow.piece_bytes = kBodyBytes / 40;
  slow.pause = milliseconds(50);
  check_served(slow);
  CHECK(fleet.runs() == 11);
}

// Guards against a connection that is refused its later requests.
TEST_CASE("Many large requests on one connection are served") {
  constexpr int kRequests = 20;
  ProcessFleet fleet(Options());
  CrowdOptions options;
  options.clients = 1;
  for (int i = 0; i < kRequests; ++i) {
    options.body += Head("/plain/safe/a", "k1", Length(kBodyBytes),
                         "own-" + std::to_string(i)) +
                    std::string(kBodyBytes, 'x');
  }
  const ClientCrowd crowd(fleet.loop(), fleet.daemon().listen(),
                          std::move(options));
  CHECK(fleet.Until([&] { return crowd.Heads().size() == kRequests; }));
  for (const std::string& it : crowd.Heads())
    CHECK(it.starts_with("HTTP/1.1 200"));
  CheckBounds(fleet);
}

}  // namespace
}  // namespace scaleshed::testing
