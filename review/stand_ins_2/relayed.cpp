// A daemon that is cut off from the workers hands requests to daemons that know
// an older configuration than it does: review/5.
#include "bench.hpp"

using namespace st;

namespace {

constexpr double kRollbackSlackS = 0.25;  // rollback_slack_ms
constexpr double kTurnedAwayS = 9.0;      // the store turns some machines away
constexpr double kCutS = 5.5;             // a single machine is cut off

// In version 2 the unsafe route /moved/ has gone from `old` to `app`, and
// /added/ is new.
Json Configuration(int version) {
  Json routes{PlainRoute("r1", "/same/", "safe", "app"),
              PlainRoute("r2", "/moved/", "unsafe", version == 1 ? "old" : "app")};
  if (version == 2) routes.push_back(PlainRoute("r3", "/added/", "safe", "app"));
  Json services = Json::array();
  for (const char* name : {"app", "old"})
    services.push_back({{"name", name}, {"health_path", "/health"}, {"max_conns", 110}, {"protocol", "h1"}, {"tls", false}});
  return {{"version", version}, {"routes", routes}, {"services", services}, {"limits", Limits()},
          {"tenants", {{{"name", "acme"}, {"api_keys", {"key-one"}}, {"priority", 1}}}}};
}

struct Sent {
  double at;
  std::string id, path;
  int status;
};

int Run(const std::string& folder) {
  // Their threads serve on until the process ends.
  Store& store = *new Store;
  auto& workers = *new std::vector<std::unique_ptr<PlainWorker>>;
  for (int n = 1; n <= 3; ++n) {
    workers.push_back(std::make_unique<PlainWorker>(store, Ip(2, n), "app", "z" + std::to_string(n), n));
    workers.push_back(std::make_unique<PlainWorker>(store, Ip(2, 10 + n), "old", "z" + std::to_string(n), n));
  }
  store.Put("op/config", Configuration(1).dump());
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::vector<Store::Front*> fronts;
  for (int n = 0; n < 6; ++n) {
    fronts.push_back(&store.AddFront(Ip(3, n + 1)));
    daemons.push_back(std::make_unique<Daemon>(
        folder, Daemon::Options{"front-" + std::to_string(n + 1), "z" + std::to_string(n / 2 + 1), Ip(1, n + 1),
                                fronts.back()->address(), {}}));
  }
  for (auto& it : daemons)
    if (!AwaitReady(*it, 15)) return Finish(2, it->node() + " is not ready");
  Sleep(3);

  const auto get = [](Client& client, const std::string& node, const std::string& path) {
    const Sent sent{Now(), NewId(), path, 0};
    const bool posts = path.starts_with("/moved/");
    const Reply reply = client.Call(
        posts ? "POST" : "GET", path,
        {{"Host", "h.example"}, {"X-Request-Id", sent.id}, {"X-Deadline-Ms", "4000"}, {"Api-Key", "key-one"}},
        posts ? "entry" : "", 5);
    record.Line("sent %s to %s at %.3f: %s answered %d", sent.id.c_str(), node.c_str(), sent.at, path.c_str(),
                reply.status);
    Sent done = sent;
    done.status = reply.status;
    return done;
  };
  // The others' clients, as on any day.
  std::atomic<bool> over{false};
  std::vector<std::thread> others;
  for (std::size_t n = 1; n < daemons.size(); ++n)
    others.emplace_back([&, n] {
      for (int i = 0; !over; ++i) {
        Client client(daemons[n]->front);
        get(client, daemons[n]->node(), "/same/" + std::to_string(n) + "-" + std::to_string(i));
        Sleep(0.2);
      }
    });
  Sleep(2);

  // The machines of the third zone, a third of all, are turned away.
  const double began = Now();
  if (HasTrouble()) {
    record.Line("the store turns front-5 and front-6 away");
    fronts[4]->mode = fronts[5]->mode = Store::kTurnAway;
    store.Wake();
  }
  Sleep(0.3);
  const double acknowledged = store.Put("op/config", Configuration(2).dump());
  record.Line("the store took version 2 at %.3f", acknowledged);

  // A worker sees the effect of version 2 by way of front-1.
  const std::string node = daemons[0]->node();
  double seen = 0;
  for (int i = 0; i < 30 && seen == 0; ++i) {
    Client client(daemons[0]->front);
    const Sent it = get(client, node, "/added/first-" + std::to_string(i));
    const std::lock_guard lock(PlainWorker::runs_mutex);
    for (const auto& run : PlainWorker::runs)
      if (run.request == it.id) seen = run.at;
    if (seen == 0) std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  std::vector<Sent> sent;
  std::atomic<bool> is_cut{false};
  const pid_t pid = daemons[0]->pid();
  for (auto& it : workers)
    it->is_cut = [&is_cut, pid](int port) { return is_cut && IsFrom(pid, port); };
  if (seen > 0) {
    record.Line("a worker saw the effect of version 2 at %.3f by way of %s", seen, node.c_str());
    SleepUntil(seen + kRollbackSlackS + 0.1);
    const double cut_at = Now();
    if (HasTrouble()) {
      record.Line("%s is cut off from the workers", node.c_str());
      is_cut = true;
    }
    std::mutex mutex;
    std::vector<std::thread> clients;
    for (int n = 0; n < 4; ++n)
      clients.emplace_back([&, n] {
        Client client(daemons[0]->front);
        while (Now() < std::min(cut_at + kCutS - 0.5, began + kTurnedAwayS - 1)) {
          const std::string name = std::to_string(n) + "-" + std::to_string(static_cast<int>(Now() * 1000));
          for (const char* route : {"/added/", "/moved/"}) {
            const Sent it = get(client, node, route + name);
            const std::lock_guard lock(mutex);
            sent.push_back(it);
          }
          Sleep(0.15);
        }
      });
    for (auto& it : clients) it.join();
    is_cut = false;
  }
  over = true;
  for (auto& it : others) it.join();
  if (seen == 0) return Finish(2, "front-1 never served by version 2");

  int refused = 0, by_old = 0, served = 0;
  const std::lock_guard lock(PlainWorker::runs_mutex);
  for (const Sent& it : sent) {
    if (it.at < seen + kRollbackSlackS) continue;
    const bool ran_at_old = std::any_of(PlainWorker::runs.begin(), PlainWorker::runs.end(), [&](const auto& run) {
      return run.request == it.id && run.service == "old";
    });
    if (ran_at_old) {
      ++by_old;
      record.Line("%s of %s ran at the old service", it.id.c_str(), it.path.c_str());
    }
    if (it.status == 404 || it.status == 401 || it.status == 403) {
      ++refused;
      record.Line("%s of %s was refused with %d", it.id.c_str(), it.path.c_str(), it.status);
    }
    if (it.status == 200) ++served;
  }
  if (refused + by_old > 0)
    return Finish(1, "front-1, which had served by version 2, refused " + std::to_string(refused) +
                         " requests as if the route were not there and had " + std::to_string(by_old) +
                         " run by the old service (" + std::to_string(served) + " served)");
  if (served == 0) return Finish(2, "front-1 served nothing");
  return Finish(0, "all " + std::to_string(served) + " served requests were handled by version 2");
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
