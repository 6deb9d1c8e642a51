#ifndef SCALESHED_WIRE_PLATFORM_JSON_H_
#define SCALESHED_WIRE_PLATFORM_JSON_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "scaleshed/core/result.h"
#include "scaleshed/core/types.h"
#include "scaleshed/wire/errors.h"

namespace scaleshed {

// The platform's key-value service and list of instances (docs/PLATFORM.md).

// One key. Version zero means that the key is absent.
struct KeyValue {
  std::string value;
  std::uint64_t version = 0;
};

std::string KeyValueJson(const KeyValue& entry);
Result<KeyValue, WireError> ParseKeyValue(std::string_view text);

// A write that takes effect only at version `expected`.
struct KeyWrite {
  std::string key;
  std::string value;
  std::uint64_t expected = 0;
  // Zero: until it is overwritten.
  Duration lifetime{};
};

std::string KeyWriteJson(const KeyWrite& write);
Result<KeyWrite, WireError> ParseKeyWrite(std::string_view text);

std::string InstancesJson(const std::vector<Instance>& instances);
Result<std::vector<Instance>, WireError> ParseInstances(std::string_view text);

// The one value that says which templates are in force.
struct ConfigurationHead {
  std::uint64_t revision = 0;
  // Made anew for each accept, so that a writer whose answer was lost can find
  // out whether the write took effect.
  std::string change;
  std::string operator_name;
  // The changes before this one, the latest first: a writer whose answer was
  // lost finds its change here even after another one has come.
  std::vector<std::string> history;
  // Document name to the key of its text.
  std::map<std::string, std::string> documents;
};

inline constexpr std::string_view kHeadKey = "config/head";
// The key of a document's text. It depends on the text, so that writing it
// twice does no harm.
std::string DocumentKey(const std::string& name, const std::string& text);
// The key of the ids that a stopped incarnation left.
std::string FinishedIdsKey(const Incarnation& home);

std::string HeadJson(const ConfigurationHead& head);
Result<ConfigurationHead, WireError> ParseHead(std::string_view text);

// A whole configuration in one value, as one daemon gives it to another.
struct ConfigurationBundle {
  std::uint64_t revision = 0;
  std::map<std::string, std::string> documents;  // name to text
};

std::string BundleJson(const ConfigurationBundle& bundle);
Result<ConfigurationBundle, WireError> ParseBundle(std::string_view text);

std::string FinishedIdsJson(const std::map<std::string, Outcome>& ids);
Result<std::map<std::string, Outcome>, WireError> ParseFinishedIds(
    std::string_view text);

}  // namespace scaleshed

#endif  // SCALESHED_WIRE_PLATFORM_JSON_H_
