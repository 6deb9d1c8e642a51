// Open connections to workers go silent while a long prompt's answer is under
// way; its memory at the helping workers stays set aside: review/6.
#include "bench.hpp"

using namespace st;

namespace {

constexpr double kFreeS = 4.0;  // free_ms
constexpr double kDeadlineS = 15.0;
constexpr std::int64_t kMemory = 450000;
constexpr std::int64_t kPrompt = 600000;
constexpr std::int64_t kAnswer = 800;
constexpr int kEvents = 17;
constexpr double kEventS = 0.045;

// The published formula: 256 tokens a ms, and 0.0917 ms per million pairs.
double PrefillS(double tokens) { return (tokens / 256 + tokens * tokens / 2 / 1e6 * 0.0917) / 1000; }

// An engine: streams of events, and memory that is set aside by tickets.
class Engine {
 public:
  struct Ticket {
    std::int64_t tokens = 0;
    double until = 0, made = 0;
    int users = 0;
  };
  Engine(Store& store, const std::string& ip, const std::string& zone, int n) : id_("i-llm" + std::to_string(n)) {
    listener_ = std::make_unique<Listener>(ip, [this](auto conn, int) { Serve(conn); });
    all[listener_->address()] = this;
    store.Put("servers/" + id_,
              Json{{"service", "llm"}, {"address", listener_->address()}, {"zone", zone}, {"version", "v1"},
                   {"slots", 16}, {"state", "ready"}, {"cold_remaining_ms", 0}, {"stage", "both"},
                   {"models", {{{"name", "m"}, {"version", 1}, {"adapters", Json::array()}}}}, {"sequence", 1}}
                  .dump());
  }
  static inline std::mutex mutex;
  static inline std::map<std::string, Engine*> all;
  // When the last request that used a ticket ended.
  static inline std::map<std::string, double> ended;
  // The number of each connection that is open, and the last that is silent.
  static inline std::atomic<int> last_connection{0}, silent_up_to{0};
  static inline std::atomic<int> events_made{0};

  // Drops what has lapsed, and gives the longest time for which memory stays
  // set aside after the last request that used it has ended.
  static double LongestLeft() {
    const std::lock_guard lock(mutex);
    double longest = 0;
    for (auto& [address, it] : all) {
      for (auto ticket = it->tickets_.begin(); ticket != it->tickets_.end();) {
        if (ticket->second.until <= Now()) {
          record.Line("ticket %s at %s lapsed", ticket->first.c_str(), it->id_.c_str());
          ticket = it->tickets_.erase(ticket);
          continue;
        }
        const auto over = ended.find(ticket->first);
        if (over != ended.end() && ticket->second.users == 0) longest = std::max(longest, Now() - over->second);
        ++ticket;
      }
    }
    return longest;
  }

