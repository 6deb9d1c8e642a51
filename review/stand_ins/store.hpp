// A stand-in of the platform's store, by PROTOCOL.md: keys with revisions,
// conditions, leases, lists in pages and watches. Stand-ins of workers and of
// the operator write by Put() and Remove() or, from other processes, by
// POST /stand-in/beat (an entry that lapses after three missed heartbeats).
#pragma once
#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>

#include "http.hpp"

namespace review {

using Json = nlohmann::json;

inline std::string Base64(const std::string& text) {
  static const char* kSigns =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    std::uint32_t n = static_cast<unsigned char>(text[i]) << 16;
    if (i + 1 < text.size()) n |= static_cast<unsigned char>(text[i + 1]) << 8;
    if (i + 2 < text.size()) n |= static_cast<unsigned char>(text[i + 2]);
    out += kSigns[n >> 18];
    out += kSigns[n >> 12 & 63];
    out += i + 1 < text.size() ? kSigns[n >> 6 & 63] : '=';
    out += i + 2 < text.size() ? kSigns[n & 63] : '=';
  }
  return out;
}

inline std::string FromBase64(const std::string& text) {
  std::string out;
  std::uint32_t n = 0;
  int bits = 0;
  for (const char it : text) {
    int value = -1;
    if (it >= 'A' && it <= 'Z') value = it - 'A';
    if (it >= 'a' && it <= 'z') value = it - 'a' + 26;
    if (it >= '0' && it <= '9') value = it - '0' + 52;
    if (it == '+') value = 62;
    if (it == '/') value = 63;
    if (value < 0) continue;
    n = n << 6 | static_cast<std::uint32_t>(value);
    bits += 6;
    if (bits < 8) continue;
    bits -= 8;
    out += static_cast<char>(n >> bits & 255);
  }
  return out;
}

