// Small stand-ins for the platform, its workers and its clients, on loopback
// addresses and the real clock, for the scripts of the second review. They speak
// what the pages say, and nothing more. One thread for each connection.
#pragma once

#include <arpa/inet.h>
#include <dirent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace st {

using Json = nlohmann::json;
using Steady = std::chrono::steady_clock;

inline const Steady::time_point kBegan = Steady::now();
// Seconds since the script began.
inline double Now() {
  return std::chrono::duration<double>(Steady::now() - kBegan).count();
}
inline void Sleep(double s) {
  if (s > 0) std::this_thread::sleep_for(std::chrono::duration<double>(s));
}
inline void SleepUntil(double at) { Sleep(at - Now()); }

// record.txt: what was sent, answered and run.
class Record {
 public:
  void Open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard lock(mutex_);
    if (file_ == nullptr) return;
    std::fprintf(file_, "%8.3f ", Now());
    va_list rest;
    va_start(rest, format);
    std::vfprintf(file_, format, rest);
    va_end(rest);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
};
inline Record record;

struct Message {
  std::string start;  // the first line
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::string Get(const std::string& name) const {
    for (const auto& [key, value] : headers)
      if (strcasecmp(key.c_str(), name.c_str()) == 0) return value;
    return "";
  }
  std::string Word(int n) const {
    std::size_t from = 0;
    for (; n > 0; --n) from = start.find(' ', from) + 1;
    return start.substr(from, start.find(' ', from) - from);
  }
  std::string Path() const { return Word(1).substr(0, Word(1).find('?')); }
  std::string Query(const std::string& name) const {
    const std::string target = Word(1);
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
      const std::size_t end = target.find('&', at + 1);
      const std::string part = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
      if (part.compare(0, name.size() + 1, name + "=") == 0) return part.substr(name.size() + 1);
      at = end;
    }
    return "";
  }
  int status() const { return std::atoi(Word(1).c_str()); }
};

inline sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &name.sin_addr);
  return name;
}

class Conn {
 public:
  explicit Conn(int fd) : fd_(fd) {
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  Conn(const Conn&) = delete;
  ~Conn() { Close(); }
  int fd() const { return fd_; }
  bool Write(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const auto n = send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) return false;
      sent += static_cast<std::size_t>(n);
    }
    return true;
  }
  // More bytes; false: the end, an error, or nothing until then.
  bool Fill(double until) {
    char buf[16384];
    for (;;) {
      const double left = until - Now();
      if (left <= 0) return false;
      pollfd p{.fd = fd_, .events = POLLIN, .revents = 0};
      const int ready = poll(&p, 1, static_cast<int>(std::min(left, 1.0) * 1000) + 1);
      if (ready < 0) return false;
      if (ready == 0) continue;
      const auto n = recv(fd_, buf, sizeof(buf), 0);
      if (n <= 0) {
        ended_ = true;
        return false;
      }
      buf_.append(buf, static_cast<std::size_t>(n));
      return true;
    }
  }
  // Whether the other end has closed, without waiting.
  bool PeerGone() {
    char c;
    const auto n = recv(fd_, &c, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }
  bool ReadHead(Message& m, double until) {
    std::size_t end;
    while ((end = buf_.find("\r\n\r\n")) == std::string::npos)
      if (!Fill(until)) return false;
    m = Message{};
    std::size_t from = 0;
    while (from < end) {
      std::size_t line_end = buf_.find("\r\n", from);
      const std::string line = buf_.substr(from, line_end - from);
      from = line_end + 2;
      if (m.start.empty()) {
        m.start = line;
        continue;
      }
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) continue;
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') ++value;
      m.headers.emplace_back(line.substr(0, colon), line.substr(value));
    }
    buf_.erase(0, end + 4);
    return true;
  }
  bool ReadLine(std::string& line, double until) {
    std::size_t end;
    while ((end = buf_.find("\r\n")) == std::string::npos)
      if (!Fill(until)) return false;
    line = buf_.substr(0, end);
    buf_.erase(0, end + 2);
    return true;
  }
  bool Take(std::size_t n, std::string& to, double until) {
    while (buf_.size() < n)
      if (!Fill(until)) return false;
    to += buf_.substr(0, n);
    buf_.erase(0, n);
    return true;
  }
  // The body behind a head; true if it came whole.
  bool ReadBody(Message& m, double until) {
    if (strcasecmp(m.Get("Transfer-Encoding").c_str(), "chunked") == 0) {
      for (;;) {
        std::string line;
        if (!ReadLine(line, until)) return false;
        const std::size_t n = std::strtoul(line.c_str(), nullptr, 16);
        if (!Take(n, m.body, until)) return false;
        if (!ReadLine(line, until)) return false;
        if (n == 0) return true;
      }
    }
    const std::string length = m.Get("Content-Length");
    return length.empty() || Take(std::strtoul(length.c_str(), nullptr, 10), m.body, until);
  }
  void Reset() {
    const linger none{.l_onoff = 1, .l_linger = 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
    Close();
  }
  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }

 private:
  int fd_;
  std::string buf_;
  bool ended_ = false;
};

