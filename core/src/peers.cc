#include <algorithm>

#include "internal/steps.h"

namespace scaleshed::internal {
namespace {

constexpr Duration kAllowanceInterval = seconds(1);

void OnProbe(State& state, const Probe& probe, Effects& out) {
  state.membership.Receive(probe, state.now);
  if (probe.is_ack || probe.members.empty()) return;
  out.push_back(SendPeer{.peer_address = probe.members.front().peer_address,
                         .message = state.membership.MakeAck(probe)});
}

void OnForwardChunk(State& state, const ForwardChunk& message, Effects& out) {
  Request* request = FindRequest(state, message.origin_key);
  const bool counts = request != nullptr &&
                      message.origin == state.options.self.incarnation &&
                      request->phase == Phase::kForwarded &&
                      message.offset == request->next_offset;
  if (!counts) {
    Add(out, Counter::kLateFrames);
    return;
  }
  ++request->next_offset;
  request->checksum = ChainChecksum(request->checksum, message.text);
  if (std::holds_alternative<NoOrigin>(request->origin)) return;
  out.push_back(ReplyChunk{
      .key = request->key, .offset = message.offset, .text = message.text});
}

void OnForwardFinal(State& state, const Incarnation& from,
                    const ForwardFinal& message, Effects& out) {
  Request* request = FindRequest(state, message.origin_key);
  if (request == nullptr || request->phase != Phase::kForwarded) return;
  // Only the home's word counts, and only where it is meant for this
  // incarnation.
  if (request->home != from) return;
  if (message.origin != state.options.self.incarnation) return;
  Final final = message.final;
  const bool streamed =
      request->model_call() != nullptr && final.outcome == Outcome::kDone;
  if (streamed && (final.tokens != request->next_offset ||
                   final.checksum != request->checksum)) {
    final = Final{.outcome = Outcome::kUnknown,
                  .reason = Reason::kBackendFailed,
                  .message = "the call ended, but part of its answer was lost"};
  }
  Finish(state, *request, final, out);
}

Limits DemandOf(const AllowanceDemand& message) {
  return Limits{.requests_per_second = message.requests_per_second,
                .tokens_per_second = message.tokens_per_second,
                .tokens_in_flight = message.tokens_in_flight};
}

Limits DivideOwned(State& state, const AccountTemplate& account,
                   const std::string& instance, const Limits& demand) {
  const auto [it, added] =
      state.owned.try_emplace(account.name, AllowanceOwner(state.now));
  return it->second.Divide(account.limits, state.membership.KnownInstances(),
                           instance, demand, state.now,
                           state.options.allowance_valid_for);
}

void OnAllowanceDemand(State& state, const Incarnation& from,
                       const AllowanceDemand& message, Effects& out) {
  const auto account = state.configuration.accounts.find(message.account);
  const Member* peer = state.membership.Find(from.instance);
  if (account == state.configuration.accounts.end() || peer == nullptr) return;
  if (AccountOwner(state, message.account) !=
      state.options.self.incarnation.instance) {
    return;
  }
  const Limits share =
      DivideOwned(state, account->second, from.instance, DemandOf(message));
  out.push_back(SendPeer{.peer_address = peer->peer_address,
                         .message = AllowanceGrant{
                             .account = message.account,
                             .share = share,
                             .valid_for = state.options.allowance_valid_for}});
}

void OnAllowanceGrant(State& state, const Incarnation& from,
                      const AllowanceGrant& message) {
  const auto it = state.limiters.find(message.account);
  if (it == state.limiters.end()) return;
  // A grant by an owner of the past would come on top of the present one's.
  if (AccountOwner(state, message.account) != from.instance) return;
  it->second.Grant(message.share, state.now + message.valid_for, state.now);
}

// A forwarded call whose home is over ends at once, with what the home left.
void EndForwardedTo(State& state, const Member& gone, Effects& out) {
  std::vector<RequestKey> lost;
  for (const auto& [key, request] : state.requests) {
    const bool waits = request.phase == Phase::kForwarded &&
                       request.home.instance == gone.incarnation.instance;
    if (waits && !state.membership.IsReachable(request.home))
      lost.push_back(key);
  }
  std::sort(lost.begin(), lost.end());
  for (const RequestKey it : lost) {
    ReadIdsOfHome(state, state.requests.at(it), out);
  }
}

}  // namespace

AccountLimiter& LimiterOf(State& state, const AccountTemplate& account) {
  const auto [it, added] = state.limiters.try_emplace(account.name);
  if (added) {
    it->second.SetShare(account.limits, state.membership.KnownInstances(),
                        state.now);
  }
  return it->second;
}

std::string AccountOwner(const State& state, const std::string& account) {
  std::vector<std::string> candidates;
  for (const Member* it : state.membership.Members()) {
    if (it->state == MemberState::kAlive) {
      candidates.push_back(it->incarnation.instance);
    }
  }
  return RendezvousOwner(candidates, account);
}

void OnPeerReceived(State& state, const PeerReceived& event, Effects& out) {
  std::visit(
      Overloaded{
          [&](const Probe& it) { OnProbe(state, it, out); },
          [&](const ForwardCall& it) {
            OnForwardCall(state, event.key, it, out);
          },
          [&](const ForwardChunk& it) { OnForwardChunk(state, it, out); },
          [&](const ForwardFinal& it) {
            OnForwardFinal(state, event.from, it, out);
          },
          [&](const AllowanceDemand& it) {
            OnAllowanceDemand(state, event.from, it, out);
          },
          [&](const AllowanceGrant& it) {
            OnAllowanceGrant(state, event.from, it);
          },
      },
      event.message);
}

void TickMembership(State& state, Effects& out) {
  for (auto& it : state.membership.Tick(state.now, state.random)) {
    out.push_back(SendPeer{.peer_address = std::move(it.peer_address),
                           .message = std::move(it.probe)});
  }
  for (const Member& it : state.membership.TakeChanges()) {
    out.push_back(
        LogChange{.what = "member",
                  .subject = ToString(it.incarnation),
                  .detail = std::string(NameIn(kMemberStateNames, it.state))});
    EndForwardedTo(state, it, out);
  }
}

void TickAllowances(State& state, Effects& out) {
  if (state.now < state.next_allowance) return;
  state.next_allowance = state.now + kAllowanceInterval;
  const std::string& self = state.options.self.incarnation.instance;
  std::erase_if(state.owned, [&](const auto& it) {
    return AccountOwner(state, it.first) != self;
  });
  for (auto& [name, limiter] : state.limiters) {
    const auto account = state.configuration.accounts.find(name);
    if (account == state.configuration.accounts.end()) continue;
    limiter.SetShare(account->second.limits, state.membership.KnownInstances(),
                     state.now);
    const Limits demand = limiter.TakeDemand(state.now);
    // An account that sends nothing here needs no more than its even share.
    const bool idle =
        demand.requests_per_second <= 0 && demand.tokens_in_flight <= 0;
    if (idle) continue;
    const std::string owner = AccountOwner(state, name);
    if (owner == self) {
      limiter.Grant(DivideOwned(state, account->second, self, demand),
                    state.now + state.options.allowance_valid_for, state.now);
      continue;
    }
    const Member* peer = state.membership.Find(owner);
    if (peer == nullptr) continue;
    out.push_back(SendPeer{
        .peer_address = peer->peer_address,
        .message =
            AllowanceDemand{.account = name,
                            .requests_per_second = demand.requests_per_second,
                            .tokens_per_second = demand.tokens_per_second,
                            .tokens_in_flight = demand.tokens_in_flight}});
  }
}

}  // namespace scaleshed::internal
