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
void Admit(State& state, const RequestArrived& event);
// Takes those that came too early, once it is known by what to decide; refuses
// those that waited too long for that.
void AdmitEarly(State& state);
void OnClientGone(State& state, const ClientGone& event);
void RefuseRequest(State& state, Request& request, Refusal why,
                   Duration retry_after);
// Forgets a request whose answer is complete or given up.
void Forget(State& state, RequestKey key);
// Ends the attempt at its backend server, if there is one.
void DropAttempt(State& state, Request& request, bool cancel);
// Gives up an attempt that was not sent; another is made after `pause`.
void Requeue(State& state, Request& request, Duration pause);

// starting.cc: where and when requests go.
void TryStart(State& state, Request& request);
// Decides by what this daemon itself knows.
void PlaceHere(State& state, Request& request);
// Begins an attempt where it was placed.
void Start(State& state, Request& request, const Placed& placed);
// Goes on waiting, and looks again after `pause`.
void Wait(State& state, Request& request, Duration pause, Shortage of);
void StartWaiting(State& state);
void OnMemoryAnswered(State& state, const MemoryAnswered& event);
void RenewMemory(State& state, Request& request);
void ReleaseMemoryOf(State& state, Request& request);

// deciding.cc: where a prompt of this or another daemon goes.
// What is to be known of it.
struct Demand {
  std::string id;  // as logged
  std::string service;
  std::int64_t prompt_tokens = 0;
  std::int64_t answer_tokens = 0;
  Time arrived{};
  Time due{};
  Time deadline{};
  Duration read{};
  std::set<BackendId> tried;
  std::uint64_t content = 0;
  bool doubtful = false;      // as another daemon sees it
  std::string data_centre;    // of the daemon that sends it
  bool awaits_start = false;  // it has waited for a limit
  // Servers that want rest from the daemon that sends it.
  std::set<BackendId> resting;
};
Demand DemandOf(const State& state, const Request& request);
// Can't be served in its time.
struct GivenUp {
  Duration retry_after{};
  Shortage of = Shortage::kEngines;
};
// What its caller is told.
Refusal RefusalFor(Shortage of);
using Verdict = std::variant<Placed, NoRoomNow, TooLarge, GivenUp>;
Verdict Decide(State& state, const Demand& demand);
// Nothing where that is no service of engines.
const EngineTiming* TimingOf(const State& state, const std::string& service);

// dispatch.cc: prompts that one daemon places for another.
// Asks the next placer, or decides alone where none answers.
void AskPlace(State& state, Request& request);
// Tells the placer that a request that waits is over.
void WithdrawPlace(State& state, const Request& request);
void OnPlaceAnswer(State& state, const PlaceAnswer& answer);
void OnPlaceQuestion(State& state, const PlaceQuestion& question);
// Looks for room for those that wait.
void LookAtAsked(State& state);
// What a daemon tells of its works takes the place of what was placed for it.
void ForgetTold(State& state, const LoadSnapshot& told);

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
bool PlacesItself(const State& state);
// Whether it hears that because it places for others.
bool PlacesForOthers(const State& state);
void TakeAudience(State& state);
// Whether few enough daemons are known that each hears all.
void CountDaemons(State& state);
// Whether that daemon is told that this one lives; what it has at engines.
bool HearsAlive(const State& state, const std::string& peer);
bool HearsWorks(const State& state, const std::string& peer);
// Empty: not known.
std::string DataCentreOf(const State& state, const std::string& peer);
// Whether that daemon, if it lives, tells this one so.
bool TellsUs(const State& state, const std::string& peer);
// Where clients may go.
std::vector<std::string> AddressesFor(const State& state);

// queue.cc: the order of long prompts that wait, over all daemons.
// When it is a prompt's turn.
Time TurnOf(const State& state, Time arrived, Time due, Duration read);
Time TurnOf(const State& state, const Demand& demand);
Time TurnOf(const State& state, const Request& request);
Time TurnOf(const State& state, const AskedPlace& asked);
// Whether it waits for a server's limit to allow one more.
bool AwaitsStart(const Request& request);
// This daemon's requests that wait in that order.
std::vector<Waiting> WaitingOf(const State& state);
// What a request may expect from now on.
struct Outlook {
  std::size_t ahead = 0;  // waiting requests whose turn is before it
  Duration start{};
  Duration first_token{};
};
Outlook OutlookOf(const State& state, const Demand& demand,
                  const EngineTiming& timing, std::size_t engines);
