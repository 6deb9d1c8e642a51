#include "scaleshed/wire/event_splitter.h"

namespace scaleshed {
namespace {

// The end of the first line from `from`, behind its line break; npos where it
// is not whole.
std::size_t AfterLine(std::string_view text, std::size_t from) {
  const std::size_t end = text.find('\n', from);
  return end == std::string_view::npos ? end : end + 1;
}

std::string_view LineAt(std::string_view text, std::size_t from,
                        std::size_t after) {
  std::string_view line = text.substr(from, after - from - 1);
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  return line;
}

std::string IdIn(std::string_view line) {
  constexpr std::string_view kField = "id:";
  if (line.substr(0, kField.size()) != kField) return "";
  line.remove_prefix(kField.size());
  if (!line.empty() && line.front() == ' ') line.remove_prefix(1);
  return std::string(line);
}

}  // namespace

std::optional<SplitEvent> EventSplitter::Next() {
  std::string id;
  std::size_t from = 0;
  for (;;) {
    const std::size_t after = AfterLine(buffer_, from);
    if (after == std::string::npos) return std::nullopt;
    const std::string_view line = LineAt(buffer_, from, after);
    from = after;
    if (line.empty()) break;
    if (std::string found = IdIn(line); !found.empty()) id = std::move(found);
  }
  SplitEvent event{.id = std::move(id), .bytes = buffer_.substr(0, from)};
  buffer_.erase(0, from);
  return event;
}

}  // namespace scaleshed
