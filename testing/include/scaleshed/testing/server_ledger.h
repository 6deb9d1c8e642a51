#ifndef SCALESHED_TESTING_SERVER_LEDGER_H_
#define SCALESHED_TESTING_SERVER_LEDGER_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "scaleshed/core/types.h"

namespace scaleshed::testing {

// A request that came to a backend server.
struct ServerArrival {
  Time sent{};           // by its caller
  Time after{};          // it came later than this,
  Time now{};            // and not later than this
  std::string server;    // the life that got it
  std::string expected;  // the one that it names
  std::string daemon;    // the one that its caller chose
  std::string request;
  // The daemon that sent it to the server. It is another one if the request was
  // relayed. Empty: not known, or not needed as no server asks for rest.
  std::string sender;
};

// What backend servers said of themselves and got all the same, as they saw it.
// Servers, by their lives, and daemons are named as the caller likes. Counted:
//   - from kContact after a server began to name a limit, the requests of any
//     kLimitWindow from daemons that had passed on such an answer kHeed before
//     or earlier, against half as much again as the limit allows, and
//     kLimitSlack more;
//   - requests for a server that a caller sent later than kDrain after their
//     daemon had passed on that this server leaves: none, whichever life has
//     its address when they arrive;
//   - requests from kHeed after a server asked a daemon for rest until that is
//     over, sent by that daemon: kMostInRest.
// Times never fall. Where the process that counts was kept from looking, an
// arrival is known to lie between two times only; what counts is what is
// certain.
class ServerLedger {
 public:
  static constexpr Duration kContact = seconds(3);
  static constexpr Duration kHeed = milliseconds(500);
  static constexpr Duration kLimitWindow = seconds(4);
  static constexpr double kLimitFactor = 1.5;
  static constexpr double kLimitSlack = 5;
  static constexpr Duration kDrain = seconds(2);
  static constexpr std::size_t kMostInRest = 2;

  // That server names a limit in its answers from now on; nothing: none.
  void NameLimit(Time now, const std::string& server,
                 std::optional<double> limit);
  // A daemon has passed on an answer in which that server named its limit.
  void ToldLimit(Time now, const std::string& server,
                 const std::string& daemon);
  // A daemon has passed on an answer in which that server says that it leaves.
  void ToldLeaving(Time now, const std::string& server,
                   const std::string& daemon);
  // That server has refused a request that a daemon sent, and asked it for
  // rest.
  void AskRest(Time now, const std::string& server, const std::string& daemon,
               Duration length);
  // Whether a daemon was asked for rest by that server that isn't over.
  bool IsInRest(Time now, const std::string& server) const;
  void Arrived(const ServerArrival& arrival);
  // The daemon was restarted, frozen or cut off: what it was told before is not
  // expected of it.
  void Excuse(const std::string& daemon);

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
    Time after{};
    Time at{};
    bool counts = false;  // from a daemon that had been told
    double limit = 0;     // then
  };
  struct Server {
    std::optional<double> limit;
    Time named{};  // since when without a break
    std::map<std::string, Time> told;
    std::vector<Arrival> arrivals;  // while it named a limit
    Time last{};                    // event
  };

  // Rest that a server asked a daemon for.
  struct Rest {
    std::string server;
    std::string daemon;
    Time asked{};
    Time until{};
    std::size_t requests = 0;
  };

  void CountLimited(const ServerArrival& arrival);
  void CountLate(const ServerArrival& arrival);
  void CountInRest(const ServerArrival& arrival);
  static LimitWindow WindowOf(const std::string& name, const Server& server,
                              Time end);

  std::map<std::string, Server> servers_;
  // When daemons had passed on that servers leave, by server and daemon.
  std::map<std::pair<std::string, std::string>, Time> leaving_;
  // With how long after kDrain they were sent.
  std::vector<std::pair<ServerArrival, Duration>> late_;
  std::vector<Rest> rests_;
};

}  // namespace scaleshed::testing

#endif  // SCALESHED_TESTING_SERVER_LEDGER_H_
