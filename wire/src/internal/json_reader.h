#ifndef SCALESHED_WIRE_SRC_INTERNAL_JSON_READER_H_
#define SCALESHED_WIRE_SRC_INTERNAL_JSON_READER_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "scaleshed/wire/errors.h"

namespace scaleshed::internal {

using Json = nlohmann::json;

// Reads the members of one JSON object and keeps the first fault.
class JsonReader {
 public:
  explicit JsonReader(std::string_view text);
  explicit JsonReader(Json value);

  std::string Text(const char* field, bool required);
  std::int64_t Whole(const char* field, std::int64_t least, std::int64_t most,
                     std::optional<std::int64_t> fallback);
  std::uint64_t Unsigned(const char* field);
  bool Flag(const char* field, bool fallback);
  // The member, or null.
  const Json& Member(const char* field) const;

  void Fault(const char* field, std::string message);
  const std::optional<WireError>& error() const { return error_; }

 private:
  void CheckObject();

  Json value_;
  std::optional<WireError> error_;
};

// JSON text; bytes that are not UTF-8 are replaced rather than refused.
std::string Dump(const Json& value);

}  // namespace scaleshed::internal

#endif  // SCALESHED_WIRE_SRC_INTERNAL_JSON_READER_H_
