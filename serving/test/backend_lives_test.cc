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

constexpr std::uint64_t kStartUnixMs = 1'700'000'000'000;  // Unix ms

// The ways by which an entry comes to a daemon.
enum class EntrySource { kWatch, kList, kRelay };
constexpr NameTable<EntrySource, 3> kEntrySourceNames{{
    {EntrySource::kWatch, "watch"},
    {EntrySource::kList, "list"},
    {EntrySource::kRelay, "relay"},
}};

BackendServer App0Entry(std::uint64_t start_unix_ms, std::uint64_t revision) {
  return {.id = "app0",
          .service = "app",
          .address = "app0:1",
          .slots = 16,
          .revision = {.number = revision},
          .start_unix_ms = start_unix_ms};
}

void DeliverEntry(Daemon& daemon, EntrySource source,
                  const BackendServer& entry) {
  switch (source) {
    case EntrySource::kWatch:
      daemon.Feed(BackendListed{entry});
      return;
    case EntrySource::kList: {
      BackendsListed all{.revision = entry.revision};
      for (const auto& [id, it] : daemon.state().backends) {
        if (id != entry.id) all.backends.push_back(it.server);
      }
      all.backends.push_back(entry);
      daemon.Feed(all);
      return;
    }
    case EntrySource::kRelay:
      daemon.Feed(StoreRelayReceived{{.peer_address = "2.2.2.2:2",
                                      .changes = {{.id = entry.id,
                                                   .revision = entry.revision,
                                                   .server = entry}}}});
      return;
  }
}

// Whether some of a few requests go to app0.
bool IsApp0Used(Daemon& daemon) {
  bool is_used = false;
  for (int i = 0; i < 12; ++i) {
    const RequestKey key = daemon.SendRequest("safe");
    const auto* sent = daemon.FirstEffect<StartAttempt>();
    is_used = is_used || (sent != nullptr && sent->instance == "app0");
    daemon.Feed(ClientDisconnected{key});
  }
  return is_used;
}

Backend& App0(Daemon& daemon) { return daemon.state().backends.at("app0"); }

TEST_CASE("A life begins with nothing of the one before") {
  for (const auto& [source, name] : kEntrySourceNames) {
    INFO(name);
    Daemon daemon;
    BackendServer leaving = App0Entry(kStartUnixMs, 100);
    leaving.leaving = true;
    DeliverEntry(daemon, source, leaving);
    const BackendId previous_id = App0(daemon).id;
    App0(daemon).suspect_until = daemon.now() + seconds(60);
    App0(daemon).recent_failed_responses = 9;
    CHECK_FALSE(IsApp0Used(daemon));
    DeliverEntry(daemon, source, App0Entry(kStartUnixMs + 5000, 101));
    CHECK(IsApp0Used(daemon));
    CHECK(App0(daemon).recent_failed_responses == 0);
    // What others tell of the life before names another backend server.
    CHECK(App0(daemon).id != previous_id);
  }
}

TEST_CASE("Within one life a word of leaving is never taken back") {
  for (const auto& [source, name] : kEntrySourceNames) {
    INFO(name);
    Daemon daemon;
    BackendServer leaving = App0Entry(kStartUnixMs, 100);
    leaving.leaving = true;
    DeliverEntry(daemon, source, leaving);
    DeliverEntry(daemon, source, App0Entry(kStartUnixMs, 101));
    CHECK_FALSE(IsApp0Used(daemon));
  }
}

TEST_CASE("An earlier life told late never replaces a later one") {
  for (const auto& [source, name] : kEntrySourceNames) {
    INFO(name);
    Daemon daemon;
    DeliverEntry(daemon, source, App0Entry(kStartUnixMs + 5000, 100));
    const BackendId id = App0(daemon).id;
    // Told late, and written late.
    for (const std::uint64_t revision : {90U, 101U}) {
      BackendServer earlier = App0Entry(kStartUnixMs, revision);
      earlier.leaving = true;
      DeliverEntry(daemon, source, earlier);
      CHECK(App0(daemon).id == id);
      CHECK(IsApp0Used(daemon));
    }
    // All daemons agree on what the store holds.
    CHECK(App0(daemon).server.revision.number == 101);
  }
}

