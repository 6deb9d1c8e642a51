#ifndef SCALESHED_TESTING_KEPT_CONNECTION_H_
#define SCALESHED_TESTING_KEPT_CONNECTION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "scaleshed/runtime/event_loop.h"
#include "scaleshed/runtime/http_client.h"

namespace scaleshed::testing {

// What is asked on a connection.
struct KeptRequest {
  std::vector<std::string> pieces;  // of a whole request, sent one by one
  Duration gap{};                   // between two of them
  // Nothing of the answer is read before.
  Duration read_after{};
  Duration timeout{};
};

// A caller's connection that is used again and again, for as long as the server
// leaves it open: callers don't know that a process is about to end. One
// request at a time.
//
// Not thread safe. Must not outlive its loop.
class KeptConnection {
 public:
  using Done = std::function<void(HttpResult)>;

  KeptConnection(EventLoop& loop, const std::string& address);
  KeptConnection(const KeptConnection&) = delete;
  KeptConnection& operator=(const KeptConnection&) = delete;
  ~KeptConnection();

  const std::string& address() const { return address_; }
  // Nothing is asked on it, and the server has not said or done anything that
  // ends it.
  bool IsFree() const;
  // Has ended; nothing more can be asked.
  bool IsOver() const;
  // `done` is called once, from the loop: with kNotSent if no connection stood,
  // kCut if it ended before the answer did, kTimeout after the timeout.
  void Ask(KeptRequest request, Done done);
  // Of the last request: the pieces that were due by its end had been sent, one
  // at least.
  bool has_sent_due() const;
  // Of the last request: some of its answer has come.
  bool has_answer_begun() const;
  // Since when nothing has been asked.
  Time free_since() const;

 private:
  struct Link;
  std::string address_;
  std::shared_ptr<Link> link_;
};

}  // namespace scaleshed::testing

#endif  // SCALESHED_TESTING_KEPT_CONNECTION_H_