inline std::string Answer(int status, const std::vector<std::pair<std::string, std::string>>& headers,
                          const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
  for (const auto& [name, value] : headers) text += name + ": " + value + "\r\n";
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Listens on a free port (or a given one) and hands each connection to a thread.
class Listener {
 public:
  using Handler = std::function<void(std::shared_ptr<Conn>, int peer_port)>;
  Listener(const std::string& ip, Handler handler, int port = 0) : ip_(ip), handler_(std::move(handler)) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in name = AddressOf(ip, port);
    if (bind(fd_, reinterpret_cast<sockaddr*>(&name), sizeof(name)) != 0 || listen(fd_, 512) != 0) {
      std::perror("listen");
      std::exit(2);
    }
    socklen_t n = sizeof(name);
    getsockname(fd_, reinterpret_cast<sockaddr*>(&name), &n);
    port_ = ntohs(name.sin_port);
    std::thread([this] { Loop(); }).detach();
  }
  std::string address() const { return ip_ + ":" + std::to_string(port_); }
  int port() const { return port_; }

 private:
  void Loop() {
    for (;;) {
      sockaddr_in from{};
      socklen_t n = sizeof(from);
      const int fd = accept4(fd_, reinterpret_cast<sockaddr*>(&from), &n, SOCK_CLOEXEC);
      if (fd < 0) return;
      const int peer_port = ntohs(from.sin_port);
      std::thread([this, fd, peer_port] { handler_(std::make_shared<Conn>(fd), peer_port); }).detach();
    }
  }
  std::string ip_;
  Handler handler_;
  int fd_ = -1;
  int port_ = 0;
};

inline std::string Base64(const std::string& in) {
  static const char* kSigns = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < in.size(); i += 3) {
    unsigned v = static_cast<unsigned char>(in[i]) << 16;
    if (i + 1 < in.size()) v |= static_cast<unsigned char>(in[i + 1]) << 8;
    if (i + 2 < in.size()) v |= static_cast<unsigned char>(in[i + 2]);
    out += kSigns[v >> 18];
    out += kSigns[(v >> 12) & 63];
    out += i + 1 < in.size() ? kSigns[(v >> 6) & 63] : '=';
    out += i + 2 < in.size() ? kSigns[v & 63] : '=';
  }
  return out;
}

// The platform's metadata store. Values are kept in base64, as they come.
class Store {
 public:
  // What the store does with the calls of one machine.
  enum Mode { kServe, kTurnAway };
  struct Front {
    std::unique_ptr<Listener> listener;
    std::atomic<int> mode{kServe};
    std::string address() const { return listener->address(); }
  };

