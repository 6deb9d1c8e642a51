#include "internal/configuration_watcher.h"

#include <random>
#include <set>
#include <utility>

#include "scaleshed/config/templates.h"
#include "scaleshed/core/retry.h"
#include "scaleshed/runtime/log.h"

namespace scaleshed {
namespace {

constexpr int kOk = 200;
constexpr Duration kPeerTimeout = seconds(1);

std::mt19937_64& Random() {
  static std::mt19937_64 random{std::random_device{}()};
  return random;
}

}  // namespace

ConfigurationWatcher::ConfigurationWatcher(EventLoop& loop,
                                           PlatformClient& platform,
                                           Loaded loaded, Peers peers)
    : loop_(loop),
      platform_(platform),
      http_(loop),
      loaded_(std::move(loaded)),
      peers_(std::move(peers)),
      retry_(loop, [this] { Watch(); }) {}

void ConfigurationWatcher::Watch() {
  const auto on_head = [this](const PlatformResult<KeyValue>& result) {
    OnHead(result);
  };
  // The first look is a plain read: a watch on an absent key would wait.
  if (has_head_) {
    platform_.Watch(std::string(kHeadKey), head_version_, on_head);
  } else {
    platform_.Get(std::string(kHeadKey), on_head);
  }
}

void ConfigurationWatcher::WatchAgain(Duration delay) { retry_.Once(delay); }

void ConfigurationWatcher::OnHead(const PlatformResult<KeyValue>& result) {
  const KeyValue* entry = ValueOf(result);
  if (entry == nullptr) {
    if (ErrorOf(result) == PlatformError::kAbsent) {
      // Nothing was ever accepted; the watch tells when it is.
      has_head_ = true;
      head_version_ = 0;
    }
    WatchAgain(Backoff(++failures_, Random()));
    return;
  }
  failures_ = 0;
  const bool changed = !has_head_ || entry->version != head_version_;
  has_head_ = true;
  head_version_ = entry->version;
  auto head = ParseHead(entry->value);
  auto* value = ValueOf(head);
  if (value == nullptr) {
    if (!entry->value.empty()) {
      LogWarn("configuration_head_invalid",
              {{"error", ToString(ErrorOf(head))}});
    }
    WatchAgain(milliseconds(200));
    return;
  }
  if (!changed || value->revision <= in_force_.revision) {
    WatchAgain(milliseconds(1));
    return;
  }
  FetchDocuments(std::move(*value));
}

void ConfigurationWatcher::FetchDocuments(ConfigurationHead head) {
  fetching_ = std::move(head);
  FetchNext();
}

void ConfigurationWatcher::FetchNext() {
  for (const auto& [name, key] : fetching_->documents) {
    if (texts_.contains(key)) continue;
    platform_.Get(key,
                  [this, key = key](const PlatformResult<KeyValue>& result) {
                    const KeyValue* entry = ValueOf(result);
                    if (entry == nullptr) {
                      // Begin again from the head: it may have moved meanwhile.
                      has_head_ = false;
                      WatchAgain(Backoff(++failures_, Random()));
                      return;
                    }
                    texts_[key] = entry->value;
                    FetchNext();
                  });
    return;
  }
  Complete();
}

void ConfigurationWatcher::Complete() {
  ConfigurationBundle bundle{.revision = fetching_->revision, .documents = {}};
  std::set<std::string> used;
  for (const auto& [name, key] : fetching_->documents) {
    bundle.documents[name] = texts_.at(key);
    used.insert(key);
  }
  std::erase_if(texts_,
                [&](const auto& it) { return !used.contains(it.first); });
  fetching_.reset();
  Apply(std::move(bundle));
  WatchAgain(milliseconds(1));
}

void ConfigurationWatcher::Apply(ConfigurationBundle bundle) {
  if (bundle.revision <= in_force_.revision) return;
  TemplateSources sources;
  for (const auto& [name, text] : bundle.documents) {
    sources[name] = TemplateSource{.file = name, .text = text};
  }
  auto built = BuildConfiguration(sources, bundle.revision);
  auto* configuration = ValueOf(built);
  if (configuration == nullptr) {
    // `accept` checks first; only another version of the program gets here.
    LogWarn("configuration_invalid", {{"errors", ToString(ErrorOf(built))}});
    return;
  }
  in_force_ = std::move(bundle);
  loaded_(std::move(*configuration));
}

void ConfigurationWatcher::Fetch(std::uint64_t revision) {
  if (revision <= in_force_.revision) return;
  std::vector<std::string> peers = peers_();
  if (peers.empty()) return;
  std::uniform_int_distribution<std::size_t> pick(0, peers.size() - 1);
  HttpCall call{.address = peers[pick(Random())],
                .method = "GET",
                .path = "/v1/configuration",
                .timeout = kPeerTimeout,
                .max_body_bytes = kMaxDocumentBytes,
                .on_chunk = {},
                .on_done = {}};
  call.on_done = [this](const HttpResult& result) {
    const HttpResponse* response = ValueOf(result);
    if (response == nullptr || response->status != kOk) return;
    auto bundle = ParseBundle(response->body);
    if (auto* value = ValueOf(bundle)) Apply(std::move(*value));
  };
  http_.Start(std::move(call));
}

}  // namespace scaleshed
