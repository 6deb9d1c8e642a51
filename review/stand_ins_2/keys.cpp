// Keys are taken away from connected clients until none is left: review/4.
#include "bench.hpp"

using namespace st;

namespace {

constexpr double kRevokeS = 5.0;  // revoke_ms
constexpr double kGapS = 1.5;     // between two keys that are taken away

Json Configuration(int version, const std::vector<std::string>& keys) {
  Json tenants = Json::array();
  if (!keys.empty()) tenants.push_back({{"name", "acme"}, {"api_keys", keys}, {"priority", 1}});
  return {{"version", version},
          {"routes", {PlainRoute("r1", "/hours/", "unsafe", "app")}},
          {"services", {{{"name", "app"}, {"health_path", "/health"}, {"max_conns", 110}, {"protocol", "h1"}, {"tls", false}}}},
          {"limits", Limits()},
          {"tenants", tenants}};
}

struct Sent {
  double at;
  std::string id, key;
  int status;
};

int Run(const std::string& folder) {
  // Its threads serve on until the process ends.
  Store& store = *new Store;
  auto& workers = *new std::vector<std::unique_ptr<PlainWorker>>;
  for (int n = 1; n <= 3; ++n)
    workers.push_back(std::make_unique<PlainWorker>(store, Ip(2, n), "app", "z" + std::to_string(n), n));
  store.Put("op/config", Configuration(1, {"key-one", "key-two"}).dump());
  std::vector<std::unique_ptr<Daemon>> daemons;
  for (int n = 1; n <= 3; ++n) {
    const std::string ip = Ip(1, n);
    daemons.push_back(std::make_unique<Daemon>(
        folder, Daemon::Options{"front-" + std::to_string(n), "z" + std::to_string(n), ip,
                                store.AddFront(Ip(3, n)).address(), {}}));
  }
  for (auto& it : daemons)
    if (!AwaitReady(*it, 15)) return Finish(2, it->node() + " is not ready");

  std::vector<Sent> sent;
  const auto post = [&](Daemon& to, const std::string& key) {
    const std::string id = NewId();
    const double at = Now();
    const Reply reply = Client(to.front).Call(
        "POST", "/hours/1",
        {{"Host", "h.example"}, {"X-Request-Id", id}, {"X-Deadline-Ms", "4000"}, {"Api-Key", key}}, "entry", 5);
    record.Line("sent %s to %s with %s at %.3f: %d", id.c_str(), to.node().c_str(), key.c_str(), at, reply.status);
    sent.push_back({at, id, key, reply.status});
  };
  const auto post_to_all = [&](const std::string& key) {
    for (auto& it : daemons) post(*it, key);
  };
  // Both keys count, and none other.
  for (const char* key : {"key-one", "key-two", "never-held"}) post_to_all(key);
  double gone_one = 1e9, gone_two = 1e9;
  if (HasTrouble()) {
    gone_one = store.Put("op/config", Configuration(2, {"key-two"}).dump());
    record.Line("the store took version 2 without key-one");
    Sleep(kGapS);
    gone_two = store.Put("op/config", Configuration(3, {}).dump());
    record.Line("the store took version 3 without key-two");
  }
  Sleep(kRevokeS + 1);
  for (int round = 0; round < 3; ++round) {
    for (const char* key : {"key-one", "key-two", "never-held"}) post_to_all(key);
    Sleep(0.5);
  }
  int late = 0, strange = 0, known = 0;
  const std::lock_guard lock(PlainWorker::runs_mutex);
  for (const Sent& it : sent) {
    const bool ran = std::any_of(PlainWorker::runs.begin(), PlainWorker::runs.end(),
                                 [&](const auto& run) { return run.request == it.id; });
    if (!ran) continue;
    const double gone = it.key == "key-one" ? gone_one : it.key == "key-two" ? gone_two : 1e9;
    if (it.key == "never-held") {
      ++strange;
    } else if (it.at > gone + kRevokeS) {
      ++late;
    } else {
      ++known;
    }
  }
  if (known == 0) return Finish(2, "no request with a key that counts was run");
  if (late + strange > 0)
    return Finish(1, std::to_string(late) + " requests ran with a key that had been taken away over 5 s before, and " +
                         std::to_string(strange) + " with a key that no configuration ever held");
  return Finish(0, "only requests with a key that counts ran (" + std::to_string(known) + ")");
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