  Store() { std::thread([this] { EndLeases(); }).detach(); }
  // Each machine reaches the store by an address of its own, so that the store
  // can turn that machine away.
  Front& AddFront(const std::string& ip) {
    auto front = std::make_unique<Front>();
    Front* it = front.get();
    it->listener = std::make_unique<Listener>(ip, [this, it](auto conn, int) { Serve(*conn, *it); });
    fronts_.push_back(std::move(front));
    return *it;
  }
  // As the operator or a worker writes; the return is the acknowledgement.
  double Put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    PutLocked(key, Base64(value), 0);
    changed_.notify_all();
    return Now();
  }
  double Remove(const std::string& key) {
    const std::lock_guard lock(mutex_);
    RemoveLocked(key);
    changed_.notify_all();
    return Now();
  }
  void Wake() { changed_.notify_all(); }

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0, made = 0, lease = 0;
  };
  struct Lease {
    double ttl = 0, ends = 0;
  };

  static Json ToJson(const std::string& key, const Item& it) {
    return {{"key", key}, {"value", it.value}, {"revision", it.revision}, {"made", it.made}, {"lease", it.lease}};
  }
  void PutLocked(const std::string& key, const std::string& value, std::uint64_t lease) {
    Item& it = items_[key];
    it.value = value;
    it.lease = lease;
    it.revision = ++revision_;
    if (it.made == 0) it.made = revision_;
    history_.push_back(ToJson(key, it));
  }
  void RemoveLocked(const std::string& key) {
    if (items_.erase(key) == 0) return;
    ++revision_;
    history_.push_back({{"key", key}, {"revision", revision_}, {"gone", true}});
  }
  void EndLeases() {
    for (;;) {
      Sleep(0.05);
      const std::lock_guard lock(mutex_);
      for (auto it = leases_.begin(); it != leases_.end();) {
        const auto lease = it++;
        if (lease->second.ends > Now()) continue;
        EndLocked(lease->first);
      }
    }
  }
  void EndLocked(std::uint64_t id) {
    leases_.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, it] : items_)
      if (it.lease == id) keys.push_back(key);
    for (const auto& key : keys) RemoveLocked(key);
    if (!keys.empty()) changed_.notify_all();
  }
  static std::string Text(int status, const Json& body) {
    return Answer(status, {{"Content-Type", "application/json"}}, body.dump());
  }
  void Serve(Conn& conn, Front& front) {
    Message m;
    while (conn.ReadHead(m, Now() + 120) && conn.ReadBody(m, Now() + 10)) {
      if (front.mode == kTurnAway) {
        conn.Write(Text(503, Json::object()));
        return;
      }
      if (!conn.Write(Handle(m, front))) return;
    }
  }
  std::string Handle(const Message& m, Front& front) {
    const std::string path = m.Path();
    std::unique_lock lock(mutex_);
    if (path == "/v1/kv-key") {
      const auto it = items_.find(m.Query("key"));
      if (it == items_.end()) return Text(404, Json::object());
      Json json = ToJson(it->first, it->second);
      json["at"] = revision_;
      return Text(200, json);
    }
    if (path == "/v1/kv-range") {
      const std::string prefix = m.Query("path_prefix");
      Json items = Json::array();
      bool more = false;
      for (auto it = items_.upper_bound(m.Query("start_after")); it != items_.end(); ++it) {
        if (it->first.compare(0, prefix.size(), prefix) != 0) continue;
        if (items.size() == 500) {
          more = true;
          break;
        }
        items.push_back(ToJson(it->first, it->second));
      }
      return Text(200, {{"items", items}, {"more", more}, {"at", revision_}});
    }
    if (path == "/v1/kv-watch") {
      const std::string prefix = m.Query("path_prefix");
      const std::uint64_t after = std::strtoull(m.Query("start_after").c_str(), nullptr, 10);
      const double until = Now() + std::strtod(m.Query("wait_ms").c_str(), nullptr) / 1000;
      for (;;) {
        if (front.mode == kTurnAway) return Text(503, Json::object());
        Json events = Json::array();
        for (const Json& it : history_) {
          const std::string key = it["key"];
          if (it["revision"].get<std::uint64_t>() > after && key.compare(0, prefix.size(), prefix) == 0)
            events.push_back(it);
        }
        if (!events.empty() || Now() >= until) return Text(200, {{"events", events}, {"at", revision_}});
        changed_.wait_for(lock, std::chrono::milliseconds(20));
      }
    }
    if (path == "/v1/kv-txn") return Transaction(Json::parse(m.body));
    if (path == "/v1/kv-lease") {
      const double ttl_ms = Json::parse(m.body)["ttl_ms"];
      leases_[++last_lease_] = {.ttl = ttl_ms / 1000, .ends = Now() + ttl_ms / 1000};
      return Text(200, {{"lease", last_lease_}, {"ttl_ms", static_cast<int>(ttl_ms)}});
    }
    const std::uint64_t id = std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
    const auto lease = leases_.find(id);
    if (lease == leases_.end()) return Text(404, Json::object());
    lease->second.ends = Now() + lease->second.ttl;
    const int ttl_ms = static_cast<int>(lease->second.ttl * 1000);
    if (m.Word(0) == "DELETE") EndLocked(id);
    return Text(200, {{"ttl_ms", ttl_ms}});
  }
  std::string Transaction(const Json& body) {
    bool holds = true;
    Json now = Json::array();
    for (const Json& it : body["expected_rev"]) {
      const auto found = items_.find(it["key"]);
      const std::uint64_t revision = found == items_.end() ? 0 : found->second.revision;
      holds = holds && revision == it["revision"].get<std::uint64_t>();
      if (found != items_.end()) now.push_back(ToJson(found->first, found->second));
    }
    if (!holds) return Text(412, {{"items", now}});
    for (const Json& it : body["put"]) {
      const std::uint64_t lease = it.value("lease", std::uint64_t{0});
      if (lease != 0 && !leases_.contains(lease)) return Text(404, Json::object());
    }
    for (const Json& it : body["put"]) PutLocked(it["key"], it["value"], it.value("lease", std::uint64_t{0}));
    for (const Json& it : body["remove"]) RemoveLocked(it);
    changed_.notify_all();
    return Text(200, {{"revision", revision_}});
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::vector<Json> history_;
  std::map<std::uint64_t, Lease> leases_;
  std::uint64_t revision_ = 1, last_lease_ = 0;
  std::vector<std::unique_ptr<Front>> fronts_;
};