// When its caller is to come back if it could start after `expected`.
Duration RetryAfterOf(const State& state, const Demand& demand,
                      Duration expected);
// Whether a prompt can't be served before its deadline.
std::optional<GivenUp> GivesUp(State& state, const Demand& demand,
                               const Outlook& outlook);

// repeats.cc: whether a request may be sent once more.
// What forbids one more send of a request.
enum class NoRepeat { kNothing, kKind, kRuns, kTime, kBudget };
inline constexpr NameTable<NoRepeat, 5> kNoRepeatNames{{
    {NoRepeat::kNothing, "nothing"},
    {NoRepeat::kKind, "kind"},
    {NoRepeat::kRuns, "runs"},
    {NoRepeat::kTime, "time"},
    {NoRepeat::kBudget, "budget"},
}};
// Counts a request for its service.
void CountRequest(State& state, const Request& request);
// What forbids to send it to one more backend server, where it has not run.
// Plans the repeat where nothing does.
NoRepeat ForbidsRepeat(State& state, Request& request);
// The same for a request that may have run.
NoRepeat ForbidsRerun(State& state, Request& request);
// It is sent now. False where it was a planned repeat and there is no room for
// it any more.
bool TakeRepeat(State& state, Request& request);
// It won't be sent.
void DropRepeat(State& state, Request& request);

// attempts.cc: what backend servers answer.
void OnStreamEvent(State& state, const StreamEvent& event);
void OnAnswered(State& state, const AttemptAnswered& event);
void OnFailed(State& state, const AttemptFailed& event);
// An attempt that does not go on is taken for lost.
void ExpireAttempts(State& state);
// That life of a backend server is over, and another one has its id.
void LoseWorkAt(State& state, BackendId life);

// backends.cc: which backend servers there are, and how well they do.
// Of one life of a backend server: whatever names it ends with that life.
BackendId IdOf(const BackendServer& server);
Backend* FindBackend(State& state, BackendId id);
// Its entry names one that does not leave.
bool TakesWork(const Backend& backend);
void OnListed(State& state, const BackendServer& server);
void OnUnlisted(State& state, const BackendUnlisted& event);
void OnAllListed(State& state, const BackendsListed& event);
void DropLapsed(State& state);
void NoteSuccess(State& state, BackendId id);
void NoteFailure(State& state, BackendId id, const std::string& why);
void NoteBadAnswer(State& state, BackendId id);
void NoteGone(State& state, BackendId id, const std::string& why);
// Keeps new work away for `length`, unless too many are kept out already.
void Suspect(State& state, Backend& backend, Duration length,
             const std::string& why);
// The same for an engine that reports to be slow, until it reports otherwise.
void AvoidSlow(State& state, Backend& backend, Duration length);
// The same for one that wants rest: it may ask others for it next.
void AvoidResting(State& state, Backend& backend, Duration length);
// All that this daemon or another one that serves suspects.
std::set<BackendId> Suspects(const State& state);
// Notes that this daemon or another one that it hears suspects that one.
void Doubt(State& state, const Suspicion& suspicion);
// Back after a suspicion, and not yet seen to work.
bool IsOnProbation(const State& state, const Backend& backend);
// Ends the probations of those that are seen to write what was begun in them.
void EndProbations(State& state, const std::vector<const Work*>& works);
// Those of a service that take new work.
std::vector<const Backend*> OpenBackends(const State& state,
                                         const std::string& service);

// endings.cc: requests under which backend servers end.
// That life ended with a request of that content in work.
void NoteEnding(State& state, std::uint64_t content, BackendId life);
// What the store holds of them, by watch, relay or list.
void OnEndingsStored(State& state, const StoredEndings& stored);
void OnAllEndingsListed(State& state, const AllEndingsListed& event);
void OnEndingsSaved(State& state);
// Writes what the store lacks, where it is this daemon's turn.
void SaveEndingsDue(State& state);
// A whole answer came: whatever ended with it in work did so by itself.
void Acquit(State& state, const Request& request);
// What another daemon tells.
void TakeEndings(State& state, const std::vector<Ending>& endings);
// Refuses a request that has ended as many as are enough. True if it did.
bool RefusedForEndings(State& state, Request& request);
// Whether it is being asked if one more has ended under it.
bool AwaitsVerdict(const State& state, std::uint64_t content);
// One of its attempts broke off just now at a server that may live.
bool AwaitsSign(const State& state, std::uint64_t content);
// It may be what ends servers.
bool IsDoubtful(const State& state, std::uint64_t content);
// What this daemon asks about, for the others to wait for too.
std::vector<std::uint64_t> AskedContents(const State& state);
// Where a request goes because of its content; neither: wherever is best.
struct Companions {
  const Backend* backend = nullptr;
  bool wait = false;
  bool doubted = false;  // not only for copies that are in work
};
Companions CompanionsOf(const State& state, const Demand& demand,
                        const std::vector<const Backend*>& open);
