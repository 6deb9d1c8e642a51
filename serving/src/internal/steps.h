#ifndef SCALESHED_SERVING_INTERNAL_STEPS_H_
#define SCALESHED_SERVING_INTERNAL_STEPS_H_

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "scaleshed/serving/state.h"

// The steps of the reducer, by subject. Each changes the state and appends to
// its effects.
namespace scaleshed::serving::internal {

// admission.cc: what comes from clients, and how requests end.
void AdmitRequest(State& state, const RequestArrived& event);
// Takes those that came too early, once it is known by what to decide; refuses
// those that waited too long for that.
void AdmitEarlyRequests(State& state);
void OnClientGone(State& state, const ClientDisconnected& event);
void RefuseRequest(State& state, Request& request, Refusal why,
                   Duration retry_after);
// Forgets a request whose answer is complete or given up.
void EraseRequest(State& state, RequestKey key);
// Ends the attempt at its backend server, if there is one.
void EndAttempt(State& state, Request& request, bool cancel);
// Gives up an attempt that was not sent; another is made after `pause`.
void Requeue(State& state, Request& request, Duration pause);

// starting.cc: where and when requests go.
void TryStart(State& state, Request& request);
// Decides by what this daemon itself knows.
void PlaceLocally(State& state, Request& request);
// Begins an attempt where it was placed.
void StartPlacedAttempt(State& state, Request& request,
                        const Placement& placed);
// Goes on waiting, and looks again after `pause`.
void QueueRequest(State& state, Request& request, Duration pause, Shortage of);
void StartWaitingRequests(State& state);
void OnMemoryAnswered(State& state, const MemoryReservationAnswered& event);
void RenewReservations(State& state, Request& request);
void ReleaseReservations(State& state, Request& request);

// deciding.cc: where a prompt of this or another daemon goes.
// What is to be known of it.
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
  bool crash_suspected = false;    // as another daemon sees it
  std::string data_centre;         // of the daemon that sends it
  bool awaits_rate_limit = false;  // it has waited for a limit
  // Servers that want rest from the daemon that sends it.
  std::set<BackendId> backing_off;
};
PlacementDemand DemandOf(const State& state, const Request& request);
// Can't be served in its time.
struct DeadlineUnreachable {
  Duration retry_after{};
  Shortage shortage = Shortage::kEngines;
};
// What its caller is told.
Refusal RefusalFor(Shortage of);
using PlacementDecision =
    std::variant<Placement, NoCapacityNow, TooLarge, DeadlineUnreachable>;
PlacementDecision DecidePlacement(State& state, const PlacementDemand& demand);
// Nothing where that is no service of engines.
const EngineTiming* TimingOf(const State& state, const std::string& service);

// dispatch.cc: prompts that one daemon places for another.
// Asks the next placer, or decides alone where none answers.
void RequestRemotePlacement(State& state, Request& request);
// Tells the placer that a request that waits is over.
void WithdrawPlacement(State& state, const Request& request);
void OnPlacementResponse(State& state, const PlacementResponse& answer);
void OnPlacementRequest(State& state, const PlacementRequest& question);
// Looks for room for those that wait.
void RetryRemotePlacements(State& state);
// What a daemon tells of its works takes the place of what was placed for it.
void DropPublishedPlacements(State& state, const LoadSnapshot& told);

// audience.cc: who hears what of whom.
std::uint64_t RankOf(const std::string& peer_address,
                     const std::string& subject);
// Those of the daemons that are known, and this one itself, that can have a
// duty, by peer address: the strongest machines first, equal ones by a hash of
// the duty's subject. Daemons that know the same agree on it without a word.
std::vector<std::string> StrongestOf(
    const State& state, const std::string& subject, bool self,
    const std::function<bool(const Member&)>& can);
