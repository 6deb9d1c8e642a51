// A backend server may start again under the id that it had, and anybody may
// write its entry. What belongs to a life ends with it; an entry that names no
// backend server takes only that one out of use; and it is the same whether it
// is heard by a watch, by a list or from another daemon.

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "serving_harness.h"

namespace scaleshed::serving {
namespace {

using test::Daemon;

constexpr std::uint64_t kBorn = 1'700'000'000'000;  // Unix ms

// The ways by which an entry comes to a daemon.
enum class Way { kWatch, kList, kRelay };
constexpr NameTable<Way, 3> kWayNames{{
    {Way::kWatch, "watch"},
    {Way::kList, "list"},
    {Way::kRelay, "relay"},
}};

BackendServer Entry(std::uint64_t born, std::uint64_t revision) {
  return {.id = "app0",
          .service = "app",
          .address = "app0:1",
          .slots = 16,
          .revision = {.number = revision},
          .start_unix_ms = born};
}

void Tell(Daemon& daemon, Way way, const BackendServer& entry) {
  switch (way) {
    case Way::kWatch:
      daemon.Feed(BackendListed{entry});
      return;
    case Way::kList: {
      BackendsListed all{.revision = entry.revision};
      for (const auto& [id, it] : daemon.state().backends) {
        if (id != entry.id) all.backends.push_back(it.server);
      }
      all.backends.push_back(entry);
      daemon.Feed(all);
      return;
    }
    case Way::kRelay:
      daemon.Feed(StoreRelayReceived{{.peer_address = "2.2.2.2:2",
                                      .changes = {{.id = entry.id,
                                                   .revision = entry.revision,
                                                   .server = entry}}}});
      return;
  }
}

// Whether some of a few requests go to app0.
bool IsUsed(Daemon& daemon) {
  bool used = false;
  for (int i = 0; i < 12; ++i) {
    const RequestKey key = daemon.SendRequest("safe");
    const auto* sent = daemon.FirstEffect<StartAttempt>();
    used = used || (sent != nullptr && sent->instance == "app0");
    daemon.Feed(ClientDisconnected{key});
  }
  return used;
}

Backend& App0(Daemon& daemon) { return daemon.state().backends.at("app0"); }

TEST_CASE("A life begins with nothing of the one before") {
  for (const auto& [way, name] : kWayNames) {
    INFO(name);
    Daemon daemon;
    BackendServer leaving = Entry(kBorn, 100);
    leaving.leaving = true;
    Tell(daemon, way, leaving);
    const BackendId before = App0(daemon).id;
    App0(daemon).suspect_until = daemon.now() + seconds(60);
    App0(daemon).recent_failed_responses = 9;
    CHECK_FALSE(IsUsed(daemon));
    Tell(daemon, way, Entry(kBorn + 5000, 101));
    CHECK(IsUsed(daemon));
    CHECK(App0(daemon).recent_failed_responses == 0);
    // What others tell of the life before names another backend server.
    CHECK(App0(daemon).id != before);
  }
}

TEST_CASE("Within one life a word of leaving is never taken back") {
  for (const auto& [way, name] : kWayNames) {
    INFO(name);
    Daemon daemon;
    BackendServer leaving = Entry(kBorn, 100);
    leaving.leaving = true;
    Tell(daemon, way, leaving);
    Tell(daemon, way, Entry(kBorn, 101));
    CHECK_FALSE(IsUsed(daemon));
  }
}

TEST_CASE("An earlier life told late never replaces a later one") {
  for (const auto& [way, name] : kWayNames) {
    INFO(name);
    Daemon daemon;
    Tell(daemon, way, Entry(kBorn + 5000, 100));
    const BackendId life = App0(daemon).id;
    // Told late, and written late.
    for (const std::uint64_t revision : {90U, 101U}) {
      BackendServer old = Entry(kBorn, revision);
      old.leaving = true;
      Tell(daemon, way, old);
      CHECK(App0(daemon).id == life);
      CHECK(IsUsed(daemon));
    }
    // All daemons agree on what the store holds.
    CHECK(App0(daemon).server.revision.number == 101);
  }
}

TEST_CASE(
    "An entry that names none takes that one out until a right one comes") {
  for (const auto& [way, name] : kWayNames) {
    INFO(name);
    Daemon daemon;
    Tell(daemon, way, Entry(kBorn, 100));
    REQUIRE(IsUsed(daemon));
    Tell(
        daemon, way,
        {.id = "app0", .revision = {.number = 101}, .entry_error = "state: ?"});
    CHECK_FALSE(IsUsed(daemon));
    CHECK(App0(daemon).server.revision.number == 101);
    // The others hold.
    daemon.SendRequest("safe");
    CHECK(daemon.FirstEffect<StartAttempt>() != nullptr);
    // That one has a foreign word of its own, and no life.
    Tell(daemon, way, Entry(0, 102));
    CHECK_FALSE(IsUsed(daemon));
    Tell(daemon, way, Entry(kBorn, 103));
    CHECK(IsUsed(daemon));
  }
}

TEST_CASE("A word of leaving outlasts an entry that names none") {
  Daemon daemon;
  BackendServer leaving = Entry(kBorn, 100);
  leaving.leaving = true;
  Tell(daemon, Way::kWatch, leaving);
  Tell(daemon, Way::kWatch,
       {.id = "app0", .revision = {.number = 101}, .entry_error = "?"});
  Tell(daemon, Way::kWatch, Entry(kBorn, 102));
  CHECK_FALSE(IsUsed(daemon));
}

TEST_CASE("An entry that names none at first is known, and used once it does") {
  for (const auto& [way, name] : kWayNames) {
    INFO(name);
    Daemon daemon;
    daemon.Feed(BackendUnlisted{.id = "app0", .revision = {.number = 99}});
    Tell(daemon, way,
         {.id = "app0", .revision = {.number = 100}, .entry_error = "?"});
    CHECK_FALSE(IsUsed(daemon));
    REQUIRE(daemon.state().backends.contains("app0"));
    Tell(daemon, way, Entry(kBorn, 101));
    CHECK(IsUsed(daemon));
  }
}

TEST_CASE("A report of another life says nothing of this one") {
  Daemon daemon;
  daemon.Feed(BackendListed{{.id = "llm0",
                             .service = "llm",
                             .address = "llm0:1",
                             .slots = 16,
                             .revision = {.number = 100},
                             .start_unix_ms = kBorn}});
  const Backend& engine = daemon.state().backends.at("llm0");
  daemon.Feed(EngineReportReceived{
      .backend = engine.id, .slowdown = 4, .start_unix_ms = kBorn - 1});
  CHECK_FALSE(engine.slow);
  daemon.Feed(EngineReportReceived{
      .backend = engine.id, .slowdown = 4, .start_unix_ms = kBorn});
  CHECK(engine.slow);
}

// A prompt that one engine's memory does not hold, sent with tickets.
struct Ticketed {
  RequestKey key = 0;
  StartAttempt sent;
  std::vector<ReserveMemory> tickets;
};

Ticketed SendTicketed(Daemon& daemon, const std::string& route) {
  Ticketed prompt;
  prompt.key = daemon.SendRequest(route, 700'000);
  for (const Effect& it : daemon.effects()) {
    if (const auto* order = std::get_if<ReserveMemory>(&it)) {
      prompt.tickets.push_back(*order);
    }
  }
  REQUIRE_FALSE(prompt.tickets.empty());
  for (const ReserveMemory& it : prompt.tickets) {
    daemon.Feed(MemoryReservationAnswered{.attempt = it.attempt,
                                          .helper_index = it.helper_index,
                                          .granted = true});
  }
  REQUIRE(daemon.FirstEffect<StartAttempt>() != nullptr);
  prompt.sent = *daemon.FirstEffect<StartAttempt>();
  return prompt;
}

std::size_t Renewals(const Effects& effects) {
  std::size_t n = 0;
  for (const Effect& it : effects)
    n += std::get_if<ReserveMemory>(&it) != nullptr;
  return n;
}

void Report(Daemon& daemon, const std::string& id) {
  daemon.Feed(
      EngineReportReceived{.backend = daemon.state().backends.at(id).id});
}

// An engine fell silent without closing while it was to write the answer to a
// prompt that may run only once. The daemon waited for the client's deadline
// and renewed the memory at the helpers all the while: 14 s after the run had
// ended.
TEST_CASE("Memory is not renewed for an engine that shows no sign of life") {
  for (const std::string route : {"once-stream", "stream"}) {
    INFO(route);
    Daemon daemon;
    const Ticketed prompt = SendTicketed(daemon, route);
    daemon.AdvanceTime(seconds(2));
    CHECK(Renewals(daemon.effects()) == 0);
    bool asked = false;
    for (const Effect& it : daemon.effects()) {
      const auto* question = std::get_if<FetchEngineReport>(&it);
      asked = asked ||
              (question != nullptr && question->address == prompt.sent.address);
    }
    CHECK(asked);
    // It lives after all.
    daemon.ConfirmStore();
    Report(daemon, prompt.sent.instance);
    daemon.AdvanceTime(milliseconds(100));
    CHECK(Renewals(daemon.effects()) == prompt.tickets.size());
  }
}

TEST_CASE("Memory at an engine that started again is not set aside anew") {
  Daemon daemon;
  const Ticketed prompt = SendTicketed(daemon, "stream");
  const std::string helper = prompt.tickets.front().address;
  const std::string id = helper.substr(0, helper.find(':'));
  daemon.Feed(BackendListed{{.id = id,
                             .service = "llm",
                             .address = helper,
                             .slots = 16,
                             .revision = {.number = 100},
                             .start_unix_ms = kBorn}});
  Report(daemon, prompt.sent.instance);
  daemon.AdvanceTime(milliseconds(1000));
  Report(daemon, prompt.sent.instance);
  daemon.AdvanceTime(milliseconds(100));
  for (const Effect& it : daemon.effects()) {
    const auto* order = std::get_if<ReserveMemory>(&it);
    if (order != nullptr) CHECK(order->address != helper);
  }
}

void StartAgain(Daemon& daemon, const StartAttempt& sent) {
  daemon.Feed(BackendListed{{.id = sent.instance,
                             .service = "llm",
                             .address = sent.address,
                             .slots = 16,
                             .revision = {.number = 100},
                             .start_unix_ms = kBorn}});
}

TEST_CASE("What was in work at a life that is over is sent elsewhere") {
  Daemon daemon;
  daemon.SendRequest("stream", 210'000);
  const StartAttempt sent = *daemon.FirstEffect<StartAttempt>();
  daemon.AdvanceTime(milliseconds(2050));
  daemon.ConfirmStore();
  StartAgain(daemon, sent);
  REQUIRE(daemon.FirstEffect<CancelAttempt>() != nullptr);
  CHECK(daemon.FirstEffect<CancelAttempt>()->attempt == sent.attempt);
  REQUIRE(daemon.FirstEffect<StartAttempt>() != nullptr);
  CHECK(daemon.FirstEffect<StartAttempt>()->attempt != sent.attempt);
}

TEST_CASE("What may be in work at the new life is left there") {
  SECTION("sent a moment ago") {
    Daemon daemon;
    daemon.SendRequest("stream", 210'000);
    const StartAttempt sent = *daemon.FirstEffect<StartAttempt>();
    daemon.AdvanceTime(milliseconds(1500));
    StartAgain(daemon, sent);
    CHECK(daemon.FirstEffect<CancelAttempt>() == nullptr);
  }
  SECTION("not to be repeated") {
    Daemon daemon;
    daemon.SendRequest("once-stream", 210'000);
    const StartAttempt sent = *daemon.FirstEffect<StartAttempt>();
    daemon.AdvanceTime(milliseconds(2050));
    daemon.ConfirmStore();
    StartAgain(daemon, sent);
    CHECK(daemon.FirstEffect<CancelAttempt>() == nullptr);
    CHECK(daemon.FirstEffect<Refuse>() == nullptr);
  }
}

}  // namespace
}  // namespace scaleshed::serving