inline std::string FromPercent(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

class Store {
 public:
  explicit Store(const std::string& address)
      : server_(address,
                [this](Link& link, Message& m) { return Handle(link, m); }) {}
  bool ok() const { return server_.ok(); }
  void Start() {
    server_.Start();
    std::thread([this] {
      for (;;) {
        SleepFor(0.05);
        Lapse();
      }
    }).detach();
  }
  std::uint64_t Put(const std::string& key, const std::string& value) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Write(key, value, 0);
    return revision_;
  }
  void Remove(const std::string& key) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Erase(key);
  }
  bool Has(const std::string& key) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return items_.count(key) > 0;
  }
  // Calls `filter` for each call before it is handled, with the peer's address;
  // it may answer itself and then returns true.
  std::function<bool(Link&, const Message&, const std::string& peer)> filter;

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0, made = 0, lease = 0;
  };
  struct Change {
    std::uint64_t revision = 0;
    std::string key;
    Json event;
  };
  struct Lease {
    double ttl = 0, ends = 0;
  };

  static Json ToJson(const std::string& key, const Item& it) {
    return {{"key", key},
            {"value", Base64(it.value)},
            {"revision", it.revision},
            {"made", it.made},
            {"lease", it.lease}};
  }
  void Write(const std::string& key, const std::string& value,
             std::uint64_t lease) {
    Item& it = items_[key];
    it.value = value;
    it.revision = ++revision_;
    if (it.made == 0) it.made = revision_;
    it.lease = lease;
    history_.push_back({revision_, key, ToJson(key, it)});
    changed_.notify_all();
  }
  void Erase(const std::string& key) {
    if (items_.erase(key) == 0) return;
    ++revision_;
    history_.push_back(
        {revision_,
         key,
         {{"key", key}, {"revision", revision_}, {"gone", true}}});
    changed_.notify_all();
  }
  void EndLease(std::uint64_t lease) {
    leases_.erase(lease);
    std::vector<std::string> gone;
    for (const auto& [key, it] : items_)
      if (it.lease == lease) gone.push_back(key);
    for (const auto& it : gone) Erase(it);
  }
  void Lapse() {
    const std::lock_guard<std::mutex> lock(mutex_);
    const double now = Now();
    std::vector<std::uint64_t> over;
    for (const auto& [id, it] : leases_)
      if (it.ends <= now) over.push_back(id);
    for (const auto it : over) EndLease(it);
    std::vector<std::string> silent;
    for (const auto& [key, until] : beats_)
      if (until <= now) silent.push_back(key);
    for (const auto& it : silent) {
      beats_.erase(it);
      Erase(it);
    }
  }
  static bool Reply(Link& link, int status, const Json& body) {
    return link.Write(
        Answer(status, {{"Content-Type", "application/json"}}, body.dump()));
  }

  bool Handle(Link& link, Message& m) {
    if (filter) {
      sockaddr_in name{};
      socklen_t size = sizeof(name);
      getpeername(link.fd(), reinterpret_cast<sockaddr*>(&name), &size);
      char text[INET_ADDRSTRLEN] = "";
      inet_ntop(AF_INET, &name.sin_addr, text, sizeof(text));
      if (filter(link, m, text)) return false;
    }
    const std::string target = m.first[1];
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/v1/kv-key") return OnKey(link, target);
    if (path == "/v1/kv-range") return OnRange(link, target);
    if (path == "/v1/kv-watch") return OnWatch(link, target);
    if (path == "/v1/kv-txn") return OnTransaction(link, m);
    if (path == "/v1/kv-lease") return OnLease(link, m);
    if (path.rfind("/v1/kv-keep/", 0) == 0)
      return OnKeep(link, path.substr(12));
    if (path.rfind("/v1/kv-lease-end/", 0) == 0) {
      const std::lock_guard<std::mutex> lock(mutex_);
      EndLease(std::stoull(path.substr(17)));
      return Reply(link, 200, Json::object());
    }
    if (path == "/stand-in/beat") return OnBeat(link, m);
    return Reply(link, 404, Json::object());
  }
  bool OnKey(Link& link, const std::string& target) {
    const std::string key = FromPercent(QueryOf(target, "key"));
    std::unique_lock<std::mutex> lock(mutex_);
    const auto it = items_.find(key);
    if (it == items_.end()) return Reply(link, 404, Json::object());
    Json json = ToJson(key, it->second);
    json["at"] = revision_;
    lock.unlock();
    return Reply(link, 200, json);
  }
  bool OnRange(Link& link, const std::string& target) {
    const std::string prefix = FromPercent(QueryOf(target, "path_prefix"));
    const std::string after = FromPercent(QueryOf(target, "start_after"));
    std::unique_lock<std::mutex> lock(mutex_);
    Json items = Json::array();
    bool more = false;
    for (const auto& [key, it] : items_) {
      if (key.rfind(prefix, 0) != 0 || key <= after) continue;
      if (items.size() == 500) {
        more = true;
        break;
      }
      items.push_back(ToJson(key, it));
    }
    const Json json{{"items", items}, {"more", more}, {"at", revision_}};
    lock.unlock();
    return Reply(link, 200, json);
  }
  bool OnWatch(Link& link, const std::string& target) {
    const std::string prefix = FromPercent(QueryOf(target, "path_prefix"));
    const std::uint64_t after =
        std::stoull("0" + QueryOf(target, "start_after"));
    const double until =
        Now() + std::stod("0" + QueryOf(target, "wait_ms")) / 1000;
    std::unique_lock<std::mutex> lock(mutex_);
    for (;;) {
      Json events = Json::array();
      for (const Change& it : history_)
        if (it.revision > after && it.key.rfind(prefix, 0) == 0)
          events.push_back(it.event);
      const double left = until - Now();
      if (!events.empty() || left <= 0) {
        const Json json{{"events", events}, {"at", revision_}};
        lock.unlock();
        return Reply(link, 200, json);
      }
      changed_.wait_for(lock,
                        std::chrono::duration<double>(std::min(left, 0.5)));
      if (link.IsGone()) return false;
    }
  }
  bool OnTransaction(Link& link, const Message& m) {
    const Json body = Json::parse(m.body, nullptr, false);
    if (!body.is_object()) return Reply(link, 400, Json::object());
    const Json none = Json::array();
    const Json& wanted =
        body.contains("expected_rev") ? body["expected_rev"] : none;
    const Json& puts = body.contains("put") ? body["put"] : none;
    const Json& removals = body.contains("remove") ? body["remove"] : none;
    if (wanted.size() + puts.size() + removals.size() > 32)
      return Reply(link, 400, Json::object());
    std::unique_lock<std::mutex> lock(mutex_);
    bool holds = true;
    Json items = Json::array();
    for (const Json& it : wanted) {
      const auto found = items_.find(it["key"].get<std::string>());
      const std::uint64_t now =
          found == items_.end() ? 0 : found->second.revision;
      holds = holds && now == it["revision"].get<std::uint64_t>();
      if (found != items_.end())
        items.push_back(ToJson(found->first, found->second));
    }
    if (!holds) return Reply(link, 412, {{"items", items}});
    for (const Json& it : puts) {
      const auto lease = it.value("lease", std::uint64_t{0});
      if (lease != 0 && leases_.count(lease) == 0)
        return Reply(link, 404, Json::object());
      const std::string key = it["key"];
      if (key.rfind("op/", 0) == 0 || key.rfind("servers/", 0) == 0)
        return Reply(link, 403, Json::object());
    }
    for (const Json& it : puts)
      Write(it["key"], FromBase64(it["value"]),
            it.value("lease", std::uint64_t{0}));
    for (const Json& it : removals) Erase(it.get<std::string>());
    return Reply(link, 200, {{"revision", revision_}});
  }
  bool OnLease(Link& link, const Message& m) {
    const Json body = Json::parse(m.body);
    const std::lock_guard<std::mutex> lock(mutex_);
    const double ttl = std::max(1000.0, body["ttl_ms"].get<double>()) / 1000;
    leases_[++last_lease_] = {ttl, Now() + ttl};
    return Reply(link, 200,
                 {{"lease", last_lease_},
                  {"ttl_ms", static_cast<std::int64_t>(ttl * 1000)}});
  }
  bool OnKeep(Link& link, const std::string& id) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = leases_.find(std::stoull(id));
    if (it == leases_.end()) return Reply(link, 404, Json::object());
    it->second.ends = Now() + it->second.ttl;
    return Reply(
        link, 200,
        {{"ttl_ms", static_cast<std::int64_t>(it->second.ttl * 1000)}});
  }
  // {"id", "entry", "leave"}: a worker's heartbeat. The entry is written again
  // when more than `sequence` changes.
  bool OnBeat(Link& link, const Message& m) {
    constexpr double kThreeHeartbeats = 3.6;
    const Json body = Json::parse(m.body);
    const std::string key = "servers/" + body["id"].get<std::string>();
    const std::lock_guard<std::mutex> lock(mutex_);
    if (body.value("leave", false)) {
      beats_.erase(key);
      Erase(key);
      return Reply(link, 200, Json::object());
    }
    beats_[key] = Now() + kThreeHeartbeats;
    const auto found = items_.find(key);
    const std::string entry = body["entry"].dump();
    bool same = found != items_.end();
    if (same) {
      Json before = Json::parse(found->second.value);
      Json after = body["entry"];
      before.erase("sequence");
      after.erase("sequence");
      same = before == after;
    }
    if (!same) Write(key, entry, 0);
    return Reply(link, 200, Json::object());
  }

  Server server_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 1, last_lease_ = 0;
  std::map<std::string, Item> items_;
  std::map<std::uint64_t, Lease> leases_;
  std::map<std::string, double> beats_;
  std::vector<Change> history_;
};

}  // namespace review
