#ifndef SCALESHED_TESTING_ANSWER_LEDGER_H_
#define SCALESHED_TESTING_ANSWER_LEDGER_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "scaleshed/core/types.h"

namespace scaleshed::testing {

// How a caller's request ended, as its connection shows it.
enum class AnswerEnd {
  kWhole,     // the whole answer of a backend server
  kStatus,    // a status that refuses the request or tells of a failure
  kCut,       // in the middle of an answer
  kClosed,    // without a byte, though the request had come or was coming
  kUnsent,    // before anything of it had been sent
  kTimedOut,  // the caller gave up
};
inline constexpr NameTable<AnswerEnd, 6> kAnswerEndNames{{
    {AnswerEnd::kWhole, "whole"},
    {AnswerEnd::kStatus, "status"},
    {AnswerEnd::kCut, "cut"},
    {AnswerEnd::kClosed, "closed"},
    {AnswerEnd::kUnsent, "unsent"},
    {AnswerEnd::kTimedOut, "timed out"},
}};

// What became of requests that backend servers took, whether these pause or
// not, as callers and servers saw it. Broken are:
//   - a request that a server took and that ended before its deadline in a cut,
//     a close or a 502, unless servers were disturbed at any time from its send
//     to its end, or its daemon or one that sent it to a server was;
//   - a request that ended in a close, unless its daemon was disturbed,
//   whatever
//     the servers did. Where the process that counts was kept from looking
//     meanwhile, the request may have left only then and crossed the close of
//     an idle connection, which is excused if no server took it.
// A daemon counts as disturbed from the time when it is killed, stopped,
// started, frozen or woken until kGrace later. Pauses disturb no server. Times
// never fall.
class AnswerLedger {
 public:
  static constexpr Duration kGrace = seconds(3);
  // How long the process that counts has to be kept from looking until it can't
  // tell a close from one that crossed the request.
  static constexpr Duration kLookGap = milliseconds(200);

  // A caller sends a request to a daemon.
  void Sent(Time now, const std::string& id, const std::string& daemon,
            Time deadline);
  // A server began to work on it. `sender` is the daemon that it has it from;
  // empty: any.
  void Taken(Time now, const std::string& id, const std::string& server,
             const std::string& sender);
  // `status`: of the answer, if there is one.
  void Ended(Time now, const std::string& id, AnswerEnd end, int status);
  void DaemonDisturbed(Time now, const std::string& daemon);
  // The process that counts didn't look in that time.
  void NotLooking(Time from, Time until);
  // Servers fail, refuse, end or lose their links in that time.
  void ServersDisturbed(Time from, Time until);

  // Requests that servers took, that ended, and for which nothing was excused.
  std::size_t checked() const { return checked_; }
  // What was broken, in words; empty: nothing.
  std::vector<std::string> Broken() const { return broken_; }

 private:
  struct Request {
    Time sent{};
    Time deadline{};
    std::string daemon;
    Time taken{};
    std::string server;             // the last one that took it; empty: none
    std::set<std::string> senders;  // an empty one: any
  };

  bool IsDisturbed(const std::string& daemon, Time since) const;
  bool AnyIsDisturbed(Time since) const;
  bool IsSenderDisturbed(const Request& request) const;
  bool AreServersDisturbed(Time from, Time until) const;
  // Whether the close of a request that ended now may have crossed it.
  bool MayHaveCrossed(const Request& request, Time now) const;
  void Break(const std::string& id, const Request& request, Time now,
             const std::string& end);

  std::map<std::string, Request> requests_;  // that haven't ended
  std::map<std::string, Time> disturbed_;    // when each was last disturbed
  std::vector<std::pair<Time, Time>> server_faults_;
  std::vector<std::pair<Time, Time>> look_gaps_;
  std::size_t checked_ = 0;
  std::vector<std::string> broken_;
};

}  // namespace scaleshed::testing

#endif  // SCALESHED_TESTING_ANSWER_LEDGER_H_