// The program of the deploy file, started as its platform does it.
class Daemon {
 public:
  struct Options {
    std::string node, zone, ip, platform;
    std::map<std::string, std::string> bounds;  // over those of a small site
  };
  Daemon(const std::string& folder, const Options& options) : options_(options), folder_(folder) {
    front = options.ip + ":" + std::to_string(FreePort(options.ip));
    ready = options.ip + ":" + std::to_string(FreePort(options.ip));
    directory = options.ip + ":" + std::to_string(FreePort(options.ip));
    peer_port_ = std::to_string(FreePort(options.ip));
    metrics_port_ = std::to_string(FreePort(options.ip));
    file_ = folder + "/" + options.node + ".yaml";
    std::ofstream(file_) << Settings();
    Start();
  }
  ~Daemon() { Kill(); }
  void Start() {
    const std::string log = folder_ + "/" + options_.node + ".log";
    pid_ = fork();
    if (pid_ == 0) {
      // It ends with the script, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      std::FILE* out = std::fopen(log.c_str(), "a");
      dup2(fileno(out), 1);
      dup2(fileno(out), 2);
      const std::string node_file = "SCALESHED_NODE_FILE=" + file_;
      const std::string path = std::string("PATH=") + std::getenv("PATH");
      char* const env[] = {const_cast<char*>(node_file.c_str()), const_cast<char*>(path.c_str()), nullptr};
      char* const args[] = {const_cast<char*>("target/daemon/scaleshedd"), nullptr};
      execve(args[0], args, env);
      _exit(127);
    }
    record.Line("start %s front %s", options_.node.c_str(), front.c_str());
  }
  pid_t pid() const { return pid_; }
  void Signal(int signal) const { kill(pid_, signal); }
  void Kill() {
    if (pid_ <= 0) return;
    kill(pid_, SIGCONT);
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
  bool Runs() {
    if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) pid_ = 0;
    return pid_ > 0;
  }
  const std::string& node() const { return options_.node; }
  std::string front, ready, directory;

