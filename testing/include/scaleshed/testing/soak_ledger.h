#ifndef SCALESHED_TESTING_SOAK_LEDGER_H_
#define SCALESHED_TESTING_SOAK_LEDGER_H_

#include <map>
#include <string>
#include <vector>

#include "scaleshed/core/types.h"

namespace scaleshed::testing {

struct RepeatBound {
  double ratio = 0.2;
  double slack = 0;
  Duration window = seconds(10);
};

// The window of a service that came closest to its bound, or lies furthest
// beyond it.
struct RepeatWindow {
  std::string service;
  Time end{};
  std::size_t repeats = 0;
  double allowed = 0;
};

// What callers and backend servers saw of a fleet, kept apart from all that the
// fleet itself counts, and what that says of its promises:
//   - a service gets no more arrivals after the first of each request, in any
//     window, than the ratio of its requests and the slack allow,
//   - a request that may not be repeated runs at most once,
//   - an answer that says that nothing ran is true, also later.
// Times never fall. Where the process that counts was kept from looking, an
// arrival is known to lie between two times only; a window has those that can
// lie in no other one.
class SoakLedger {
 public:
  explicit SoakLedger(const RepeatBound& bound) : bound_(bound) {}

  // A caller sends a request, whether or not it arrives anywhere.
  void Sent(Time now, const std::string& service, const std::string& id,
            bool once);
  // A request reached a backend server, after `after` and not after `now`.
  void Arrived(Time after, Time now, const std::string& service,
               const std::string& id, bool ran);
  // A caller was told that it has not run and never will.
  void PromisedNotRun(const std::string& id);

  // The worst window of each service that got any repeat.
  std::vector<RepeatWindow> WorstWindows() const;
  // What was broken, in words; empty: nothing.
  std::vector<std::string> Broken() const;

  std::size_t sent() const { return requests_.size(); }

 private:
  struct Request {
    std::string service;
    bool once = false;
    bool promised = false;
    int arrivals = 0;
    int runs = 0;
  };
  struct Times {
    std::vector<Time> requests;
    std::vector<Time> repeats_after;
    std::vector<Time> repeats;
  };

  // Of a window that ends then: what the rule allows.
  double AllowedAt(const Times& times, Time end) const;

  RepeatBound bound_;
  std::map<std::string, Request> requests_;
  std::map<std::string, Times> services_;
};

}  // namespace scaleshed::testing

#endif  // SCALESHED_TESTING_SOAK_LEDGER_H_
