#ifndef SCALESHED_WIRE_COMPLETION_READER_H_
#define SCALESHED_WIRE_COMPLETION_READER_H_

#include <optional>
#include <string>

#include "scaleshed/core/call.h"

namespace scaleshed {

// Reads a streamed completion as a caller gets it, piece by piece, and checks
// that it is whole: a connection that breaks leaves no final(). Not thread
// safe.
class CompletionReader {
 public:
  void Feed(const std::string& bytes);

  std::int64_t tokens() const { return tokens_; }
  const std::string& text() const { return text_; }
  // The outcome event, once it has come.
  const std::optional<Final>& final() const { return final_; }
  // Whether the count and the checksum of the outcome are those of the tokens.
  bool IsWhole() const;

 private:
  void OnLine(const std::string& line);

  std::string partial_;
  std::string text_;
  std::int64_t tokens_ = 0;
  std::uint64_t checksum_ = 0;
  std::optional<Final> final_;
};

}  // namespace scaleshed

#endif  // SCALESHED_WIRE_COMPLETION_READER_H_
