#include "scaleshed/runtime/bounded_writer.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace scaleshed {
namespace {

// A terminal or file is left as it is: others may share it, and it takes all.
void MakeNonBlocking(int descriptor) {
  struct stat status {};
  if (fstat(descriptor, &status) != 0) return;
  if (!S_ISFIFO(status.st_mode) && !S_ISSOCK(status.st_mode)) return;
  const int flags = fcntl(descriptor, F_GETFL);
  if (flags >= 0) (void)fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
}

}  // namespace

BoundedWriter::BoundedWriter(int descriptor, std::size_t most_kept)
    : descriptor_(descriptor), most_kept_(most_kept) {
  MakeNonBlocking(descriptor);
}

void BoundedWriter::Write(const std::string& line) {
  if (kept_.size() + line.size() > most_kept_) Flush();
  if (kept_.size() + line.size() > most_kept_) {
    ++left_out_;
    return;
  }
  kept_ += line;
  Flush();
}

void BoundedWriter::Flush() {
  std::size_t done = 0;
  while (done < kept_.size()) {
    const ssize_t n =
        write(descriptor_, kept_.data() + done, kept_.size() - done);
    if (n < 0 && errno == EINTR) continue;
    const bool full = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    // Nobody will ever read it: keeping it helps nobody.
    if (n < 0 && !full) done = kept_.size();
    if (n <= 0) break;
    done += static_cast<std::size_t>(n);
  }
  kept_.erase(0, done);
}

std::uint64_t BoundedWriter::TakeLeftOut() {
  return std::exchange(left_out_, 0);
}

RoutineLimit::RoutineLimit(double lines_per_second)
    : per_second_(lines_per_second), left_(lines_per_second) {}

bool RoutineLimit::Allows(Time now) {
  const double passed = std::chrono::duration<double>(now - filled_at_).count();
  left_ = std::min(per_second_, left_ + std::max(passed, 0.0) * per_second_);
  filled_at_ = now;
  if (left_ < 1) {
    ++left_out_;
    return false;
  }
  left_ -= 1;
  return true;
}

std::uint64_t RoutineLimit::TakeLeftOut() {
  return std::exchange(left_out_, 0);
}

}  // namespace scaleshed