 private:
  static int FreePort(const std::string& ip) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in name = AddressOf(ip, 0);
    if (bind(fd, reinterpret_cast<sockaddr*>(&name), sizeof(name)) != 0) std::exit(2);
    socklen_t n = sizeof(name);
    getsockname(fd, reinterpret_cast<sockaddr*>(&name), &n);
    close(fd);
    return ntohs(name.sin_port);
  }
  // deploy/settings.yaml with its gaps filled; a value that is missing yields
  // nothing.
  std::string Settings() const {
    std::map<std::string, std::string> values{
        {"node", options_.node}, {"zone", options_.zone}, {"ip", options_.ip},
        {"listen.front", front}, {"listen.ready", ready}, {"listen.directory", directory},
        {"port_range.0", peer_port_}, {"platform.address", options_.platform},
        {"region", "r1"}, {"zones|json", R"({"z1":"r1","z2":"r1","z3":"r1"})"},
        {"limits.cpu_share", "0.25"}, {"limits.link_mbps", "1000.0"},
        {"bounds.revoke_ms", "5000"}, {"bounds.fail_closed", "true"},
        {"bounds.config_ms", "2000"}, {"bounds.drain_ms", "2000"},
        {"bounds.retry_budget_ratio", "0.2"}, {"bounds.budget_slack", "106"},
        {"bounds.budget_window_s", "10"}, {"bounds.grace_s", "8"}};
    for (const auto& [name, value] : options_.bounds) values["bounds." + name] = value;
    std::ifstream in("deploy/settings.yaml");
    std::string text((std::istreambuf_iterator<char>(in)), {});
    for (std::size_t at; (at = text.find("{{")) != std::string::npos;) {
      const std::size_t end = text.find("}}", at);
      const auto found = values.find(text.substr(at + 2, end - at - 2));
      text.replace(at, end + 2 - at, found == values.end() ? "" : found->second);
    }
    // A port of its own for the figures too.
    const std::size_t metrics = text.find(":9464");
    if (metrics != std::string::npos) text.replace(metrics, 5, ":" + metrics_port_);
    return text;
  }

  Options options_;
  std::string folder_, file_, peer_port_, metrics_port_;
  pid_t pid_ = 0;
};

// Whether the connection that came from this local port belongs to the process.
inline bool IsFrom(pid_t pid, int port) {
  std::ifstream table("/proc/" + std::to_string(pid) + "/net/tcp");
  std::string line, inode;
  std::getline(table, line);
  while (std::getline(table, line)) {
    char local[64], remote[64], skip[64];
    unsigned long long number = 0;
    if (std::sscanf(line.c_str(), "%63s %63s %63s %*s %*s %*s %*s %*s %*s %llu", skip, local, remote, &number) != 4)
      continue;
    const char* colon = std::strchr(local, ':');
    if (colon != nullptr && std::strtol(colon + 1, nullptr, 16) == port && number != 0) {
      inode = "socket:[" + std::to_string(number) + "]";
      const std::string folder = "/proc/" + std::to_string(pid) + "/fd";
      DIR* dir = opendir(folder.c_str());
      if (dir == nullptr) return false;
      bool found = false;
      while (const dirent* entry = readdir(dir)) {
        char to[128];
        const auto n = readlink((folder + "/" + entry->d_name).c_str(), to, sizeof(to));
        if (n > 0 && inode == std::string(to, static_cast<std::size_t>(n))) found = true;
      }
      closedir(dir);
      if (found) return true;
    }
  }
  return false;
}

