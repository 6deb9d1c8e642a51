// Tests of backend servers that restart under the same id, and of entries that
// anybody may have written. State that belongs to an incarnation must end with
// it, and an entry that names no usable backend server must take only that
// server out of use. Both must hold whether the entry arrives by a watch, in a
// list or from another daemon.

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "serving_harness.h"

namespace scaleshed::serving {
namespace {

using test::Daemon;

constexpr std::uint64_t kStartUnixMs = 1'700'000'000'000;  // Unix ms

// The ways by which an entry reaches a daemon.
enum class EntrySource { kWatch, kList, kRelay };
constexpr NameTable<EntrySource, 3> kEntrySourceNames{{
    {EntrySource::kWatch, "watch"},
    {EntrySource::kList, "list"},
    {EntrySource::kRelay, "relay"},
}};

// An entry of the backend server app0.
BackendServer App0Entry(std::uint64_t start_unix_ms, std::uint64_t revision) {
  return {.id = "app0",
          .service = "app",
          .address = "app0:1",
          .slots = 16,
          .revision = {.number = revision},
          .start_unix_ms = start_unix_ms};
}

// Delivers an entry to the daemon in the given way. A list holds all other
// known entries too.
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

// Whether the daemon sends at least one of 12 requests to app0.
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

TEST_CASE("A new incarnation inherits no state of the previous one") {
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
    // The new incarnation has another id, so that whatever other daemons
    // publish about the previous one doesn't apply to it.
    CHECK(App0(daemon).id != previous_id);
  }
}

TEST_CASE("An incarnation that is leaving stays so whatever its entry says") {
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

TEST_CASE(
    "A late entry of an earlier incarnation doesn't replace a later one") {
  for (const auto& [source, name] : kEntrySourceNames) {
    INFO(name);
    Daemon daemon;
    DeliverEntry(daemon, source, App0Entry(kStartUnixMs + 5000, 100));
    const BackendId id = App0(daemon).id;
    // Revision 90 is delivered late; revision 101 was written late.
    for (const std::uint64_t revision : {90U, 101U}) {
      BackendServer earlier = App0Entry(kStartUnixMs, revision);
      earlier.leaving = true;
      DeliverEntry(daemon, source, earlier);
      CHECK(App0(daemon).id == id);
      CHECK(IsApp0Used(daemon));
    }
    // The revision is recorded all the same, so that all daemons agree on what
    // the store holds.
    CHECK(App0(daemon).server.revision.number == 101);
  }
}

TEST_CASE(
    "An unusable entry takes its server out of use until a valid one arrives") {
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
    // The other backend servers stay in use.
    daemon.SendRequest("safe");
    CHECK(daemon.FirstEffect<StartAttempt>() != nullptr);
    // An entry without start time is unusable if an incarnation is known.
    DeliverEntry(daemon, source, App0Entry(0, 102));
    CHECK_FALSE(IsApp0Used(daemon));
    DeliverEntry(daemon, source, App0Entry(kStartUnixMs, 103));
    CHECK(IsApp0Used(daemon));
  }
}

TEST_CASE("A leaving server stays leaving across an unusable entry") {
  Daemon daemon;
  BackendServer leaving = App0Entry(kStartUnixMs, 100);
  leaving.leaving = true;
  DeliverEntry(daemon, EntrySource::kWatch, leaving);
  DeliverEntry(daemon, EntrySource::kWatch,
               {.id = "app0", .revision = {.number = 101}, .entry_error = "?"});
  DeliverEntry(daemon, EntrySource::kWatch, App0Entry(kStartUnixMs, 102));
  CHECK_FALSE(IsApp0Used(daemon));
}

TEST_CASE("A server with an unusable first entry is used once it is valid") {
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

TEST_CASE("A report of another incarnation is ignored") {
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

// A prompt that exceeds one engine's memory, with the attempt that was sent and
// the memory reservations made for it.
struct PromptWithReservations {
  RequestKey key = 0;
  StartAttempt sent;
  std::vector<ReserveMemory> reservations;
};

// Sends a prompt that needs memory reservations, and grants them all.
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

// Counts the reservations that the effects create or extend.
std::size_t CountReservations(const Effects& effects) {
  std::size_t n = 0;
  for (const Effect& it : effects)
    n += std::get_if<ReserveMemory>(&it) != nullptr;
  return n;
}

// Feeds the daemon a report of the engine, which shows that it is alive.
void FeedReport(Daemon& daemon, const std::string& id) {
  daemon.Feed(
      EngineReportReceived{.backend = daemon.state().backends.at(id).id});
}

// Guards against memory that stays reserved after a run has ended. An engine
// went silent, without closing the connection, before it decoded a prompt that
// may run only once. The daemon waited for the client's deadline and kept
// extending the reservations at the prefill helpers, for 14 s after the run had
// ended.
TEST_CASE("Reservations aren't extended without a liveness signal") {
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
    // A report shows that the engine is alive after all.
    daemon.ConfirmStore();
    FeedReport(daemon, prompt.sent.instance);
    daemon.AdvanceTime(milliseconds(100));
    CHECK(CountReservations(daemon.effects()) == prompt.reservations.size());
  }
}

TEST_CASE("Memory isn't reserved again at a prefill helper that restarted") {
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

// Lists a new incarnation of the engine that the attempt was sent to.
void RestartEngine(Daemon& daemon, const StartAttempt& sent) {
  daemon.Feed(BackendListed{{.id = sent.instance,
                             .service = "llm",
                             .address = sent.address,
                             .slots = 16,
                             .revision = {.number = 100},
                             .start_unix_ms = kStartUnixMs}});
}

TEST_CASE("A request running at an ended incarnation is sent elsewhere") {
  Daemon daemon;
  daemon.SendRequest("stream", 210'000);
  const StartAttempt sent = *daemon.FirstEffect<StartAttempt>();
  daemon.AdvanceTime(milliseconds(2050));
  daemon.ConfirmStore();
  RestartEngine(daemon, sent);
  REQUIRE(daemon.FirstEffect<StartAttempt>() != nullptr);
  const AttemptId hedge = daemon.FirstEffect<StartAttempt>()->attempt;
  CHECK(hedge != sent.attempt);
  daemon.Feed(StreamEvent{.attempt = hedge, .id = "1", .bytes = "1"});
  REQUIRE(daemon.FirstEffect<CancelAttempt>() != nullptr);
  CHECK(daemon.FirstEffect<CancelAttempt>()->attempt == sent.attempt);
}

// Guards against a request that is cut while its connection stands, because the
// server that runs it was listed anew.
TEST_CASE("A request without a further run keeps its ended incarnation") {
  Daemon daemon;
  Configuration configuration = test::MakeConfiguration(2);
  for (Route& it : configuration.routes) it.max_sends = 1;
  daemon.Feed(ConfigurationReceived{.configuration = configuration,
                                    .queried_at = daemon.now()});
  daemon.SendRequest("stream", 210'000);
  const StartAttempt sent = *daemon.FirstEffect<StartAttempt>();
  daemon.AdvanceTime(milliseconds(2050));
  daemon.ConfirmStore();
  RestartEngine(daemon, sent);
  CHECK(daemon.FirstEffect<CancelAttempt>() == nullptr);
  CHECK(daemon.FirstEffect<Refuse>() == nullptr);
  daemon.Feed(StreamEvent{.attempt = sent.attempt, .id = "1", .bytes = "1"});
  CHECK(daemon.FirstEffect<ForwardEvent>() != nullptr);
}

TEST_CASE("A request that a new incarnation may be running isn't cancelled") {
  SECTION("sent shortly before the new entry") {
    Daemon daemon;
    daemon.SendRequest("stream", 210'000);
    const StartAttempt sent = *daemon.FirstEffect<StartAttempt>();
    daemon.AdvanceTime(milliseconds(1500));
    RestartEngine(daemon, sent);
    CHECK(daemon.FirstEffect<CancelAttempt>() == nullptr);
  }
  SECTION("not retryable after a possible run") {
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
