#include <absl/strings/escaping.h>

#include <algorithm>
#include <utility>

#include "scaleshed/testing/fleet_stand_ins.h"

namespace scaleshed::testing {
namespace {

using Json = nlohmann::json;

// Watches that wait so long are those that a daemon keeps.
constexpr Duration kLongWait = seconds(1);

bool HasPrefix(const std::string& key, const std::string& prefix) {
  return key.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

FakeStore::FakeStore(EventLoop& loop)
    : loop_(loop),
      server_(loop, {}, [this](auto exchange) { Handle(std::move(exchange)); }),
      lapse_timer_(loop, [this] { EndLapsed(); }),
      watch_timer_(loop, [this] { EndWatches(); }) {}

std::string FakeStore::address() const {
  return "127.0.0.1:" + std::to_string(server_.port());
}

HttpHeaders FakeStore::Headers() const {
  HttpHeaders headers{{"Content-Type", "application/json"}};
  for (const std::string& it : era_headers_) headers.Add("Store-Era", it);
  return headers;
}

void FakeStore::Answer(const std::shared_ptr<HttpExchange>& exchange,
                       int status, const Json& body) {
  const std::string bytes = body.dump();
  if (!hold_bodies_) {
    exchange->Reply(status, Headers(), bytes);
    return;
  }
  exchange->StartStream(status, Headers(), bytes.size());
  held_bodies_.push_back({.exchange = exchange, .bytes = bytes});
}

void FakeStore::HoldBodies(bool hold) {
  hold_bodies_ = hold;
  if (hold) return;
  for (const HeldBody& it : held_bodies_) {
    it.exchange->SendChunk(it.bytes);
    it.exchange->EndStream();
  }
  held_bodies_.clear();
}

nlohmann::json FakeStore::ToJson(const std::string& key, const Item& item) {
  return {{"key", key},
          {"value", absl::Base64Escape(item.value)},
          {"revision", item.revision},
          {"made", item.made},
          {"lease", item.lease}};
}

void FakeStore::Write(const std::string& key, Item item) {
  const auto old = items_.find(key);
  item.revision = ++revision_;
  item.made = old == items_.end() ? revision_ : old->second.made;
  if (old != items_.end()) before_[key] = old->second;
  history_.push_back(
      {.revision = revision_, .event = ToJson(key, item), .key = key});
  items_[key] = std::move(item);
}

std::uint64_t FakeStore::Put(const std::string& key, const std::string& value) {
  Write(key, {.value = value});
  AnswerWatches();
  return revision_;
}

void FakeStore::Remove(const std::string& key) {
  if (items_.erase(key) == 0) return;
  ++revision_;
  history_.push_back(
      {.revision = revision_,
       .event = {{"key", key}, {"revision", revision_}, {"gone", true}},
       .key = key});
  AnswerWatches();
}

std::vector<std::string> FakeStore::KeysWith(const std::string& prefix) const {
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (HasPrefix(key, prefix)) keys.push_back(key);
  }
  return keys;
}

void FakeStore::ForgetHistory() {
  forgotten_ = ++revision_;
  history_.clear();
  AnswerWatches();
}

void FakeStore::MakeCopy() {
  copy_ = {.revision = revision_,
           .last_lease = last_lease_,
           .items = items_,
           .leases = leases_};
}

void FakeStore::RestoreCopy() {
  for (const Watch& it : std::exchange(watches_, {})) it.exchange->Abort();
  for (const auto& it : std::exchange(held_lists_, {})) it->Abort();
  revision_ = copy_.revision;
  last_lease_ = copy_.last_lease;
  items_ = copy_.items;
  leases_ = copy_.leases;
  // Reads that may be old still bring what was lost.
  std::erase_if(history_,
                [&](const Change& it) { return it.revision > revision_; });
  forgotten_ = std::min(forgotten_, revision_);
  SetEra(era_ + 1);
}

void FakeStore::Handle(std::shared_ptr<HttpExchange> exchange) {
  ++calls_;
  if (exchange->path().starts_with("/v1/kv-lease") ||
      exchange->path().starts_with("/v1/kv-keep")) {
    ++lease_calls_;
  }
  if (exchange->path() == "/v1/kv-range") ++list_calls_;
  if (mode_ == StoreMode::kSilent) {
    watches_.push_back({.exchange = std::move(exchange), .prefix = "\x01"});
    return;
  }
  if (mode_ == StoreMode::kRefusing || mode_ == StoreMode::kOverRate) {
    Answer(exchange, mode_ == StoreMode::kRefusing ? 503 : 429, {});
    return;
  }
  const std::string& path = exchange->path();
  if (path == "/v1/kv-key") return OnKey(exchange);
  if (path == "/v1/kv-range") return OnRange(exchange);
  if (path == "/v1/kv-watch") return OnWatch(exchange);
  if (path == "/v1/kv-txn") return OnTransaction(exchange);
  OnLease(exchange);
}

void FakeStore::OnKey(const std::shared_ptr<HttpExchange>& exchange) {
  ++key_reads_;
  const std::string key = exchange->Query("key");
  // A read that may be old is as old as it can be.
  const bool old = exchange->Query("stale") == "1" && before_.contains(key);
  const auto& items = old ? before_ : items_;
  const auto found = items.find(key);
  if (found == items.end()) {
    Answer(exchange, 404, Json::object());
    return;
  }
  Answer(exchange, 200, ToJson(key, found->second));
}

void FakeStore::HoldLists(bool hold) {
  hold_lists_ = hold;
  if (hold) return;
  for (const auto& it : std::exchange(held_lists_, {})) OnRange(it);
}

void FakeStore::OnRange(const std::shared_ptr<HttpExchange>& exchange) {
  if (hold_lists_) {
    held_lists_.push_back(exchange);
    return;
  }
  Json items = Json::array();
  const std::string prefix = exchange->Query("path_prefix");
  const std::string after =
      repeats_pages_ ? "" : exchange->Query("start_after");
  bool more = repeats_pages_;
  for (const auto& [key, item] : items_) {
    if (!HasPrefix(key, prefix) || key <= after) continue;
    if (items.size() == page_) {
      more = true;
      break;
    }
    items.push_back(ToJson(key, item));
  }
  Answer(exchange, 200, {{"items", items}, {"more", more}, {"at", revision_}});
}

void FakeStore::OnWatch(const std::shared_ptr<HttpExchange>& exchange) {
  Watch watch{.exchange = exchange,
              .prefix = exchange->Query("path_prefix"),
              .after = std::stoull(exchange->Query("start_after"))};
  const Duration wait = milliseconds(std::stoll(exchange->Query("wait_ms")));
  watch.until = loop_.Now() + wait;
  watch.waits = wait >= kLongWait;
  watches_.push_back(std::move(watch));
  AnswerWatches();
  watch_timer_.Once(milliseconds(1));
}

// Looks again while some wait.
void FakeStore::EndWatches() {
  constexpr Duration kLook = milliseconds(20);
  if (mode_ == StoreMode::kUp || mode_ == StoreMode::kLosingWrites) {
    AnswerWatches();
  }
  if (!watches_.empty()) watch_timer_.Once(kLook);
}

void FakeStore::AnswerWatches() {
  for (auto it = watches_.begin(); it != watches_.end();) {
    Json events = Json::array();
    for (const Change& change : history_) {
      if (change.revision > it->after && HasPrefix(change.key, it->prefix)) {
        events.push_back(change.event);
      }
    }
    // One that it doesn't have is answered so at once.
    const bool forgotten = it->after < forgotten_ || it->after > revision_;
    const bool over = it->until <= loop_.Now();
    const bool muted = muted_ && it->waits;
    if (muted || (events.empty() && !forgotten && !over)) {
      ++it;
      continue;
    }
    const auto exchange = it->exchange;
    it = watches_.erase(it);
    if (forgotten) {
      Answer(exchange, 410, Json::object());
    } else {
      Answer(exchange, 200, {{"events", events}, {"at", revision_}});
    }
  }
}

void FakeStore::OnTransaction(const std::shared_ptr<HttpExchange>& exchange) {
  const Json body = Json::parse(exchange->TakeBody());
  const std::size_t entries = body.at("expected_rev").size() +
                              body.at("put").size() + body.at("remove").size();
  if (entries > kMostEntries) {
    Answer(exchange, 400, Json::object());
    return;
  }
  if (body.at("put").empty()) ++questions_;
  Json items = Json::array();
  bool holds = true;
  for (const Json& it : body.at("expected_rev")) {
    const std::string key = it.at("key");
    const auto found = items_.find(key);
    const std::uint64_t now =
        found == items_.end() ? 0 : found->second.revision;
    if (now != it.at("revision").get<std::uint64_t>()) holds = false;
    if (found != items_.end()) items.push_back(ToJson(key, found->second));
  }
  if (!holds) {
    Answer(exchange, 412, {{"items", items}});
    return;
  }
  for (const Json& it : body.at("put")) {
    const std::uint64_t lease = it.value("lease", std::uint64_t{0});
    if (lease != 0 && !leases_.contains(lease)) {
      Answer(exchange, 404, Json::object());
      return;
    }
    std::string value;
    absl::Base64Unescape(it.at("value").get<std::string>(), &value);
    Write(it.at("key"), {.value = value, .lease = lease});
  }
  for (const Json& it : body.at("remove")) Remove(it.get<std::string>());
  AnswerWatches();
  if (mode_ == StoreMode::kLosingWrites && !body.at("put").empty()) {
    exchange->Abort();
    return;
  }
  Answer(exchange, 200, {{"revision", revision_}});
}

void FakeStore::OnLease(const std::shared_ptr<HttpExchange>& exchange) {
  const std::string& path = exchange->path();
  if (path == "/v1/kv-lease") {
    const Json body = Json::parse(exchange->TakeBody());
    const Duration ttl = milliseconds(body.at("ttl_ms").get<std::int64_t>());
    leases_[++last_lease_] = {.ttl = ttl, .ends = loop_.Now() + ttl};
    Answer(exchange, 200,
           {{"lease", last_lease_}, {"ttl_ms", body.at("ttl_ms")}});
    return;
  }
  const std::uint64_t lease = std::stoull(path.substr(path.rfind('/') + 1));
  const auto found = leases_.find(lease);
  if (found == leases_.end()) {
    Answer(exchange, 404, Json::object());
    return;
  }
  const Duration ttl = found->second.ttl;
  found->second.ends = loop_.Now() + ttl;
  if (exchange->method() == "DELETE") EndLease(lease);
  const auto ttl_ms = std::chrono::duration_cast<milliseconds>(ttl).count();
  Answer(exchange, 200, {{"ttl_ms", ttl_ms}});
}

void FakeStore::EndLease(std::uint64_t lease) {
  leases_.erase(lease);
  std::vector<std::string> gone;
  for (const auto& [key, item] : items_) {
    if (item.lease == lease) gone.push_back(key);
  }
  for (const std::string& it : gone) Remove(it);
}

void FakeStore::LapseLeases() {
  constexpr Duration kLook = milliseconds(100);
  lapse_timer_.Every(kLook);
}

void FakeStore::EndLapsed() {
  std::vector<std::uint64_t> over;
  for (const auto& [id, lease] : leases_) {
    if (lease.ends <= loop_.Now()) over.push_back(id);
  }
  for (const std::uint64_t it : over) EndLease(it);
}

}  // namespace scaleshed::testing