TEST_CASE(
    "An entry that names none takes that one out until a right one comes") {
  for (const auto& [source, name] : kEntrySourceNames) {
    INFO(name);
    Daemon daemon;
    DeliverEntry(daemon, source, App0Entry(kStartUnixMs, 100));
    REQUIRE(IsApp0Used(daemon));
    DeliverEntry(
        daemon, source,
        {.id = "app0", .revision = {.number = 101}, .entry_error = "state: ?"});
    CHECK_FALSE(IsApp0Used(daemon));
    CHECK(App0(daemon).server.revision.number == 101);
    // The others hold.
    daemon.SendRequest("safe");
    CHECK(daemon.FirstEffect<StartAttempt>() != nullptr);
    // That one has a foreign word of its own, and no life.
    DeliverEntry(daemon, source, App0Entry(0, 102));
    CHECK_FALSE(IsApp0Used(daemon));
    DeliverEntry(daemon, source, App0Entry(kStartUnixMs, 103));
    CHECK(IsApp0Used(daemon));
  }
}

TEST_CASE("A word of leaving outlasts an entry that names none") {
  Daemon daemon;
  BackendServer leaving = App0Entry(kStartUnixMs, 100);
  leaving.leaving = true;
  DeliverEntry(daemon, EntrySource::kWatch, leaving);
  DeliverEntry(daemon, EntrySource::kWatch,
               {.id = "app0", .revision = {.number = 101}, .entry_error = "?"});
  DeliverEntry(daemon, EntrySource::kWatch, App0Entry(kStartUnixMs, 102));
  CHECK_FALSE(IsApp0Used(daemon));
}

TEST_CASE("An entry that names none at first is known, and used once it does") {
  for (const auto& [source, name] : kEntrySourceNames) {
    INFO(name);
    Daemon daemon;
    daemon.Feed(BackendUnlisted{.id = "app0", .revision = {.number = 99}});
    DeliverEntry(
        daemon, source,
        {.id = "app0", .revision = {.number = 100}, .entry_error = "?"});
    CHECK_FALSE(IsApp0Used(daemon));
    REQUIRE(daemon.state().backends.contains("app0"));
    DeliverEntry(daemon, source, App0Entry(kStartUnixMs, 101));
    CHECK(IsApp0Used(daemon));
  }
}

TEST_CASE("A report of another life says nothing of this one") {
  Daemon daemon;
  daemon.Feed(BackendListed{{.id = "llm0",
                             .service = "llm",
                             .address = "llm0:1",
                             .slots = 16,
                             .revision = {.number = 100},
                             .start_unix_ms = kStartUnixMs}});
  const Backend& engine = daemon.state().backends.at("llm0");
  daemon.Feed(EngineReportReceived{
      .backend = engine.id, .slowdown = 4, .start_unix_ms = kStartUnixMs - 1});
  CHECK_FALSE(engine.slow);
  daemon.Feed(EngineReportReceived{
      .backend = engine.id, .slowdown = 4, .start_unix_ms = kStartUnixMs});
  CHECK(engine.slow);
}

// A prompt that one engine's memory does not hold, sent with tickets.
struct PromptWithReservations {
  RequestKey key = 0;
  StartAttempt sent;
  std::vector<ReserveMemory> reservations;
};

