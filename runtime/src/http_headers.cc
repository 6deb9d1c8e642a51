#include "scaleshed/runtime/http_headers.h"

#include <algorithm>
#include <cctype>
#include <stdexcept>

namespace scaleshed {

bool SameHeader(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](unsigned char left, unsigned char right) {
                      return std::tolower(left) == std::tolower(right);
                    });
}

HttpHeaders::const_iterator HttpHeaders::find(std::string_view name) const {
  return std::find_if(fields_.begin(), fields_.end(), [&](const Field& it) {
    return SameHeader(it.first, name);
  });
}

std::string& HttpHeaders::operator[](std::string_view name) {
  for (Field& it : fields_) {
    if (SameHeader(it.first, name)) return it.second;
  }
  return fields_.emplace_back(std::string(name), "").second;
}

const std::string& HttpHeaders::at(std::string_view name) const {
  const auto it = find(name);
  if (it == end()) throw std::out_of_range(std::string(name));
  return it->second;
}

std::string HttpHeaders::Get(std::string_view name) const {
  const auto it = find(name);
  return it == end() ? std::string() : it->second;
}

std::size_t HttpHeaders::Count(std::string_view name) const {
  return static_cast<std::size_t>(std::count_if(
      fields_.begin(), fields_.end(),
      [&](const Field& it) { return SameHeader(it.first, name); }));
}

void HttpHeaders::Add(std::string name, std::string value) {
  fields_.emplace_back(std::move(name), std::move(value));
}

void HttpHeaders::Remove(std::string_view name) {
  std::erase_if(fields_,
                [&](const Field& it) { return SameHeader(it.first, name); });
}

}  // namespace scaleshed
