#pragma once
#include "deployment.hpp"

namespace review {

inline constexpr char kFleetBounds[] =
    "  key_freshness_ms: 5000\n"
    "  keys_fail_closed: true\n"
    "  configuration_within_ms: 3000\n"
    "  leaving_within_ms: 3000\n"
    "  repeat_ratio: 0.2\n"
    "  repeat_slack: 210\n"
    "  repeat_window_s: 10\n"
    "  grace_s: 8\n"
    "  processor_cores: 0.29\n"
    "  link_mbps: 200\n";

inline Json RouteOf(const std::string& name, const std::string& prefix,
                    const std::string& kind, const std::string& service,
                    int slo_ms, int timeout_ms, int attempts) {
  return {{"name", name},
          {"host", "dispatch.example"},
          {"path_prefix", prefix},
          {"kind", kind},
          {"timeout_ms", timeout_ms},
          {"slo_ms", slo_ms},
          {"priority", 1},
          {"service", service},
          {"max_attempts", attempts},
          {"public", false},
          {"resumable", kind == "streaming"},
          {"gap_aim_ms", kind == "streaming" ? 1000 : 0}};
}

// The engines of two sites, as their configurations tell them.
inline Json SmallEngine() {
  return {{"slots", 12},
          {"kv_capacity_tokens", 232000},
          {"stride", 48},
          {"step_ms", 1.02},
          {"per_seq_ms", 0.00226},
          {"context_per_k", 0.00431},
          {"read_per_s", 206000.0},
          {"pairs_per_m", 0.138},
          {"chunk", 2048},
          {"hop_ms", 0.075}};
}
inline Json LargeEngine() {
  return {{"slots", 16},
          {"kv_capacity_tokens", 450000},
          {"stride", 46},
          {"step_ms", 0.925},
          {"per_seq_ms", 0.00483},
          {"context_per_k", 0.00254},
          {"read_per_s", 256000.0},
          {"pairs_per_m", 0.0917},
          {"chunk", 2048},
          {"hop_ms", 0.1}};
}

inline Json ConfigurationOf(int version, const Json& engine) {
  return {
      {"version", version},
      {"routes",
       {RouteOf("permit", "/permit/", "streaming", "dispatch-llm", 3000, 15000,
                2),
        RouteOf("lookup", "/lookup/", "safe", "booking-app", 300, 3000, 2)}},
      {"services",
       {{{"name", "dispatch-llm"},
         {"max_conns", 608},
         {"engine", engine},
         {"health_path", "/health"}},
        {{"name", "booking-app"},
         {"max_conns", 460},
         {"health_path", "/health"}}}},
      {"limits",
       {{"max_header_bytes", 16384},
        {"max_body_bytes", 4194304},
        {"header_timeout_ms", 3000},
        {"idle_timeout_ms", 15000}}},
      {"tenants",
       {{{"name", "depot"},
         {"api_keys", {"n2ctnfzs989anu6wsjnb"}},
         {"priority", 1}}}}};
}

// Clients: one attempt, and one retry where the pages let them.
class Clients {
 public:
  Clients(Deployment& deployment, Record& record)
      : deployment_(deployment), record_(record) {}
  struct Counts {
    int sent = 0, served = 0, own_4xx = 0, refused = 0, other = 0;
  };
  // Sends in a thread of its own.
  void Send(const std::string& kind, const std::string& method,
            const std::string& target,
            std::vector<std::pair<std::string, std::string>> headers,
            const std::string& body, double deadline_s, unsigned seed) {
    ++running_;
    std::thread([=, this] {
      Run(kind, method, target, headers, body, deadline_s, seed);
      --running_;
    }).detach();
  }
  void AwaitAll(double within) {
    const double until = Now() + within;
    while (running_ > 0 && Now() < until) SleepFor(0.05);
  }
  std::map<std::string, Counts> counts() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return counts_;
  }

