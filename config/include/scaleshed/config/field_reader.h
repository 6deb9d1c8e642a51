#ifndef SCALESHED_CONFIG_FIELD_READER_H_
#define SCALESHED_CONFIG_FIELD_READER_H_

#include <yaml-cpp/yaml.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "scaleshed/config/errors.h"
#include "scaleshed/core/types.h"

namespace scaleshed {

template <typename T>
struct Range {
  T least;
  T most;
};

// Reads the fields of one YAML mapping and collects every fault, with its line.
// A field that is read once is known; Finish() reports the others. After a
// fault a field keeps its default, so that reading can go on.
class FieldReader {
 public:
  // `path` names the mapping in error messages; empty for the whole file.
  FieldReader(std::string file, std::string path, const YAML::Node& node,
              ConfigErrors& errors);

  std::string Text(const std::string& field, bool required,
                   const std::string& fallback = "");
  // A name of letters, digits, '-' and '_', as it stands in ids and keys.
  std::string Name(const std::string& field, bool required);
  // "ip:port".
  std::string Address(const std::string& field);
  // A list of addresses; empty where it is missing.
  std::vector<std::string> Addresses(const std::string& field);
  double Number(const std::string& field, Range<double> range, double fallback);
  std::int64_t Whole(const std::string& field, Range<std::int64_t> range,
                     std::int64_t fallback);
  bool Flag(const std::string& field, bool fallback);
  std::set<std::string> Names(const std::string& field);
  Duration Millis(const std::string& field, Range<std::int64_t> range,
                  Duration fallback);

  template <typename E, std::size_t N>
  E OneOf(const std::string& field, const NameTable<E, N>& table, E fallback) {
    const std::string text = Text(field, false);
    if (text.empty()) return fallback;
    if (const auto value = FindIn(table, text)) return *value;
    std::string allowed;
    for (const auto& [value, name] : table) {
      allowed += (allowed.empty() ? "" : ", ") + std::string(name);
    }
    Fault(field, "'" + text + "' is not one of: " + allowed);
    return fallback;
  }

  // The texts of a nested mapping by their names; empty where it is missing.
  std::map<std::string, std::string> TextsByName(const std::string& field);

  // The node of a nested mapping or sequence; undefined where it is missing.
  YAML::Node Child(const std::string& field);

  void Fault(const std::string& field, const std::string& message);
  // Reports fields that were never asked for.
  void Finish();

 private:
  bool Has(const std::string& field);
  int LineOf(const std::string& field) const;
  std::string PathOf(const std::string& field) const;

  std::string file_;
  std::string path_;
  YAML::Node node_;
  ConfigErrors& errors_;
  std::set<std::string> known_;
};

// Calls `read` with a reader for each entry of a sequence of mappings. A field
// that is missing has no entries; one that is no sequence is a fault.
template <typename Read>
void ForEachEntry(FieldReader& reader, const std::string& file,
                  const std::string& field, ConfigErrors& errors, Read read) {
  const YAML::Node entries = reader.Child(field);
  if (!entries.IsDefined()) return;
  if (!entries.IsSequence()) {
    reader.Fault(field, "must be a list");
    return;
  }
  std::size_t n = 0;
  for (const auto& it : entries) {
    FieldReader entry(file, field + "[" + std::to_string(n++) + "]", it,
                      errors);
    read(entry);
    entry.Finish();
  }
}

// Parses `text`; a syntax error or a document that is not a mapping is
// reported, and an empty mapping returned.
YAML::Node ParseMapping(const std::string& file, const std::string& text,
                        ConfigErrors& errors);

bool IsName(const std::string& text);

}  // namespace scaleshed

#endif  // SCALESHED_CONFIG_FIELD_READER_H_
