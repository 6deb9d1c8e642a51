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

// Guards against health answers that fill the daemon which asks for them.
TEST_CASE("Health answers without end do no harm") {
  for (const EndlessAnswer& it : kEndlessAnswers) {
    INFO(it.name);
    RawFleet fleet("app", it.head, it.body, RawEnd::kNever, "raw",
                   /*with_other=*/true);
    nlohmann::json configuration = FleetConfiguration();
    configuration["version"] = 4;
    for (auto& service : configuration["services"]) {
      service["cold_start_s"] = 30;
      service["cold_per_s"] = 100;
      service["health_path"] = "/health";
    }
    fleet.Configure(configuration);
    // Servers of a data centre that was evacuated are cold, for how long their
    // health answers tell.
    fleet.store().Put("op/evacuate/z1", "{}");
    REQUIRE(fleet.Eventually(
        [&] { return fleet.Ask("/plain/safe/a")->status() == 503; }));
    fleet.store().Remove("op/evacuate/z1");
    const int checks = fleet.raw().health_checks();
    REQUIRE(fleet.Until([&] { return fleet.raw().health_checks() > checks; }));
    CHECK(fleet.Eventually(
        [&] { return fleet.Ask("/plain/safe/a")->status() == 200; }));
    CHECK(fleet.Until([&] { return fleet.raw().open_connections() == 0; }));
    const int calls = fleet.raw().runs() + fleet.raw().health_checks();
    CHECK(fleet.raw().bytes_taken() <=
          (static_cast<std::size_t>(calls) + 1) * kMaxBytesPerRun);
  }
}

// Guards against statuses that are none in what servers say of themselves.
TEST_CASE("Reports with a status that is none do no harm") {
  for (const char* status : {"000", "101", "999"}) {
    INFO(status);
    RawFleet fleet("llm", "HTTP/1.1 " + std::string(status) + " S\r\n", "",
                   RawEnd::kClose, "raw", /*with_other=*/true);
    fleet.raw().SpoilReports();
    for (int i = 0; i < kRequests; ++i)
      CHECK(fleet.Ask("/chat/a")->status() == 200);
  }
}

}  // namespace
}  // namespace scaleshed::testing