 private:
  void Serve(std::shared_ptr<Conn> conn) {
    const int number = ++last_connection;
    const auto is_silent = [number] { return number <= silent_up_to; };
    Message m;
    if (!conn->ReadHead(m, Now() + 60) || !conn->ReadBody(m, Now() + 10)) return;
    if (m.Path() == "/v1/order") {
      conn->Write(Order(Json::parse(m.body)));
    } else if (m.Path() == "/v1/report") {
      conn->Write(Answer(200, {{"Content-Type", "application/json"}}, Report()));
    } else if (m.Path() == "/health") {
      conn->Write(Answer(200, {{"X-Instance-Id", id_}}, ""));
    } else if (m.Get("X-Expect-Instance") != id_) {
      conn->Write(Answer(421, {{"X-Request-Id", m.Get("X-Request-Id")}, {"X-Instance-Id", id_}}, ""));
    } else {
      Stream(*conn, m, is_silent);
    }
    // Nothing tells the other end of a silent connection that it is over.
    while (is_silent()) Sleep(1);
  }
  std::string Order(const Json& order) {
    const std::string op = order["op"], id = order["id"];
    const std::lock_guard lock(mutex);
    ++sequence_;
    std::int64_t used = running_tokens_;
    for (const auto& [other, it] : tickets_) used += other == id ? 0 : it.tokens;
    if (op == "reserve") {
      const std::int64_t tokens = order["tokens"];
      if (used + tokens > kMemory) return Answer(409, {}, Json{{"free", kMemory - used}}.dump());
      Ticket& it = tickets_[id];
      if (it.made == 0) {
        it.made = Now();
        record.Line("ticket %s of %lld tokens set aside at %s", id.c_str(), static_cast<long long>(tokens), id_.c_str());
      } else if (ended.contains(id)) {
        record.Line("ticket %s at %s renewed %.3f s after its request ended", id.c_str(), id_.c_str(), Now() - ended[id]);
      }
      it.tokens = tokens;
      it.until = Now() + order["hold_ms"].get<double>() / 1000;
    } else {
      record.Line("ticket %s released at %s", id.c_str(), id_.c_str());
      tickets_.erase(id);
    }
    return Answer(200, {{"Content-Type", "application/json"}}, Json{{"free", kMemory - used}}.dump());
  }
  std::string Report() {
    const std::lock_guard lock(mutex);
    Json tickets = Json::array();
    std::int64_t used = running_tokens_;
    for (const auto& [id, it] : tickets_) {
      used += it.tokens;
      tickets.push_back({{"id", id}, {"tokens", it.tokens}, {"state", it.users > 0 ? "used" : "held"},
                         {"age_ms", static_cast<int>((Now() - it.made) * 1000)}});
    }
    return Json{{"stage", "both"}, {"models", {{{"name", "m"}, {"version", 1}, {"adapters", Json::array()}}}},
                {"busy", false}, {"sequence", sequence_}, {"waiting", 0}, {"running", running_}, {"kv_used", used},
                {"kv_total", kMemory}, {"handles", 0}, {"tickets", tickets}}
        .dump();
  }
  // The helping engines that a request names, with their tickets.
  static std::vector<std::pair<Engine*, std::string>> HelpersOf(const Message& m) {
    std::vector<std::pair<Engine*, std::string>> helpers;
    std::string list = m.Get("Helpers");
    while (!list.empty()) {
      const std::size_t comma = list.find(',');
      const std::string one = list.substr(0, comma);
      const std::size_t slash = one.find('/');
      const auto found = all.find(one.substr(0, slash));
      helpers.emplace_back(found == all.end() ? nullptr : found->second,
                           slash == std::string::npos ? "" : one.substr(slash + 1));
      list = comma == std::string::npos ? "" : list.substr(comma + 1);
    }
    return helpers;
  }
  void Stream(Conn& conn, const Message& m, const std::function<bool()>& is_silent) {
    const std::string request = m.Get("X-Request-Id");
    const auto helpers = HelpersOf(m);
    std::int64_t at_helpers = 0;
    {
      const std::lock_guard lock(mutex);
      for (const auto& [engine, ticket] : helpers) {
        const bool lacks = engine == nullptr || (!ticket.empty() && !engine->tickets_.contains(ticket));
        if (!lacks) continue;
        conn.Write(Answer(503, {{"X-Request-Id", request}, {"X-Not-Executed", "1"}}, ""));
        return;
      }
      for (const auto& [engine, ticket] : helpers) {
        if (ticket.empty()) continue;
        ++engine->tickets_[ticket].users;
        at_helpers += engine->tickets_[ticket].tokens;
      }
      ++running_;
      running_tokens_ += std::max<std::int64_t>(kPrompt + kAnswer - at_helpers, 0);
    }
    record.Line("run %s at %s with %zu helpers, after event '%s'", request.c_str(), id_.c_str(), helpers.size(),
                m.Get("Last-Event-Id").c_str());
    const char* why = Write(conn, m, helpers, is_silent);
    const std::lock_guard lock(mutex);
    --running_;
    running_tokens_ -= std::max<std::int64_t>(kPrompt + kAnswer - at_helpers, 0);
    for (const auto& [engine, ticket] : helpers) {
      if (ticket.empty()) continue;
      ended[ticket] = Now();
      const auto it = engine->tickets_.find(ticket);
      if (it != engine->tickets_.end()) --it->second.users;
    }
    record.Line("%s has ended at %s: %s", request.c_str(), id_.c_str(), why);
  }
  const char* Write(Conn& conn, const Message& m, const std::vector<std::pair<Engine*, std::string>>& helpers,
                    const std::function<bool()>& is_silent) {
    const auto is_left = [&] { return !is_silent() && conn.PeerGone(); };
    const double prefilled = Now() + PrefillS(kPrompt) / static_cast<double>(helpers.size() + 1) + 0.02;
    while (Now() < prefilled) {
      if (is_left()) return "its client has left";
      Sleep(0.02);
    }
    const auto send = [&](const std::string& text) { return is_silent() || conn.Write(text); };
    const std::string request = m.Get("X-Request-Id");
    if (!send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Request-Id: " +
              request + "\r\nX-Response-Seal: " + SealOf(id_, request) + "\r\n\r\n"))
      return "its client has left";
    for (int n = std::atoi(m.Get("Last-Event-Id").c_str()) + 1; n <= kEvents; ++n) {
      Sleep(kEventS);
      {
        const std::lock_guard lock(mutex);
        for (const auto& [engine, ticket] : helpers)
          if (!ticket.empty() && !engine->tickets_.contains(ticket)) return "its memory has lapsed";
      }
      const std::string event = "id: " + std::to_string(n) + "\ndata: piece " + std::to_string(n) + "\n\n";
      char length[16];
      std::snprintf(length, sizeof(length), "%zx\r\n", event.size());
      if (is_left() || !send(length + event + "\r\n")) return "its client has left";
      ++events_made;
    }
    send("0\r\n\r\n");
    return "complete";
  }

