#include "scaleshed/runtime/http_query.h"

#include <event2/http.h>
#include <sys/types.h>

#include <algorithm>
#include <cstdlib>
#include <memory>

namespace scaleshed {
namespace {

// What libevent allocates is freed with free().
struct Freed {
  void operator()(char* text) const { std::free(text); }
};
using AllocatedText = std::unique_ptr<char, Freed>;

std::string Encoded(std::string_view text) {
  // libevent takes a length of zero for an empty range, and a negative one for
  // a text that ends with a zero byte.
  const AllocatedText encoded(evhttp_uriencode(
      text.data(), static_cast<ssize_t>(text.size()), /*space_to_plus=*/0));
  return encoded == nullptr ? "" : encoded.get();
}

std::string Decoded(std::string_view text) {
  std::size_t n = 0;
  const AllocatedText decoded(
      evhttp_uridecode(std::string(text).c_str(), /*decode_plus=*/1, &n));
  return decoded == nullptr ? "" : std::string(decoded.get(), n);
}

}  // namespace

std::string TargetWithQuery(std::string_view path,
                            const std::vector<QueryField>& fields) {
  std::string target(path);
  char separator = '?';
  for (const auto& [name, value] : fields) {
    target += separator;
    target += Encoded(name);
    target += '=';
    target += Encoded(value);
    separator = '&';
  }
  return target;
}

std::string QueryValue(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const std::string_view part = query.substr(0, query.find('&'));
    const std::size_t mark = part.find('=');
    if (Decoded(part.substr(0, mark)) == name) {
      return mark == std::string_view::npos ? ""
                                            : Decoded(part.substr(mark + 1));
    }
    query.remove_prefix(std::min(part.size() + 1, query.size()));
  }
  return "";
}

}  // namespace scaleshed