 private:
  void Run(const std::string& kind, const std::string& method,
           const std::string& target,
           const std::vector<std::pair<std::string, std::string>>& base,
           const std::string& body, double deadline_s, unsigned seed) {
    std::mt19937_64 random(seed * 7919ULL + 13);
    const double until = Now() + deadline_s;
    std::string last_event;
    for (int attempt = 0; attempt < 2; ++attempt) {
      const auto addresses = deployment_.Resolve("dispatch.example", "fl-a");
      if (addresses.empty()) return;
      const std::string to = addresses[random() % addresses.size()];
      const std::string id = NewId(random);
      auto headers = base;
      headers.insert(headers.begin(), {"X-Request-Id", id});
      headers.insert(headers.begin(), {"Host", "dispatch.example"});
      headers.emplace_back("Api-Key", "n2ctnfzs989anu6wsjnb");
      if (!last_event.empty())
        headers.emplace_back("Last-Event-Id", last_event);
      record_.Line("client sends " + kind + " " + id + " to " + to);
      const Outcome it = Attempt(to, method, target, headers, body,
                                 std::max(0.1, until - Now()));
      const bool served =
          it.status >= 200 && it.status < 300 && it.sealed && it.whole;
      const bool own = !it.sealed;
      record_.Line("client gets " + kind + " " + id + " status " +
                   std::to_string(it.status) +
                   (it.sealed ? " sealed" : " own") +
                   (it.whole ? " whole" : " broken") + " after " +
                   std::to_string(static_cast<int>(it.seconds * 1000)) +
                   " ms " + (own ? it.body.substr(0, 80) : ""));
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        Counts& counts = counts_[kind];
        ++counts.sent;
        if (served) {
          ++counts.served;
        } else if (own && it.status >= 300 && it.status < 500 &&
                   it.status != 408 && it.status != 421 && it.status != 429) {
          ++counts.own_4xx;
        } else if (it.status == 503 || it.status == 429) {
          ++counts.refused;
        } else {
          ++counts.other;
        }
      }
      const bool final = served || it.status == 400 || it.status == 401 ||
                         it.status == 404 || it.status == 413 ||
                         it.status == 431;
      if (final) return;
      if (!it.last_event.empty()) last_event = it.last_event;
      SleepFor(std::min(std::max(it.retry_after, 0.0), (until - Now()) / 3));
      if (Now() + 0.1 >= until) return;
    }
  }

  Deployment& deployment_;
  Record& record_;
  std::atomic<int> running_{0};
  std::mutex mutex_;
  std::map<std::string, Counts> counts_;
};

// DENIED: machines in touch end more than 5 + one in 500 of all requests with a
// 3xx or 4xx of their own (but 408, 421, 429), although these are proper.
inline int JudgeDenied(Clients& clients, Record& record) {
  int sent = 0, denied = 0;
  for (const auto& [kind, it] : clients.counts()) {
    sent += it.sent;
    denied += it.own_4xx;
    std::ostringstream text;
    text << "total of " << kind << ": " << it.sent << " sent, " << it.served
         << " served, " << it.own_4xx << " got a 4xx of the system's own, "
         << it.refused << " 503 or 429, " << it.other << " else";
    record.Line(text.str());
    std::cout << text.str() << "\n";
  }
  const double allowed = 5 + sent / 500.0;
  std::ostringstream text;
  text << "DENIED: " << denied << " of " << sent << ", allowed " << allowed
       << (denied > allowed ? ": broken" : ": held");
  record.Line(text.str());
  std::cout << text.str() << std::endl;
  return denied > allowed ? 1 : 0;
}

inline void StartPlainWorkers(Deployment& deployment) {
  for (int i = 1; i <= 3; ++i) {
    WorkerOptions it;
    it.address =
        "127.0.3." + std::to_string(i) + ":" + std::to_string(FreePort());
    it.id = "i-app" + std::to_string(i);
    it.service = "booking-app";
    it.zone = "fl-" + std::string(1, static_cast<char>('a' + i - 1));
    it.slots = 6;
    deployment.StartWorker(it);
  }
}

