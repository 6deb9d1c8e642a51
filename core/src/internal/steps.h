#ifndef SCALESHED_CORE_SRC_INTERNAL_STEPS_H_
#define SCALESHED_CORE_SRC_INTERNAL_STEPS_H_

// The steps that make up Reduce(). Each changes the state and appends effects;
// which file a step is in is said by the heading above it.

#include <optional>
#include <string>

#include "scaleshed/core/effects.h"
#include "scaleshed/core/events.h"
#include "scaleshed/core/state.h"

namespace scaleshed::internal {

// ---- admission.cc: from a caller's request to the queue.
void OnSubmit(State& state, const Submit& event, Effects& out);
void OnForwardCall(State& state, RequestKey key, const ForwardCall& message,
                   Effects& out);
void OnFinishedIdsRead(State& state, const FinishedIdsRead& event,
                       Effects& out);
// Asks the platform for what the home of a call that can't be reached any more
// has left; the answer goes to all that wait for it.
void ReadIdsOfHome(State& state, Request& request, Effects& out);
// The reason why the templates forbid the call, with a message, or nothing.
std::optional<Final> CheckAllowed(const State& state, const CallSpec& spec);

// ---- dispatch.cc: from the queue to the backend servers.
void Enqueue(State& state, Request& request, Duration delay);
// Places whatever can be placed now.
void Pump(State& state, Effects& out);
void OnHoldAnswer(State& state, const HoldAnswer& event, Effects& out);
void RenewHolds(State& state, Effects& out);
PlacementQuery MakeQuery(const State& state, const ModelCall& call,
                         Priority priority, const std::string* avoid);
void DispatchService(State& state, Request& request, Effects& out);

// ---- answers.cc: from the backend servers.
void OnStreamFrame(State& state, const StreamFrame& event, Effects& out);
void OnStreamEnd(State& state, const StreamEnd& event, Effects& out);
void OnAttemptFailed(State& state, const AttemptFailed& event, Effects& out);
void OnServiceAnswer(State& state, const ServiceAnswer& event, Effects& out);
// Fails streams that have stood still for too long.
void ExpireProgress(State& state, Effects& out);
// Fails every attempt of this daemon at a backend server that is gone.
void FailAttemptsAt(State& state, const std::string& backend, Effects& out);

// ---- finish.cc: the end of requests and attempts.
void Finish(State& state, Request& request, const Final& final, Effects& out);
// Ends a request that can't go on, with the outcome that is true of it.
void GiveUp(State& state, Request& request, Reason reason, std::string message,
            Duration retry_after, Effects& out);
// Answers a request that was never admitted.
void Refuse(State& state, RequestKey key, const Origin& origin,
            const Final& final, Effects& out);
void OnCallerGone(State& state, const CallerGone& event, Effects& out);
void OnCancelAnswer(State& state, const CancelAnswer& event, Effects& out);
void RetryCancels(State& state, Effects& out);
void ExpireRequests(State& state, Effects& out);
// Takes attempts from a request; those with memory at an engine are cancelled.
void DropAttempts(State& state, Request& request, Effects& out);
void ForgetAttempt(State& state, Request& request, AttemptId attempt);
void StartCancel(State& state, const Incarnation& holder, AttemptId attempt,
                 const std::string& backend, Effects& out);

// ---- peers.cc: membership and allowances.
void OnPeerReceived(State& state, const PeerReceived& event, Effects& out);
void TickMembership(State& state, Effects& out);
void TickAllowances(State& state, Effects& out);
AccountLimiter& LimiterOf(State& state, const AccountTemplate& account);
std::string AccountOwner(const State& state, const std::string& account);

// ---- platform.cc: configuration, lists, reports and the planned stop.
void OnInstancesListed(State& state, const InstancesListed& event,
                       Effects& out);
void OnConfigurationLoaded(State& state, const ConfigurationLoaded& event,
                           Effects& out);
void OnReportArrived(State& state, const ReportArrived& event, Effects& out);
void OnStopRequested(State& state, Effects& out);
void OnFinishedIdsWritten(State& state, const FinishedIdsWritten& event,
                          Effects& out);
void TickStop(State& state, Effects& out);
void TickConfiguration(State& state, Effects& out);

// ---- Shared.
Backend* FindBackend(State& state, const std::string& name);
std::int64_t CurrentBlock(const State& state);
Request* FindRequest(State& state, RequestKey key);
Request* RequestOf(State& state, AttemptId attempt);
Attempt* FindAttempt(Request& request, AttemptId attempt);

inline void Add(Effects& out, Counter counter) {
  out.push_back(Count{.counter = counter});
}

}  // namespace scaleshed::internal

#endif  // SCALESHED_CORE_SRC_INTERNAL_STEPS_H_