// A client's connection. Each attempt has an id of its own.
struct Reply {
  int status = 0;  // 0: no whole head came
  bool whole = false;
  Message message;
};

inline std::string NewId() {
  static std::atomic<int> last{0};
  char id[32];
  std::snprintf(id, sizeof(id), "c%07x%08x", static_cast<unsigned>(getpid()), static_cast<unsigned>(++last));
  return id;
}

class Client {
 public:
  explicit Client(const std::string& address) : address_(address) {}
  bool Connect() {
    const std::size_t colon = address_.find(':');
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in name = AddressOf(address_.substr(0, colon), std::atoi(address_.c_str() + colon + 1));
    if (connect(fd, reinterpret_cast<sockaddr*>(&name), sizeof(name)) != 0) {
      close(fd);
      return false;
    }
    conn_ = std::make_unique<Conn>(fd);
    return true;
  }
  bool Send(const std::string& method, const std::string& path,
            const std::vector<std::pair<std::string, std::string>>& headers, const std::string& body) {
    if (!conn_ && !Connect()) return false;
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers) text += name + ": " + value + "\r\n";
    if (!body.empty() || method == "POST") text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return conn_->Write(text + "\r\n" + body);
  }
  Reply Receive(double until) {
    Reply reply;
    do {
      if (!conn_ || !conn_->ReadHead(reply.message, until)) return Drop(reply);
    } while (reply.message.status() < 200);
    reply.status = reply.message.status();
    reply.whole = conn_->ReadBody(reply.message, until);
    if (!reply.whole || strcasecmp(reply.message.Get("Connection").c_str(), "close") == 0) Drop(reply);
    return reply;
  }
  Reply Call(const std::string& method, const std::string& path,
             const std::vector<std::pair<std::string, std::string>>& headers, const std::string& body,
             double within) {
    if (!Send(method, path, headers, body)) return {};
    return Receive(Now() + within);
  }
  Conn* conn() { return conn_.get(); }
  void Close() { conn_.reset(); }

 private:
  Reply& Drop(Reply& reply) {
    conn_.reset();
    return reply;
  }
  std::string address_;
  std::unique_ptr<Conn> conn_;
};

// Waits until the daemon says that it is ready.
inline bool AwaitReady(Daemon& daemon, double within) {
  const double until = Now() + within;
  while (Now() < until && daemon.Runs()) {
    if (Client(daemon.ready).Call("GET", "/v1/ready", {{"Host", "p"}}, "", 0.5).status == 200) return true;
    Sleep(0.05);
  }
  return false;
}

inline std::string SealOf(const std::string& worker, const std::string& request) { return worker + "." + request; }

// A worker of a plain service. It serves on until the process ends; its entry
// in the store says where.
class PlainWorker {
 public:
  struct Run {
    double at = 0;
    std::string request, path, tenant, service, worker;
  };
  PlainWorker(Store& store, const std::string& ip, const std::string& service, const std::string& zone, int n,
              double cold_s = 0)
      : store_(store), service_(service), zone_(zone), id_("i-" + service + std::to_string(n)),
        cold_until_(cold_s > 0 ? Now() + cold_s : 0) {
    listener_ = std::make_unique<Listener>(ip, [this](auto conn, int port) { Serve(*conn, port); });
    Tell("ready");
  }
  void Tell(const std::string& state) {
    store_.Put("servers/" + id_, Json{{"service", service_}, {"address", listener_->address()}, {"zone", zone_},
                                      {"version", "v1"}, {"slots", 6}, {"state", state},
                                      {"cold_remaining_ms", ColdMs()}, {"sequence", 1}}.dump());
  }
  // It has left; it serves on what still comes.
  void Leave() { store_.Remove("servers/" + id_); }
  // Says whether the link of a connection is cut.
  std::function<bool(int peer_port)> is_cut = [](int) { return false; };
  double work_s = 0.06;
  static inline std::mutex runs_mutex;
  static inline std::vector<Run> runs;

