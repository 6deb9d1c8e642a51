// scaleshed evacuations: the data centres whose evacuation the operators
// request, as the platform's store holds them, and the servers of each data
// centre.

#include <absl/flags/declare.h>
#include <absl/flags/flag.h>

#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "internal/commands.h"
#include "scaleshed/cli/sync.h"
#include "scaleshed/platform/store_client.h"
#include "scaleshed/runtime/event_loop.h"

ABSL_DECLARE_FLAG(std::string, store);

namespace scaleshed::internal {
namespace {

using platform::StoredItems;
using platform::StoreResult;

struct DataCentre {
  bool evacuated = false;
  std::uint64_t revision = 0;        // of the request
  std::string fault;                 // of its value
  std::vector<std::string> servers;  // by instance id
};

std::map<std::string, DataCentre> DataCentresIn(const StoredItems& items) {
  std::map<std::string, DataCentre> found;
  for (const auto& it : items.items) {
    if (const auto* stored = std::get_if<platform::StoredEvacuationItem>(&it)) {
      DataCentre& data_centre = found[stored->evacuation.data_centre];
      data_centre.evacuated = stored->evacuation.in_force;
      data_centre.revision = stored->evacuation.revision.number;
      data_centre.fault = stored->fault;
    }
    if (const auto* stored = std::get_if<platform::StoredBackend>(&it)) {
      const auto& server = stored->backend;
      if (server.entry_error.empty())
        found[server.data_centre].servers.push_back(server.id);
    }
  }
  return found;
}

void PrintText(const std::string& name, const DataCentre& it) {
  std::cout << (name.empty() ? "(unknown)" : name) << "  "
            << (it.evacuated ? "evacuated" : "open") << "  "
            << it.servers.size() << " servers";
  if (it.evacuated) std::cout << "  revision " << it.revision;
  if (!it.fault.empty()) std::cout << "  " << it.fault;
  std::cout << "\n";
  for (const std::string& server : it.servers)
    std::cout << "  " << server << "\n";
}

void Print(const std::map<std::string, DataCentre>& data_centres) {
  nlohmann::json all = nlohmann::json::array();
  for (const auto& [name, it] : data_centres) {
    if (!WantsJson()) PrintText(name, it);
    all.push_back({{"data_centre", name},
                   {"evacuated", it.evacuated},
                   {"revision", it.revision},
                   {"fault", it.fault},
                   {"servers", it.servers}});
  }
  if (WantsJson()) std::cout << all.dump(2) << "\n";
}

}  // namespace

ExitCode RunEvacuations(const Arguments& arguments) {
  if (!arguments.empty()) {
    std::cerr << "scaleshed: evacuations takes no arguments\n";
    return ExitCode::kInvalid;
  }
  EventLoop loop;
  platform::StoreClient client(loop, {.address = absl::GetFlag(FLAGS_store)});
  const auto listed = Await<StoreResult<StoredItems>>(
      loop, [&](auto done) { client.ListAll(std::move(done)); });
  const StoredItems* items = ValueOf(listed);
  if (items == nullptr) {
    std::cerr << "scaleshed: the store: "
              << NameIn(platform::kStoreErrorNames, ErrorOf(listed)) << "\n";
    return ExitCode::kFailed;
  }
  for (const auto& it : items->items) {
    const auto* found = std::get_if<platform::Unreadable>(&it);
    if (found != nullptr && found->requests_evacuation)
      std::cerr << "scaleshed: " << found->key << ": " << found->fault << "\n";
  }
  Print(DataCentresIn(*items));
  return ExitCode::kOk;
}

}  // namespace scaleshed::internal
