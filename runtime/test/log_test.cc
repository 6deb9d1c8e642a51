#include "scaleshed/runtime/log.h"

#include <fcntl.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <string>

#include "scaleshed/runtime/bounded_writer.h"

namespace scaleshed {
namespace {

struct Pipe {
  Pipe() { REQUIRE(pipe2(ends, O_CLOEXEC) == 0); }
  ~Pipe() {
    close(ends[0]);
    close(ends[1]);
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;
  std::string Read(std::size_t most) const {
    std::string text(most, '\0');
    const ssize_t n = read(ends[0], text.data(), most);
    text.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
    return text;
  }
  int ends[2]{};
};

TEST_CASE("A reader that does not read holds nobody up") {
  Pipe pipe;
  constexpr std::size_t kMostKept = 1000;
  BoundedWriter writer(pipe.ends[1], kMostKept);
  const std::string line(99, 'x');
  // Far more than the pipe and the writer hold together.
  for (int i = 0; i < 5000; ++i) writer.Write(line + "\n");
  CHECK(writer.kept() <= kMostKept);
  CHECK(writer.kept() > kMostKept / 2);
  CHECK_FALSE(writer.HasRoom());
  const std::uint64_t left_out = writer.TakeLeftOut();
  CHECK(left_out > 4000);
  CHECK(writer.TakeLeftOut() == 0);
  // What was kept comes when it reads again, whole lines only.
  std::string text = pipe.Read(1 << 20);
  writer.Flush();
  CHECK(writer.HasRoom());
  text += pipe.Read(1 << 20);
  CHECK(text.size() == (5000 - left_out) * 100);
  CHECK(text.back() == '\n');
}

TEST_CASE("A reader that is gone ends nothing") {
  Pipe pipe;
  std::signal(SIGPIPE, SIG_IGN);
  close(pipe.ends[0]);
  BoundedWriter writer(pipe.ends[1], 1000);
  writer.Write("lost\n");
  CHECK(writer.kept() == 0);
}

TEST_CASE("Plain successes are bounded in each second, and counted") {
  RoutineLimit limit(100);
  Time now{seconds(50)};
  int written = 0;
  for (int i = 0; i < 1000; ++i) {
    now += milliseconds(1);
    if (limit.Allows(now)) ++written;
  }
  // Those of a second, and what was saved up before it.
  CHECK(written >= 100);
  CHECK(written <= 200);
  CHECK(limit.TakeLeftOut() == 1000U - static_cast<unsigned>(written));
  CHECK(limit.TakeLeftOut() == 0);
  now += seconds(1);
  CHECK(limit.Allows(now));
}

TEST_CASE("Whatever a field holds, the line stays one JSON object") {
  CHECK(JsonMembers("sent", {{"request", "a\"b\\c\nd"}, {"runs", "1"}}) ==
        R"("event":"sent","request":"a\"b\\c\u000ad","runs":"1")");
}

}  // namespace
}  // namespace scaleshed