bool IsPlacer(const State& state, const std::string& peer_address);
// Whether this daemon hears what all have at engines.
bool ReceivesAllActiveRequests(const State& state);
// Whether it hears that because it places for others.
bool PlacesForOthers(const State& state);
void UpdatePlacementDuties(State& state);
// Whether few enough daemons are known that each hears all.
void UpdatePlacementMode(State& state);
// Whether that daemon is told that this one lives; what it has at engines.
bool ReceivesHeartbeats(const State& state, const std::string& peer);
bool ReceivesActiveRequests(const State& state, const std::string& peer);
// Empty: not known.
std::string DataCentreOf(const State& state, const std::string& peer);
// Whether that daemon, if it lives, tells this one so.
bool SendsUsHeartbeats(const State& state, const std::string& peer);
// Where clients may go.
std::vector<std::string> AddressesFor(const State& state);

// queue.cc: the order of long prompts that wait, over all daemons.
// When it is a prompt's turn.
Time QueueKeyOf(const State& state, Time arrived, Time due, Duration read);
Time QueueKeyOf(const State& state, const PlacementDemand& demand);
Time QueueKeyOf(const State& state, const Request& request);
Time QueueKeyOf(const State& state, const RemotePlacement& asked);
// Whether it waits for a server's limit to allow one more.
bool AwaitsRateLimit(const Request& request);
// This daemon's requests that wait in that order.
std::vector<WaitingRequest> WaitingOf(const State& state);
// What a request may expect from now on.
struct QueueEstimate {
  std::size_t ahead = 0;  // waiting requests whose turn is before it
  Duration start{};
  Duration first_token{};
};
QueueEstimate EstimateQueue(const State& state, const PlacementDemand& demand,
                            const EngineTiming& timing, std::size_t engines);
// When its caller is to come back if it could start after `expected`.
Duration RetryAfterOf(const State& state, const PlacementDemand& demand,
                      Duration expected);
// Whether a prompt can't be served before its deadline.
std::optional<DeadlineUnreachable> CheckDeadline(State& state,
                                                 const PlacementDemand& demand,
                                                 const QueueEstimate& outlook);

// repeats.cc: whether a request may be sent once more.
// What forbids one more send of a request.
enum class RetryDenial { kNothing, kKind, kRuns, kTime, kBudget };
inline constexpr NameTable<RetryDenial, 5> kRetryDenialNames{{
    {RetryDenial::kNothing, "nothing"},
    {RetryDenial::kKind, "kind"},
    {RetryDenial::kRuns, "runs"},
    {RetryDenial::kTime, "time"},
    {RetryDenial::kBudget, "budget"},
}};
// Counts a request for its service.
void CountRequest(State& state, const Request& request);
// What forbids to send it to one more backend server, where it has not run.
// Plans the repeat where nothing does.
RetryDenial ReserveRetry(State& state, Request& request);
// The same for a request that may have run.
RetryDenial ReserveRerun(State& state, Request& request);
// It is sent now. False where it was a planned repeat and there is no room for
// it any more.
bool CommitRetry(State& state, Request& request);
// It won't be sent.
void ReleaseRetry(State& state, Request& request);

// attempts.cc: what backend servers answer.
void OnStreamEvent(State& state, const StreamEvent& event);
void OnAnswered(State& state, const AttemptAnswered& event);
void OnFailed(State& state, const AttemptFailed& event);
// An attempt that does not go on is taken for lost.
void ExpireAttempts(State& state);
// That life of a backend server is over, and another one has its id.
void FailAttemptsAt(State& state, BackendId life);

// backends.cc: which backend servers there are, and how well they do.
// Of one life of a backend server: whatever names it ends with that life.
BackendId IdOf(const BackendServer& server);
Backend* FindBackend(State& state, BackendId id);
// Its entry names one that does not leave.
bool TakesWork(const Backend& backend);
void OnListed(State& state, const BackendServer& server);
void OnUnlisted(State& state, const BackendUnlisted& event);
void OnAllListed(State& state, const BackendsListed& event);
void DropLapsedBackends(State& state);
void RecordSuccess(State& state, BackendId id);
void RecordFailure(State& state, BackendId id, const std::string& why);
void RecordFailedResponse(State& state, BackendId id);
void RecordBackendGone(State& state, BackendId id, const std::string& why);
// Keeps new work away for `length`, unless too many are kept out already.
void SuspectBackend(State& state, Backend& backend, Duration length,
                    const std::string& why);
