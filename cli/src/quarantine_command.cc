// scaleshed quarantine: requests and prompt parts under which backend servers
// ended, as the platform's store holds them, and their release.

#include <absl/flags/flag.h>

#include <algorithm>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

#include "internal/commands.h"
#include "scaleshed/cli/sync.h"
#include "scaleshed/platform/store_client.h"
#include "scaleshed/runtime/event_loop.h"
#include "scaleshed/serving/quarantine.h"

ABSL_FLAG(std::string, store, "", "ip:port of the platform's key-value store");

namespace scaleshed::internal {
namespace {

using platform::StoreClient;
using platform::StoreError;
using platform::StoreResult;
using serving::StoredCrashes;

template <typename T>
StoreResult<T> AskStore(
    const std::function<void(StoreClient&, StoreClient::Done<T>)>& call) {
  EventLoop loop;
  StoreClient client(loop, {.address = absl::GetFlag(FLAGS_store)});
  return Await<StoreResult<T>>(
      loop, [&](auto done) { call(client, std::move(done)); });
}

ExitCode Failed(StoreError error) {
  std::cerr << "scaleshed: the store: "
            << NameIn(platform::kStoreErrorNames, error) << "\n";
  return error == StoreError::kConflict ? ExitCode::kConflict
                                        : ExitCode::kFailed;
}

std::string NameOf(const StoredCrashes& endings) {
  return serving::FingerprintText(endings.fingerprint);
}

std::vector<StoredCrashes> EndingsIn(const platform::StoredItems& items) {
  std::vector<StoredCrashes> endings;
  for (const auto& it : items.items) {
    const auto* found = std::get_if<platform::StoredEndingsItem>(&it);
    if (found != nullptr) endings.push_back(found->endings);
  }
  return endings;
}

std::string_view KindOf(const StoredCrashes& endings) {
  return NameIn(serving::kSuspectKindNames, endings.kind);
}

// Whether daemons that read this entry hold requests for it.
bool IsHeld(const StoredCrashes& endings) {
  serving::Quarantine quarantine({.kind = endings.kind});
  quarantine.ApplyStored(endings, Time{});
  return quarantine.IsQuarantined(endings.fingerprint);
}

void Print(const std::vector<StoredCrashes>& endings) {
  nlohmann::json all = nlohmann::json::array();
  for (const StoredCrashes& it : endings) {
    if (!WantsJson()) {
      std::cout << NameOf(it) << "  " << KindOf(it) << "  "
                << it.incarnations.size() << " ended  "
                << (IsHeld(it) ? "held" : "watched") << "\n";
    }
    all.push_back({{"content", NameOf(it)},
                   {"kind", KindOf(it)},
                   {"ended", it.incarnations.size()},
                   {"held", IsHeld(it)}});
  }
  if (WantsJson()) std::cout << all.dump(2) << "\n";
}

ExitCode Release(const std::vector<StoredCrashes>& known,
                 const std::string& name) {
  const auto found =
      std::find_if(known.begin(), known.end(),
                   [&](const auto& it) { return NameOf(it) == name; });
  if (found == known.end()) {
    std::cerr << "scaleshed: no entry for " << name << "\n";
    return ExitCode::kInvalid;
  }
  const StoredCrashes none{.fingerprint = found->fingerprint,
                           .incarnations = {},
                           .kind = found->kind,
                           .revision = found->revision};
  const auto done = AskStore<platform::Unchanged>([&](auto& client, auto tell) {
    client.WriteEndings({none}, std::move(tell));
  });
  if (ValueOf(done) == nullptr) return Failed(ErrorOf(done));
  std::cout << "released " << name << "\n";
  return ExitCode::kOk;
}

}  // namespace

ExitCode RunQuarantine(const Arguments& arguments) {
  const auto listed = AskStore<platform::StoredItems>(
      [](auto& client, auto tell) { client.ListAll(std::move(tell)); });
  if (ValueOf(listed) == nullptr) return Failed(ErrorOf(listed));
  const auto known = EndingsIn(*ValueOf(listed));
  if (arguments.empty()) {
    Print(known);
    return ExitCode::kOk;
  }
  for (const auto& it : arguments) {
    const ExitCode code = Release(known, it);
    if (code != ExitCode::kOk) return code;
  }
  return ExitCode::kOk;
}

}  // namespace scaleshed::internal
