#include "scaleshed/cli/accept.h"

#include <catch2/catch.hpp>
#include <functional>
#include <map>

namespace scaleshed {
namespace {

// A platform in memory. `before_put` runs ahead of each write; `fate` says what
// becomes of the n-th write.
class FakeStore : public PlatformStore {
 public:
  enum class Fate { kGood, kAnswerLost, kLost, kRefused };

  PlatformResult<KeyValue> Get(const std::string& key) override {
    if (reads_fail) return PlatformError::kUnavailable;
    const auto it = entries.find(key);
    if (it == entries.end()) return PlatformError::kAbsent;
    return it->second;
  }

  PlatformResult<std::uint64_t> Put(const KeyWrite& write) override {
    ++puts;
    if (before_put) before_put(puts);
    const Fate fate = fates.contains(puts) ? fates[puts] : default_fate;
    if (fate == Fate::kLost) return PlatformError::kUnavailable;
    if (fate == Fate::kRefused) return PlatformError::kNotSent;
    KeyValue& entry = entries[write.key];
    const bool conflict = entry.version != write.expected;
    if (!conflict) {
      entry = {.value = write.value, .version = entry.version + 1};
    }
    if (fate == Fate::kAnswerLost) return PlatformError::kUnavailable;
    if (conflict) return PlatformError::kConflict;
    return entry.version;
  }

  void Pause(Duration /*duration*/) override {}

  std::map<std::string, KeyValue> entries;
  std::map<int, Fate> fates;
  Fate default_fate = Fate::kGood;
  bool reads_fail = false;
  int puts = 0;
  std::function<void(int)> before_put;
};

TemplateSources Sources(const std::string& text) {
  return {{"fleet", {.file = "fleet.yaml", .text = text}}};
}

AcceptOptions Options(std::uint64_t base, const std::string& change) {
  return {.base_revision = base, .operator_name = change, .change = change};
}

std::uint64_t RevisionOf(const AcceptResult& result) {
  const auto* accepted = std::get_if<Accepted>(&result);
  return accepted == nullptr ? 0 : accepted->revision;
}

TEST_CASE("An accept moves the head and can be read back") {
  FakeStore store;
  CHECK(RevisionOf(Accept(store, Sources("a"), Options(0, "ann"))) == 1);
  const auto stored = ReadStored(store);
  REQUIRE(ValueOf(stored) != nullptr);
  CHECK(ValueOf(stored)->head.revision == 1);
  CHECK(ValueOf(stored)->documents.at("fleet") == "a");
  const auto same = Accept(store, Sources("a"), Options(1, "bob"));
  CHECK(std::holds_alternative<Unchanged>(same));
}

TEST_CASE("An edit that is based on an older revision is a conflict") {
  FakeStore store;
  Accept(store, Sources("a"), Options(0, "ann"));
  const auto result = Accept(store, Sources("b"), Options(0, "bob"));
  REQUIRE(std::holds_alternative<AcceptConflict>(result));
  CHECK(std::get<AcceptConflict>(result).operator_name == "ann");
}

TEST_CASE("Of two operators who race, exactly one is accepted") {
  FakeStore store;
  Accept(store, Sources("a"), Options(0, "ann"));
  // Bob's whole accept comes between Ann's document and Ann's head.
  AcceptResult bobs;
  store.before_put = [&](int put) {
    if (put != 4) return;
    store.before_put = nullptr;
    bobs = Accept(store, Sources("bob's"), Options(1, "bob"));
  };
  const auto anns = Accept(store, Sources("ann's"), Options(1, "ann2"));
  CHECK(RevisionOf(bobs) == 2);
  REQUIRE(std::holds_alternative<AcceptConflict>(anns));
  CHECK(std::get<AcceptConflict>(anns).operator_name == "bob");
  CHECK(ValueOf(ReadStored(store))->documents.at("fleet") == "bob's");
}

TEST_CASE("A lost answer is settled, whichever write it was") {
  using Fate = FakeStore::Fate;
  for (const Fate fate : {Fate::kAnswerLost, Fate::kLost, Fate::kRefused}) {
    for (int write = 1; write <= 2; ++write) {
      FakeStore store;
      store.fates[write] = fate;
      INFO(write << " " << static_cast<int>(fate));
      CHECK(RevisionOf(Accept(store, Sources("a"), Options(0, "ann"))) == 1);
      CHECK(ValueOf(ReadStored(store))->head.revision == 1);
    }
  }
}

TEST_CASE("A change that was overtaken after its answer got lost is accepted") {
  FakeStore store;
  store.fates[2] = FakeStore::Fate::kAnswerLost;
  // Bob accepts on top of Ann's change before Ann reads back.
  int reads = 0;
  store.before_put = [&](int put) {
    if (put == 2) ++reads;
  };
  const auto anns = Accept(store, Sources("a"), Options(0, "ann"));
  CHECK(RevisionOf(anns) == 1);
  CHECK(RevisionOf(Accept(store, Sources("b"), Options(1, "bob"))) == 2);
  const auto head = ParseHead(store.entries.at("config/head").value);
  REQUIRE(ValueOf(head) != nullptr);
  CHECK(ValueOf(head)->history == std::vector<std::string>{"ann"});
}

TEST_CASE("All answers lost: in doubt, never said to have failed") {
  FakeStore store;
  store.fates[2] = FakeStore::Fate::kAnswerLost;
  store.before_put = [&](int put) { store.reads_fail = put >= 2; };
  store.default_fate = FakeStore::Fate::kGood;
  for (int it = 3; it < 40; ++it) store.fates[it] = FakeStore::Fate::kLost;
  const auto result = Accept(store, Sources("a"), Options(0, "ann"));
  CHECK(std::holds_alternative<AcceptUnknown>(result));
}

TEST_CASE("Nothing was sent: nothing was changed") {
  FakeStore store;
  store.default_fate = FakeStore::Fate::kRefused;
  const auto result = Accept(store, Sources("a"), Options(0, "ann"));
  CHECK(std::holds_alternative<AcceptUnavailable>(result));
}

TEST_CASE("A platform that lost revisions is moved above what is in force") {
  FakeStore store;
  Accept(store, Sources("a"), Options(0, "ann"));
  AcceptOptions options = Options(1, "bob");
  options.at_least_after = 9;
  CHECK(RevisionOf(Accept(store, Sources("b"), options)) == 10);
}

}  // namespace
}  // namespace scaleshed
