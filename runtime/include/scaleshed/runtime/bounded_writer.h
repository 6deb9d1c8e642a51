#ifndef SCALESHED_RUNTIME_BOUNDED_WRITER_H_
#define SCALESHED_RUNTIME_BOUNDED_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "scaleshed/core/types.h"

namespace scaleshed {

// Writes lines to a descriptor without ever waiting for its reader. What the
// reader does not take yet is kept, up to a limit; lines beyond it are left out
// and counted, for the caller to tell once there is room again.
//
// The descriptor stays the caller's; a pipe or socket is made non-blocking.
class BoundedWriter {
 public:
  // `most_kept` is in bytes.
  BoundedWriter(int descriptor, std::size_t most_kept);

  // `line` ends with a newline.
  void Write(const std::string& line);
  // Hands on as much as the reader takes now.
  void Flush();

  std::size_t kept() const { return kept_.size(); }
  // Lines left out since this was asked last.
  std::uint64_t TakeLeftOut();
  bool HasRoom() const { return kept_.size() < most_kept_ / 2; }

 private:
  int descriptor_;
  std::size_t most_kept_;
  std::string kept_;
  std::uint64_t left_out_ = 0;
};

// How many lines of plain successes may be written a second, so that a loaded
// daemon spends a bounded part of its time on them.
class RoutineLimit {
 public:
  explicit RoutineLimit(double lines_per_second);

  // Whether one more line may be written now; counts it if not.
  bool Allows(Time now);
  // Lines left out since this was asked last.
  std::uint64_t TakeLeftOut();

 private:
  double per_second_;
  double left_;
  Time filled_at_{};
  std::uint64_t left_out_ = 0;
};

}  // namespace scaleshed

#endif  // SCALESHED_RUNTIME_BOUNDED_WRITER_H_