// The same for an engine that reports to be slow, until it reports otherwise.
void AvoidSlowBackend(State& state, Backend& backend, Duration length);
// The same for one that wants rest: it may ask others for it next.
void ApplyBackoff(State& state, Backend& backend, Duration length);
// All that this daemon or another one that serves suspects.
std::set<BackendId> SuspectedBackends(const State& state);
// Notes that this daemon or another one that it hears suspects that one.
void ApplySuspicion(State& state, const Suspicion& suspicion);
// Back after a suspicion, and not yet seen to work.
bool IsOnProbation(const State& state, const Backend& backend);
// Ends the probations of those that are seen to write what was begun in them.
void EndProbations(State& state,
                   const std::vector<const ActiveRequest*>& works);
// Those of a service that take new work.
std::vector<const Backend*> OpenBackends(const State& state,
                                         const std::string& service);

// endings.cc: requests under which backend servers end.
// That life ended with a request of that content in work.
void RecordCrash(State& state, std::uint64_t content, BackendId life);
// What the store holds of them, by watch, relay or list.
void OnCrashesStored(State& state, const StoredCrashes& stored);
void OnAllCrashesListed(State& state, const AllCrashesListed& event);
void OnSaveCrashesFinished(State& state);
// Writes what the store lacks, where it is this daemon's turn.
void SaveCrashesIfDue(State& state);
// A whole answer came: whatever ended with it in work did so by itself.
void ClearAfterSuccess(State& state, const Request& request);
// What another daemon tells.
void ApplyCrashes(State& state, const std::vector<Crash>& endings);
// Refuses a request that has ended as many as are enough. True if it did.
bool RefuseIfQuarantined(State& state, Request& request);
// Whether it is being asked if one more has ended under it.
bool AwaitsCrashCheck(const State& state, std::uint64_t content);
// One of its attempts broke off just now at a server that may live.
bool AwaitsLivenessSignal(const State& state, std::uint64_t content);
// It may be what ends servers.
bool IsCrashSuspected(const State& state, std::uint64_t content);
// What this daemon asks about, for the others to wait for too.
std::vector<std::uint64_t> FingerprintsUnderCheck(const State& state);
// Where a request goes because of its content; neither: wherever is best.
struct Isolation {
  const Backend* backend = nullptr;
  bool wait = false;
  bool crash_suspected = false;  // not only for copies that are in work
};
Isolation FindIsolation(const State& state, const PlacementDemand& demand,
                        const std::vector<const Backend*>& open);
// It goes there.
void RecordIsolation(State& state, const PlacementDemand& demand,
                     const Isolation& with);

// life_checks.cc: whether a backend server has ended at which answers broke
// off.
void CheckLiveness(State& state, const Request& request, BackendId life);
void OnLivenessProbed(State& state, const LivenessProbed& event);
// That life is over, whoever found out.
void EndIncarnation(State& state, BackendId life);
// It said something just now.
void RecordAlive(State& state, BackendId life);
void RepeatLivenessProbes(State& state);

// server_limits.cc: how many requests backend servers take.
// Requests a second; nothing: none is in force.
std::optional<double> RateLimitOf(const State& state, BackendId life);
bool IsRateLimited(const State& state, BackendId life);
bool AnyRateLimited(const State& state, const std::string& service);
// Of these, those that may get one more request now.
std::vector<const Backend*> BackendsWithinRateLimit(
    State& state, const PlacementDemand& demand,
    const std::vector<const Backend*>& open);
// None of these may.
PlacementDecision WaitForRateLimit(State& state, const PlacementDemand& demand,
                                   const std::vector<const Backend*>& open);
