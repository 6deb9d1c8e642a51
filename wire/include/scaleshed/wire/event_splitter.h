#ifndef SCALESHED_WIRE_EVENT_SPLITTER_H_
#define SCALESHED_WIRE_EVENT_SPLITTER_H_

#include <optional>
#include <string>
#include <string_view>

namespace scaleshed {

// One whole event of a text/event-stream, with the blank line that ends it.
struct SplitEvent {
  std::string id;  // empty where it has none
  std::string bytes;
};

// Cuts a text/event-stream into whole events, whatever the pieces in which it
// comes. Bytes are passed on as they are.
class EventSplitter {
 public:
  void Add(std::string_view bytes) { buffer_ += bytes; }
  // The next whole event, or nothing until more bytes come.
  std::optional<SplitEvent> Next();
  // Bytes after the last whole event.
  const std::string& rest() const { return buffer_; }

 private:
  std::string buffer_;
};

}  // namespace scaleshed

#endif  // SCALESHED_WIRE_EVENT_SPLITTER_H_
