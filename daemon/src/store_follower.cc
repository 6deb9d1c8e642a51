#include "internal/store_follower.h"

#include <algorithm>
#include <cstdlib>
#include <set>
#include <utility>

#include "scaleshed/runtime/log.h"

namespace scaleshed {
namespace {

using platform::FaultOf;
using platform::StoreError;

// A watch that brings nothing is asked anew; a wait counts as one call.
// So often at least it proves how many daemons have an entry, which parts of
// the slack of repeats hang on (7 s at most): 0.25 calls a second of each
// asker, two a data centre.
constexpr Duration kWatchWait = seconds(4);
// A watch is not put sooner after the last one than this: of changes that come
// one after another each would else be a call of its own (1,000 in the first 3
// s of ten askers, as 150 backend servers start). One that comes alone is told
// at once. Small against the seconds within which news have to be in force.
constexpr Duration kWatchEvery = milliseconds(150);
// A daemon lists the store once it is registered itself, so that of two that
// start at the same moment one at least sees the other; it waits no longer for
// that than this.
constexpr Duration kRegisterWithin = milliseconds(300);
// The least that the store takes: it says at once what there is.
constexpr Duration kNoWait = milliseconds(1);
// Conditions that the store takes in one transaction.
constexpr std::size_t kMostConditions = 32;
// Entries of backend servers may lapse while the store is away; so long after
// its return they may still be missing.
constexpr Duration kAwayFor = milliseconds(2500);
// A large answer comes in many pieces; that it goes on is told so often.
constexpr Duration kHeardGrain = milliseconds(20);
// A daemon of the same data centre tells a configuration within this, as long
// as something of it comes; else the store is asked.
constexpr Duration kPeerWithin = seconds(2);
constexpr Duration kPeerSilence = milliseconds(250);
constexpr int kOk = 200;
constexpr Duration kFirstBackoff = milliseconds(100);
constexpr int kMostDoublings = 3;

bool HasConfiguration(const platform::StoredItems& items,
                      const serving::ConfigurationStamp& wanted) {
  return std::any_of(
      items.items.begin(), items.items.end(), [&](const auto& it) {
        const auto* found = std::get_if<platform::StoredConfiguration>(&it);
        return found != nullptr && found->configuration.stamp() == wanted;
      });
}

bool IsEvacuation(const platform::StoredItem& item) {
  return std::holds_alternative<platform::StoredEvacuationItem>(item);
}

// The data centre of a backend server; empty: it is none, or names none.
std::string DataCentreOf(const platform::StoredItem& item) {
  const auto* found = std::get_if<platform::StoredBackend>(&item);
  return found == nullptr ? "" : found->backend.data_centre;
}

// Whether the answer to a question about these keys is whole. A key that is
// absent, as many evacuations are, is missing from the answer, and none of a
// data centre that the question didn't name is in it.
bool IsWholeAnswer(const serving::PollStore& question, std::size_t asked,
                   const std::vector<platform::StoredItem>& items) {
  std::set<std::string> evacuated;
  std::set<std::string> named;
  for (const auto& it : items) {
    const auto* found = std::get_if<platform::StoredEvacuationItem>(&it);
    if (found != nullptr) evacuated.insert(found->evacuation.data_centre);
  }
  for (const auto& [data_centre, revision] : question.evacuations) {
    named.insert(data_centre);
    const bool was_there = revision.number != 0;
    if (was_there && !evacuated.contains(data_centre)) return false;
  }
  const bool names_all =
      named.empty() ||
      std::all_of(items.begin(), items.end(), [&](const auto& it) {
        const std::string data_centre = DataCentreOf(it);
        return data_centre.empty() || named.contains(data_centre);
      });
  const std::size_t others = asked - question.evacuations.size();
  return names_all && items.size() - evacuated.size() >= others;
}

// What another daemon tells at kConfigurationPath.
platform::StoredItem ReadToldConfiguration(HttpResponse answer) {
  const auto number = [&](const char* header) {
    return std::strtoull(answer.headers.Get(header).c_str(), nullptr, 10);
  };
  const serving::StoreRevision revision{.epoch = number(kEraHeader),
                                        .number = number(kRevisionHeader)};
  return platform::ReadStoredConfiguration(std::move(answer.body), revision);
}

}  // namespace

StoreFollower::StoreFollower(EventLoop& loop, StoreFollowerOptions options,
                             Feed feed)
    : loop_(loop),
      options_(std::move(options)),
      feed_(std::move(feed)),
      store_(loop, {.address = options_.store,
                    .on_heard = [this] { Heard(); },
                    .on_era =
                        [this](std::uint64_t era) {
                          feed_(serving::StoreEpochObserved{.epoch = era});
                        }}),
      peer_calls_(loop),
      random_(options_.seed),
      registration_(loop, store_,
                    {.self = {.peer_address = options_.peer_address,
                              .data_centre = options_.data_centre},
                     .seed = options_.seed + 1,
                     .noted = [this](const char* call,
                                     auto error) { return Noted(call, error); },
                     .feed = [this](auto body) { feed_(std::move(body)); },
                     .on_registered = [this] { ListOnceRegistered(); }}),
      warm_up_lease_(
          loop, store_,
          {.peer_address = options_.peer_address,
           .noted = [this](const char* call,
                           auto error) { return Noted(call, error); },
           .feed = [this](auto body) { feed_(std::move(body)); }}),
      list_timer_(loop, [this] { List(); }),
      watch_timer_(loop, [this] { Watch(); }) {}

void StoreFollower::Start() {
  registration_.Start();
  list_timer_.Once(kRegisterWithin);
}

void StoreFollower::Leave() { registration_.Leave(); }

void StoreFollower::ListOnceRegistered() {
  if (!listed_) List();
}

Duration StoreFollower::Backoff() {
  const int doublings = std::min(failures_, kMostDoublings);
  const Duration most = kFirstBackoff * (1 << doublings);
  // Half is drawn, so that daemons that failed together don't return together.
  return most / 2 +
         Duration(static_cast<Duration::rep>(
                      random_() % static_cast<std::uint64_t>(most.count())) /
                  2);
}

bool StoreFollower::Noted(const char* call, std::optional<StoreError> error) {
  if (error == StoreError::kOtherEra) {
    ++failures_;
    LogInfo("answer_of_other_era",
            {{"call", call}, {"era", std::to_string(store_.era())}});
    return false;
  }
  // The store is there; asking the same again has to wait all the same.
  if (error == StoreError::kRejected || error == StoreError::kRepeatedPage) {
    ++failures_;
    LogWarn("store_rejects",
            {{"call", call},
             {"why", std::string(NameIn(platform::kStoreErrorNames, *error))}});
    return false;
  }
  // These are answers of a store that is there.
  const bool there = !error || *error == StoreError::kForgotten ||
                     *error == StoreError::kNoLease ||
                     *error == StoreError::kConflict;
  if (there) {
    failures_ = 0;
    if (std::exchange(lost_, false))
      LogInfo("store_regained", {{"call", call}});
    return !error;
  }
  ++failures_;
  trouble_at_ = loop_.Now();
  if (!std::exchange(lost_, true)) {
    const auto heard_ago =
        std::chrono::duration_cast<milliseconds>(loop_.Now() - heard_at_);
    LogWarn("store_lost",
            {{"call", call},
             {"why", std::string(NameIn(platform::kStoreErrorNames, *error))},
             {"heard_ms_ago", std::to_string(heard_ago.count())}});
  }
  return false;
}

void StoreFollower::Heard() {
  if (loop_.Now() - heard_at_ < kHeardGrain) return;
  heard_at_ = loop_.Now();
  feed_(serving::StoreResponded{});
}

bool StoreFollower::StoreWasAway() const {
  return trouble_at_ != Time{} && loop_.Now() - trouble_at_ < kAwayFor;
}

void StoreFollower::List() {
  if (std::exchange(listing_, true)) return;
  list_timer_.Cancel();
  const Time asked = loop_.Now();
  store_.ListAll(
      [this, asked](auto result) { OnList(std::move(result), asked); });
}

void StoreFollower::OnList(platform::StoreResult<platform::StoredItems> result,
                           Time asked) {
  listing_ = false;
  const auto* items = ValueOf(result);
  if (!Noted("list", FaultOf(result))) {
    list_timer_.Once(Backoff());
    return;
  }
  listed_ = registration_.stands();
  peers_.clear();
  for (const auto& it : items->items) {
    const bool told_below =
        std::holds_alternative<platform::StoredBackend>(it) ||
        std::holds_alternative<platform::StoredEndingsItem>(it) ||
        IsEvacuation(it);
    if (!told_below) Take(it, asked);
  }
  TellEvacuations(*items);
  // First what must not be sent, then to whom.
  TellEndings(*items);
  TellBackends(*items, asked);
  TellPeers();
  TellCount(asked);
  at_ = std::max(at_, items->at);
  Watch();
}

bool StoreFollower::KnowsPlace() const {
  return at_.number != 0 && at_.epoch == store_.era();
}

void StoreFollower::WriteEntryAgain() { registration_.WriteAgain(); }

void StoreFollower::WriteSettledEra(std::uint64_t era) {
  // A watch tells that it is there.
  store_.WriteSettledEra(era, [this](const auto& result) {
    Noted("write_settled_era", FaultOf(result));
  });
}

void StoreFollower::TellBackends(const platform::StoredItems& items,
                                 Time asked) {
  serving::BackendsListed all{.backends = {},
                              .certain = !StoreWasAway(),
                              .revision = items.at,
                              .queried_at = asked};
  for (const auto& it : items.items) {
    const auto* backend = std::get_if<platform::StoredBackend>(&it);
    if (backend != nullptr) all.backends.push_back(backend->backend);
  }
  feed_(std::move(all));
}

void StoreFollower::TellEvacuations(const platform::StoredItems& items) {
  serving::AllEvacuationsListed all{.evacuations = {}, .revision = items.at};
  for (const auto& it : items.items) {
    const auto* found = std::get_if<platform::StoredEvacuationItem>(&it);
    if (found == nullptr) continue;
    TellIfUnreadable(*found);
    all.evacuations.push_back(found->evacuation);
  }
  feed_(std::move(all));
}

void StoreFollower::TellIfUnreadable(
    const platform::StoredEvacuationItem& item) {
  if (item.fault.empty()) return;
  feed_(serving::EvacuationKeyUnreadable{.key = item.key, .error = item.fault});
}

void StoreFollower::TakeAll(const platform::StoredItems& items, Time asked) {
  for (const auto& it : items.items) {
    if (IsEvacuation(it)) Take(it, asked);
  }
  for (const auto& it : items.items) {
    if (!IsEvacuation(it)) Take(it, asked);
  }
}

void StoreFollower::TellEndings(const platform::StoredItems& items) {
  serving::AllCrashesListed all{.crashes = {}, .revision = items.at};
  for (const auto& it : items.items) {
    const auto* endings = std::get_if<platform::StoredEndingsItem>(&it);
    if (endings != nullptr) all.crashes.push_back(endings->endings);
  }
  feed_(std::move(all));
}

void StoreFollower::Save(const serving::SaveCrashes& save) {
  store_.WriteEndings(save.crashes, [this](auto result) {
    const auto fault = FaultOf(result);
    const bool done = Noted("save_endings", fault);
    const bool conflict =
        fault == StoreError::kConflict || fault == StoreError::kOtherEra;
    // Others wrote first; or no watch tells this daemon what it wrote.
    if (conflict || (done && !wants_watch_)) List();
    feed_(serving::SaveCrashesFinished{});
  });
}

void StoreFollower::TellPeers() {
  serving::PeersListed listed;
  for (const auto& [address, data_centre] : peers_) {
    listed.peers.push_back(
        {.peer_address = address, .data_centre = data_centre});
  }
  feed_(std::move(listed));
}

// Every entry that stood when the store was asked is among them.
void StoreFollower::TellCount(Time asked) {
  feed_(serving::DaemonsCounted{.daemons = peers_.size(), .queried_at = asked});
}

void StoreFollower::Take(const platform::StoredItem& item, Time asked) {
  std::visit(
      Overloaded{[&](const platform::StoredConfiguration& it) {
                   feed_(serving::ConfigurationReceived{
                       .configuration = it.configuration, .queried_at = asked});
                 },
                 [&](const platform::StoredBackend& it) {
                   feed_(serving::BackendListed{.backend = it.backend});
                 },
                 [&](const platform::BackendGone& it) {
                   feed_(serving::BackendUnlisted{.id = it.id,
                                                  .certain = !StoreWasAway(),
                                                  .revision = it.revision});
                 },
                 [&](const platform::StoredMember& it) {
                   peers_[it.peer_address] = it.data_centre;
                 },
                 [&](const platform::MemberGone& it) {
                   peers_.erase(it.peer_address);
                 },
                 [&](const platform::StoredEndingsItem& it) {
                   feed_(serving::CrashesStored{it.endings});
                 },
                 [&](const platform::StoredSettledEra& it) {
                   feed_(serving::ReconciledEpochObserved{it.era});
                 },
                 [&](const platform::StoredEvacuationItem& it) {
                   TellIfUnreadable(it);
                   feed_(serving::EvacuationStored{it.evacuation});
                 },
                 [&](const platform::Unreadable& it) {
                   if (it.requests_evacuation) {
                     feed_(serving::EvacuationKeyUnreadable{.key = it.key,
                                                            .error = it.fault});
                     return;
                   }
                   LogWarn("store_entry_unreadable",
                           {{"key", it.key}, {"fault", it.fault}});
                 }},
      item);
}

void StoreFollower::SetWatch(bool on) {
  wants_watch_ = on;
  if (on) Watch();
}

void StoreFollower::Watch() {
  watch_timer_.Cancel();
  // Where to go on is known from a list of this era.
  if (!wants_watch_ || !KnowsPlace()) return;
  if (std::exchange(watching_, true)) return;
  watched_at_ = loop_.Now();
  store_.Watch(at_, kWatchWait,
               [this](auto result) { OnWatch(std::move(result)); });
}

void StoreFollower::OnWatch(
    platform::StoreResult<platform::StoredItems> result) {
  watching_ = false;
  const auto fault = FaultOf(result);
  if (fault == StoreError::kForgotten || fault == StoreError::kOtherEra) {
    OnForgotten();
    return;
  }
  if (!Noted("watch", fault)) {
    watch_timer_.Once(Backoff());
    return;
  }
  TakeChanges(*ValueOf(result), watched_at_);
  const Duration early = watched_at_ + kWatchEvery - loop_.Now();
  watch_timer_.Once(std::max(early, Duration::zero()));
}

void StoreFollower::OnForgotten() {
  Noted("watch", std::nullopt);
  LogInfo("history_forgotten", {{"era", std::to_string(at_.epoch)},
                                {"after", std::to_string(at_.number)}});
  List();
}

// Two answers may be on their way at once: what the older one tells has been
// told, and would bring back what went since.
void StoreFollower::TakeChanges(const platform::StoredItems& changes,
                                Time asked) {
  if (changes.at > at_) {
    at_ = changes.at;
    TakeAll(changes, Time{});
    feed_(serving::BackendChangesComplete{.revision = at_});
    if (!changes.items.empty()) TellPeers();
  }
  TellCount(asked);
}

void StoreFollower::Ask(const serving::PollStore& question) {
  if (std::exchange(asking_, true)) return;
  const std::size_t conditions =
      1 + question.backends.size() + question.evacuations.size();
  const bool by_changes = conditions > kMostConditions;
  if (by_changes && KnowsPlace()) {
    CatchUp(question);
    return;
  }
  std::vector<platform::KnownRevision> known{
      {platform::ConfigurationKey(), question.configuration}};
  const Time asked = loop_.Now();
  if (!by_changes) {
    for (const auto& [id, revision] : question.backends) {
      known.push_back({platform::BackendKey(id), revision});
    }
    for (const auto& [data_centre, revision] : question.evacuations) {
      known.push_back({platform::EvacuationKey(data_centre), revision});
    }
  }
  store_.Confirm(known, [this, known, question, asked](auto result) {
    OnAsked(std::move(result), known, question, asked);
  });
}

// What has changed since what is known, without waiting for more: a few bytes
// where nothing has, while a list of 3,000 entries has 1 MB. All that the store
// had taken when it was asked is known then.
void StoreFollower::CatchUp(const serving::PollStore& question) {
  const Time asked = loop_.Now();
  store_.Watch(at_, kNoWait, [this, question, asked](auto result) {
    asking_ = false;
    const auto fault = FaultOf(result);
    if (fault == StoreError::kForgotten || fault == StoreError::kOtherEra) {
      OnForgotten();
      return;
    }
    if (!Noted("catch_up", fault)) {
      feed_(serving::StoreUnreachable{});
      return;
    }
    TakeChanges(*ValueOf(result), asked);
    TellConfirmed(question, asked);
    feed_(
        serving::BackendsConfirmed{.epoch = store_.era(), .queried_at = asked});
  });
}

void StoreFollower::OnAsked(
    platform::StoreResult<platform::Confirmation> result,
    const std::vector<platform::KnownRevision>& known,
    const serving::PollStore& question, Time asked) {
  asking_ = false;
  const auto* confirmation = ValueOf(result);
  if (!Noted("confirm", FaultOf(result))) {
    feed_(serving::StoreUnreachable{});
    return;
  }
  // Before the first list nothing is known: that none of it has changed proves
  // no list, and requests were refused for want of servers.
  const bool all_asked =
      KnowsPlace() && known.size() == 1 + question.backends.size() +
                                          question.evacuations.size();
  if (!all_asked) List();
  if (std::holds_alternative<platform::Unchanged>(*confirmation)) {
    TellConfirmed(question, asked);
    if (all_asked) {
      feed_(serving::BackendsConfirmed{.epoch = store_.era(),
                                       .queried_at = asked});
    }
    return;
  }
  const auto& answer = std::get<platform::StoredItems>(*confirmation);
  TakeAll(answer, asked);
  // What is not there at all is missing from the answer.
  const bool is_whole =
      all_asked ? IsWholeAnswer(question, known.size(), answer.items)
                : answer.items.size() >= known.size();
  if (!is_whole) {
    List();
  } else if (all_asked) {
    feed_(
        serving::BackendsConfirmed{.epoch = store_.era(), .queried_at = asked});
  }
}

void StoreFollower::TellConfirmed(const serving::PollStore& question,
                                  Time asked) {
  feed_(serving::ConfigurationConfirmed{
      .revision = {.epoch = store_.era(),
                   .number = question.configuration.number},
      .queried_at = asked});
}

// Read from the store by each, one change would be n calls and n answers over
// one link.
void StoreFollower::ReadConfiguration(
    const serving::ReadConfiguration& wanted) {
  peer_calls_.Start(
      {.address = wanted.source_peer,
       .path = kConfigurationPath,
       .timeout = kPeerWithin,
       .silence = kPeerSilence,
       .connect_timeout = kPeerSilence,
       .on_done = [this, wanted](HttpResult result) {
         auto* answer = ValueOf(result);
         const bool told = answer != nullptr && answer->status == kOk;
         auto item = told ? ReadToldConfiguration(std::move(*answer))
                          : platform::StoredItem{platform::Unreadable{}};
         const auto* found = std::get_if<platform::StoredConfiguration>(&item);
         if (found == nullptr ||
             serving::IsNewer(wanted.wanted, found->configuration.stamp())) {
           LogInfo("configuration_not_told",
                   {{"from", wanted.source_peer},
                    {"wanted", std::to_string(wanted.wanted.version)}});
           ReadStored(wanted.wanted);
           return;
         }
         // It proves nothing; relays tell that it is the newest.
         Take(item, Time{});
       }});
}

// Of many daemons that read the same change at about the same time, most are
// answered well enough by a read that may be old. It may also be of a history
// that the store has lost: only that very one is taken.
void StoreFollower::ReadStored(const serving::ConfigurationStamp& wanted) {
  feed_(serving::StoreQueried{});
  store_.ReadConfiguration(/*may_be_old=*/true, [this, wanted](auto result) {
    const auto* items = ValueOf(result);
    if (items != nullptr && HasConfiguration(*items, wanted)) {
      // A read that may be old proves nothing.
      for (const auto& it : items->items) Take(it, Time{});
      return;
    }
    ReadNewest();
  });
}

void StoreFollower::ReadNewest() {
  const Time asked = loop_.Now();
  store_.ReadConfiguration(/*may_be_old=*/false, [this, asked](auto result) {
    const auto* items = ValueOf(result);
    if (!Noted("read_configuration", FaultOf(result))) {
      feed_(serving::StoreUnreachable{});
      return;
    }
    for (const auto& it : items->items) Take(it, asked);
  });
}

}  // namespace scaleshed