// Two engines, prompts that need the memory of both. One engine is lost for
// good; another one takes its place 45 s later.
inline int LongPrompts(const std::string& self, const std::string& folder,
                       bool disturbed) {
  Record& record = *new Record(folder + "/record.txt");
  Deployment& deployment = *new Deployment(self, folder, record);
  if (!deployment.ok()) return deployment.Finish(2);
  deployment.store().Put("op/config", ConfigurationOf(3, SmallEngine()).dump());
  deployment.store().Start();
  std::vector<pid_t> engines;
  const auto engine = [&](int i, const std::string& id,
                          const std::string& zone) {
    WorkerOptions it;
    it.address =
        "127.0.2." + std::to_string(i) + ":" + std::to_string(FreePort());
    it.id = id;
    it.service = "dispatch-llm";
    it.zone = zone;
    it.engine = true;
    engines.push_back(deployment.StartWorker(it));
  };
  engine(1, "i-7f3a91c2", "fl-a");
  engine(2, "i-02d9e6b4", "fl-b");
  StartPlainWorkers(deployment);
  deployment.AddDaemons(3, kFleetBounds);
  for (Daemon& it : deployment.daemons()) deployment.StartDaemon(it);
  if (!deployment.AwaitReady(10)) return deployment.Finish(2);
  SleepFor(8);
  Clients& clients = *new Clients(deployment, record);
  const double start = Now();
  record.Line("traffic starts");
  double next_long = start, next_lookup = start;
  unsigned n = 0;
  bool killed = !disturbed, replaced = !disturbed;
  while (Now() < start + 82) {
    if (!killed && Now() >= start + 12) {
      killed = true;
      deployment.processes().End(engines[1]);
      record.Line("disruption: worker i-02d9e6b4 is killed, for good");
    }
    if (!replaced && Now() >= start + 57) {
      replaced = true;
      engine(4, "i-5e1b77a0", "fl-b");
    }
    if (Now() >= next_long) {
      next_long += 4.5;
      ++n;
      char part[32];
      std::snprintf(part, sizeof(part), "%08x", 0x5c1e0000U + n);
      clients.Send(
          "permit", "POST", "/permit/2f",
          {{"X-Model", "m"},
           {"X-Token-Usage", "250000,720"},
           {"X-Prefix-Hash", "e4402b7d:40," + std::string(part) + ":249960"}},
          "archive " + std::to_string(n), 15, n);
    }
    if (Now() >= next_lookup) {
      next_lookup += 0.25;
      ++n;
      clients.Send("lookup", "GET", "/lookup/" + std::to_string(n % 60), {}, "",
                   3, n);
    }
    SleepFor(0.01);
  }
  clients.AwaitAll(16);
  return deployment.Finish(JudgeDenied(clients, record));
}

// The lines of the record so far.
inline std::vector<std::string> LinesOf(const Record& record) {
  std::ifstream file(record.path());
  std::vector<std::string> lines;
  for (std::string it; std::getline(file, it);) lines.push_back(it);
  return lines;
}

