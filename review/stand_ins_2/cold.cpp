// A daemon that is cut off from the workers doesn't notice while one of two has
// just been replaced and is cold: review/8.
#include "bench.hpp"

using namespace st;

namespace {

constexpr double kContactS = 4.0;  // contact_ms
constexpr double kCutS = 12.0;     // a machine is partitioned from all workers
constexpr double kColdS = 20.0;    // cold_start_s

Json Configuration() {
  return {{"version", 1},
          {"routes", {PlainRoute("r1", "/hours/", "unsafe", "app"), PlainRoute("r2", "/status/", "safe", "app")}},
          {"services",
           {{{"name", "app"}, {"health_path", "/health"}, {"max_conns", 560}, {"protocol", "h1"}, {"tls", false},
             {"cold_start_s", kColdS}, {"cold_per_s", 26.0}}}},
          {"limits", Limits()},
          {"tenants", {{{"name", "acme"}, {"api_keys", {"key-one"}}, {"priority", 1}}}}};
}

struct Sent {
  double at;
  std::size_t daemon;
  int status;
};

int Run(const std::string& folder) {
  // COLD=0 does the same with workers that are warm from their start.
  const char* cold = std::getenv("COLD");
  const double cold_s = cold != nullptr && std::string(cold) == "0" ? 0 : kColdS;
  // Their threads serve on until the process ends.
  Store& store = *new Store;
  auto& workers = *new std::vector<std::unique_ptr<PlainWorker>>;
  for (int n = 1; n <= 2; ++n)
    workers.push_back(std::make_unique<PlainWorker>(store, Ip(2, n), "app", "z" + std::to_string(n), n));
  store.Put("op/config", Configuration().dump());
  std::vector<std::unique_ptr<Daemon>> daemons;
  for (int n = 0; n < 6; ++n)
    daemons.push_back(std::make_unique<Daemon>(
        folder, Daemon::Options{"front-" + std::to_string(n + 1), "z" + std::to_string(n / 2 + 1), Ip(1, n + 1),
                                store.AddFront(Ip(3, n + 1)).address(),
                                {{"config_ms", "3000"}, {"drain_ms", "3000"}, {"evacuate_ms", "5000"},
                                 {"cold_overage", "1.5"}, {"cold_slack", "5"}, {"budget_slack", "244"}}}));
  for (auto& it : daemons)
    if (!AwaitReady(*it, 15)) return Finish(2, it->node() + " is not ready");
  Sleep(4);

  // The clients of each machine: six first tries a second.
  std::atomic<bool> over{false};
  std::mutex mutex;
  std::vector<Sent> sent;
  std::vector<std::thread> clients;
  for (std::size_t n = 0; n < daemons.size(); ++n)
    for (int c = 0; c < 6; ++c)
      clients.emplace_back([&, n, c] {
        Sleep(c / 6.0);
        for (int i = 0; !over; ++i) {
          const std::string id = NewId();
          const double at = Now();
          const bool posts = (i + c) % 2 == 0;
          const Reply reply = Client(daemons[n]->front)
                                  .Call(posts ? "POST" : "GET", posts ? "/hours/1" : "/status/1",
                                        {{"Host", "h.example"}, {"X-Request-Id", id}, {"X-Deadline-Ms", "1500"},
                                         {"Api-Key", "key-one"}},
                                        posts ? "entry " + id : "", 3);
          record.Line("sent %s to front-%zu at %.3f: %d", id.c_str(), n + 1, at, reply.status);
          {
            const std::lock_guard lock(mutex);
            sent.push_back({at, n, reply.status});
          }
          SleepUntil(at + 1);
        }
      });

  // One of the two workers is replaced; the new one starts first.
  Sleep(2);
  record.Line("a worker is replaced");
  workers.push_back(std::make_unique<PlainWorker>(store, Ip(2, 3), "app", "z1", 3, cold_s));
  workers[0]->Tell("draining");
  Sleep(4);
  workers[0]->Leave();
  Sleep(1);

  std::atomic<bool> is_cut{false};
  const pid_t pid = daemons[0]->pid();
  for (auto& it : workers)
    it->is_cut = [&is_cut, pid](int port) { return is_cut && IsFrom(pid, port); };
  const double cut_at = Now();
  if (HasTrouble()) {
    record.Line("front-1 is partitioned from all workers");
    is_cut = true;
  }
  SleepUntil(cut_at + kCutS);
  is_cut = false;
  over = true;
  for (auto& it : clients) it.join();

  double tries = 0, served = 0, other_tries = 0, other_served = 0;
  for (const Sent& it : sent) {
    if (it.at < cut_at + kContactS || it.at > cut_at + kCutS - 0.5) continue;
    (it.daemon == 0 ? tries : other_tries) += 1;
    if (it.status == 200) (it.daemon == 0 ? served : other_served) += 1;
  }
  if (tries < 20 || other_tries < 100) return Finish(2, "too few requests");
  char text[200];
  std::snprintf(text, sizeof(text), "the machine that is partitioned from all workers served %.0f of %.0f first tries, the others %.0f of %.0f",
                served, tries, other_served, other_tries);
  const bool broken = served / tries < 2.0 / 3 * (other_served / other_tries) &&
                      tries - served > 10 + (tries + other_tries) / 50;
  return Finish(broken ? 1 : 0, text);
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
