#include "scaleshed/config/field_reader.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace scaleshed {
namespace {

constexpr std::size_t kMostNameLength = 48;

template <typename T>
std::string RangeText(const Range<T>& range) {
  return "from " + std::to_string(range.least) + " to " +
         std::to_string(range.most);
}

bool IsAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) return false;
  const std::string port = text.substr(colon + 1);
  const bool digits =
      !port.empty() && port.size() <= 5 &&
      std::all_of(port.begin(), port.end(),
                  [](unsigned char it) { return std::isdigit(it) != 0; });
  const std::string host = text.substr(0, colon);
  const bool is_ip =
      std::all_of(host.begin(), host.end(), [](unsigned char it) {
        return std::isxdigit(it) != 0 || it == '.' || it == ':' || it == '[' ||
               it == ']';
      });
  return digits && is_ip && std::stoi(port) <= 65535;
}

}  // namespace

bool IsName(const std::string& text) {
  const auto allowed = [](unsigned char it) {
    return std::isalnum(it) != 0 || it == '-' || it == '_';
  };
  return !text.empty() && text.size() <= kMostNameLength &&
         std::all_of(text.begin(), text.end(), allowed);
}

YAML::Node ParseMapping(const std::string& file, const std::string& text,
                        ConfigErrors& errors) {
  try {
    YAML::Node node = YAML::Load(text);
    if (node.IsMap()) return node;
    errors.push_back({.file = file,
                      .line = 1,
                      .field = {},
                      .message = "the file must be a mapping of fields"});
  } catch (const YAML::Exception& error) {
    errors.push_back({.file = file,
                      .line = error.mark.line + 1,
                      .field = {},
                      .message = "not valid YAML: " + error.msg});
  }
  return YAML::Node(YAML::NodeType::Map);
}

FieldReader::FieldReader(std::string file, std::string path,
                         const YAML::Node& node, ConfigErrors& errors)
    : file_(std::move(file)),
      path_(std::move(path)),
      node_(node),
      errors_(errors) {
  if (!node_.IsMap()) {
    errors_.push_back({.file = file_,
                       .line = node_.Mark().line + 1,
                       .field = path_,
                       .message = "must be a mapping of fields"});
    node_ = YAML::Node(YAML::NodeType::Map);
  }
  std::set<std::string> seen;
  for (const auto& it : node_) {
    const auto name = it.first.as<std::string>("");
    if (!seen.insert(name).second) {
      errors_.push_back({.file = file_,
                         .line = it.first.Mark().line + 1,
                         .field = PathOf(name),
                         .message = "stands twice"});
    }
  }
}

int FieldReader::LineOf(const std::string& field) const {
  for (const auto& it : node_) {
    if (it.first.as<std::string>("") == field) return it.first.Mark().line + 1;
  }
  return std::max(node_.Mark().line + 1, 1);
}

std::string FieldReader::PathOf(const std::string& field) const {
  return path_.empty() ? field : path_ + "." + field;
}

void FieldReader::Fault(const std::string& field, const std::string& message) {
  errors_.push_back({.file = file_,
                     .line = LineOf(field),
                     .field = PathOf(field),
                     .message = message});
}

bool FieldReader::Has(const std::string& field) {
  known_.insert(field);
  return node_[field].IsDefined() && !node_[field].IsNull();
}

std::string FieldReader::Text(const std::string& field, bool required,
                              const std::string& fallback) {
  if (!Has(field)) {
    if (required) Fault(field, "is missing");
    return fallback;
  }
  const YAML::Node value = node_[field];
  if (value.IsScalar()) return value.Scalar();
  Fault(field, "must be a text");
  return fallback;
}

std::string FieldReader::Name(const std::string& field, bool required) {
  std::string text = Text(field, required);
  if (text.empty() || IsName(text)) return text;
  Fault(field, "'" + text + "' must be 1 to 48 letters, digits, '-' or '_'");
  return "";
}

std::string FieldReader::Address(const std::string& field) {
  std::string text = Text(field, true);
  if (text.empty() || IsAddress(text)) return text;
  Fault(field,
        "'" + text + "' must be an IP number and a port, as 127.0.0.1:8080");
  return "";
}

