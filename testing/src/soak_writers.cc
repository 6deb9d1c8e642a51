#include "internal/soak_writers.h"

#include <algorithm>
#include <utility>

namespace scaleshed::testing {
namespace {

// Entries of servers that went lapse within three heartbeats.
constexpr Duration kLapsesWithin = seconds(4);
constexpr char kServers[] = "servers/";

}  // namespace

void SoakWriters::Write(const std::string& key, const std::string& value) {
  written_[key] = value;
  store_.Put(key, value);
}

void SoakWriters::Erase(const std::string& key) {
  written_.erase(key);
  store_.Remove(key);
}

void SoakWriters::Restore(Duration length) {
  store_.MakeCopy();
  // What is lost has many revisions, as heartbeats write them.
  constexpr int kHeartbeats = 20;
  for (int n = 0; n < kHeartbeats; ++n) {
    for (const std::string& it : store_.KeysWith(kServers)) {
      store_.Put(it, store_.Value(it));
    }
  }
  At(length / 2, [this] { store_.SetMode(StoreMode::kSilent); });
  At(length, [this] {
    store_.RestoreCopy();
    store_.SetMode(StoreMode::kUp);
  });
  constexpr int kMostMs = 1500;
  const Duration again = milliseconds(random_() % kMostMs);
  lost_until_ = std::max(lost_until_, loop_.Now() + length + again);
  At(length + again, [this] { WriteAgain(); });
  At(length + kLapsesWithin, [this] { EndLapsed(); });
}

void SoakWriters::At(Duration after, std::function<void()> work) {
  plan_.push_back(std::make_unique<Timer>(loop_, std::move(work)));
  plan_.back()->Once(after);
}

void SoakWriters::WriteAgain() {
  for (const auto& [key, value] : written_) {
    if (store_.Value(key) != value) store_.Put(key, value);
  }
}

// Entries of servers that had gone before the copy was brought back.
void SoakWriters::EndLapsed() {
  for (const std::string& it : store_.KeysWith(kServers)) {
    if (!written_.contains(it)) store_.Remove(it);
  }
}

}  // namespace scaleshed::testing
