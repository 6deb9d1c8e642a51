#ifndef SCALESHED_SERVING_INTERNAL_STEPS_H_
#define SCALESHED_SERVING_INTERNAL_STEPS_H_

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "scaleshed/serving/state.h"

// The steps of Reduce(), grouped by the file that implements them. A step
// changes the state and appends to the state's effects.
namespace scaleshed::serving::internal {

// admission.cc: admits clients' requests and ends them.

void AdmitRequest(State& state, const RequestArrived& event);
// Admits early requests once a configuration and the backend servers are known;
// refuses early requests that waited too long.
void AdmitEarlyRequests(State& state);
void OnClientGone(State& state, const ClientDisconnected& event);
// Refuses a request, unless one of its attempts stalls but stands: that one
// becomes the current attempt again, and the request goes on.
void RefuseRequest(State& state, Request& request, Refusal reason,
                   Duration retry_after);
// Refuses a request and ends all its attempts.
void EndWithRefusal(State& state, Request& request, Refusal reason,
                    Duration retry_after);
// Erases a request whose response is complete or was aborted, and ends all its
// attempts.
void EraseRequest(State& state, RequestKey key);
// Ends the request's current attempt, if there is one. `cancel` also aborts it
// at its backend server.
void EndAttempt(State& state, Request& request, bool cancel);
// Drops an attempt that was not sent; the request is placed again after
// `delay`.
void Requeue(State& state, Request& request, Duration delay);

// starting.cc: starts requests, or queues them until they can start.

void TryStart(State& state, Request& request);
// Places a request by what this daemon itself knows, without a placer.
void PlaceLocally(State& state, Request& request);
// Begins an attempt at the backend servers that `placement` names.
void StartPlacedAttempt(State& state, Request& request,
                        const Placement& placement);
// Refuses a prompt that a placement decision called too large: for good if it
// exceeds the largest group of engines by this daemon's configuration.
void RefuseTooLarge(State& state, Request& request);
// Gives the request a new attempt, which is not sent yet.
void BeginAttempt(State& state, Request& request);
// Returns how long an attempt may bring nothing before it counts as stalled, if
// the first token is expected after `first_token`.
Duration ProgressTimeout(const Request& request, Duration first_token);
// Uses the request's reserved retry. If the budget no longer allows it, refuses
// the request and returns false.
bool CommitRetryOrRefuse(State& state, Request& request);
// Records that the request's attempt is sent now.
void RecordSend(State& state, Request& request);
// Keeps the request waiting because of `shortage`; it is placed again after
// `delay`.
void QueueRequest(State& state, Request& request, Duration delay,
                  Shortage shortage);
void StartWaitingRequests(State& state);
void OnMemoryAnswered(State& state, const MemoryReservationAnswered& event);
// Renews the reservations of the request's attempts that are due.
void RenewReservations(State& state, Request& request);
void ReleaseReservations(State& state, Attempt& attempt);

// deciding.cc: decides where a request of this or another daemon goes.

// The description of a request that DecidePlacement() needs, whether the
// request is this daemon's or came with a PlacementRequest.
struct PlacementDemand {
  std::string id;  // as logged
  std::string service;
  std::int64_t prompt_tokens = 0;
  std::int64_t answer_tokens = 0;
  Time arrived{};
  Time due{};
  Time deadline{};
  Duration prefill_time{};
  std::set<BackendId> excluded;
  std::uint64_t fingerprint = 0;
  bool crash_suspected = false;  // by the daemon that sends it
  // Fingerprints of the prompt parts that are crash-suspected.
  std::set<std::uint64_t> suspected_parts;
  std::string data_centre;  // of the daemon that sends it
  AllowedRegions allowed_regions;
  std::optional<Shortage> waits_for;  // has waited for this
  // Servers that the sending daemon backs off from.
  std::set<BackendId> backing_off;
};
PlacementDemand DemandOf(const State& state, const Request& request);
// Placement decision for a prompt that can't be served before its deadline. The
// client may retry after `retry_after`; `shortage` says what is lacking.
struct DeadlineUnreachable {
  Duration retry_after{};
  Shortage shortage = Shortage::kEngines;
};
// Returns the refusal that the client gets for a shortage of the service.
Refusal RefusalFor(const State& state, const std::string& service,
                   Shortage shortage);
// Retry-After of a prompt that needs more engines than there are. An engine
// that crashed, or whose entry was lost, is mostly back by then.
inline constexpr Duration kMissingEnginesRetryAfter = seconds(2);
using PlacementDecision =
    std::variant<Placement, NoCapacityNow, TooLarge, DeadlineUnreachable>;
PlacementDecision DecidePlacement(State& state, const PlacementDemand& demand);
// Returns null if `service` isn't a service of engines.
const EngineTiming* TimingOf(const State& state, const std::string& service);

// relays.cc: passes requests to daemons that reach the servers.

// Relays a request if this daemon doubts its own path to the service, or
// refuses it if nobody reaches the service. Returns false if the request is to
// be sent by this daemon.
bool RelayOrRefuse(State& state, Request& request);
// Whether this daemon serves as many relayed requests as it may.
bool IsOverRelayLimit(const State& state);
// Whether the request was relayed to a daemon that isn't live any more.
bool IsRelayGone(const State& state, const Request& request);
// Records that the daemon which a request was relayed to didn't serve it.
void RecordRelayFailure(State& state, Request& request,
                        const std::string& relay);
void OnRelayRefused(State& state, const RelayRefused& event);

// dispatch.cc: remote placement, by which one daemon places another's prompts.

// Requests a placement from the next placer, or places locally if no placer
// responds.
void RequestRemotePlacement(State& state, Request& request);
// Withdraws the placement request of a waiting request that has ended.
void WithdrawPlacement(State& state, const Request& request);
void OnPlacementResponse(State& state, const PlacementResponse& response);
void OnPlacementRequest(State& state, const PlacementRequest& request);
// Tries again to place the waiting prompts of other daemons.
void RetryRemotePlacements(State& state);
// Drops the placements made for a daemon that the daemon's own published active
// requests now cover.
void DropPublishedPlacements(State& state, const LoadSnapshot& snapshot);

// audience.cc: placement duties, and which daemons receive whose snapshots.

// Returns the hash that orders equally strong machines for a duty.
std::uint64_t RankOf(const std::string& peer_address,
                     const std::string& subject);
// Returns the peer addresses of the daemons that can have a duty: of known
// members that fulfil `can`, and of this daemon if `self` is set. The strongest
// machines come first, equal ones in the order of RankOf() with the duty's
// `subject`. Daemons with the same knowledge compute the same order, so they
// agree on duties without messages.
std::vector<std::string> StrongestOf(
    const State& state, const std::string& subject, bool self,
    const std::function<bool(const Member&)>& can);
bool IsPlacer(const State& state, const std::string& peer_address);
// Whether this daemon receives the active requests of all daemons.
bool ReceivesAllActiveRequests(const State& state);
// Whether this daemon receives all active requests because it places for
// others.
bool PlacesForOthers(const State& state);
void UpdatePlacementDuties(State& state);
// Chooses between local placement, in a fleet so small that every daemon can
// receive the active requests of all others, and placement by placers.
void UpdatePlacementMode(State& state);
// Whether `peer` receives this daemon's heartbeats.
bool ReceivesHeartbeats(const State& state, const std::string& peer);
// Whether `peer` receives this daemon's active requests.
bool ReceivesActiveRequests(const State& state, const std::string& peer);
// Returns the empty string if the peer's data centre is unknown.
std::string DataCentreOf(const State& state, const std::string& peer);
// Whether `peer`, while it runs, sends heartbeats to this daemon.
bool SendsUsHeartbeats(const State& state, const std::string& peer);

// queue.cc: the queue of waiting long prompts, in one order for all daemons.

// Returns a prompt's queue key. Prompts start in the order of their keys.
Time QueueKeyOf(const State& state, Time arrived, Time due,
                Duration prefill_time);
Time QueueKeyOf(const State& state, const PlacementDemand& demand);
Time QueueKeyOf(const State& state, const Request& request);
Time QueueKeyOf(const State& state, const RemotePlacement& placement);
// Whether the request waits until a server's rate limit admits it.
bool AwaitsRateLimit(const Request& request);
// Returns this daemon's waiting requests for the queue of all daemons.
std::vector<WaitingRequest> WaitingOf(const State& state);
// Estimate of a request's wait, counted from now: until it starts and until its
// first token.
struct QueueEstimate {
  std::size_t ahead = 0;  // waiting requests with an earlier queue key
  Duration start{};
  Duration first_token{};
};
QueueEstimate EstimateQueue(const State& state, const PlacementDemand& demand,
                            const EngineTiming& timing, std::size_t engines);
// Returns the Retry-After time for the client of a request that is expected to
// be able to start after `expected`.
Duration RetryAfterOf(const State& state, const PlacementDemand& demand,
                      Duration expected);
// Returns a value if the prompt can't be served before its deadline.
std::optional<DeadlineUnreachable> CheckDeadline(State& state,
                                                 const PlacementDemand& demand,
                                                 const QueueEstimate& estimate);

// repeats.cc: decides whether a request may be sent once more.

// The rule that forbids one more send of a request: its kind, its number of
// possible runs, its remaining time, or the retry budget.
enum class RetryDenial { kNothing, kKind, kRuns, kTime, kBudget };
inline constexpr NameTable<RetryDenial, 5> kRetryDenialNames{{
    {RetryDenial::kNothing, "nothing"},
    {RetryDenial::kKind, "kind"},
    {RetryDenial::kRuns, "runs"},
    {RetryDenial::kTime, "time"},
    {RetryDenial::kBudget, "budget"},
}};
// Counts a request for the retry budget of its service.
void CountRequest(State& state, const Request& request);
// Returns what forbids a retry of a request that has not run, and reserves the
// retry if nothing does.
RetryDenial ReserveRetry(State& state, Request& request);
// Returns what forbids a rerun, the retry of a request that may have run, and
// reserves it if nothing does.
RetryDenial ReserveRerun(State& state, Request& request);
// Uses the reserved retry, if there is one, for a send that happens now.
// Returns false if the retry budget no longer allows the reserved retry.
bool CommitRetry(State& state, Request& request);
// Returns the reserved retry of a request that won't be sent again.
void ReleaseRetry(State& state, Request& request);

// attempts.cc: processes backend servers' responses and their failures.

// Records that a part of a response to the attempt has come.
void RecordResponse(State& state, const Request& request, Attempt& attempt);
// Returns the request of an attempt, which may stall; nullptr if the attempt
// has ended.
Request* RequestOf(State& state, AttemptId attempt);
// Records what an attempt shows of the path that has waited too long for any
// part of a response. A server that takes connections and is slow is reached.
void RecordSilence(State& state, const Attempt& attempt);
// Whether the request is at a backend server, or reserves memory there, by this
// daemon's own attempt.
bool IsAtBackend(const Request& request);
// Whether the current attempt is counted for placement, here and by the daemons
// that it is published to. A stream that stalls isn't: it would keep an engine
// that is on probation from getting the prompt that shows whether it works.
bool CountsForPlacement(const Request& request);
// Handles an attempt that may have run but brought no complete response: reruns
// the request if it may, else fails it.
void HandleLostAttempt(State& state, Request& request,
                       const std::string& reason);
// Handles an attempt that didn't run: retries the request if the retry budget
// allows it, else refuses the request.
void HandleDeclinedAttempt(State& state, Request& request);
void OnConnecting(State& state, const AttemptConnecting& event);
void OnConnected(State& state, const AttemptConnected& event);
void OnStreamEvent(State& state, const StreamEvent& event);
void OnAnswered(State& state, const AttemptAnswered& event);
void OnFailed(State& state, const AttemptFailed& event);
// Ends requests at their deadlines, and hedges attempts that make no progress
// before their deadline for it.
void ExpireAttempts(State& state);
// Fails the attempts at a backend incarnation that has ended and was replaced
// under the same instance id.
void FailAttemptsAt(State& state, BackendId backend);

// stalled_attempts.cc: attempts that bring nothing for long while their
// connections stand. A silent server may be sound and go on, so that its
// attempt is given up only once another one has taken its place.

// Whether the attempt has brought nothing for too long and not gone on since.
bool IsStalled(const Attempt& attempt);
// Whether the current attempt stalls and it is time to hedge it.
bool IsHedgeDue(const State& state, const Request& request);
// Sets the current attempt aside and starts another one, its hedge, if the
// request may run once more; otherwise leaves the request to the attempt.
void HedgeAttempt(State& state, Request& request, const std::string& reason);
// Returns the attempt of that id, which is the current one or stalls.
Attempt& AttemptOf(Request& request, AttemptId id);
// Makes a stalled attempt that goes on the current one, in place of its hedge.
// Does nothing if it is the current one already.
void ResumeStalled(State& state, Request& request, AttemptId id);
// Makes the latest stalled attempt the current one as its hedge is of no use.
// Returns false if there is none.
bool ReturnToStalled(State& state, Request& request, Refusal reason);
// Ends all stalled attempts, as another one took their place.
void EndStalled(State& state, Request& request);
// Forgets a stalled attempt that has ended by itself.
void DropStalled(State& state, Request& request, AttemptId id);

// backends.cc: tracks the listed backend servers and their health.

// Returns the id of one backend incarnation. Whatever refers to the id doesn't
// apply to the server's next incarnation.
BackendId IdOf(const BackendServer& server);
Backend* FindBackend(State& state, BackendId id);
void OnListed(State& state, const BackendServer& server);
void OnUnlisted(State& state, const BackendUnlisted& event);
void OnAllListed(State& state, const BackendsListed& event);
// Drops servers whose entry expired, and ends the time for which restored
// entries are kept out.
void DropLapsedBackends(State& state);
void RecordSuccess(State& state, BackendId id);
void RecordFailure(State& state, BackendId id, const std::string& reason);
void RecordFailedResponse(State& state, BackendId id);
// Treats the server as leaving, as something else showed that it ended.
void RecordBackendGone(State& state, BackendId id, const std::string& reason);
// Keeps new requests away from the server for `length`, unless too many servers
// are kept out already.
void SuspectBackend(State& state, Backend& backend, Duration length,
                    const std::string& reason);
// Keeps new requests away, in the manner of SuspectBackend(), from an engine
// that reports a slowdown; the engine's next good report ends it.
void AvoidSlowBackend(State& state, Backend& backend, Duration length);
// Backs off for `length` from a server that asked for it, and makes other
// daemons suspect it too, since the server would ask them for a backoff next.
void ApplyBackoff(State& state, Backend& backend, Duration length);
// Returns the servers that this daemon or another serving daemon suspects.
std::set<BackendId> SuspectedBackends(const State& state);
// Applies a suspicion of this daemon or of another one.
void ApplySuspicion(State& state, const Suspicion& suspicion);
// Whether the server is back after a suspicion and hasn't been seen to make
// progress yet.
bool IsOnProbation(const State& state, const Backend& backend);
// Ends the probation of each server that decodes an active request which began
// during the probation.
void EndProbations(State& state,
                   const std::vector<const ActiveRequest*>& requests);
// Returns the servers of a service that may get a new request under these
// terms, in ascending order of their ids. Without terms, cold ones are among
// them.
std::vector<const Backend*> OpenBackends(const State& state,
                                         const std::string& service,
                                         const SendTerms& terms = {
                                             .has_warm_up_grant = true});

// send_blocks.cc: whether a backend server may get a request.

// Returns the region of a data centre; empty if it is unknown.
std::string RegionOf(const State& state, const std::string& data_centre);
// Whether an evacuation of the data centre is in force.
bool IsEvacuated(const State& state, const std::string& data_centre);
// Whether the server is known to be cold and its service limits the rate of
// cold servers.
bool IsCold(const State& state, const Backend& backend);
// Whether a request may run in the region. An unknown (empty) region is allowed
// only if all are.
bool IsRegionAllowed(const AllowedRegions& allowed, const std::string& region);
// Returns why the server may not get a request now, or nothing if it may. To be
// asked at the moment of each send, also of helpers, reservations and probes.
std::optional<SendBlock> FindSendBlock(const State& state,
                                       const Backend& backend,
                                       const SendTerms& terms);
// Whether any server of the request's service may get it, cold ones included.
bool HasOpenBackend(const State& state, const Request& request);
// Returns the refusal of a request for which no server of its service is open.
Refusal RefusalWithoutServer(const State& state, const std::string& service,
                             const AllowedRegions& allowed_regions);
// Restricts `allowed` to the listed regions, if there is a list.
void RestrictRegions(AllowedRegions& allowed,
                     const std::optional<std::vector<std::string>>& listed);
// Returns the regions that both the route and the account allow; `account` may
// be null.
AllowedRegions AllowedRegionsOf(const Route& route,
                                const ClientAccount* account);

// evacuations.cc: evacuations of data centres, which operators request in the
// store.

// Apply what the store holds.
void OnEvacuationStored(State& state, const StoredEvacuation& stored);
void OnAllEvacuationsListed(State& state, const AllEvacuationsListed& event);
void OnEvacuationKeyUnreadable(State& state,
                               const EvacuationKeyUnreadable& event);
// Applies what the daemon `peer` has relayed or published.
void ApplyPeerEvacuations(State& state,
                          const std::vector<StoredEvacuation>& evacuations,
                          const std::string& peer);
// Ends evacuations that a restored store lacks, logs those that are drained and
// drops old withdrawals.
void UpdateEvacuations(State& state);
// Returns the evacuations in force or recently withdrawn.
std::vector<StoredEvacuation> KnownEvacuations(const State& state);
// Returns them for a snapshot, or with `only_unpublished` the unpublished
// changes.
std::vector<StoredEvacuation> EvacuationsToPublish(State& state,
                                                   bool only_unpublished);
// See StoreDigest::evacuations.
std::uint64_t EvacuationDigest(const State& state);
// Whether a relay with this digest confirms the evacuations known here.
bool IsEvacuationDigestEqual(const State& state, const StoreDigest& digest);
// See PollStore::evacuations.
std::vector<std::pair<std::string, StoreRevision>> EvacuationsToConfirm(
    const State& state);
// Whether an evacuation is in force whose request isn't known to be in the
// store's current epoch.
bool IsAnyEvacuationUnlocated(const State& state);
// Returns a request's placement if it uses a server of an evacuated data
// centre, which the placer may not have known. The servers are excluded, and
// the request is placed again after `delay`.
bool ReturnIfEvacuated(State& state, Request& request, Duration delay);
// Cancels an attempt whose connection isn't established yet if it goes to an
// evacuated data centre. It counts as not sent.
bool CancelIfEvacuated(State& state, Request& request);
// Refuses a request if all servers that it may use are evacuated.
bool RefuseIfAllEvacuated(State& state, Request& request);
// Whether some servers of the service are evacuated.
bool IsAnyEvacuated(const State& state, const std::string& service);
// Whether this daemon may probe the server: it isn't evacuated, or a request of
// this daemon other than `ended` still runs there.
bool MayProbe(const State& state, const Backend& backend,
              const Request* ended = nullptr);
// Records a server that is newly listed as cold if its data centre was just
// reopened.
void WarmUpIfReopened(State& state, const Backend& backend);
// regions.cc: the regions of daemons and hosts.

// Return the region of this daemon and of the daemons of a data centre; empty
// if it is unknown.
std::string OwnRegion(const State& state);
std::string RegionOfDaemons(const State& state, const std::string& data_centre);
// Whether a request with these allowed regions may be relayed to the daemon.
bool MayGetBody(const State& state, const Member& member,
                const AllowedRegions& allowed_regions);
// Returns the regions that all routes of the host allow.
AllowedRegions RegionsOfHost(const State& state, const std::string& host);
// Applies the allowed regions of a new configuration to the requests that were
// admitted before.
void UpdateAllowedRegions(State& state);

// warm_ups.cc: backend servers that are cold.

// Records that the server is cold for `left` from now, as `source` says.
void RecordWarmUp(State& state, const Backend& backend, Duration left,
                  WarmUpSource source);
// Applies what the server's entry says. `is_new`: the incarnation was unknown
// before, so that no daemon can have sent to it as to a warm server.
void ApplyEntryWarmUp(State& state, const Backend& backend, bool is_new);
// Treats the server as cold, as a later incarnation runs at its address whose
// entry isn't known yet.
void RecordRestart(State& state, const Backend& backend);
// Drops the records of servers that are gone or warm.
void DropWarmUps(State& state);
// Whether a server of the service is cold, or of any service.
bool AnyCold(const State& state, const std::string& service);
bool AnyCold(const State& state);
// The servers that may get a request now, by what is known of their warm-ups:
// the warm ones, and the cold ones for which this daemon has a grant.
struct WarmUpChoice {
  std::vector<const Backend*> warm;
  std::vector<const Backend*> granted;
};
WarmUpChoice ChooseByWarmUp(State& state, const PlacementDemand& demand,
                            const std::vector<const Backend*>& open);
// Decides about a request that none of `open` may get now because they are
// cold.
PlacementDecision WaitForWarmUp(State& state, const PlacementDemand& demand,
                                const std::vector<const Backend*>& open);
// Counts a placement against the meters of its cold servers. Returns these, and
// those of its servers that are known to be warm while others may not know it.
std::vector<BackendId> TakeWarmUpGrants(State& state,
                                        const Placement& placement);
// Whether the request's current attempt may be sent to the server as far as its
// warm-up matters.
bool HasWarmUpGrant(const State& state, const Request& request,
                    const Backend& backend);
// Returns the cold servers of a placement that the placer didn't count.
std::vector<BackendId> UngrantedServersAt(State& state,
                                          const PlacementResponse& response);
// Asks servers whose warm-up is only presumed whether they are cold.
void CheckColdHealth(State& state);
void OnHealthChecked(State& state, const HealthChecked& event);

// warm_up_lease.cc: which daemon grants requests to cold servers.

// Whether this daemon holds the lease, and whether it may grant by it.
bool HoldsWarmUpLease(const State& state);
bool GrantsWarmUps(const State& state);
// Returns the time until this daemon can grant; if it doesn't hold the lease,
// the longest time that a change of the granter takes.
Duration TimeUntilGranting(const State& state);
// Returns another daemon that grants and isn't suspected; empty: none.
std::string FindWarmUpGranter(const State& state);
// Takes, renews or releases the lease as this daemon's duties demand.
void UpdateWarmUpLease(State& state);
void OnWarmUpLeaseHeld(State& state, const WarmUpLeaseHeld& event);
void OnWarmUpLeaseRefused(State& state, const WarmUpLeaseRefused& event);
void OnWarmUpLeaseLost(State& state, const WarmUpLeaseLost& event);

// endings.cc: crashes of backend servers and quarantine of the requests that
// may cause them.

// Records that a backend incarnation ended while it ran a request with that
// fingerprint. `incident` and `interrupted_at` are those of Crash.
void RecordCrash(State& state, std::uint64_t fingerprint, BackendId incarnation,
                 BackendId incident, Time interrupted_at);
// Number of servers that crashed in the last seconds.
std::size_t CountRecentCrashes(const State& state);
// Whether servers crash for another reason than this request or part, so that a
// crash under it says little (see Crash::among_others).
bool IsAmongOtherCrashes(const State& state, SuspectKind kind,
                         std::uint64_t fingerprint);
// The number of recent crashes up to which one says something of a fingerprint
// that was there.
inline constexpr std::size_t kMaxIsolatedCrashes = 2;
// The crashes of all fingerprints of one kind.
Quarantine& QuarantineOf(State& state, SuspectKind kind);
// Applies a crash, or its clearing, that this daemon found out or that `source`
// published.
void ApplyCrash(State& state, const Crash& crash, const std::string& source);
// Applies stored crashes that come by watch, relay or list.
void OnCrashesStored(State& state, const StoredCrashes& stored);
void OnAllCrashesListed(State& state, const AllCrashesListed& event);
void OnSaveCrashesFinished(State& state);
// Saves the crashes that the store lacks, if that is this daemon's duty and
// due.
void SaveCrashesIfDue(State& state);
// Clears the fingerprint of a request that got a complete response: the crashes
// that happened while it ran had another cause.
void ClearAfterSuccess(State& state, const Request& request);
// Applies crashes that another daemon publishes.
void ApplyCrashes(State& state, const std::vector<Crash>& crashes);
// Refuses a request whose fingerprint, or one of whose prompt parts, is
// quarantined. Returns whether it did.
bool RefuseIfQuarantined(State& state, Request& request);
// Whether a crash check is under way that may add a crash to the fingerprint.
bool AwaitsCrashCheck(const State& state, std::uint64_t fingerprint);
// Whether an attempt with the fingerprint was just interrupted at a server that
// may still run.
bool AwaitsLivenessSignal(const State& state, std::uint64_t fingerprint);
// Whether the fingerprint may be what crashes servers.
bool IsCrashSuspected(const State& state, std::uint64_t fingerprint);
// Returns the fingerprints that this daemon's crash checks are about, for the
// other daemons to wait for as well.
std::vector<std::uint64_t> FingerprintsUnderCheck(const State& state);
// Isolation keeps requests with a fingerprint that has crashed servers, or is
// suspected to, together at one server or one at a time, so that a further
// crash hits few other requests. If `backend` is null and `wait` is false,
// placement is unrestricted.
struct Isolation {
  const Backend* backend = nullptr;  // the server that must run the request
  bool wait = false;                 // the request must not start now
  // The fingerprint is crash-suspected. Otherwise the isolation results only
  // from active requests with the same fingerprint.
  bool crash_suspected = false;
};
Isolation FindIsolation(const State& state, const PlacementDemand& demand,
                        const std::vector<const Backend*>& open);
// Records where a request that is subject to isolation goes.
void RecordIsolation(State& state, const PlacementDemand& demand,
                     const Isolation& isolation);

// crashing_parts.cc: prompt parts that may crash backend servers.

// Whether the response to the request's attempt has got past its beginning: a
// server that crashes when it begins a response would have crashed by then.
bool IsPastBeginning(const Request& request, const Attempt& attempt);
// Clears the request's prompt parts if the response has got past its beginning.
void ClearPartsOnProgress(State& state, Request& request);
// Clears the prompt parts of a request with a complete response; if it came
// soon, once the server is seen to run on.
void ClearPartsAfterSuccess(State& state, const Request& request);
// Applies the pending clearances that are due, and drops old ones.
void UpdatePartClearances(State& state);
// Whether a response has recently cleared the part here.
bool IsClearedPart(const State& state, std::uint64_t part);
// Adds the request's parts to the check of a server at which it was
// interrupted.
void SuspectParts(const Request& request, const Attempt& attempt,
                  LivenessCheck& check);
// Holds the crash of the checked incarnation against the parts that aren't
// cleared.
void RecordPartCrashes(State& state, const LivenessCheck& check,
                       BackendId incarnation);
// Returns the request's parts that are crash-suspected.
std::set<std::uint64_t> SuspectedParts(const State& state,
                                       const RequestMetadata& metadata);
// Whether a crash check is under way that may add a crash to one of these
// suspected parts.
bool AwaitsPartCheck(const State& state, const std::set<std::uint64_t>& parts);
// Whether any daemon has a request with one of these parts at a server, whose
// response hasn't got past its beginning.
bool IsSuspectedPartActive(const State& state,
                           const std::set<std::uint64_t>& parts);
// Returns a part for which the request is to be refused, or nullptr.
const PromptPart* FindQuarantinedPart(const State& state,
                                      const RequestMetadata& metadata);
// Returns the parts that this daemon's crash checks are about.
std::vector<std::uint64_t> PartsUnderCheck(const State& state);
// Updates ActiveRequest::suspected_parts if suspicions have changed.
void UpdateSuspectedParts(State& state);
// Returns a text form of fingerprints of parts, for a log field.
std::string PartFingerprintsText(const std::set<std::uint64_t>& parts);

// life_checks.cc: liveness checks of backend servers at which responses were
// interrupted.

void CheckLiveness(State& state, const Request& request, const Attempt& attempt,
                   BackendId backend);
// The same for all servers of the attempt.
void CheckLivenessOfAll(State& state, const Request& request,
                        const Attempt& attempt);
void OnLivenessProbed(State& state, const LivenessProbed& event);
// Applies the end of a backend incarnation, whichever daemon detected it.
void EndIncarnation(State& state, BackendId backend);
// Records a liveness signal that came just now.
void RecordAlive(State& state, BackendId backend);
void RepeatLivenessProbes(State& state);

// paths.cc: this daemon's network paths to the servers of each service.

// Returns what the member published of its path to a service, or nullptr.
const PublishedPath* PathOf(const Member& member, const std::string& service);
// Whether the service has several servers that haven't ended.
bool HasSeveralServers(const State& state, const std::string& service);
// Whether a call that this daemon began at `since` or later reached a server of
// the service; whether such a call of another daemon did.
bool HasReachedServiceSince(const State& state, const std::string& service,
                            Time since);
bool DoOthersReach(const State& state, const std::string& service, Time since);
// Whether a call to the server was missed, and no later one to any other server
// of the service has reached it.
bool HasMissed(const State& state, const std::string& service,
               BackendId backend);
// Whether calls to several servers have failed without a later answer, so that
// this daemon's failures aren't to be held against the servers by others.
bool IsPathInQuestion(const State& state, const std::string& service);
// Whether this daemon's calls to the service's servers fail in such a way that
// its path is the likelier cause.
bool IsPathDoubtful(const State& state, const std::string& service);
// Whether a request may try a doubtful path, as a probe is due and all servers
// have rate limits or are backed off from, so that none may be probed. Takes
// the probe's turn if so.
bool TakePathTrial(State& state, const std::string& service);
// Record what a call to a server that began at `began` shows of the path: it
// got an answer, its connection stands, that has brought nothing in time, or it
// reached no server.
void RecordAnswered(State& state, BackendId backend, Time began);
void RecordConnected(State& state, BackendId backend, Time began);
void RecordSilent(State& state, BackendId backend, Time began);
void RecordMissed(State& state, BackendId backend, Time began);
// Applies the result of a probe that this daemon sent to tell whether a path or
// a server is at fault.
void OnPathProbed(State& state, const LivenessProbed& event);
// Probes the path to a service, unless that has just been done.
void ProbePathNow(State& state, const std::string& service);
// Drops evidence that is too old or about servers that are gone, sends the
// probes that are due, and decides whether this daemon withdraws from clients.
void UpdatePaths(State& state);
// Records that another daemon served a relayed request of the service.
void RecordRelayAnswered(State& state, const std::string& service);
std::vector<PublishedPath> PathsToPublish(const State& state);

// server_limits.cc: rate limits that backend servers advertise.

// Returns the limit in requests a second, or nothing if none is in force.
std::optional<double> RateLimitOf(const State& state, BackendId backend);
bool IsRateLimited(const State& state, BackendId backend);
bool AnyRateLimited(const State& state, const std::string& service);
// Returns those of `open` whose rate limit admits one more request now.
std::vector<const Backend*> BackendsWithinRateLimit(
    State& state, const PlacementDemand& demand,
    const std::vector<const Backend*>& open);
// Decides about a request that none of `open` may get now.
PlacementDecision WaitForRateLimit(State& state, const PlacementDemand& demand,
                                   const std::vector<const Backend*>& open);
// What requests wait for that lack a token of a server's meter: how many tokens
// come, of `servers` servers together, and when the next one does.
struct TokenSupply {
  Shortage shortage = Shortage::kRateLimit;
  std::size_t servers = 0;
  double per_second = 0;
  Duration next_token{};
};
// Counts the requests at all daemons that wait for a token of the same service
// because of `shortage` and go before `demand`.
std::size_t AheadOf(const State& state, const PlacementDemand& demand,
                    Shortage shortage);
// Decides whether a request waits for a token or is refused at once.
PlacementDecision WaitForToken(State& state, const PlacementDemand& demand,
                               const TokenSupply& supply);
// The backend server of a placement and its prefill helpers.
std::vector<BackendId> BackendsOf(const Placement& placement);
// Counts a request against the rate limit of a server, whichever daemon sends
// it.
void RecordStart(State& state, BackendId backend);
void RecordStart(State& state, const Placement& placement);
// Counts the requests that another daemon has started since its previous
// snapshot.
void RecordPeerStarts(State& state, const LoadSnapshot& snapshot,
                      const std::vector<ActiveRequest>& known);
// Applies a rate limit that a server advertised to this daemon
// (`received_directly`) or to another one that publishes it.
void ApplyRateLimit(State& state, const ServerLimit& limit,
                    bool received_directly);
// Returns the rate limits for a snapshot: those this daemon recently received
// directly, or with `only_unpublished` the unpublished changes.
std::vector<ServerLimit> RateLimitsToPublish(State& state,
                                             bool only_unpublished);
void DropExpiredRateLimits(State& state);
// Returns the servers of a placement whose rate limit, or the withdrawal of it,
// is known here.
std::vector<BackendId> KnownRateLimitsAt(const State& state,
                                         const Placement& placement);
// Returns the servers of a placement with rate limits that the placer didn't
// count.
std::vector<BackendId> UncountedRateLimitsAt(const State& state,
                                             const PlacementResponse& response);
// Publishes the rate limits of these servers to the placers again.
void RepublishRateLimits(State& state, const std::vector<BackendId>& backends);

// server_words.cc: server signals in the heads of backend servers' responses.

void OnResponseHead(State& state, const ResponseHeadReceived& event);
// Records that a backend incarnation is leaving, as it said to this daemon
// (`received_directly`) or to another one that publishes it.
void ApplyLeaving(State& state, BackendId backend, const std::string& request,
                  bool received_directly);
// Returns the leaving servers for a snapshot: those of the last seconds, or
// with `only_unpublished` only the unpublished ones.
std::vector<BackendId> LeavingToPublish(State& state, bool only_unpublished);
void DropExpiredLeaving(State& state);
// Whether this daemon backs off from that backend incarnation now.
bool IsBackingOff(const State& state, BackendId backend);
std::set<BackendId> ServersBackingOff(const State& state);
// Refuses a request if this daemon backs off from all servers in `open`; the
// client may retry when the first backoff ends. Returns whether it refused.
bool RefuseIfAllBackingOff(State& state, Request& request,
                           const std::vector<const Backend*>& open);
void DropExpiredBackoffs(State& state);

// reports.cc: engines' reports, which show a slowdown.

// Fetches the due reports of the engines that are this daemon's to query.
void FetchDueReports(State& state);
void OnReport(State& state, const EngineReportReceived& event);

// snapshots.cc: snapshots that daemons publish to each other.

void OnSnapshot(State& state, const SnapshotReceived& event);
// Sends an incremental snapshot to the live daemons if something changed.
void PublishIncrementalSnapshot(State& state);
// Sends full snapshots to the daemons for which one is due.
void PublishFullSnapshots(State& state);

// members.cc: the other daemons and the configuration.

void OnPeersListed(State& state, const PeersListed& event);
void OnDaemonsCounted(State& state, const DaemonsCounted& event);
// Whether a snapshot of the member came recently enough.
bool IsLive(const State& state, const Member& member);
DaemonCount CountOf(const State& state);
std::size_t LiveDaemons(const State& state);
// Returns the active requests of all daemons, including this one.
std::vector<const ActiveRequest*> AllActiveRequests(const State& state);
void OnConfiguration(State& state, const ConfigurationReceived& event);
void OnConfirmed(State& state, const ConfigurationConfirmed& event);
// Whether the configuration was confirmed within
// ServingOptions::key_freshness, less a safety margin.
bool IsFresh(const State& state);

// proofs.cc: freshness confirmations, which bound how long known state of the
// store is usable.

// Returns when all known state of the store was last known to be the newest.
Time StoreConfirmedAt(const State& state);
// Whether this daemon's query has been unanswered for long, or for a shorter
// time in which no other daemon is known to have got a response.
bool IsStoreUnresponsive(const State& state);
// Whether the known backend servers are usable: they were confirmed to be the
// newest a short time ago, or no daemon can know anything newer.
bool AreBackendsUsable(const State& state);
// Whether the known configuration is usable, by the same rule.
bool IsConfigurationUsable(const State& state);
// Records that a query was sent whose response would show the newest state.
void RecordStoreQuery(State& state);
// Records a response of the store to this daemon.
void RecordStoreResponse(State& state);
// Records a response of the store to another daemon's query of `age` ago.
void RecordPeerStoreResponse(State& state, Duration age);
// Records that the known configuration was the newest at `queried_at`, the time
// of the query.
void ConfirmConfiguration(State& state, Time queried_at);
// Records that the known backend servers were the newest at `queried_at`.
void ConfirmBackends(State& state, Time queried_at);
// Records that a configuration which isn't known here yet was the newest at
// `queried_at`.
void AwaitConfiguration(State& state, const ConfigurationStamp& stamp,
                        Time queried_at);
// Applies the confirmations that awaited the configuration which is now known.
void ConfirmAwaited(State& state);
// Returns until when this daemon waits for an entry to come back whose lease
// may only have expired.
Time LapseEnd(const State& state);
// Logs when this daemon starts or stops lagging behind the store.
void LogLagChange(State& state);

// store_eras.cc: store epochs. A restore from a backup begins a new one.

// Returns the stamp of the known configuration; all zero if none is known.
ConfigurationStamp StampOf(const State& state);
// Applies that the store is in epoch `number`, as the store's own response
// (`source` is empty) or the daemon `source` says.
void ObserveEpoch(State& state, std::uint64_t number,
                  const std::string& source);
// Applies the last reconciled epoch that the store has recorded.
void OnReconciledEpoch(State& state, std::uint64_t epoch);
// Updates the recorded reconciled epoch in the store if it is older than the
// current one and writing it is this daemon's duty and due.
void WriteReconciledEpochIfDue(State& state);
// Whether the store was restored so recently that its writers may not have
// rewritten yet what the backup lacks.
bool IsJustRestored(const State& state);
// Returns when IsJustRestored() ends.
Time RestoreEnd(const State& state);
// Records a revision that the store was at in this epoch. Later revisions can't
// come from the backup.
void RecordFirstRevisionNumber(State& state, const StoreRevision& at);
// Records the stamp of the configuration that the store holds.
void RecordStoredConfiguration(State& state, const ConfigurationStamp& stored);
// Records that this daemon knows all that the store held at `queried_at` in
// epoch `number`. A zero `queried_at` means that there was no query.
void ConfirmByStore(State& state, std::uint64_t number, Time queried_at);
// Applies the first freshness confirmation after this daemon's start, which
// waits for other daemons' snapshots.
void ApplyFirstConfirmation(State& state);
// Applies what another daemon's snapshot says about restores.
void ApplyPeerRestore(State& state, const LoadSnapshot& snapshot);
// Applies the confirmation of the configuration that a store poller's relay
// carries. The relay left that daemon after `sent`.
void ApplyRelayedConfirmation(State& state, const StoreRelay& relay, Time sent);
// See LoadSnapshot::reconciling_for.
Duration ReconcilingFor(const State& state);
// Returns the revision at which the store holds its configuration in this
// epoch; a revision of zero if it is unknown.
StoreRevision StoredRevision(const State& state);
// Whether the entry is of a backend server that was deleted before the restore
// and may be listed only because the backup is older.
bool IsRestoredTombstone(const State& state, const BackendServer& server);
// Returns until when IsRestoredTombstone() may apply.
Time RestoredTombstoneEnd(const State& state);

// store_following.cc: polls the store, or follows it by the store pollers'
// relays.

// Schedules a read of the configuration `stamp`, which the daemon `source` has
// published, if the known configuration is older.
void ScheduleConfigurationRead(State& state, const ConfigurationStamp& stamp,
                               const std::string& source);
// Updates which store duties this daemon has among the live daemons.
void UpdateStoreRoles(State& state);
// Polls, watches, reads and relays whatever is due.
void FollowStore(State& state);
// Returns the latest time at which FollowStore() must run again.
Time NextStoreWake(const State& state);
// Whether this daemon can reach the store and so may poll it for its data
// centre.
bool ReachesStore(const State& state);
// Records that the store responded to this daemon's own query.
void RecordStoreReached(State& state);
void OnBackendsConfirmed(State& state, const BackendsConfirmed& event);
void OnStoreUnreachable(State& state);
void OnStoreRelay(State& state, const StoreRelay& relay);
// Records a change, to be relayed to the daemons that don't poll the store.
void RecordChange(State& state, BackendChange change);
// Records that all changes up to that revision are known.
void RecordCompleteUpTo(State& state, const StoreRevision& revision);
// Records that an entry was deleted at a revision; a revision of zero means
// that it is unknown.
void RecordTombstone(State& state, const std::string& id,
                     const StoreRevision& revision);
// Whether the entry is known to have been deleted at that revision or later.
bool HasTombstoneSince(const State& state, const std::string& id,
                       const StoreRevision& revision);
void RecordSnapshotSent(State& state);

// reducer.cc: helpers of the other steps.

// Appends a log effect for `event`. A `routine` line may be left out
// under a high log rate.
void Log(State& state, std::string event,
         std::vector<std::pair<std::string, std::string>> fields,
         bool routine = false);
// Returns the duration in milliseconds, for a log field.
std::string Millis(Duration duration);
// Returns the ids of the request's shared prompt parts, for a log field.
std::string PartsText(const RequestMetadata& metadata);
// Whether this daemon has just started and may lack data of other daemons.
bool IsWarmingUp(const State& state);
// Returns a random duration from zero to `most`, for times that should differ
// between daemons.
Duration RandomDuration(State& state, Duration most);

}  // namespace scaleshed::serving::internal

#endif  // SCALESHED_SERVING_INTERNAL_STEPS_H_
