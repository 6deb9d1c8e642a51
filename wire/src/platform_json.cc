#include "scaleshed/wire/platform_json.h"

#include "internal/json_reader.h"
#include "scaleshed/wire/caller_json.h"

namespace scaleshed {
namespace {

using internal::Dump;
using internal::Json;
using internal::JsonReader;

std::map<std::string, std::string> ReadTexts(JsonReader& reader,
                                             const char* field) {
  std::map<std::string, std::string> texts;
  const Json& member = reader.Member(field);
  if (!member.is_object()) {
    reader.Fault(field, "must be an object");
    return texts;
  }
  for (const auto& [name, value] : member.items()) {
    if (value.is_string()) {
      texts[name] = value.get<std::string>();
    } else {
      reader.Fault(field, "must hold strings only");
    }
  }
  return texts;
}

Json InstanceToJson(const Instance& instance) {
  return {{"name", instance.name},
          {"kind", NameIn(kInstanceKindNames, instance.kind)},
          {"state", NameIn(kInstanceStateNames, instance.state)},
          {"data_centre", instance.data_centre},
          {"address", instance.address},
          {"peer_address", instance.peer_address},
          {"service", instance.service},
          {"memory_tokens", instance.memory_tokens}};
}

Instance ReadInstance(JsonReader& reader) {
  const auto kind = FindIn(kInstanceKindNames, reader.Text("kind", true));
  const auto state = FindIn(kInstanceStateNames, reader.Text("state", true));
  if (!kind) reader.Fault("kind", "must be entry, engine or service");
  if (!state) reader.Fault("state", "must be live or leaving");
  return {.name = reader.Text("name", true),
          .kind = kind.value_or(InstanceKind::kEntry),
          .state = state.value_or(InstanceState::kLive),
          .data_centre = reader.Text("data_centre", false),
          .address = reader.Text("address", true),
          .peer_address = reader.Text("peer_address", false),
          .service = reader.Text("service", false),
          .memory_tokens = reader.Whole("memory_tokens", 0, INT64_MAX, 0)};
}

}  // namespace

std::string KeyValueJson(const KeyValue& entry) {
  return Dump({{"value", entry.value}, {"version", entry.version}});
}

Result<KeyValue, WireError> ParseKeyValue(std::string_view text) {
  JsonReader reader(text);
  KeyValue entry{.value = reader.Text("value", true),
                 .version = reader.Unsigned("version")};
  if (reader.error()) return *reader.error();
  return entry;
}

std::string KeyWriteJson(const KeyWrite& write) {
  return Dump({{"key", write.key},
               {"value", write.value},
               {"expected", write.expected},
               {"lifetime_us", write.lifetime.count()}});
}

Result<KeyWrite, WireError> ParseKeyWrite(std::string_view text) {
  JsonReader reader(text);
  KeyWrite write{
      .key = reader.Text("key", true),
      .value = reader.Text("value", true),
      .expected = reader.Unsigned("expected"),
      .lifetime = Duration(reader.Whole("lifetime_us", 0, INT64_MAX, 0))};
  if (reader.error()) return *reader.error();
  return write;
}

std::string InstancesJson(const std::vector<Instance>& instances) {
  Json list = Json::array();
  for (const Instance& it : instances) list.push_back(InstanceToJson(it));
  return Dump({{"instances", list}});
}

Result<std::vector<Instance>, WireError> ParseInstances(std::string_view text) {
  JsonReader reader(text);
  std::vector<Instance> instances;
  for (const Json& it : reader.Member("instances")) {
    JsonReader entry(it);
    instances.push_back(ReadInstance(entry));
    if (entry.error()) reader.Fault("instances", ToString(*entry.error()));
  }
  if (reader.error()) return *reader.error();
  return instances;
}

std::string DocumentKey(const std::string& name, const std::string& text) {
  return "config/document/" + name + "@" + ChecksumText(HashBytes(text));
}

std::string FinishedIdsKey(const Incarnation& home) {
  return "finished/" + ToString(home);
}

std::string HeadJson(const ConfigurationHead& head) {
  return Dump({{"revision", head.revision},
               {"change", head.change},
               {"operator", head.operator_name},
               {"history", head.history},
               {"documents", head.documents}});
}

Result<ConfigurationHead, WireError> ParseHead(std::string_view text) {
  JsonReader reader(text);
  ConfigurationHead head{.revision = reader.Unsigned("revision"),
                         .change = reader.Text("change", true),
                         .operator_name = reader.Text("operator", false),
                         .history = {},
                         .documents = ReadTexts(reader, "documents")};
  for (const Json& it : reader.Member("history")) {
    if (it.is_string()) head.history.push_back(it.get<std::string>());
  }
  if (reader.error()) return *reader.error();
  return head;
}

std::string BundleJson(const ConfigurationBundle& bundle) {
  return Dump({{"revision", bundle.revision}, {"documents", bundle.documents}});
}

Result<ConfigurationBundle, WireError> ParseBundle(std::string_view text) {
  JsonReader reader(text);
  ConfigurationBundle bundle{.revision = reader.Unsigned("revision"),
                             .documents = ReadTexts(reader, "documents")};
  if (reader.error()) return *reader.error();
  return bundle;
}

std::string FinishedIdsJson(const std::map<std::string, Outcome>& ids) {
  Json list = Json::object();
  for (const auto& [id, outcome] : ids)
    list[id] = NameIn(kOutcomeNames, outcome);
  return Dump({{"ids", list}});
}

Result<std::map<std::string, Outcome>, WireError> ParseFinishedIds(
    std::string_view text) {
  JsonReader reader(text);
  std::map<std::string, Outcome> ids;
  for (const auto& [id, name] : ReadTexts(reader, "ids")) {
    const auto outcome = FindIn(kOutcomeNames, name);
    if (!outcome) reader.Fault("ids", "'" + name + "' is not an outcome");
    ids[id] = outcome.value_or(Outcome::kUnknown);
  }
  if (reader.error()) return *reader.error();
  return ids;
}

}  // namespace scaleshed
