#include "scaleshed/core/membership.h"

#include <algorithm>
#include <cmath>

namespace scaleshed {
namespace {

// Which of two states of the same incarnation and version is the later one.
int Rank(MemberState state) { return static_cast<int>(state); }

bool IsNewer(const Member& news, const Member& known) {
  const auto key = [](const Member& it) {
    return std::tuple(it.incarnation.number, it.version, Rank(it.state));
  };
  // Death is final for an incarnation, whatever its version.
  if (news.incarnation == known.incarnation) {
    if (known.state == MemberState::kDead) return false;
    if (news.state == MemberState::kDead) return true;
  }
  return key(news) > key(known);
}

}  // namespace

Membership::Membership(Member self, MembershipOptions options)
    : self_(std::move(self)), options_(std::move(options)) {
  for (const std::string& it : options_.seeds) {
    if (it != self_.peer_address) contacts_["seed " + it] = it;
  }
}

void Membership::Listed(const std::vector<Instance>& instances) {
  listed_ = 0;
  contacts_.clear();
  for (const Instance& it : instances) {
    if (it.kind != InstanceKind::kEntry) continue;
    ++listed_;
    const Member* member = Find(it.name);
    const bool known = member != nullptr && member->state != MemberState::kDead;
    if (!known && !it.peer_address.empty())
      contacts_[it.name] = it.peer_address;
  }
  contacts_.erase(self_.incarnation.instance);
}

const Member* Membership::Find(const std::string& instance) const {
  if (instance == self_.incarnation.instance) return &self_;
  const auto it = peers_.find(instance);
  return it == peers_.end() ? nullptr : &it->second.member;
}

bool Membership::IsReachable(const Incarnation& incarnation) const {
  const Member* member = Find(incarnation.instance);
  return member != nullptr && member->incarnation == incarnation &&
         member->state != MemberState::kDead;
}

bool Membership::IsOver(const Incarnation& incarnation) const {
  const Member* member = Find(incarnation.instance);
  if (member == nullptr) return false;
  if (member->incarnation.number > incarnation.number) return true;
  return member->incarnation == incarnation &&
         member->state == MemberState::kDead;
}

std::vector<const Member*> Membership::Members() const {
  std::vector<const Member*> members{&self_};
  for (const auto& [name, peer] : peers_) {
    if (peer.member.state != MemberState::kDead)
      members.push_back(&peer.member);
  }
  std::sort(members.begin(), members.end(), [](const auto* a, const auto* b) {
    return a->incarnation.instance < b->incarnation.instance;
  });
  return members;
}

int Membership::KnownInstances() const {
  return std::max({listed_, static_cast<int>(Members().size()), 1});
}

void Membership::SetLeaving() {
  self_.state = MemberState::kLeaving;
  ++self_.version;
}

Probe Membership::MakeProbe() {
  Probe probe{
      .sequence = ++sequence_, .revision = revision_, .members = {self_}};
  for (auto& [name, peer] : peers_) {
    if (static_cast<int>(probe.members.size()) > options_.gossip_entries) break;
    if (peer.gossip_left <= 0) continue;
    --peer.gossip_left;
    probe.members.push_back(peer.member);
  }
  return probe;
}

Probe Membership::MakeAck(const Probe& probe) {
  Probe ack = MakeProbe();
  ack.sequence = probe.sequence;
  ack.is_ack = true;
  return ack;
}

void Membership::Receive(const Probe& probe, Time now) {
  highest_revision_ = std::max(highest_revision_, probe.revision);
  for (const Member& it : probe.members) Learn(it, now);
  if (probe.members.empty()) return;
  const auto sender = peers_.find(probe.members.front().incarnation.instance);
  if (sender != peers_.end()) sender->second.unanswered_since.reset();
}

void Membership::Learn(const Member& member, Time now) {
  const std::string& name = member.incarnation.instance;
  if (name == self_.incarnation.instance) {
    Refute(member);
    return;
  }
  std::erase_if(contacts_, [&](const auto& it) {
    return it.first == name || it.second == member.peer_address;
  });
  const auto it = peers_.find(name);
  if (it == peers_.end()) {
    Peer& peer = peers_[name];
    peer.member = member;
    Set(peer, member.state, now);
    return;
  }
  Peer& peer = it->second;
  if (!IsNewer(member, peer.member)) return;
  const bool changed = peer.member.state != member.state ||
                       peer.member.incarnation != member.incarnation;
  peer.member = member;
  if (changed) Set(peer, member.state, now);
}

void Membership::Refute(const Member& member) {
  const bool doubted = member.state == MemberState::kSuspect ||
                       member.state == MemberState::kDead;
  if (!doubted || member.incarnation != self_.incarnation) return;
  self_.version = std::max(self_.version, member.version) + 1;
}

void Membership::Set(Peer& peer, MemberState state, Time now) {
  peer.member.state = state;
  peer.changed = now;
  // News reaches all of n members in about log2(n) rounds; some are sent more
  // often than needed, as probes can be lost.
  const double members = static_cast<double>(peers_.size()) + 2;
  peer.gossip_left = static_cast<int>(3 * std::ceil(std::log2(members)));
  changes_.push_back(peer.member);
}

void Membership::CheckTimeouts(Time now) {
  for (auto it = peers_.begin(); it != peers_.end();) {
    Peer& peer = it->second;
    const MemberState state = peer.member.state;
    const bool silent = peer.unanswered_since &&
                        now - *peer.unanswered_since >= options_.probe_timeout;
    if (state == MemberState::kDead) {
      const bool old = now - peer.changed >= options_.forget_dead;
      it = old ? peers_.erase(it) : std::next(it);
      continue;
    }
    if (state == MemberState::kSuspect) {
      if (now - peer.changed >= options_.suspect_timeout) {
        Set(peer, MemberState::kDead, now);
      }
    } else if (silent) {
      Set(peer, MemberState::kSuspect, now);
    }
    ++it;
  }
}

std::vector<Membership::Outgoing> Membership::Tick(Time now,
                                                   std::mt19937_64& random) {
  CheckTimeouts(now);
  if (now < next_probe_) return {};
  next_probe_ = now + options_.probe_interval;
  std::vector<Outgoing> outgoing;
  std::vector<Peer*> targets;
  for (auto& [name, peer] : peers_) {
    if (peer.member.state != MemberState::kDead) targets.push_back(&peer);
  }
  std::shuffle(targets.begin(), targets.end(), random);
  if (static_cast<int>(targets.size()) > options_.fanout) {
    targets.resize(static_cast<std::size_t>(options_.fanout));
  }
  for (Peer* it : targets) {
    if (!it->unanswered_since) it->unanswered_since = now;
    outgoing.push_back({it->member.peer_address, MakeProbe()});
  }
  int contacted = 0;
  for (const auto& [name, address] : contacts_) {
    if (++contacted > options_.fanout) break;
    outgoing.push_back({address, MakeProbe()});
  }
  return outgoing;
}

std::string RendezvousOwner(const std::vector<std::string>& candidates,
                            std::string_view subject) {
  std::string owner;
  std::uint64_t highest = 0;
  for (const std::string& it : candidates) {
    const std::uint64_t hash = HashBytes(it, HashBytes(subject));
    if (owner.empty() || hash > highest) {
      owner = it;
      highest = hash;
    }
  }
  return owner;
}

}  // namespace scaleshed
