#ifndef SCALESHED_SERVING_SERVICE_PATHS_H_
#define SCALESHED_SERVING_SERVICE_PATHS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "scaleshed/core/types.h"
#include "scaleshed/serving/work.h"

namespace scaleshed::serving {

// What a daemon's own calls show of the network path between itself and the
// backend servers of one service. A connection that stands shows that the path
// is open, even if the server responds late or never. A call without one, or
// whose connection was reset without a response, is missed: that may be the
// server's fault or the path's. When calls to several servers were missed and
// none that began later reached a server, the path is the likelier cause.
//
// Every call counts by the time at which it began: an answer on a connection
// from before a partition doesn't show that new connections reach a server.
class ServicePath {
 public:
  // A call to a server that began at `began` has got an answer.
  void RecordAnswer(BackendId backend, Time began);
  // The connection of such a call stands, which shows the path as open as an
  // answer does.
  void RecordConnection(BackendId backend, Time began);
  // A call to a server that began at `began` has got no answer. A call that
  // began after it and was answered makes it irrelevant for the path.
  void RecordMiss(BackendId backend, Time began, Time now);
  // Drops misses that are too old to say anything, and misses at servers that
  // `keep` doesn't hold.
  void DropMisses(const std::set<BackendId>& keep, Time now);

  // Whether enough of the service's `servers` servers missed a call, with no
  // later answer from any, to doubt the path. A service of one server gives no
  // evidence.
  bool IsDoubtful(std::size_t servers) const;
  // Marks the path as lost, or withdraws that. A lost path takes answers of
  // several servers to be open again.
  void SetLost(bool lost);
  bool lost() const { return lost_; }
  // Whether the server has answered since the path was lost, or since the last
  // call was missed.
  bool HasReturned(BackendId backend) const {
    return returned_.contains(backend);
  }

  // When the latest answered call began, and the latest answered or connected
  // one.
  Time answered() const { return answered_; }
  Time reached() const { return reached_; }
  // The servers whose calls were missed, with the start of the latest one.
  const std::map<BackendId, Time>& misses() const { return misses_; }
  // When the first of the misses was recorded; nothing if there is none.
  std::optional<Time> missing_since() const { return missing_since_; }

 private:
  Time answered_{};
  Time reached_{};
  std::map<BackendId, Time> misses_;
  std::optional<Time> missing_since_;
  bool lost_ = false;
  // Servers that answered since the path was lost or last missed a call.
  std::set<BackendId> returned_;
};

}  // namespace scaleshed::serving

#endif  // SCALESHED_SERVING_SERVICE_PATHS_H_
