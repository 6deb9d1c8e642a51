#include "internal/json_reader.h"

#include <utility>

namespace scaleshed::internal {

JsonReader::JsonReader(std::string_view text)
    : value_(Json::parse(text, nullptr, /*allow_exceptions=*/false)) {
  if (value_.is_discarded()) {
    error_ = WireError{.field = {}, .message = "not valid JSON"};
    value_ = Json::object();
  }
  CheckObject();
}

JsonReader::JsonReader(Json value) : value_(std::move(value)) { CheckObject(); }

void JsonReader::CheckObject() {
  if (value_.is_object()) return;
  error_ = WireError{.field = {}, .message = "must be a JSON object"};
  value_ = Json::object();
}

const Json& JsonReader::Member(const char* field) const {
  static const Json kNull;
  const auto it = value_.find(field);
  return it == value_.end() ? kNull : *it;
}

void JsonReader::Fault(const char* field, std::string message) {
  if (!error_)
    error_ = WireError{.field = field, .message = std::move(message)};
}

std::string JsonReader::Text(const char* field, bool required) {
  const Json& it = Member(field);
  if (it.is_string()) return it.get<std::string>();
  if (required || !it.is_null()) Fault(field, "must be a string");
  return "";
}

std::int64_t JsonReader::Whole(const char* field, std::int64_t least,
                               std::int64_t most,
                               std::optional<std::int64_t> fallback) {
  const Json& it = Member(field);
  if (it.is_null() && fallback) return *fallback;
  const std::string allowed = "must be a whole number from " +
                              std::to_string(least) + " to " +
                              std::to_string(most);
  // An unsigned number over the signed range would wrap.
  const bool fits =
      it.is_number_integer() &&
      (!it.is_number_unsigned() ||
       it.get<std::uint64_t>() <= static_cast<std::uint64_t>(INT64_MAX));
  if (!fits) {
    Fault(field, allowed);
    return least;
  }
  const auto value = it.get<std::int64_t>();
  if (value < least || value > most) Fault(field, allowed);
  return value;
}

std::uint64_t JsonReader::Unsigned(const char* field) {
  const Json& it = Member(field);
  if (it.is_number_unsigned()) return it.get<std::uint64_t>();
  if (!it.is_null()) Fault(field, "must be a whole number, not negative");
  return 0;
}

bool JsonReader::Flag(const char* field, bool fallback) {
  const Json& it = Member(field);
  if (it.is_boolean()) return it.get<bool>();
  if (!it.is_null()) Fault(field, "must be true or false");
  return fallback;
}

std::string Dump(const Json& value) {
  return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace scaleshed::internal
