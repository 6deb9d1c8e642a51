#include "internal/store_follower.h"

#include <algorithm>
#include <utility>

#include "scaleshed/runtime/log.h"

namespace scaleshed {
namespace {

using platform::StoreError;

// A watch that brings nothing is asked anew; a wait counts as one call.
constexpr Duration kWatchWait = seconds(10);
// Between two questions whether what is known is the newest. Shorter than a
// configuration's bound (2 s) and a leaving backend server's (2 s), so that
// both hold when the watch is silent.
constexpr Duration kConfirmEvery = milliseconds(900);
// Conditions that the store takes in one transaction.
constexpr std::size_t kMostConditions = 32;
// Entries of backend servers may lapse while the store is away; so long after
// its return they may still be missing.
constexpr Duration kAwayFor = milliseconds(2500);
constexpr Duration kLeaseTtl = seconds(6);
constexpr Duration kRenewEvery = seconds(2);
constexpr Duration kFirstBackoff = milliseconds(100);
constexpr int kMostDoublings = 3;

}  // namespace

StoreFollower::StoreFollower(EventLoop& loop, StoreFollowerOptions options,
                             Feed feed)
    : loop_(loop),
      options_(std::move(options)),
      feed_(std::move(feed)),
      store_(loop, {.address = options_.store}),
      random_(options_.seed),
      list_timer_(loop, [this] { List(); }),
      watch_timer_(loop, [this] { Watch(); }),
      confirm_timer_(loop, [this] { Confirm(); }),
      lease_timer_(loop, [this] { Renew(); }) {}

void StoreFollower::Start() {
  List();
  Register();
  confirm_timer_.Once(kConfirmEvery);
}

void StoreFollower::Leave() {
  leaving_ = true;
  lease_timer_.Cancel();
  if (lease_ == 0) return;
  store_.EndLease(lease_, [this](const auto& result) {
    Noted("end_lease", ValueOf(result) != nullptr
                           ? std::nullopt
                           : std::optional(ErrorOf(result)));
  });
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
    LogWarn("store_lost",
            {{"call", call},
             {"why", std::string(NameIn(platform::kStoreErrorNames, *error))}});
  }
  return false;
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
  if (!Noted("list", items != nullptr ? std::nullopt
                                      : std::optional(ErrorOf(result)))) {
    list_timer_.Once(Backoff());
    return;
  }
  serving::BackendsListed all{.backends = {}, .certain = !StoreWasAway()};
  std::map<std::string, std::uint64_t> backends;
  peers_.clear();
  for (const auto& it : items->items) {
    if (const auto* backend = std::get_if<platform::StoredBackend>(&it)) {
      all.backends.push_back(backend->backend);
      backends[backend->backend.id] = backend->backend.revision;
    } else {
      Take(it, asked);
    }
  }
  backends_ = std::move(backends);
  feed_(std::move(all));
  TellPeers();
  at_ = std::max(at_, items->at);
  Watch();
}

void StoreFollower::TellPeers() {
  feed_(serving::PeersListed{.peer_addresses = {peers_.begin(), peers_.end()}});
}

void StoreFollower::Take(const platform::StoredItem& item, Time asked) {
  std::visit(
      Overloaded{[&](const platform::StoredConfiguration& it) {
                   configuration_revision_ = std::max(
                       configuration_revision_, it.configuration.revision);
                   feed_(serving::ConfigurationSeen{
                       .configuration = it.configuration, .asked = asked});
                 },
                 [&](const platform::StoredBackend& it) {
                   backends_[it.backend.id] = it.backend.revision;
                   feed_(serving::BackendListed{.backend = it.backend});
                 },
                 [&](const platform::BackendGone& it) {
                   backends_.erase(it.id);
                   feed_(serving::BackendUnlisted{.id = it.id,
                                                  .certain = !StoreWasAway()});
                 },
                 [&](const platform::StoredMember& it) {
                   peers_.insert(it.peer_address);
                 },
                 [&](const platform::MemberGone& it) {
                   peers_.erase(it.peer_address);
                 },
                 [&](const platform::Unreadable& it) {
                   LogWarn("store_entry_unreadable",
                           {{"key", it.key}, {"fault", it.fault}});
                 }},
      item);
}