// It gets one, whoever sends it.
void RecordStart(State& state, BackendId life);
void RecordStart(State& state, const Placement& placed);
// What another daemon has begun and named since it was last heard.
void RecordPeerStarts(State& state, const LoadSnapshot& told,
                      const std::vector<ActiveRequest>& known);
// What was named to this daemon, or to one that tells of it.
void ApplyRateLimit(State& state, const ServerLimit& named, bool own);
// For a snapshot: all that is to be known, or the news.
std::vector<ServerLimit> RateLimitsToPublish(State& state, bool news);
void DropExpiredRateLimits(State& state);
// Of the servers there, those whose limits are known here, or that these are
// over.
std::vector<BackendId> KnownRateLimitsAt(const State& state,
                                         const Placement& placed);
// Of the servers there, those with limits that the placer didn't know.
std::vector<BackendId> UncountedRateLimitsAt(const State& state,
                                             const PlacementResponse& answer);
// Tells the placers of these anew.
void RepublishRateLimits(State& state, const std::vector<BackendId>& lives);

// server_words.cc: what backend servers say of themselves in their answers.
void OnResponseHead(State& state, const ResponseHeadReceived& event);
// That life said that it leaves, to this daemon or to one that tells of it.
void ApplyLeaving(State& state, BackendId life, const std::string& request,
                  bool own);
// For a snapshot: those of the last seconds, or the news.
std::vector<BackendId> LeavingToPublish(State& state, bool news);
void DropExpiredLeaving(State& state);
// That life wants no request of this daemon now.
bool IsBackingOff(const State& state, BackendId life);
std::set<BackendId> ServersBackingOff(const State& state);
// Refuses a request all of whose servers want rest, until the first is over.
// True if it did.
bool RefuseIfAllBackingOff(State& state, Request& request,
                           const std::vector<const Backend*>& open);
void DropExpiredBackoffs(State& state);

// reports.cc: engines that turned slow.
// Asks those engines whose reports are due and this daemon's to fetch.
void FetchDueReports(State& state);
void OnReport(State& state, const EngineReportReceived& event);

// snapshots.cc: what daemons tell each other of themselves.
void OnSnapshot(State& state, const SnapshotReceived& event);
// To all that are heard, where something changed.
void PublishIncrementalSnapshot(State& state);
// To those whose turn it is.
void PublishFullSnapshots(State& state);

// members.cc: the other daemons and the configuration.
void OnPeersListed(State& state, const PeersListed& event);
void OnDaemonsCounted(State& state, const DaemonsCounted& event);
bool IsLive(const State& state, const Member& member);
DaemonCount CountOf(const State& state);
std::size_t LiveDaemons(const State& state);
// What all daemons have at backend servers.
std::vector<const ActiveRequest*> AllActiveRequests(const State& state);
void OnConfiguration(State& state, const ConfigurationReceived& event);
void OnConfirmed(State& state, const ConfigurationConfirmed& event);
bool IsFresh(const State& state);

// proofs.cc: for how long what is known of the store is gone by.
// When all of it was last known to be the newest.
Time StoreConfirmedAt(const State& state);
// The store says nothing to this daemon, nor is anybody known to hear it; or
// this daemon alone is cut off.
bool IsStoreUnresponsive(const State& state);
// What is known may be gone by: it was the newest a short time ago, or nobody
// can know anything newer.
bool AreBackendsUsable(const State& state);
bool IsConfigurationUsable(const State& state);
// A call was made whose answer would tell what is the newest.
void RecordStoreQuery(State& state);
// The store spoke to this daemon; to one that asked so long ago.
void RecordStoreResponse(State& state);
void RecordPeerStoreResponse(State& state, Duration age);
// What is known was the newest at `asked`.
void ConfirmConfiguration(State& state, Time asked);
void ConfirmBackends(State& state, Time asked);
// That one was the newest at `asked`, and is not known here yet.
void AwaitConfiguration(State& state, const ConfigurationStamp& stamp,
                        Time asked);
