#ifndef SCALESHED_TESTING_SERVER_LEDGER_H_
#define SCALESHED_TESTING_SERVER_LEDGER_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "scaleshed/core/types.h"

namespace scaleshed::testing {

// What backend servers said of themselves and got all the same, as they saw it
// themselves. Servers and daemons are named as the caller likes. What it counts:
//   - from kContact after a server first named a limit, the requests of any
//     kLimitWindow from daemons that had passed on such an answer kHeed before
//     or earlier, against half as much again as the limit allows, and
//     kLimitSlack more.
// Times never fall.
class ServerLedger {
 public:
  static constexpr Duration kContact = seconds(3);
  static constexpr Duration kHeed = milliseconds(500);
  static constexpr Duration kLimitWindow = seconds(4);
  static constexpr double kLimitFactor = 1.5;
  static constexpr double kLimitSlack = 5;

  // An answer of that server came to a daemon; nothing: it names no limit.
  void Answered(Time now, const std::string& server, std::size_t daemon,
                std::optional<double> limit);
  void Arrived(Time now, const std::string& server, std::size_t daemon);
  // The daemon was restarted, frozen or cut off: it knows nothing that it was
  // told before.
  void Excuse(std::size_t daemon);

  // The window of a server that came closest to its bound, or went furthest
  // beyond it.
  struct LimitWindow {
    std::string server;
    Time end{};
    std::size_t requests = 0;
    double allowed = 0;
  };
  std::vector<LimitWindow> WorstLimitWindows() const;
  // Of the requests that a server's limit allowed from kContact on, the part
  // that came, whoever sent them.
  double PartUsed(const std::string& server) const;
  // What was broken, in words; empty: nothing.
  std::vector<std::string> Broken() const;

 private:
  struct Arrival {
    Time at{};
    bool counts = false;  // from a daemon that had been told
    double limit = 0;     // then
  };
  struct Server {
    std::optional<double> limit;  // as last named
    Time named{};                 // since when without a break
    std::map<std::size_t, Time> told;
    std::vector<Arrival> arrivals;  // while it named a limit
    Time last{};                    // event
  };

  std::map<std::string, Server> servers_;
};

}  // namespace scaleshed::testing

#endif  // SCALESHED_TESTING_SERVER_LEDGER_H_