  std::string id_;
  std::unique_ptr<Listener> listener_;
  std::map<std::string, Ticket> tickets_;
  int sequence_ = 0, running_ = 0;
  std::int64_t running_tokens_ = 0;
};

Json Configuration() {
  const Json engine{{"slots", 16}, {"kv_capacity_tokens", kMemory}, {"kv_token_bytes", 327680},
                    {"link_mbps", 400000.0}, {"stride", 46}, {"models", {{{"name", "m"}}}}, {"step_ms", 0.925},
                    {"per_seq_ms", 0.00483}, {"context_per_k", 0.00254}, {"read_per_s", 256000.0},
                    {"pairs_per_m", 0.0917}, {"chunk", 2048}, {"report_lag_ms", 200.0},
                    {"usual", {{"prompt", 13239}, {"answer", 1540}}}, {"hop_ms", 0.1}};
  return {{"version", 1},
          {"routes",
           {{{"name", "r1"}, {"host", "h.example"}, {"path_prefix", "/dossier/"}, {"kind", "streaming"},
             {"timeout_ms", 15000}, {"slo_ms", 3000}, {"priority", 1}, {"service", "llm"}, {"max_attempts", 2},
             {"public", false}, {"sticky", true}, {"resumable", true}, {"gap_aim_ms", 800}}}},
          {"services",
           {{{"name", "llm"}, {"health_path", "/health"}, {"max_conns", 434}, {"protocol", "h1"}, {"tls", false},
             {"engine", engine}}}},
          {"limits", Limits()},
          {"tenants", {{{"name", "acme"}, {"api_keys", {"key-one"}}, {"priority", 1}}}}};
}

int Run(const std::string& folder) {
  Store& store = *new Store;
  auto& engines = *new std::vector<std::unique_ptr<Engine>>;
  for (int n = 1; n <= 8; ++n)
    engines.push_back(std::make_unique<Engine>(store, Ip(2, n), "z" + std::to_string(n % 3 + 1), n));
  store.Put("op/config", Configuration().dump());
  std::vector<std::unique_ptr<Daemon>> daemons;
  for (int n = 1; n <= 3; ++n)
    daemons.push_back(std::make_unique<Daemon>(
        folder, Daemon::Options{"front-" + std::to_string(n), "z" + std::to_string(n), Ip(1, n),
                                store.AddFront(Ip(3, n)).address(), {}}));
  for (auto& it : daemons)
    if (!AwaitReady(*it, 15)) return Finish(2, it->node() + " is not ready");
  // Each daemon's share of the slack of retries counts from some time after its
  // start.
  SleepUntil(22);

  std::atomic<bool> over{false};
  std::thread client([&] {
    const std::string id = NewId();
    Client to(daemons[0]->front);
    const double at = Now();
    const Reply reply = to.Call(
        "POST", "/dossier/1",
        {{"Host", "h.example"}, {"X-Request-Id", id}, {"X-Model", "m"},
         {"X-Token-Usage", std::to_string(kPrompt) + "," + std::to_string(kAnswer)},
         {"X-Prefix-Hash", "5c1e07a2:40,91bd3f06:" + std::to_string(kPrompt - 40)},
         {"X-Deadline-Ms", "15000"}, {"Api-Key", "key-one"}},
        "the dossier", kDeadlineS + 1);
    record.Line("sent %s to front-1 at %.3f: %d, %s", id.c_str(), at, reply.status, reply.whole ? "whole" : "not whole");
    over = true;
  });
  double longest = 0;
  bool silent = false;
  const double until = Now() + kDeadlineS + 8;
  for (double over_at = 0; Now() < until && (over_at == 0 || Now() < over_at + 5); Sleep(0.02)) {
    if (over && over_at == 0) over_at = Now();
    if (HasTrouble() && !silent && Engine::events_made >= 3) {
      silent = true;
      Engine::silent_up_to = Engine::last_connection.load();
      record.Line("the open connections to the workers go silent");
    }
    longest = std::max(longest, Engine::LongestLeft());
  }
  client.join();
  char text[200];
  std::snprintf(text, sizeof(text), "memory stayed set aside for up to %.1f s after the last request that used it had ended (bound: %.1f s)",
                longest, kFreeS);
  if (Engine::ended.empty()) return Finish(2, "no request used memory that was set aside");
  return Finish(longest > kFreeS ? 1 : 0, text);
}

}  // namespace

int main(int, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  record.Open(argv[1]);
  int status = 2;
  {
    Folder folder;
    status = Run(folder.path);
  }
  std::fflush(nullptr);
  _exit(status);
}