 private:
  void Serve(Conn& conn, int port) {
    if (is_cut(port)) {
      conn.Reset();
      return;
    }
    Message m;
    while (conn.ReadHead(m, Now() + 60) && conn.ReadBody(m, Now() + 10)) {
      const std::string request = m.Get("X-Request-Id");
      if (m.Path() == "/health") {
        conn.Write(Answer(200, {{"X-Instance-Id", id_}, {"X-Cold-Ms", std::to_string(ColdMs())}}, ""));
        continue;
      }
      if (m.Path() == "/v1/report") {
        conn.Write(Answer(404, {}, ""));
        continue;
      }
      if (m.Get("X-Expect-Instance") != id_) {
        conn.Write(Answer(421, {{"X-Request-Id", request}, {"X-Instance-Id", id_}}, ""));
        continue;
      }
      record.Line("run %s at %s of %s: %s tenant '%s'", request.c_str(), id_.c_str(), service_.c_str(),
                  m.Path().c_str(), m.Get("X-Tenant").c_str());
      {
        const std::lock_guard lock(runs_mutex);
        runs.push_back({Now(), request, m.Path(), m.Get("X-Tenant"), service_, id_});
      }
      Sleep(work_s);
      conn.Write(Answer(200, {{"X-Request-Id", request}, {"X-Response-Seal", SealOf(id_, request)}},
                        std::string(800, 'x')));
    }
  }
  int ColdMs() const { return std::max(0, static_cast<int>((cold_until_ - Now()) * 1000)); }

  Store& store_;
  std::string service_, zone_, id_;
  double cold_until_;
  std::unique_ptr<Listener> listener_;
};

inline Json PlainRoute(const std::string& name, const std::string& prefix, const std::string& kind,
                       const std::string& service, bool is_public = false) {
  return {{"name", name}, {"host", "h.example"}, {"path_prefix", prefix}, {"kind", kind}, {"timeout_ms", 4000},
          {"slo_ms", 300}, {"priority", 2}, {"service", service}, {"max_attempts", 2}, {"public", is_public},
          {"sticky", false}, {"resumable", false}};
}
inline Json Limits() {
  return {{"max_header_bytes", 16384}, {"max_body_bytes", 4194304}, {"header_timeout_ms", 3000},
          {"idle_timeout_ms", 15000}};
}

// An address in 127.0.0.0/8 that is the script's own.
inline std::string Ip(int group, int n) {
  const int pid = static_cast<int>(getpid());
  return "127." + std::to_string(16 + pid % 200) + "." + std::to_string(group) + "." + std::to_string(n);
}

inline bool HasTrouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

struct Folder {
  std::string path;
  Folder() {
    char name[] = "/tmp/scaleshed-review-XXXXXX";
    path = mkdtemp(name);
  }
  ~Folder() {
    if (std::getenv("KEEP") != nullptr) {
      std::fprintf(stderr, "logs: %s\n", path.c_str());
      return;
    }
    DIR* dir = opendir(path.c_str());
    while (const dirent* entry = readdir(dir)) unlink((path + "/" + entry->d_name).c_str());
    closedir(dir);
    rmdir(path.c_str());
  }
};

// Ends with that status; destructors of the caller have run by then.
inline int Finish(int status, const std::string& why) {
  record.Line("%s: %s", status == 1 ? "BROKEN" : status == 0 ? "HELD" : "COULD NOT RUN", why.c_str());
  std::printf("%s: %s\n", status == 1 ? "broken" : status == 0 ? "held" : "could not run", why.c_str());
  std::fflush(stdout);
  return status;
}

}  // namespace st
