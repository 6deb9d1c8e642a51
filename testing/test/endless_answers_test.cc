// Guards against answers without end, in heads and bodies, which ended daemons
// or filled their memory: callers are served by another server, and the
// connection of the endless answer is closed.

#include "raw_fleet.h"

namespace scaleshed::testing {
namespace {

constexpr int kRequests = 10;
// For each run: the bound on bodies, and what the sockets of both sides hold.
constexpr std::size_t kMaxBytesPerRun = 16 * 1024 * 1024;

struct EndlessAnswer {
  std::string name;
  std::string head;  // status line and fields, each with its end
  std::string body;  // sent again and again
};

const EndlessAnswer kEndlessAnswers[] = {
    {"length that no memory holds",
     "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999\r\n", "bytes"},
    {"no length", "HTTP/1.1 200 OK\r\n", "bytes"},
    {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
     "8\r\n12345678\r\n"},
    {"head of a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
     "8;name"},
    {"interim answers", "HTTP/1.1 100 Continue\r\n",
     "HTTP/1.1 100 Continue\r\n\r\n"},
};

// Sends requests one after another until some ran at the raw server.
void CheckServedElsewhere(RawFleet& fleet, const std::string& path,
                          const EndlessAnswer& answer) {
  INFO(answer.name);
  for (int i = 0; i < kRequests; ++i) CHECK(fleet.Ask(path)->status() == 200);
  INFO(fleet.raw().runs() << " runs, " << fleet.raw().bytes_taken()
                          << " bytes taken");
  CHECK(fleet.Until([&] { return fleet.raw().open_connections() == 0; }));
  const auto runs = static_cast<std::size_t>(fleet.raw().runs());
  CHECK(fleet.raw().bytes_taken() <= (runs + 1) * kMaxBytesPerRun);
}

TEST_CASE(
    "Plain requests are served beside a server that answers without end") {
  int runs = 0;
  for (const EndlessAnswer& it : kEndlessAnswers) {
    RawFleet fleet("app", it.head, it.body, RawEnd::kNever, "raw",
                   /*with_other=*/true);
    CheckServedElsewhere(fleet, "/plain/safe/a", it);
    runs += fleet.raw().runs();
  }
  CHECK(runs > 0);
}

TEST_CASE("Streams are served beside a server that answers without end") {
  int runs = 0;
  for (const EndlessAnswer& it : kEndlessAnswers) {
    for (const char* id : {"raw", "a-raw", "z"}) {
      RawFleet fleet("llm", it.head, it.body, RawEnd::kNever, id,
                     /*with_other=*/true);
      CheckServedElsewhere(fleet, "/chat/a", it);
      runs += fleet.raw().runs();
    }
  }
  CHECK(runs > 0);
}

TEST_CASE("Reports without end do no harm") {
  for (const EndlessAnswer& it : kEndlessAnswers) {
    RawFleet fleet("llm", it.head, it.body, RawEnd::kNever, "raw",
                   /*with_other=*/true);
    fleet.raw().SpoilReports();
    CheckServedElsewhere(fleet, "/chat/a", it);
  }
}

}  // namespace
}  // namespace scaleshed::testing
