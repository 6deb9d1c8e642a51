#include "scaleshed/cli/accept.h"

#include <algorithm>

namespace scaleshed {
namespace {

constexpr std::size_t kMostHistory = 16;
constexpr Duration kPause = milliseconds(250);

bool IsTransient(PlatformError error) {
  return error == PlatformError::kUnavailable ||
         error == PlatformError::kNotSent || error == PlatformError::kBudget;
}

// Reads a key; an absent one gives version zero.
PlatformResult<KeyValue> GetOrAbsent(PlatformStore& store,
                                     const std::string& key) {
  auto result = store.Get(key);
  if (ValueOf(result) == nullptr && ErrorOf(result) == PlatformError::kAbsent) {
    return KeyValue();
  }
  return result;
}

struct Head {
  ConfigurationHead head;
  std::uint64_t version = 0;
};

PlatformResult<Head> ReadHead(PlatformStore& store) {
  auto entry = GetOrAbsent(store, std::string(kHeadKey));
  const KeyValue* value = ValueOf(entry);
  if (value == nullptr) return ErrorOf(entry);
  if (value->version == 0) return Head();
  auto head = ParseHead(value->value);
  if (ValueOf(head) == nullptr) return PlatformError::kInvalid;
  return Head{.head = std::move(*ValueOf(head)), .version = value->version};
}

// Writes a key once for all. A conflict says that it is there already; after a
// lost answer the key is read back, as the write may have taken effect.
std::optional<PlatformError> WriteOnce(PlatformStore& store,
                                       const std::string& key,
                                       const std::string& text, int tries) {
  PlatformError error = PlatformError::kUnavailable;
  for (int left = tries; left > 0; --left) {
    const auto written = store.Put({.key = key, .value = text});
    if (ValueOf(written) != nullptr) return std::nullopt;
    error = ErrorOf(written);
    if (error == PlatformError::kConflict) return std::nullopt;
    if (!IsTransient(error)) return error;
    const auto read = GetOrAbsent(store, key);
    const KeyValue* entry = ValueOf(read);
    if (entry != nullptr && entry->version > 0) return std::nullopt;
    store.Pause(kPause);
  }
  return error;
}

// A document's key depends on its text, so writing it twice does no harm.
std::optional<PlatformError> WriteDocuments(PlatformStore& store,
                                            const TemplateSources& sources,
                                            const ConfigurationHead& before,
                                            ConfigurationHead& after,
                                            int tries) {
  for (const auto& [name, source] : sources) {
    const std::string key = DocumentKey(name, source.text);
    after.documents[name] = key;
    const auto known = before.documents.find(name);
    if (known != before.documents.end() && known->second == key) continue;
    const auto error = WriteOnce(store, key, source.text, tries);
    if (error) return error;
  }
  return std::nullopt;
}

bool Contains(const ConfigurationHead& head, const std::string& change) {
  return head.change == change ||
         std::find(head.history.begin(), head.history.end(), change) !=
             head.history.end();
}

// What the head says of a change that was written at `expected`: accepted, or
// overtaken by another one. Nothing where it is still open, or can't be read.
std::optional<AcceptResult> Settle(PlatformStore& store, std::uint64_t expected,
                                   const ConfigurationHead& after) {
  const auto read = ReadHead(store);
  const Head* now = ValueOf(read);
  if (now == nullptr) return std::nullopt;
  if (Contains(now->head, after.change)) {
    return Accepted{.revision = after.revision};
  }
  if (now->version == expected) return std::nullopt;
  return AcceptConflict{.revision = now->head.revision,
                        .operator_name = now->head.operator_name};
}

// Moves the head, and settles whether it was moved.
AcceptResult MoveHead(PlatformStore& store, const Head& before,
                      const ConfigurationHead& after, int tries) {
  const KeyWrite write{.key = std::string(kHeadKey),
                       .value = HeadJson(after),
                       .expected = before.version};
  // Whether some try may have taken effect without our knowing.
  bool in_doubt = false;
  PlatformError last = PlatformError::kUnavailable;
  for (int left = tries; left > 0; --left) {
    const auto result = store.Put(write);
    if (ValueOf(result) != nullptr) return Accepted{.revision = after.revision};
    last = ErrorOf(result);
    in_doubt = in_doubt || last == PlatformError::kUnavailable ||
               last == PlatformError::kConflict;
    if (auto settled = Settle(store, before.version, after)) return *settled;
    store.Pause(kPause);
  }
  if (in_doubt) return AcceptUnknown{.error = last};
  return AcceptUnavailable{.error = last};
}

}  // namespace

PlatformResult<StoredConfiguration> ReadStored(PlatformStore& store) {
  auto read = ReadHead(store);
  Head* head = ValueOf(read);
  if (head == nullptr) return ErrorOf(read);
  StoredConfiguration stored{.head = std::move(head->head),
                             .head_version = head->version,
                             .documents = {}};
  for (const auto& [name, key] : stored.head.documents) {
    auto entry = store.Get(key);
    if (ValueOf(entry) == nullptr) return ErrorOf(entry);
    stored.documents[name] = std::move(ValueOf(entry)->value);
  }
  return stored;
}

std::map<std::string, DocumentChange> CompareDocuments(
    const std::map<std::string, std::string>& stored,
    const TemplateSources& sources) {
  std::map<std::string, DocumentChange> changes;
  for (const auto& [name, source] : sources) {
    const auto it = stored.find(name);
    if (it == stored.end()) {
      changes[name] = DocumentChange::kAdded;
    } else if (it->second != source.text) {
      changes[name] = DocumentChange::kChanged;
    }
  }
  for (const auto& [name, text] : stored) {
    if (!sources.contains(name)) changes[name] = DocumentChange::kRemoved;
  }
  return changes;
}

AcceptResult Accept(PlatformStore& store, const TemplateSources& sources,
                    const AcceptOptions& options) {
  const auto read = ReadHead(store);
  const Head* before = ValueOf(read);
  if (before == nullptr) return AcceptUnavailable{.error = ErrorOf(read)};
  if (before->head.revision != options.base_revision) {
    return AcceptConflict{.revision = before->head.revision,
                          .operator_name = before->head.operator_name};
  }
  ConfigurationHead after{
      .revision = std::max(before->head.revision, options.at_least_after) + 1,
      .change = options.change,
      .operator_name = options.operator_name,
      .history = before->head.history,
      .documents = {}};
  if (!before->head.change.empty()) {
    after.history.insert(after.history.begin(), before->head.change);
  }
  if (after.history.size() > kMostHistory) after.history.resize(kMostHistory);
  const auto error =
      WriteDocuments(store, sources, before->head, after, options.tries);
  if (error) return AcceptUnavailable{.error = *error};
  const bool same = after.documents == before->head.documents &&
                    before->head.revision >= options.at_least_after;
  if (same) return Unchanged{.revision = before->head.revision};
  return MoveHead(store, *before, after, options.tries);
}

}  // namespace scaleshed