std::vector<std::string> FieldReader::Addresses(const std::string& field) {
  std::vector<std::string> addresses;
  if (!Has(field)) return addresses;
  if (!node_[field].IsSequence()) Fault(field, "must be a list of addresses");
  for (const auto& it : node_[field]) {
    const std::string text = it.IsScalar() ? it.Scalar() : "";
    if (IsAddress(text)) {
      addresses.push_back(text);
    } else {
      Fault(field, "'" + text +
                       "' must be an IP number and a port, as 127.0.0.1:9080");
    }
  }
  return addresses;
}

double FieldReader::Number(const std::string& field, Range<double> range,
                           double fallback) {
  if (!Has(field)) return fallback;
  double value = 0;
  if (!YAML::convert<double>::decode(node_[field], value)) {
    Fault(field, "must be a number " + RangeText(range));
    return fallback;
  }
  // Written so that "not a number" is out of range too.
  if (value >= range.least && value <= range.most) return value;
  Fault(field, "'" + node_[field].Scalar() + "' must be " + RangeText(range));
  return fallback;
}

std::int64_t FieldReader::Whole(const std::string& field,
                                Range<std::int64_t> range,
                                std::int64_t fallback) {
  if (!Has(field)) return fallback;
  std::int64_t value = 0;
  if (!YAML::convert<std::int64_t>::decode(node_[field], value)) {
    Fault(field, "must be a whole number " + RangeText(range));
    return fallback;
  }
  if (value >= range.least && value <= range.most) return value;
  Fault(field, "'" + node_[field].Scalar() + "' must be " + RangeText(range));
  return fallback;
}

bool FieldReader::Flag(const std::string& field, bool fallback) {
  if (!Has(field)) return fallback;
  bool value = false;
  if (YAML::convert<bool>::decode(node_[field], value)) return value;
  Fault(field, "must be true or false");
  return fallback;
}

std::set<std::string> FieldReader::Names(const std::string& field) {
  std::set<std::string> names;
  if (!Has(field)) return names;
  const YAML::Node value = node_[field];
  if (!value.IsSequence()) {
    Fault(field, "must be a list of names");
    return names;
  }
  for (const auto& it : value) {
    const std::string name = it.IsScalar() ? it.Scalar() : "";
    if (!IsName(name)) {
      Fault(field,
            "'" + name + "' must be 1 to 48 letters, digits, '-' or '_'");
    } else if (!names.insert(name).second) {
      Fault(field, "'" + name + "' stands twice");
    }
  }
  return names;
}

std::map<std::string, std::string> FieldReader::TextsByName(
    const std::string& field) {
  std::map<std::string, std::string> texts;
  if (!Has(field)) return texts;
  const YAML::Node value = node_[field];
  if (!value.IsMap()) {
    Fault(field, "must be a mapping of texts");
    return texts;
  }
  for (const auto& it : value) {
    if (it.first.IsScalar() && it.second.IsScalar()) {
      texts[it.first.Scalar()] = it.second.Scalar();
    } else {
      Fault(field, "must be a mapping of texts");
    }
  }
  return texts;
}

Duration FieldReader::Millis(const std::string& field,
                             Range<std::int64_t> range, Duration fallback) {
  const auto whole = std::chrono::duration_cast<milliseconds>(fallback).count();
  return milliseconds(Whole(field, range, whole));
}

YAML::Node FieldReader::Child(const std::string& field) {
  if (!Has(field)) return YAML::Node(YAML::NodeType::Undefined);
  return node_[field];
}

void FieldReader::Finish() {
  std::string allowed;
  for (const std::string& it : known_) {
    allowed += (allowed.empty() ? "" : ", ") + it;
  }
  for (const auto& it : node_) {
    const auto name = it.first.as<std::string>("");
    if (known_.contains(name)) continue;
    errors_.push_back({.file = file_,
                       .line = it.first.Mark().line + 1,
                       .field = PathOf(name),
                       .message = "unknown field; allowed are: " + allowed});
  }
}

}  // namespace scaleshed