// 18 engines, three plain workers and three daemons under the traffic of
// dossiers, a quarter of them the same one, and of look-ups. `disturb` is
// called every 10 ms from 12 s on.
class LargeDeployment {
 public:
  LargeDeployment(const std::string& self, const std::string& folder)
      : record(folder + "/record.txt"),
        deployment(self, folder, record),
        clients(deployment, record) {}
  bool Start() {
    if (!deployment.ok()) return false;
    deployment.store().Put("op/config",
                           ConfigurationOf(3, LargeEngine()).dump());
    deployment.store().Start();
    for (int i = 1; i <= 18; ++i) {
      WorkerOptions it;
      it.address =
          "127.0.2." + std::to_string(i) + ":" + std::to_string(FreePort());
      it.id = "i-llm" + std::to_string(i);
      it.service = "dispatch-llm";
      it.zone = "fl-" + std::string(1, static_cast<char>('a' + i % 3));
      it.engine = true;
      it.slots = 16;
      it.memory = 450000;
      it.read_per_ms = 256;
      it.pairs_per_m = 0.0917;
      it.tokens_per_event = 46;
      StartEngine(it);
    }
    StartPlainWorkers(deployment);
    deployment.AddDaemons(3, kFleetBounds);
    for (Daemon& it : deployment.daemons()) deployment.StartDaemon(it);
    if (!deployment.AwaitReady(10)) return false;
    SleepFor(8);
    return true;
  }
  void Run(double length_s, const std::function<void(double)>& disturb) {
    const double start = Now();
    record.Line("traffic starts");
    double next_long = start, next_lookup = start;
    unsigned n = 0, dossiers = 0;
    while (Now() < start + length_s) {
      if (Now() >= start + 12) disturb(Now() - start);
      if (Now() >= next_long) {
        next_long += 0.85;
        ++dossiers;
        const bool hot = dossiers % 4 == 0;
        const unsigned number = hot ? 0 : dossiers;
        char part[32];
        std::snprintf(part, sizeof(part), "%08x", 0x5c1e0000U + number);
        clients.Send(
            hot ? "hot" : "permit", "POST", "/permit/2f",
            {{"X-Model", "m"},
             {"X-Token-Usage", "210000,780"},
             {"X-Prefix-Hash", "e4402b7d:40," + std::string(part) + ":209960"}},
            "dossier " + std::to_string(number), 15, ++n);
      }
      if (Now() >= next_lookup) {
        next_lookup += 0.25;
        ++n;
        clients.Send("lookup", "GET", "/lookup/" + std::to_string(n % 60), {},
                     "", 3, n);
      }
      SleepFor(0.01);
    }
    clients.AwaitAll(16);
  }
  // Ends these engines at the same moment.
  void Crash(const std::vector<std::string>& ids) {
    for (const auto& id : ids) kill(engines_[id], SIGKILL);
    for (const auto& id : ids) {
      deployment.processes().End(engines_[id]);
      record.Line("disruption: worker " + id + " is killed");
      lost_.push_back(options[id]);
      options.erase(id);
    }
  }
  // Those that crashed begin new lives, under new ids.
  void Return() {
    for (WorkerOptions it : lost_) {
      it.id += "b";
      StartEngine(it);
    }
    lost_.clear();
  }

  Record record;
  Deployment deployment;
  Clients clients;
  std::map<std::string, WorkerOptions> options;  // of the engines, by id

 private:
  void StartEngine(const WorkerOptions& it) {
    options[it.id] = it;
    engines_[it.id] = deployment.StartWorker(it);
  }
  std::map<std::string, pid_t> engines_;
  std::vector<WorkerOptions> lost_;
};

// A rack of three of 18 engines crashes once, while one of the three answers
// the dossier that a quarter of the callers ask for and the two others have
// read parts of it. They are back 4.5 s later.
inline int RackCrash(const std::string& self, const std::string& folder,
                     bool disturbed) {
  LargeDeployment& it = *new LargeDeployment(self, folder);
  if (!it.Start()) return it.deployment.Finish(2);
  bool struck = !disturbed;
  double back_at = 1e9;
  it.Run(75, [&](double now) {
    if (now >= back_at) {
      back_at = 1e9;
      it.Return();
    }
    if (struck) return;
    // The engine that answers the dossier asked for most, and its helpers.
    std::set<std::string> asked, ended;
    std::string engine, helpers;
    for (const std::string& line : LinesOf(it.record)) {
      std::istringstream words(line);
      std::string time, who, a, b, c, more;
      words >> time >> who >> a >> b >> c >> more;
      if (who == "client" && a == "sends" && b == "hot") asked.insert(c);
      if (who == "worker" && b == "ran") ended.insert(c);
      if (who == "worker" && b == "runs" && asked.count(c) > 0 &&
          std::stod(time) > Now() - 0.3) {
        engine = ended.count(c) > 0 ? "" : a;
        helpers = more;
      }
    }
    if (engine.empty()) return;
    std::vector<std::string> rack{engine};
    for (const auto& [id, worker] : it.options) {
      const bool helps = helpers.find(worker.address) != std::string::npos;
      if (rack.size() < 3 && id != engine && helps) rack.push_back(id);
    }
    if (rack.size() < 3) return;
    struck = true;
    back_at = now + 4.5;
    it.Crash(rack);
  });
  if (!struck) return it.deployment.Finish(2);
  return it.deployment.Finish(JudgeDenied(it.clients, it.record));
}

}  // namespace review