void ConfirmAwaited(State& state);
// How long an entry that is seen gone, and may only have lapsed, is waited for.
Time LapseEnd(const State& state);
// Logs when this daemon begins or ends to lag behind the store.
void LogLagChange(State& state);

// store_eras.cc: a store that is restored from an older copy.
// Of the configuration that is known; none: all zero.
ConfigurationStamp StampOf(const State& state);
// The store is in that era, by its own word (`told_by` empty) or a daemon's.
void ObserveEpoch(State& state, std::uint64_t number,
                  const std::string& told_by);
// The store's own note of the era that was last settled.
void OnReconciledEpoch(State& state, std::uint64_t era);
// Writes that note where it is older, if it is this daemon's turn.
void WriteReconciledEpochIfDue(State& state);
// Others may not have written again yet what the copy lacks; until when.
bool IsJustRestored(const State& state);
Time RestoreEnd(const State& state);
// The store was at that revision: later ones are no copy's.
void RecordFirstRevisionNumber(State& state, const StoreRevision& at);
// The store holds that configuration.
void RecordStoredConfiguration(State& state, const ConfigurationStamp& stored);
// All that the store of that era held at `asked` is known; zero: not asked.
void ConfirmByStore(State& state, std::uint64_t number, Time asked);
// Takes the proof that waited for the others' word.
void ApplyFirstConfirmation(State& state);
// What another daemon's snapshot says of restores.
void ApplyPeerRestore(State& state, const LoadSnapshot& told);
// What an asker's relay, which left after `sent`, proves of the configuration.
void ApplyRelayedConfirmation(State& state, const StoreRelay& relay, Time sent);
// See LoadSnapshot::unsettled_for.
Duration ReconcilingFor(const State& state);
// At which the store holds its configuration in this era; none: not known.
StoreRevision StoredRevision(const State& state);
// That entry is of a backend server that had gone before the restore, and may
// be there only because the copy is older; until when it is taken for that.
bool IsRestoredTombstone(const State& state, const BackendServer& server);
Time RestoredTombstoneEnd(const State& state);

// store_following.cc: who asks the store, and what the others hear of it.
// A configuration that new is there, as that daemon told, and may not be known
// here.
void ScheduleConfigurationRead(State& state, const ConfigurationStamp& stamp,
                               const std::string& told_by);
// Which duties this daemon has among those that it hears.
void UpdateStoreRoles(State& state);
// Asks, watches, reads and relays as is due.
void FollowStore(State& state);
// When FollowStore() has something to do at the latest.
Time NextStoreWake(const State& state);
// Whether this daemon may put the questions for its data centre.
bool ReachesStore(const State& state);
// This daemon's own question was answered.
void RecordStoreReached(State& state);
void OnBackendsConfirmed(State& state, const BackendsConfirmed& event);
void OnStoreUnreachable(State& state);
void OnStoreRelay(State& state, const StoreRelay& relay);
// Notes what changed, to be told to those that don't ask.
void RecordChange(State& state, BackendChange change);
// All changes up to that revision are known.
void RecordCompleteUpTo(State& state, const StoreRevision& revision);
// That entry went at that revision; none: not told.
void RecordTombstone(State& state, const std::string& id,
                     const StoreRevision& revision);
// An entry that is known to have gone at that revision or later.
bool HasTombstoneSince(const State& state, const std::string& id,
                       const StoreRevision& revision);
void RecordSnapshotSent(State& state);

void Log(State& state, std::string what,
         std::vector<std::pair<std::string, std::string>> fields,
         bool routine = false);
std::string Millis(Duration duration);
// Has just started, and may not have heard yet what it needs.
bool IsWarmingUp(const State& state);
// From nothing to that, for moments that are to differ between daemons.
Duration RandomDuration(State& state, Duration most);

}  // namespace scaleshed::serving::internal

#endif  // SCALESHED_SERVING_INTERNAL_STEPS_H_