void StoreFollower::Watch() {
  watch_timer_.Cancel();
  if (std::exchange(watching_, true)) return;
  store_.Watch(at_, kWatchWait,
               [this](auto result) { OnWatch(std::move(result)); });
}

void StoreFollower::OnWatch(
    platform::StoreResult<platform::StoredItems> result) {
  watching_ = false;
  const auto* changes = ValueOf(result);
  if (changes == nullptr && ErrorOf(result) == StoreError::kForgotten) {
    Noted("watch", std::nullopt);
    LogInfo("history_forgotten", {{"after", std::to_string(at_)}});
    List();
    return;
  }
  if (!Noted("watch", changes != nullptr ? std::nullopt
                                         : std::optional(ErrorOf(result)))) {
    watch_timer_.Once(Backoff());
    return;
  }
  at_ = changes->at;
  // What a watch brings may be old; it proves nothing.
  for (const auto& it : changes->items) Take(it, Time{});
  if (!changes->items.empty()) TellPeers();
  Watch();
}

void StoreFollower::Confirm() {
  confirm_timer_.Once(kConfirmEvery);
  if (configuration_revision_ == 0 || std::exchange(confirming_, true)) return;
  std::vector<platform::KnownRevision> known{
      {platform::ConfigurationKey(), configuration_revision_}};
  for (const auto& [id, revision] : backends_) {
    if (known.size() == kMostConditions) break;
    known.push_back({platform::BackendKey(id), revision});
  }
  const Time asked = loop_.Now();
  store_.Confirm(known, [this, asked](auto result) {
    OnConfirmed(std::move(result), asked);
  });
}

void StoreFollower::OnConfirmed(
    platform::StoreResult<platform::Confirmation> result, Time asked) {
  confirming_ = false;
  const auto* confirmation = ValueOf(result);
  if (!Noted("confirm", confirmation != nullptr
                            ? std::nullopt
                            : std::optional(ErrorOf(result)))) {
    confirm_timer_.Once(Backoff());
    return;
  }
  if (std::holds_alternative<platform::Unchanged>(*confirmation)) {
    feed_(serving::ConfigurationConfirmed{.revision = configuration_revision_,
                                          .asked = asked});
    return;
  }
  const std::size_t known = backends_.size();
  for (const auto& it : std::get<platform::StoredItems>(*confirmation).items) {
    Take(it, asked);
  }
  // An entry that is not there at all may be missing from the answer.
  if (backends_.size() != known || known > 0) List();
}

void StoreFollower::Register() {
  store_.OpenLease(kLeaseTtl, [this](const auto& result) {
    const auto* lease = ValueOf(result);
    if (!Noted("open_lease", lease != nullptr
                                 ? std::nullopt
                                 : std::optional(ErrorOf(result)))) {
      lease_timer_.Once(Backoff());
      return;
    }
    lease_ = *lease;
    WriteMember();
  });
}

// A write without an answer is repeated under the same lease, so that ending
// that lease takes away whatever was written.
void StoreFollower::WriteMember() {
  store_.WriteMember(options_.peer_address, lease_, [this](const auto& result) {
    const auto* done = ValueOf(result);
    if (done == nullptr && ErrorOf(result) == StoreError::kNoLease) lease_ = 0;
    registered_ =
        Noted("register",
              done != nullptr ? std::nullopt : std::optional(ErrorOf(result)));
    if (leaving_) return;
    lease_timer_.Once(registered_ ? kRenewEvery : Backoff());
  });
}

void StoreFollower::Renew() {
  if (leaving_) return;
  if (lease_ == 0) {
    Register();
    return;
  }
  if (!registered_) {
    WriteMember();
    return;
  }
  store_.KeepLease(lease_, [this](const auto& result) {
    const auto* done = ValueOf(result);
    if (done == nullptr && ErrorOf(result) == StoreError::kNoLease) {
      lease_ = 0;
      registered_ = false;
    }
    const bool kept =
        Noted("keep_lease",
              done != nullptr ? std::nullopt : std::optional(ErrorOf(result)));
    lease_timer_.Once(kept ? kRenewEvery : Backoff());
  });
}

}  // namespace scaleshed
