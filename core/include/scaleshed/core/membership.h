#ifndef SCALESHED_CORE_MEMBERSHIP_H_
#define SCALESHED_CORE_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "scaleshed/core/peer_messages.h"
#include "scaleshed/core/types.h"

namespace scaleshed {

struct MembershipOptions {
  Duration probe_interval = milliseconds(500);
  // Members probed in each interval. Up to this many peers all are probed;
  // above it the cost stays the same however large the fleet grows.
  int fanout = 8;
  Duration probe_timeout = milliseconds(1000);
  Duration suspect_timeout = milliseconds(2000);
  // A dead member is remembered so long, against old news of it.
  Duration forget_dead = seconds(120);
  int gossip_entries = 8;
  // Peer addresses to be probed until there is a list.
  std::vector<std::string> seeds;
};

// Knows which daemons live, by probes with piggybacked news (SWIM): a member
// that does not answer is suspected, and after a while dead, unless it refutes
// the suspicion with a higher version of its own entry.
//
// A daemon is named by its instance; a higher incarnation replaces a lower one,
// and a lower one is never believed again. Not thread safe; owned by the
// reducer's state.
class Membership {
 public:
  struct Outgoing {
    std::string peer_address;
    Probe probe;
  };

  Membership(Member self, MembershipOptions options);

  // Learns addresses from the platform's list. An instance that is unknown
  // becomes a contact to be probed. Returns the number of listed entries.
  void Listed(const std::vector<Instance>& instances);

  // Takes in a probe; the answer goes back where it isn't one itself.
  void Receive(const Probe& probe, Time now);
  Probe MakeAck(const Probe& probe);

  // Sends due probes, and moves members that don't answer.
  std::vector<Outgoing> Tick(Time now, std::mt19937_64& random);

  void SetLeaving();
  void SetRevision(std::uint64_t revision) { revision_ = revision; }

  const Member& self() const { return self_; }
  // Null where the instance is unknown.
  const Member* Find(const std::string& instance) const;
  // Whether this very incarnation is thought alive (or leaving, or suspect).
  bool IsReachable(const Incarnation& incarnation) const;
  // Whether it is known that this incarnation is over.
  bool IsOver(const Incarnation& incarnation) const;
  // All members not dead, self among them, by name.
  std::vector<const Member*> Members() const;
  // Listed entry instances or members, whichever are more: the divisor of even
  // shares, which must not shrink when peers only fall silent.
  int KnownInstances() const;
  // The highest revision that any peer has told of, with one who has it.
  std::uint64_t highest_revision_heard() const { return highest_revision_; }

  // Members that changed their state since the last call, for the log.
  std::vector<Member> TakeChanges() { return std::exchange(changes_, {}); }

 private:
  struct Peer {
    Member member;
    // When the oldest unanswered probe was sent.
    std::optional<Time> unanswered_since;
    Time changed{};
    // How often this entry's news is still to be passed on.
    int gossip_left = 0;
  };

  Probe MakeProbe();
  void Learn(const Member& member, Time now);
  void Set(Peer& peer, MemberState state, Time now);
  void Refute(const Member& member);
  void CheckTimeouts(Time now);

  Member self_;
  MembershipOptions options_;
  std::uint64_t revision_ = 0;
  std::uint64_t highest_revision_ = 0;
  std::uint64_t sequence_ = 0;
  std::map<std::string, Peer> peers_;
  // Listed addresses that have not answered yet, by instance name.
  std::map<std::string, std::string> contacts_;
  int listed_ = 0;
  Time next_probe_{};
  std::vector<Member> changes_;
};

// The member with the highest hash for `subject`, by name: every daemon with
// the same members finds the same one. Empty where there is no candidate.
std::string RendezvousOwner(const std::vector<std::string>& candidates,
                            std::string_view subject);

}  // namespace scaleshed

#endif  // SCALESHED_CORE_MEMBERSHIP_H_
