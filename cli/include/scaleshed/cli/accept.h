#ifndef SCALESHED_CLI_ACCEPT_H_
#define SCALESHED_CLI_ACCEPT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "scaleshed/config/templates.h"
#include "scaleshed/runtime/platform_client.h"

namespace scaleshed {

// What stands at the platform.
struct StoredConfiguration {
  ConfigurationHead head;
  std::uint64_t head_version = 0;
  std::map<std::string, std::string> documents;  // name to text
};

// The synchronous calls that the command line makes of the platform. An
// interface, so that tests can lose answers at any point.
class PlatformStore {
 public:
  virtual ~PlatformStore() = default;
  virtual PlatformResult<KeyValue> Get(const std::string& key) = 0;
  virtual PlatformResult<std::uint64_t> Put(const KeyWrite& write) = 0;
  // Waits before a try is repeated.
  virtual void Pause(Duration duration) = 0;
};

// Reads the head and all documents. An empty configuration, at revision zero,
// where nothing was accepted yet.
PlatformResult<StoredConfiguration> ReadStored(PlatformStore& store);

enum class DocumentChange { kAdded, kRemoved, kChanged };
inline constexpr NameTable<DocumentChange, 3> kDocumentChangeNames{{
    {DocumentChange::kAdded, "added"},
    {DocumentChange::kRemoved, "removed"},
    {DocumentChange::kChanged, "changed"},
}};

std::map<std::string, DocumentChange> CompareDocuments(
    const std::map<std::string, std::string>& stored,
    const TemplateSources& sources);

struct AcceptOptions {
  // The revision that the operator's edit is based on; zero for none.
  std::uint64_t base_revision = 0;
  // No revision up to this one is used, as daemons may have it in force even
  // if the platform has lost it.
  std::uint64_t at_least_after = 0;
  std::string operator_name;
  // Identifies this change; has to be new each time.
  std::string change;
  int tries = 20;
};

// The change is the head, or was it before a later change.
struct Accepted {
  std::uint64_t revision = 0;
};
struct Unchanged {
  std::uint64_t revision = 0;
};
// Somebody else's change came first; nothing of this one is in force.
struct AcceptConflict {
  std::uint64_t revision = 0;
  std::string operator_name;
};
// The platform could not be asked whether the change took effect.
struct AcceptUnknown {
  PlatformError error = PlatformError::kUnavailable;
};
// The platform can't be reached; nothing was changed.
struct AcceptUnavailable {
  PlatformError error = PlatformError::kUnavailable;
};
using AcceptResult = std::variant<Accepted, Unchanged, AcceptConflict,
                                  AcceptUnknown, AcceptUnavailable>;

// Writes the documents, then moves the head by compare-and-swap. After a lost
// answer the same write is tried again, which can't take effect twice, and the
// head is read back until it is known whether the change is in force.
AcceptResult Accept(PlatformStore& store, const TemplateSources& sources,
                    const AcceptOptions& options);

}  // namespace scaleshed

#endif  // SCALESHED_CLI_ACCEPT_H_
