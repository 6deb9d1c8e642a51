// The same fault with one disruption only: a daemon is cut off from the workers
// while configurations come in quick succession: review/5, VARIANT=storm.
#include "bench.hpp"

using namespace st;

namespace {

constexpr double kRollbackSlackS = 0.25;  // rollback_slack_ms
constexpr double kCutS = 5.5;             // a single machine is cut off
constexpr double kStormS = 4.0;           // configurations in quick succession
constexpr double kGapS = 0.33;

// Each version adds a route, /v2/, /v3/ and so on, and takes none away.
Json Configuration(int version) {
  Json routes{PlainRoute("r1", "/same/", "safe", "app")};
  for (int n = 2; n <= version; ++n)
    routes.push_back(PlainRoute("r" + std::to_string(n), "/v" + std::to_string(n) + "/", "safe", "app"));
  return {{"version", version},
          {"routes", routes},
          {"services", {{{"name", "app"}, {"health_path", "/health"}, {"max_conns", 110}, {"protocol", "h1"}, {"tls", false}}}},
          {"limits", Limits()},
          {"tenants", {{{"name", "acme"}, {"api_keys", {"key-one"}}, {"priority", 1}}}}};
}

struct Sent {
  double at;
  std::string id;
  int version, status;
};

int Run(const std::string& folder) {
  // Their threads serve on until the process ends.
  Store& store = *new Store;
  auto& workers = *new std::vector<std::unique_ptr<PlainWorker>>;
  for (int n = 1; n <= 3; ++n)
    workers.push_back(std::make_unique<PlainWorker>(store, Ip(2, n), "app", "z" + std::to_string(n), n));
  store.Put("op/config", Configuration(1).dump());
  std::vector<std::unique_ptr<Daemon>> daemons;
  for (int n = 0; n < 9; ++n)
    daemons.push_back(std::make_unique<Daemon>(
        folder, Daemon::Options{"front-" + std::to_string(n + 1), "z" + std::to_string(n / 3 + 1), Ip(1, n + 1),
                                store.AddFront(Ip(3, n + 1)).address(), {}}));
  for (auto& it : daemons)
    if (!AwaitReady(*it, 15)) return Finish(2, it->node() + " is not ready");
  Sleep(3);

  const auto get = [](Client& client, const std::string& node, const std::string& path) {
    Sent sent{Now(), NewId(), 0, 0};
    sent.status = client.Call("GET", path, {{"Host", "h.example"}, {"X-Request-Id", sent.id}, {"X-Deadline-Ms", "4000"},
                                            {"Api-Key", "key-one"}}, "", 5).status;
    record.Line("sent %s to %s at %.3f: %s answered %d", sent.id.c_str(), node.c_str(), sent.at, path.c_str(),
                sent.status);
    return sent;
  };
  // All daemons have clients, as on any day.
  std::atomic<bool> over{false};
  std::vector<std::thread> clients;
  for (auto& daemon : daemons)
    clients.emplace_back([&, it = daemon.get()] {
      for (int i = 0; !over; ++i) {
        Client client(it->front);
        get(client, it->node(), "/same/" + std::to_string(i));
        Sleep(0.2);
      }
    });
  Sleep(2);

  // The machine that is the first to serve by version 2 is the one that is cut
  // off.
  std::mutex mutex;
  std::size_t first = daemons.size();
  std::vector<std::thread> probes;
  const double deadline = Now() + 4;
  for (std::size_t n = 0; n < daemons.size(); ++n)
    probes.emplace_back([&, n] {
      Client client(daemons[n]->front);
      while (Now() < deadline) {
        const bool serves = get(client, daemons[n]->node(), "/v2/probe").status == 200;
        const std::lock_guard lock(mutex);
        if (first < daemons.size()) return;
        if (serves) first = n;
      }
    });
  store.Put("op/config", Configuration(2).dump());
  for (auto& it : probes) it.join();
  if (first == daemons.size()) return Finish(2, "no daemon serves by version 2");
  Daemon& chosen = *daemons[first];
  const std::string node = chosen.node();
  Sleep(1);

  std::atomic<bool> is_cut{false};
  const pid_t pid = chosen.pid();
  for (auto& it : workers)
    it->is_cut = [&is_cut, pid](int port) { return is_cut && IsFrom(pid, port); };
  const double cut_at = Now();
  if (HasTrouble()) {
    record.Line("%s is cut off from the workers", node.c_str());
    is_cut = true;
  }
  Sleep(1);

  std::atomic<int> version{2};
  std::vector<Sent> sent;
  const double ends = std::min(Now() + kStormS, cut_at + kCutS - 0.4);
  for (int n = 0; n < 10; ++n)
    clients.emplace_back([&, n] {
      Client client(chosen.front);
      for (int i = 0; Now() < ends; ++i) {
        const int newest = version;
        if (newest > 2) {
          Sent it = get(client, node, "/v" + std::to_string(newest) + "/" + std::to_string(n) + "-" + std::to_string(i));
          it.version = newest;
          const std::lock_guard lock(mutex);
          sent.push_back(it);
        }
        Sleep(0.03);
      }
    });
  for (int n = 3; Now() + kGapS < ends; ++n) {
    const double at = store.Put("op/config", Configuration(n).dump());
    version = n;
    record.Line("the store took version %d at %.3f", n, at);
    Sleep(kGapS);
  }
  SleepUntil(ends);
  is_cut = false;
  over = true;
  for (auto& it : clients) it.join();

  // When a worker first saw the effect of each version by way of that machine.
  std::map<int, double> seen;
  const std::lock_guard lock(PlainWorker::runs_mutex);
  std::map<std::string, double> ran;
  for (const auto& run : PlainWorker::runs) ran[run.request] = run.at;
  int served = 0;
  for (const Sent& it : sent) {
    const auto run = ran.find(it.id);
    if (run == ran.end()) continue;
    if (it.status == 200) ++served;
    const auto [known, is_new] = seen.try_emplace(it.version, run->second);
    if (!is_new) known->second = std::min(known->second, run->second);
  }
  // What was seen of a version holds for all before it, too.
  int broken = 0;
  double latest = 0;
  for (const Sent& it : sent) {
    if (it.status != 404) continue;
    double first = 1e9;
    for (const auto& [n, at] : seen)
      if (n >= it.version) first = std::min(first, at);
    if (it.at <= first + kRollbackSlackS) continue;
    ++broken;
    latest = std::max(latest, it.at - first);
    record.Line("%s was refused with 404 on the route of version %d, sent %.3f s after a worker saw its effect",
                it.id.c_str(), it.version, it.at - first);
  }
  if (served == 0) return Finish(2, "the machine served nothing on the routes that were added");
  char text[200];
  std::snprintf(text, sizeof(text), "the machine refused %d requests with 404 later than 0.25 s (up to %.2f s) after a worker had seen the "
                "effect of the version that has the route, and served %d", broken, latest, served);
  return Finish(broken > 0 ? 1 : 0, text);
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
