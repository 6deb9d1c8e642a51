#ifndef SCALESHED_TESTING_SRC_INTERNAL_SOAK_DAEMONS_H_
#define SCALESHED_TESTING_SRC_INTERNAL_SOAK_DAEMONS_H_

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "scaleshed/runtime/event_loop.h"
#include "scaleshed/testing/cluster.h"
#include "scaleshed/testing/soak.h"

namespace scaleshed::testing {

// The daemons of a soak: processes that keep their addresses over their lives,
// each life with a log of its own in `folder`.
class SoakDaemons {
 public:
  SoakDaemons(EventLoop& loop, const SoakOptions& options,
              const std::string& platform, std::string folder);

  std::size_t size() const { return daemons_.size(); }
  const std::string& data_centre(std::size_t i) const {
    return daemons_.at(i).data_centre;
  }
  const std::string& listen_address(std::size_t i) const {
    return daemons_.at(i).listen;
  }
  const std::string& peer_address(std::size_t i) const {
    return daemons_.at(i).peer_listen;
  }
  // Zero if it doesn't run.
  int pid(std::size_t i) const {
    const Daemon& it = daemons_.at(i);
    return it.process ? it.process->pid() : 0;
  }
  // It runs, and has been asked neither to stand still nor to end.
  bool IsUp(std::size_t i) const {
    const Daemon& it = daemons_.at(i);
    return it.process && !it.frozen && !it.stopping;
  }
  const std::string& look_up_address(std::size_t i) const {
    return daemons_.at(i).look_up;
  }

  // Called with the address for callers of a daemon that is killed, stopped,
  // started, frozen or woken.
  void OnDisturbed(std::function<void(const std::string&)> tell) {
    tell_ = std::move(tell);
  }

  void Start(std::size_t i);
  // Ends it at once; a new life begins after `pause`.
  void Kill(std::size_t i, Duration pause);
  // Asks it to end; a new life begins once it has.
  void Restart(std::size_t i);
  void Freeze(std::size_t i, Duration length);
  void HangUp(std::size_t i);
  // Asks all to end, and waits for that; tells which did not end well.
  std::vector<std::string> StopAll();

 private:
  struct Daemon {
    std::string name;
    std::string data_centre;
    std::string look_up;
    std::string listen;
    std::string peer_listen;
    std::string settings;  // the file
    int lives = 0;
    bool frozen = false;
    bool stopping = false;
    std::unique_ptr<Process> process;
    std::unique_ptr<Timer> timer;  // of its next step
  };

  void WriteSettings(Daemon& daemon, const SoakOptions& options,
                     const std::string& platform);
  void AwaitEnd(std::size_t i);
  bool EndedInOrder(Daemon& daemon);
  void NoteBadEnd(Daemon& daemon);

  EventLoop& loop_;
  std::string program_;
  std::string folder_;
  std::function<void(const std::string&)> tell_ = [](const std::string&) {};
  std::vector<Daemon> daemons_;
  std::vector<std::string> faults_;
};

}  // namespace scaleshed::testing

#endif  // SCALESHED_TESTING_SRC_INTERNAL_SOAK_DAEMONS_H_
