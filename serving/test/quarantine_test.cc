#include "scaleshed/serving/quarantine.h"

#include <catch2/catch.hpp>
#include <random>

namespace scaleshed::serving {
namespace {

const Time kNow{seconds(1000)};
constexpr std::uint64_t kFingerprint = 5;

// Returns the quarantine of a daemon that saw `crashes` crashes of
// kFingerprint.
Quarantine WithCrashes(BackendId crashes) {
  Quarantine quarantine;
  for (BackendId i = 1; i <= crashes; ++i) {
    quarantine.AddCrash({.fingerprint = kFingerprint, .incarnation = i}, kNow);
  }
  return quarantine;
}

TEST_CASE(
    "Three crashed incarnations quarantine a fingerprint, one that is "
    "reported again counts once") {
  Quarantine quarantine = WithCrashes(1);
  CHECK_FALSE(quarantine.AddCrash(
      {.fingerprint = kFingerprint, .incarnation = 1}, kNow));
  CHECK_FALSE(quarantine.IsQuarantined(kFingerprint));
  quarantine.AddCrash({.fingerprint = kFingerprint, .incarnation = 2}, kNow);
  CHECK_FALSE(quarantine.IsQuarantined(kFingerprint));
  quarantine.AddCrash({.fingerprint = kFingerprint, .incarnation = 3}, kNow);
  CHECK(quarantine.IsQuarantined(kFingerprint));
  CHECK_FALSE(quarantine.IsQuarantined(kFingerprint + 1));
}

TEST_CASE("A cleared crash isn't counted when it is reported late") {
  Quarantine quarantine = WithCrashes(2);
  quarantine.ClearFingerprint(kFingerprint, kNow);
  CHECK(quarantine.CrashCount(kFingerprint) == 0);
  CHECK_FALSE(quarantine.AddCrash(
      {.fingerprint = kFingerprint, .incarnation = 1}, kNow));
  CHECK(quarantine.CrashCount(kFingerprint) == 0);
  // The crash of another incarnation counts.
  quarantine.AddCrash({.fingerprint = kFingerprint, .incarnation = 9}, kNow);
  CHECK(quarantine.CrashCount(kFingerprint) == 1);
}

TEST_CASE(
    "Crashes applied in any order, twice or late lead to the same counts") {
  std::mt19937_64 random(3);
  for (int run = 0; run < 200; ++run) {
    constexpr int kCrashCount = 12;
    std::vector<Crash> crashes;
    crashes.reserve(kCrashCount);
    for (int i = 0; i < kCrashCount; ++i) {
      crashes.push_back({.fingerprint = random() % 3,
                         .incarnation = random() % 4,
                         .cleared = random() % 4 == 0});
    }
    Quarantine one;
    for (const Crash& it : crashes) one.AddCrash(it, kNow);
    std::shuffle(crashes.begin(), crashes.end(), random);
    Quarantine other;
    for (const Crash& it : crashes) other.AddCrash(it, kNow);
    for (const Crash& it : crashes) other.AddCrash(it, kNow);
    for (std::uint64_t fingerprint = 0; fingerprint < 3; ++fingerprint) {
      CHECK(one.CrashCount(fingerprint) == other.CrashCount(fingerprint));
    }
  }
}

TEST_CASE(
    "Unsaved crashes are to be written under the store entry's revision") {
  Quarantine quarantine = WithCrashes(1);
  REQUIRE(quarantine.Unsaved(10).size() == 1);
  CHECK(quarantine.Unsaved(10).front().revision.number == 0);
  quarantine.ApplyStored({.fingerprint = kFingerprint,
                          .incarnations = {1},
                          .revision = {.number = 20}},
                         kNow);
  CHECK(quarantine.Unsaved(10).empty());
  quarantine.AddCrash({.fingerprint = kFingerprint, .incarnation = 2}, kNow);
  const StoredCrashes unsaved = quarantine.Unsaved(10).front();
  CHECK(unsaved.incarnations == std::vector<BackendId>{1, 2});
  CHECK(unsaved.revision.number == 20);
  // Another daemon wrote first: the crashes of both are to be stored.
  quarantine.ApplyStored({.fingerprint = kFingerprint,
                          .incarnations = {1, 3},
                          .revision = {.number = 21}},
                         kNow);
  CHECK(quarantine.IsQuarantined(kFingerprint));
  CHECK(quarantine.Unsaved(10).front().incarnations ==
        std::vector<BackendId>{1, 2, 3});
}

TEST_CASE(
    "Crashes removed from the store are cleared, those never stored are not") {
  Quarantine quarantine = WithCrashes(2);
  quarantine.ApplyStored({.fingerprint = kFingerprint,
                          .incarnations = {1},
                          .revision = {.number = 20}},
                         kNow);
  quarantine.ApplyStored({.fingerprint = kFingerprint,
                          .incarnations = {},
                          .revision = {.number = 21}},
                         kNow);
  CHECK(quarantine.CrashCount(kFingerprint) == 1);
  // An older state of the store arrives late.
  quarantine.ApplyStored({.fingerprint = kFingerprint,
                          .incarnations = {1},
                          .revision = {.number = 20}},
                         kNow);
  CHECK(quarantine.CrashCount(kFingerprint) == 1);
}

TEST_CASE("Equal knowledge of the store gives equal digests") {
  Quarantine one = WithCrashes(1);
  Quarantine other;
  const StoredCrashes stored{.fingerprint = kFingerprint,
                             .incarnations = {1, 2},
                             .revision = {.number = 20}};
  one.ApplyStored(stored, kNow);
  CHECK(one.digest() != other.digest());
  other.ApplyStored(stored, kNow);
  CHECK(one.digest() == other.digest());
  one.ApplyStored({.fingerprint = kFingerprint,
                   .incarnations = {},
                   .revision = {.number = 21}},
                  kNow);
  CHECK(one.digest() == Quarantine().digest());
}

TEST_CASE(
    "Crashes are published for some seconds, a limited number at a time") {
  Quarantine quarantine;
  for (BackendId i = 0; i < 100; ++i) {
    quarantine.AddCrash({.fingerprint = i, .incarnation = 1}, kNow);
  }
  CHECK(quarantine.RecentCrashes(kNow + seconds(2)).size() == 64);
  CHECK(quarantine.RecentCrashes(kNow + seconds(4)).empty());
}

// Guards against incremental snapshots that each repeat all crashes of the last
// seconds.
TEST_CASE("The latest crashes are in incremental snapshots for a moment only") {
  Quarantine quarantine;
  quarantine.AddCrash({.fingerprint = 1, .incarnation = 1}, kNow);
  quarantine.AddCrash({.fingerprint = 2, .incarnation = 1}, kNow + seconds(1));
  const auto latest =
      quarantine.RecentCrashes(kNow + seconds(1), /*latest=*/true);
  REQUIRE(latest.size() == 1);
  CHECK(latest.front().fingerprint == 2);
  CHECK(quarantine.RecentCrashes(kNow + seconds(2), /*latest=*/true).empty());
  CHECK(quarantine.RecentCrashes(kNow + seconds(2)).size() == 2);
}

TEST_CASE(
    "Fingerprints with too few crashes are not written, but still removed") {
  Quarantine quarantine;
  quarantine.AddCrash({.fingerprint = 1, .incarnation = 1}, kNow);
  quarantine.AddCrash({.fingerprint = 2, .incarnation = 1}, kNow + seconds(1));
  quarantine.AddCrash({.fingerprint = 2, .incarnation = 2}, kNow + seconds(1));
  quarantine.ApplyStored(
      {.fingerprint = 3, .incarnations = {7}, .revision = {.number = 5}}, kNow);
  quarantine.ClearFingerprint(3, kNow + seconds(2));
  CHECK(quarantine.UnsavedSince(1) == kNow);
  CHECK(quarantine.UnsavedSince(2) == kNow + seconds(1));
  const auto unsaved = quarantine.Unsaved(10, 2);
  REQUIRE(unsaved.size() == 2);
  CHECK(unsaved[0].fingerprint == 2);
  CHECK(unsaved[1].fingerprint == 3);
  CHECK(unsaved[1].incarnations.empty());
}

TEST_CASE(
    "Of too many fingerprints those with the fewest crashes are cleared "
    "first") {
  Quarantine quarantine = WithCrashes(3);
  for (std::uint64_t i = 0; i < Quarantine::kMaxFingerprints + 50; ++i) {
    quarantine.AddCrash({.fingerprint = 100 + i, .incarnation = 1},
                        kNow + milliseconds(static_cast<int>(i)));
  }
  CHECK(quarantine.size() == Quarantine::kMaxFingerprints);
  CHECK(quarantine.IsQuarantined(kFingerprint));
  CHECK(quarantine.CrashCount(100) == 0);
  CHECK(quarantine.CrashCount(100 + Quarantine::kMaxFingerprints) == 1);
}

// A restore of the store from a backup must not end the quarantine of a poison
// request.
TEST_CASE(
    "Crashes that a restored store lacks are written again and not cleared") {
  Quarantine quarantine = WithCrashes(3);
  quarantine.ApplyStored({.fingerprint = kFingerprint,
                          .incarnations = {1, 2, 3},
                          .revision = {.epoch = 1, .number = 20}},
                         kNow);
  REQUIRE_FALSE(quarantine.has_unsaved());
  quarantine.ApplyStored({.fingerprint = kFingerprint,
                          .incarnations = {1},
                          .revision = {.epoch = 2, .number = 9}},
                         kNow);
  CHECK(quarantine.IsQuarantined(kFingerprint));
  const auto unsaved = quarantine.Unsaved(10);
  REQUIRE(unsaved.size() == 1);
  CHECK(unsaved.front().incarnations == std::vector<BackendId>{1, 2, 3});
  CHECK(unsaved.front().revision == StoreRevision{.epoch = 2, .number = 9});
  // Crashes removed within the new epoch were cleared on purpose.
  quarantine.ApplyStored({.fingerprint = kFingerprint,
                          .incarnations = {},
                          .revision = {.epoch = 2, .number = 12}},
                         kNow);
  CHECK(quarantine.CrashCount(kFingerprint) == 2);
}

// Guards against comparing revision numbers of the previous epoch with those of
// the new one, whose lower numbers were dropped as old.
TEST_CASE("Crashes removed from the store after AdoptEpoch() are cleared") {
  Quarantine quarantine = WithCrashes(3);
  quarantine.ApplyStored({.fingerprint = kFingerprint,
                          .incarnations = {1, 2, 3},
                          .revision = {.epoch = 1, .number = 20}},
                         kNow);
  quarantine.AdoptEpoch(2);
  quarantine.ApplyStored({.fingerprint = kFingerprint,
                          .incarnations = {},
                          .revision = {.epoch = 2, .number = 9}},
                         kNow);
  CHECK(quarantine.CrashCount(kFingerprint) == 0);
}

// A crash in an attempt that was sent to `incident` and interrupted `after`
// kNow.
Crash CrashOf(BackendId incarnation, std::uint64_t incident,
              Duration after = {}) {
  return {.fingerprint = kFingerprint,
          .incarnation = incarnation,
          .incident = incident,
          .interrupted_at = kNow + after};
}

TEST_CASE("Crashes of one attempt, or at one moment, count once") {
  Quarantine quarantine;
  for (BackendId i = 1; i <= 4; ++i) {
    quarantine.AddCrash(CrashOf(i, 100), kNow);
  }
  quarantine.AddCrash(CrashOf(5, 101, milliseconds(10)), kNow);
  CHECK(quarantine.CrashCount(kFingerprint) == 5);
  CHECK(quarantine.IncidentCount(kFingerprint) == 1);
  quarantine.AddCrash(CrashOf(6, 102, milliseconds(60)), kNow);
  quarantine.AddCrash(CrashOf(7, 102, milliseconds(120)), kNow);
  CHECK(quarantine.IncidentCount(kFingerprint) == 2);
  CHECK_FALSE(quarantine.IsQuarantined(kFingerprint));
  quarantine.AddCrash(CrashOf(8, 103, milliseconds(200)), kNow);
  CHECK(quarantine.IsQuarantined(kFingerprint));
}

TEST_CASE("Incidents told in any order lead to the same count") {
  std::vector<Crash> crashes;
  for (BackendId i = 1; i <= 12; ++i) {
    crashes.push_back(CrashOf(i, 100 + i / 3, milliseconds(40 * (i / 4))));
    crashes.push_back(CrashOf(i, 200 + i / 5, milliseconds(40 * (i / 4))));
  }
  std::mt19937_64 random(4);
  std::set<std::size_t> counts;
  for (int run = 0; run < 50; ++run) {
    std::shuffle(crashes.begin(), crashes.end(), random);
    Quarantine quarantine;
    for (const Crash& it : crashes) quarantine.AddCrash(it, kNow);
    counts.insert(quarantine.IncidentCount(kFingerprint));
  }
  CHECK(counts.size() == 1);
}

// Guards against crashes of one incident counting by themselves once they were
// read back from the store.
TEST_CASE("The store keeps the incidents of crashes") {
  Quarantine quarantine;
  for (BackendId i = 1; i <= 3; ++i) {
    quarantine.AddCrash(CrashOf(i, 100 + i), kNow);
  }
  StoredCrashes stored = quarantine.Unsaved(10).front();
  stored.revision = {.number = 5};
  quarantine.ApplyStored(stored, kNow);
  CHECK(quarantine.Unsaved(10).empty());
  Quarantine other;
  other.ApplyStored(stored, kNow);
  CHECK(other.IncidentCount(kFingerprint) == 1);
  CHECK(other.Unsaved(10).empty());
  // An entry that was written without them is written again.
  stored.revision = {.number = 6};
  stored.incidents.clear();
  quarantine.ApplyStored(stored, kNow);
  REQUIRE(quarantine.Unsaved(10).size() == 1);
  CHECK(quarantine.Unsaved(10).front().incidents.size() == 2);
}

TEST_CASE("Crashes among others quarantine a fingerprint later") {
  Quarantine quarantine;
  const auto crash = [&](BackendId incarnation, bool among_others) {
    quarantine.AddCrash({.fingerprint = kFingerprint,
                         .incarnation = incarnation,
                         .among_others = among_others},
                        kNow);
  };
  crash(1, false);
  for (BackendId i = 2; i <= 4; ++i) crash(i, true);
  CHECK_FALSE(quarantine.IsQuarantined(kFingerprint));
  SECTION("at the fifth incident") { crash(5, true); }
  SECTION("at the third that isn't among others") {
    crash(5, false);
    crash(6, false);
  }
  CHECK(quarantine.IsQuarantined(kFingerprint));
  StoredCrashes stored = quarantine.Unsaved(10).front();
  CHECK(stored.among_others.size() >= 3);
  stored.revision = {.number = 5};
  Quarantine other;
  other.ApplyStored(stored, kNow);
  CHECK(other.IsQuarantined(kFingerprint));
  CHECK(other.Unsaved(10).empty());
}

// Prompts that share a part may all be at servers that crash together.
TEST_CASE("A part is quarantined only with a crash under suspicion") {
  Quarantine quarantine({.kind = SuspectKind::kPart});
  for (BackendId i = 1; i <= 6; ++i) {
    quarantine.AddCrash({.fingerprint = kFingerprint, .incarnation = i}, kNow);
  }
  CHECK(quarantine.CrashCount(kFingerprint) == 6);
  CHECK_FALSE(quarantine.IsQuarantined(kFingerprint));
  // What was known without this is published again.
  CHECK(quarantine.AddCrash(
      {.fingerprint = kFingerprint, .incarnation = 6, .under_suspicion = true},
      kNow));
  CHECK(quarantine.IsQuarantined(kFingerprint));
  CHECK(quarantine.quarantined_count() == 1);
  CHECK(quarantine.RecentCrashes(kNow).back() ==
        Crash{.fingerprint = kFingerprint,
              .incarnation = 6,
              .kind = SuspectKind::kPart,
              .under_suspicion = true});
  CHECK(quarantine.UnderSuspicion(kFingerprint) == std::vector<BackendId>{6});
  CHECK(quarantine.FingerprintsAt(6) ==
        std::vector<std::uint64_t>{kFingerprint});
  quarantine.ClearFingerprint(kFingerprint, kNow);
  CHECK_FALSE(quarantine.IsQuarantined(kFingerprint));
  CHECK(quarantine.FingerprintsAt(6).empty());
}

TEST_CASE("The store keeps which crashes of a part were under suspicion") {
  Quarantine quarantine({.kind = SuspectKind::kPart, .min_crashes_to_save = 2});
  quarantine.AddCrash({.fingerprint = kFingerprint, .incarnation = 1}, kNow);
  CHECK(quarantine.Unsaved(10).empty());
  quarantine.AddCrash(
      {.fingerprint = kFingerprint, .incarnation = 2, .under_suspicion = true},
      kNow);
  StoredCrashes stored = quarantine.Unsaved(10).front();
  CHECK(stored.kind == SuspectKind::kPart);
  CHECK(stored.under_suspicion == std::vector<BackendId>{2});
  // An entry that lacks it is written again.
  stored.revision = {.number = 5};
  stored.under_suspicion.clear();
  quarantine.ApplyStored(stored, kNow);
  REQUIRE(quarantine.Unsaved(10).size() == 1);
  stored = quarantine.Unsaved(10).front();
  stored.revision = {.number = 6};
  quarantine.ApplyStored(stored, kNow);
  CHECK(quarantine.Unsaved(10).empty());
  Quarantine other({.kind = SuspectKind::kPart});
  other.ApplyStored(stored, kNow);
  CHECK(other.UnderSuspicion(kFingerprint) == std::vector<BackendId>{2});
}

TEST_CASE("A quarantined part is tried again at growing intervals") {
  Quarantine quarantine({.kind = SuspectKind::kPart});
  Time now = kNow;
  const auto crash = [&](BackendId incarnation) {
    quarantine.AddCrash({.fingerprint = kFingerprint,
                         .incarnation = incarnation,
                         .under_suspicion = true},
                        now);
  };
  for (BackendId i = 1; i <= 3; ++i) crash(i);
  CHECK_FALSE(quarantine.IsTrialDue(kFingerprint, now + seconds(59)));
  CHECK(quarantine.IsTrialDue(kFingerprint, now + seconds(60)));
  now += seconds(60);
  crash(4);
  CHECK_FALSE(quarantine.IsTrialDue(kFingerprint, now + seconds(119)));
  CHECK(quarantine.IsTrialDue(kFingerprint, now + seconds(120)));
  for (BackendId i = 5; i <= 40; ++i) crash(i);
  CHECK_FALSE(quarantine.IsTrialDue(kFingerprint, now + seconds(60 * 1023)));
  CHECK(quarantine.IsTrialDue(kFingerprint, now + seconds(60 * 1024)));
  CHECK_FALSE(quarantine.IsTrialDue(kFingerprint + 1, Time::max()));
}

}  // namespace
}  // namespace scaleshed::serving
