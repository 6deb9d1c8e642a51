#include "scaleshed/core/membership.h"

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>

namespace scaleshed {
namespace {

Member MakeMember(const std::string& name, std::uint64_t number = 1) {
  return {.incarnation = {.instance = name, .number = number},
          .address = name,
          .peer_address = name,
          .version = 1};
}

Time At(Duration since) { return Time{seconds(100)} + since; }

// Members that hand each other their messages at once.
class Group {
 public:
  explicit Group(int n) {
    for (int it = 0; it < n; ++it) {
      const std::string name = "m" + std::to_string(it);
      members_[name] =
          std::make_unique<Membership>(MakeMember(name), MembershipOptions());
    }
  }
  Membership& operator[](const std::string& name) { return *members_.at(name); }
  void Introduce(const std::string& to, const std::string& who, Time now) {
    members_.at(to)->Receive({.members = {MakeMember(who)}}, now);
  }
  void Kill(const std::string& name) { members_.erase(name); }
  void Round(Time now) {
    for (auto& [name, it] : members_) {
      for (const auto& out : it->Tick(now, random_)) {
        const auto peer = members_.find(out.peer_address);
        if (peer == members_.end()) continue;
        peer->second->Receive(out.probe, now);
        it->Receive(peer->second->MakeAck(out.probe), now);
      }
    }
  }

 private:
  std::map<std::string, std::unique_ptr<Membership>> members_;
  std::mt19937_64 random_{1};
};

TEST_CASE("News of a member reaches all, and so does its death") {
  constexpr int kMembers = 40;
  Group group(kMembers);
  for (int it = 1; it < kMembers; ++it) {
    group.Introduce("m" + std::to_string(it), "m0", At(seconds(0)));
  }
  Duration now{};
  for (int it = 0; it < 40; ++it) group.Round(At(now += milliseconds(500)));
  CHECK(group["m7"].Members().size() == kMembers);
  group.Kill("m3");
  for (int it = 0; it < 60; ++it) group.Round(At(now += milliseconds(500)));
  CHECK(group["m7"].Members().size() == kMembers - 1);
  CHECK(group["m7"].IsOver({.instance = "m3", .number = 1}));
}

TEST_CASE("A suspicion is refuted by a higher version") {
  Membership membership(MakeMember("self"), {});
  Member doubted = MakeMember("self");
  doubted.state = MemberState::kSuspect;
  doubted.version = 5;
  membership.Receive({.members = {MakeMember("b"), doubted}}, At(seconds(0)));
  CHECK(membership.self().version == 6);
}

TEST_CASE("A lower incarnation is never believed again") {
  Membership membership(MakeMember("self"), {});
  membership.Receive({.members = {MakeMember("b", 2)}}, At(seconds(0)));
  membership.Receive({.members = {MakeMember("b", 1)}}, At(seconds(1)));
  CHECK(membership.Find("b")->incarnation.number == 2);
  CHECK(membership.IsOver({.instance = "b", .number = 1}));
  CHECK_FALSE(membership.IsOver({.instance = "b", .number = 2}));
}

TEST_CASE("Death is final for an incarnation") {
  Membership membership(MakeMember("self"), {});
  Member dead = MakeMember("b");
  dead.state = MemberState::kDead;
  membership.Receive({.members = {dead}}, At(seconds(0)));
  Member alive = MakeMember("b");
  alive.version = 99;
  membership.Receive({.members = {alive}}, At(seconds(1)));
  CHECK_FALSE(membership.IsReachable({.instance = "b", .number = 1}));
}

TEST_CASE("Silent members still count in the divisor of even shares") {
  Membership membership(MakeMember("self"), {});
  std::vector<Instance> list;
  list.reserve(9);
  for (int it = 0; it < 9; ++it) list.push_back({.name = std::to_string(it)});
  membership.Listed(list);
  CHECK(membership.KnownInstances() == 9);
}

TEST_CASE("All find the same owner, and few move when one goes") {
  std::vector<std::string> members;
  members.reserve(9);
  for (int it = 0; it < 9; ++it) members.push_back("m" + std::to_string(it));
  std::vector<std::string> fewer(members.begin(), members.end() - 1);
  int moved = 0;
  for (int it = 0; it < 220; ++it) {
    const std::string account = "account-" + std::to_string(it);
    const std::string before = RendezvousOwner(members, account);
    const std::string after = RendezvousOwner(fewer, account);
    if (before == "m8") continue;
    if (before != after) ++moved;
  }
  CHECK(moved == 0);
}

}  // namespace
}  // namespace scaleshed