// It goes there.
void NoteCompanions(State& state, const Demand& demand, const Companions& with);

// life_checks.cc: whether a backend server has ended at which answers broke
// off.
void CheckLife(State& state, const Request& request, BackendId life);
void OnLifeSeen(State& state, const LifeSeen& event);
// That life is over, whoever found out.
void EndLife(State& state, BackendId life);
// It said something just now.
void NoteSign(State& state, BackendId life);
void AskLivesAgain(State& state);

// server_limits.cc: how many requests backend servers take.
// Requests a second; nothing: none is in force.
std::optional<double> LimitOf(const State& state, BackendId life);
bool IsLimited(const State& state, BackendId life);
bool AnyLimited(const State& state, const std::string& service);
// Of these, those that may get one more request now.
std::vector<const Backend*> Startable(State& state, const Demand& demand,
                                      const std::vector<const Backend*>& open);
// None of these may.
Verdict AwaitStart(State& state, const Demand& demand,
                   const std::vector<const Backend*>& open);
// It gets one, whoever sends it.
void NoteStart(State& state, BackendId life);
void NoteStart(State& state, const Placed& placed);
// What another daemon has begun and named since it was last heard.
void NoteStartsOf(State& state, const LoadSnapshot& told,
                  const std::vector<Work>& known);
// What was named to this daemon, or to one that tells of it.
void TakeLimit(State& state, const ServerLimit& named, bool own);
// For a snapshot: all that is to be known, or the news.
std::vector<ServerLimit> LimitsToTell(State& state, bool news);
void ForgetLimits(State& state);
// Of the servers there, those whose limits are known here, or that these are
// over.
std::vector<BackendId> KnownLimitsAt(const State& state, const Placed& placed);
// Of the servers there, those with limits that the placer didn't know.
std::vector<BackendId> UncountedAt(const State& state,
                                   const PlaceAnswer& answer);
// Tells the placers of these anew.
void TellLimitsAgain(State& state, const std::vector<BackendId>& lives);

// server_words.cc: what backend servers say of themselves in their answers.
void OnAnswerBegun(State& state, const AnswerBegun& event);
// That life said that it leaves, to this daemon or to one that tells of it.
void TakeLeaving(State& state, BackendId life, const std::string& request,
                 bool own);
// For a snapshot: those of the last seconds, or the news.
std::vector<BackendId> LeavingToTell(State& state, bool news);
void ForgetLeaving(State& state);
// That life wants no request of this daemon now.
bool IsResting(const State& state, BackendId life);
std::set<BackendId> RestingServers(const State& state);
// Refuses a request all of whose servers want rest, until the first is over.
// True if it did.
bool RefusedForRest(State& state, Request& request,
                    const std::vector<const Backend*>& open);
void ForgetRests(State& state);

// reports.cc: engines that turned slow.
// Asks those engines whose reports are due and this daemon's to fetch.
void AskReports(State& state);
void OnReport(State& state, const ReportSeen& event);

// snapshots.cc: what daemons tell each other of themselves.
void OnSnapshot(State& state, const SnapshotReceived& event);
// To all that are heard, where something changed.
void PublishChanges(State& state);
// To those whose turn it is.
void PublishWhole(State& state);

// members.cc: the other daemons and the configuration.
void OnPeersListed(State& state, const PeersListed& event);
void OnDaemonsCounted(State& state, const DaemonsCounted& event);
bool IsHeard(const State& state, const Member& member);
DaemonCount CountOf(const State& state);
std::size_t LiveDaemons(const State& state);
// What all daemons have at backend servers.
std::vector<const Work*> AllWorks(const State& state);
void OnConfiguration(State& state, const ConfigurationSeen& event);
void OnConfirmed(State& state, const ConfigurationConfirmed& event);
bool IsFresh(const State& state);