PromptWithReservations SendWithReservations(Daemon& daemon,
                                            const std::string& route) {
  PromptWithReservations prompt;
  prompt.key = daemon.SendRequest(route, 700'000);
  for (const Effect& it : daemon.effects()) {
    if (const auto* reservation = std::get_if<ReserveMemory>(&it)) {
      prompt.reservations.push_back(*reservation);
    }
  }
  REQUIRE_FALSE(prompt.reservations.empty());
  for (const ReserveMemory& it : prompt.reservations) {
    daemon.Feed(MemoryReservationAnswered{.attempt = it.attempt,
                                          .helper_index = it.helper_index,
                                          .granted = true});
  }
  REQUIRE(daemon.FirstEffect<StartAttempt>() != nullptr);
  prompt.sent = *daemon.FirstEffect<StartAttempt>();
  return prompt;
}

std::size_t CountReservations(const Effects& effects) {
  std::size_t n = 0;
  for (const Effect& it : effects)
    n += std::get_if<ReserveMemory>(&it) != nullptr;
  return n;
}

void FeedReport(Daemon& daemon, const std::string& id) {
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
    const PromptWithReservations prompt = SendWithReservations(daemon, route);
    daemon.AdvanceTime(seconds(2));
    CHECK(CountReservations(daemon.effects()) == 0);
    bool fetched = false;
    for (const Effect& it : daemon.effects()) {
      const auto* fetch = std::get_if<FetchEngineReport>(&it);
      fetched = fetched ||
                (fetch != nullptr && fetch->address == prompt.sent.address);
    }
    CHECK(fetched);
    // It lives after all.
    daemon.ConfirmStore();
    FeedReport(daemon, prompt.sent.instance);
    daemon.AdvanceTime(milliseconds(100));
    CHECK(CountReservations(daemon.effects()) == prompt.reservations.size());
  }
}

TEST_CASE("Memory at an engine that started again is not set aside anew") {
  Daemon daemon;
  const PromptWithReservations prompt = SendWithReservations(daemon, "stream");
  const std::string helper = prompt.reservations.front().address;
  const std::string id = helper.substr(0, helper.find(':'));
  daemon.Feed(BackendListed{{.id = id,
                             .service = "llm",
                             .address = helper,
                             .slots = 16,
                             .revision = {.number = 100},
                             .start_unix_ms = kStartUnixMs}});
  FeedReport(daemon, prompt.sent.instance);
  daemon.AdvanceTime(milliseconds(1000));
  FeedReport(daemon, prompt.sent.instance);
  daemon.AdvanceTime(milliseconds(100));
  for (const Effect& it : daemon.effects()) {
    const auto* reservation = std::get_if<ReserveMemory>(&it);
    if (reservation != nullptr) CHECK(reservation->address != helper);
  }
}

void RestartEngine(Daemon& daemon, const StartAttempt& sent) {
  daemon.Feed(BackendListed{{.id = sent.instance,
                             .service = "llm",
                             .address = sent.address,
                             .slots = 16,
                             .revision = {.number = 100},
                             .start_unix_ms = kStartUnixMs}});
}

TEST_CASE("What was in work at a life that is over is sent elsewhere") {
  Daemon daemon;
  daemon.SendRequest("stream", 210'000);
  const StartAttempt sent = *daemon.FirstEffect<StartAttempt>();
  daemon.AdvanceTime(milliseconds(2050));
  daemon.ConfirmStore();
  RestartEngine(daemon, sent);
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
    RestartEngine(daemon, sent);
    CHECK(daemon.FirstEffect<CancelAttempt>() == nullptr);
  }
  SECTION("not to be repeated") {
    Daemon daemon;
    daemon.SendRequest("once-stream", 210'000);
    const StartAttempt sent = *daemon.FirstEffect<StartAttempt>();
    daemon.AdvanceTime(milliseconds(2050));
    daemon.ConfirmStore();
    RestartEngine(daemon, sent);
    CHECK(daemon.FirstEffect<CancelAttempt>() == nullptr);
    CHECK(daemon.FirstEffect<Refuse>() == nullptr);
  }
}

}  // namespace
}  // namespace scaleshed::serving
