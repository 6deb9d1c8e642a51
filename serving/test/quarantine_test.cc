#include "scaleshed/serving/quarantine.h"

#include <catch2/catch.hpp>
#include <random>

namespace scaleshed::serving {
namespace {

const Time kNow{seconds(1000)};
constexpr std::uint64_t kContent = 5;

// What one daemon knows that saw so many ends.
Quarantine Seen(BackendId ends) {
  Quarantine quarantine;
  for (BackendId i = 1; i <= ends; ++i) {
    quarantine.Take({.content = kContent, .life = i}, kNow);
  }
  return quarantine;
}

TEST_CASE("Three lives that ended hold a content, one told thrice doesn't") {
  Quarantine quarantine = Seen(1);
  CHECK_FALSE(quarantine.Take({.content = kContent, .life = 1}, kNow));
  CHECK_FALSE(quarantine.Holds(kContent));
  quarantine.Take({.content = kContent, .life = 2}, kNow);
  CHECK_FALSE(quarantine.Holds(kContent));
  quarantine.Take({.content = kContent, .life = 3}, kNow);
  CHECK(quarantine.Holds(kContent));
  CHECK_FALSE(quarantine.Holds(kContent + 1));
}

TEST_CASE("An end that was forgiven is not counted when it is told late") {
  Quarantine quarantine = Seen(2);
  quarantine.Forgive(kContent, kNow);
  CHECK(quarantine.EndsOf(kContent) == 0);
  CHECK_FALSE(quarantine.Take({.content = kContent, .life = 1}, kNow));
  CHECK(quarantine.EndsOf(kContent) == 0);
  // A later end counts.
  quarantine.Take({.content = kContent, .life = 9}, kNow);
  CHECK(quarantine.EndsOf(kContent) == 1);
}

TEST_CASE("News told in any order, twice or late make the same") {
  std::mt19937_64 random(3);
  for (int run = 0; run < 200; ++run) {
    constexpr int kTold = 12;
    std::vector<Ending> told;
    told.reserve(kTold);
    for (int i = 0; i < kTold; ++i) {
      told.push_back({.content = random() % 3,
                      .life = random() % 4,
                      .forgiven = random() % 4 == 0});
    }
    Quarantine one;
    for (const Ending& it : told) one.Take(it, kNow);
    std::shuffle(told.begin(), told.end(), random);
    Quarantine other;
    for (const Ending& it : told) other.Take(it, kNow);
    for (const Ending& it : told) other.Take(it, kNow);
    for (std::uint64_t content = 0; content < 3; ++content) {
      CHECK(one.EndsOf(content) == other.EndsOf(content));
    }
  }
}

TEST_CASE("The store is to hold what is known, under the revision it has") {
  Quarantine quarantine = Seen(1);
  REQUIRE(quarantine.Unsaved(10).size() == 1);
  CHECK(quarantine.Unsaved(10).front().revision.number == 0);
  quarantine.TakeStored(
      {.content = kContent, .lives = {1}, .revision = {.number = 20}}, kNow);
  CHECK(quarantine.Unsaved(10).empty());
  quarantine.Take({.content = kContent, .life = 2}, kNow);
  const StoredEndings unsaved = quarantine.Unsaved(10).front();
  CHECK(unsaved.lives == std::vector<BackendId>{1, 2});
  CHECK(unsaved.revision.number == 20);
  // Another daemon wrote first: both are to be there.
  quarantine.TakeStored(
      {.content = kContent, .lives = {1, 3}, .revision = {.number = 21}}, kNow);
  CHECK(quarantine.Holds(kContent));
  CHECK(quarantine.Unsaved(10).front().lives ==
        std::vector<BackendId>{1, 2, 3});
}

TEST_CASE("What is taken out of the store is forgiven, what it never had not") {
  Quarantine quarantine = Seen(2);
  quarantine.TakeStored(
      {.content = kContent, .lives = {1}, .revision = {.number = 20}}, kNow);
  quarantine.TakeStored(
      {.content = kContent, .lives = {}, .revision = {.number = 21}}, kNow);
  CHECK(quarantine.EndsOf(kContent) == 1);
  // An older word of the store comes late.
  quarantine.TakeStored(
      {.content = kContent, .lives = {1}, .revision = {.number = 20}}, kNow);
  CHECK(quarantine.EndsOf(kContent) == 1);
}

TEST_CASE("Those that know the same of the store have the same digest") {
  Quarantine one = Seen(1);
  Quarantine other;
  const StoredEndings stored{
      .content = kContent, .lives = {1, 2}, .revision = {.number = 20}};
  one.TakeStored(stored, kNow);
  CHECK(one.digest() != other.digest());
  other.TakeStored(stored, kNow);
  CHECK(one.digest() == other.digest());
  one.TakeStored({.content = kContent, .lives = {}, .revision = {.number = 21}},
                 kNow);
  CHECK(one.digest() == Quarantine().digest());
}

TEST_CASE("News are told for some seconds, at most so many at a time") {
  Quarantine quarantine;
  for (BackendId i = 0; i < 100; ++i) {
    quarantine.Take({.content = i, .life = 1}, kNow);
  }
  CHECK(quarantine.News(kNow + seconds(2)).size() == 64);
  CHECK(quarantine.News(kNow + seconds(4)).empty());
}

// Each snapshot of a change repeated all of them for seconds.
TEST_CASE("The latest news are told for a moment") {
  Quarantine quarantine;
  quarantine.Take({.content = 1, .life = 1}, kNow);
  quarantine.Take({.content = 2, .life = 1}, kNow + seconds(1));
  const auto latest = quarantine.News(kNow + seconds(1), /*latest=*/true);
  REQUIRE(latest.size() == 1);
  CHECK(latest.front().content == 2);
  CHECK(quarantine.News(kNow + seconds(2), /*latest=*/true).empty());
  CHECK(quarantine.News(kNow + seconds(2)).size() == 2);
}

TEST_CASE(
    "Contents with too few ends are not written, and taken away all the "
    "same") {
  Quarantine quarantine;
  quarantine.Take({.content = 1, .life = 1}, kNow);
  quarantine.Take({.content = 2, .life = 1}, kNow + seconds(1));
  quarantine.Take({.content = 2, .life = 2}, kNow + seconds(1));
  quarantine.TakeStored({.content = 3, .lives = {7}, .revision = {.number = 5}},
                        kNow);
  quarantine.Forgive(3, kNow + seconds(2));
  CHECK(quarantine.UnsavedSince(1) == kNow);
  CHECK(quarantine.UnsavedSince(2) == kNow + seconds(1));
  const auto unsaved = quarantine.Unsaved(10, 2);
  REQUIRE(unsaved.size() == 2);
  CHECK(unsaved[0].content == 2);
  CHECK(unsaved[1].content == 3);
  CHECK(unsaved[1].lives.empty());
}

TEST_CASE("Of too many contents those with the fewest ends go first") {
  Quarantine quarantine = Seen(3);
  for (std::uint64_t i = 0; i < Quarantine::kMostContents + 50; ++i) {
    quarantine.Take({.content = 100 + i, .life = 1},
                    kNow + milliseconds(static_cast<int>(i)));
  }
  CHECK(quarantine.size() == Quarantine::kMostContents);
  CHECK(quarantine.Holds(kContent));
  CHECK(quarantine.EndsOf(100) == 0);
  CHECK(quarantine.EndsOf(100 + Quarantine::kMostContents) == 1);
}

// A restore would have freed a request that ends servers.
TEST_CASE("What a restored store lacks is written again, and not forgiven") {
  Quarantine quarantine = Seen(3);
  quarantine.TakeStored({.content = kContent,
                         .lives = {1, 2, 3},
                         .revision = {.era = 1, .number = 20}},
                        kNow);
  REQUIRE_FALSE(quarantine.has_unsaved());
  quarantine.TakeStored(
      {.content = kContent, .lives = {1}, .revision = {.era = 2, .number = 9}},
      kNow);
  CHECK(quarantine.Holds(kContent));
  const auto unsaved = quarantine.Unsaved(10);
  REQUIRE(unsaved.size() == 1);
  CHECK(unsaved.front().lives == std::vector<BackendId>{1, 2, 3});
  CHECK(unsaved.front().revision == StoreRevision{.era = 2, .number = 9});
  // What is taken away in that era was taken away by somebody who knew.
  quarantine.TakeStored(
      {.content = kContent, .lives = {}, .revision = {.era = 2, .number = 12}},
      kNow);
  CHECK(quarantine.EndsOf(kContent) == 2);
}

// Numbers of the era before were kept, and lower ones dropped as old.
TEST_CASE("Ends that are removed in an era that was adopted are forgiven") {
  Quarantine quarantine = Seen(3);
  quarantine.TakeStored({.content = kContent,
                         .lives = {1, 2, 3},
                         .revision = {.era = 1, .number = 20}},
                        kNow);
  quarantine.AdoptEra(2);
  quarantine.TakeStored(
      {.content = kContent, .lives = {}, .revision = {.era = 2, .number = 9}},
      kNow);
  CHECK(quarantine.EndsOf(kContent) == 0);
}

}  // namespace
}  // namespace scaleshed::serving