// proofs.cc: for how long what is known of the store is gone by.
// When all of it was last known to be the newest.
Time ProvedAt(const State& state);
// The store says nothing to this daemon, nor is anybody known to hear it; or
// this daemon alone is cut off.
bool IsStoreSilent(const State& state);
// What is known may be gone by: it was the newest a short time ago, or nobody
// can know anything newer.
bool KnowsBackends(const State& state);
bool KnowsConfiguration(const State& state);
// A call was made whose answer would tell what is the newest.
void NoteQuestion(State& state);
// The store spoke to this daemon; to one that asked so long ago.
void NoteStoreHeard(State& state);
void NoteHeardByOthers(State& state, Duration age);
// What is known was the newest at `asked`.
void ConfirmConfiguration(State& state, Time asked);
void ConfirmBackends(State& state, Time asked);
// That one was the newest at `asked`, and is not known here yet.
void AwaitConfiguration(State& state, const ConfigurationStamp& stamp,
                        Time asked);
void TakeAwaited(State& state);
// How long an entry that is seen gone, and may only have lapsed, is waited for.
Time LapseEnd(const State& state);
// Logs when this daemon begins or ends to lag behind the store.
void NoteLag(State& state);

// store_eras.cc: a store that is restored from an older copy.
// Of the configuration that is known; none: all zero.
ConfigurationStamp StampOf(const State& state);
// The store is in that era, by its own word (`told_by` empty) or a daemon's.
void NoteEra(State& state, std::uint64_t number, const std::string& told_by);
// The store's own note of the era that was last settled.
void OnSettledEra(State& state, std::uint64_t era);
// Writes that note where it is older, if it is this daemon's turn.
void NoteSettledEraDue(State& state);
// Others may not have written again yet what the copy lacks; until when.
bool IsJustRestored(const State& state);
Time RestoreEnd(const State& state);
// The store was at that revision: later ones are no copy's.
void NoteFirstNumber(State& state, const StoreRevision& at);
// The store holds that configuration.
void NoteStored(State& state, const ConfigurationStamp& stored);
// All that the store of that era held at `asked` is known; zero: not asked.
void ProveByStore(State& state, std::uint64_t number, Time asked);
// Takes the proof that waited for the others' word.
void TakeFirstProof(State& state);
// What another daemon's snapshot says of restores.
void HearRestore(State& state, const LoadSnapshot& told);
// What an asker's relay, which left after `sent`, proves of the configuration.
void TakeProvedBy(State& state, const StoreRelay& relay, Time sent);
// See LoadSnapshot::unsettled_for.
Duration UnsettledFor(const State& state);
// At which the store holds its configuration in this era; none: not known.
StoreRevision StoredRevision(const State& state);
// That entry is of a backend server that had gone before the restore, and may
// be there only because the copy is older; until when it is taken for that.
bool IsOfCopy(const State& state, const BackendServer& server);
Time CopyLapse(const State& state);

// store_following.cc: who asks the store, and what the others hear of it.
// A configuration that new is there, as that daemon told, and may not be known
// here.
void PlanReading(State& state, const ConfigurationStamp& stamp,
                 const std::string& told_by);
// Which duties this daemon has among those that it hears.
void TakeRoles(State& state);
// Asks, watches, reads and relays as is due.
void FollowStore(State& state);
// When FollowStore() has something to do at the latest.
Time StoreDue(const State& state);
// Whether this daemon may put the questions for its data centre.
bool ReachesStore(const State& state);
// This daemon's own question was answered.
void NoteStoreReached(State& state);
void OnBackendsConfirmed(State& state, const BackendsConfirmed& event);
void OnStoreUnreachable(State& state);
void OnStoreRelay(State& state, const StoreRelay& relay);
// Notes what changed, to be told to those that don't ask.
void NoteChange(State& state, BackendChange change);
// All changes up to that revision are known.
void NoteComplete(State& state, const StoreRevision& revision);
// That entry went at that revision; none: not told.
void NoteGoneAt(State& state, const std::string& id,
                const StoreRevision& revision);
// An entry that is known to have gone at that revision or later.
bool IsGoneSince(const State& state, const std::string& id,
                 const StoreRevision& revision);
void NoteSnapshotSent(State& state);

void Log(State& state, std::string what,
         std::vector<std::pair<std::string, std::string>> fields,
         bool routine = false);
std::string Millis(Duration duration);
// Has just started, and may not have heard yet what it needs.
bool IsYoung(const State& state);
// From nothing to that, for moments that are to differ between daemons.
Duration Drawn(State& state, Duration most);

}  // namespace scaleshed::serving::internal

#endif  // SCALESHED_SERVING_INTERNAL_STEPS_H_
