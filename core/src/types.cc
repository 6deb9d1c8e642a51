#include "scaleshed/core/types.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace scaleshed {
namespace {

template <typename Int>
std::optional<Int> ParseInt(std::string_view text, int base) {
  Int value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, ec] = std::from_chars(text.data(), end, value, base);
  if (ec != std::errc() || stop != end || text.empty()) return std::nullopt;
  return value;
}

std::string Hex(std::uint64_t value) {
  std::array<char, 16> buf{};
  const auto [end, ec] =
      std::to_chars(buf.data(), buf.data() + buf.size(), value, 16);
  return ec == std::errc() ? std::string(buf.data(), end) : std::string();
}

}  // namespace

std::string ToString(const Incarnation& incarnation) {
  return incarnation.instance + "." + Hex(incarnation.number);
}

std::optional<Incarnation> ParseIncarnation(std::string_view text) {
  const std::size_t dot = text.find('.');
  if (dot == 0 || dot == std::string_view::npos) return std::nullopt;
  const auto number = ParseInt<std::uint64_t>(text.substr(dot + 1), 16);
  if (!number) return std::nullopt;
  return Incarnation{.instance = std::string(text.substr(0, dot)),
                     .number = *number};
}

std::string IdPrefix(const Incarnation& home, std::int64_t block) {
  return ToString(home) + "." + std::to_string(block) + "-";
}

std::optional<RequestId> ParseRequestId(std::string_view text) {
  constexpr std::size_t kMaxSuffix = 64;
  const std::size_t first = text.find('.');
  if (first == std::string_view::npos) return std::nullopt;
  const std::size_t second = text.find('.', first + 1);
  if (second == std::string_view::npos) return std::nullopt;
  const std::size_t dash = text.find('-', second + 1);
  if (dash == std::string_view::npos) return std::nullopt;
  const auto home = ParseIncarnation(text.substr(0, second));
  const auto block =
      ParseInt<std::int64_t>(text.substr(second + 1, dash - second - 1), 10);
  const std::string_view suffix = text.substr(dash + 1);
  const bool is_printable =
      std::all_of(suffix.begin(), suffix.end(),
                  [](char it) { return it > ' ' && it <= '~'; });
  if (!home || !block || !is_printable || suffix.empty() ||
      suffix.size() > kMaxSuffix) {
    return std::nullopt;
  }
  return RequestId{
      .home = *home, .block = *block, .suffix = std::string(suffix)};
}

std::uint64_t HashBytes(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

}  // namespace scaleshed
