#ifndef SCALESHED_DAEMON_INTERNAL_STORE_FOLLOWER_H_
#define SCALESHED_DAEMON_INTERNAL_STORE_FOLLOWER_H_

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>

#include "internal/registration.h"
#include "internal/warm_up_lease.h"
#include "scaleshed/platform/store_client.h"
#include "scaleshed/runtime/event_loop.h"
#include "scaleshed/runtime/http_client.h"
#include "scaleshed/serving/effects.h"
#include "scaleshed/serving/events.h"

namespace scaleshed {

// Where a daemon tells others the configuration that it has, and the header
// that say at which revision of the store, and of which era.
inline constexpr char kConfigurationPath[] = "/configuration";
inline constexpr char kRevisionHeader[] = "Configuration-Revision";
inline constexpr char kEraHeader[] = "Configuration-Era";

struct StoreFollowerOptions {
  std::string store;         // "ip:port"
  std::string peer_address;  // under which this daemon is listed
  std::string data_centre;   // in which
  std::uint64_t seed = 1;
};

// Calls the platform's store for the reducer, and tells it what lies there: all
// of it once at the start, then what the reducer asks for, and what a watch
// brings while it wants one. A silent watch proves nothing; only the answers to
// questions count as proof. Lists this daemon there by itself.
class StoreFollower {
 public:
  using Feed = std::function<void(serving::EventBody)>;

  StoreFollower(EventLoop& loop, StoreFollowerOptions options, Feed feed);
  StoreFollower(const StoreFollower&) = delete;
  StoreFollower& operator=(const StoreFollower&) = delete;

  void Start();
  // Takes this daemon out of the list.
  void Leave();

  void Ask(const serving::PollStore& question);
  // That one or a newer one, from a daemon that has it or else from
  // the store.
  void ReadConfiguration(const serving::ReadConfiguration& wanted);
  // All that there is, again and again until it is told.
  void List();
  void SetWatch(bool on);
  void Save(const serving::SaveCrashes& save);
  // The store may have lost this daemon's entry.
  void WriteEntryAgain();
  void WriteSettledEra(std::uint64_t era);
  WarmUpLease& warm_up_lease() { return warm_up_lease_; }

  std::uint64_t calls() const { return store_.calls(); }

 private:
  void OnList(platform::StoreResult<platform::StoredItems> result, Time asked);
  void Watch();
  void OnWatch(platform::StoreResult<platform::StoredItems> result);
  void OnAsked(platform::StoreResult<platform::Confirmation> result,
               const std::vector<platform::KnownRevision>& known,
               const serving::PollStore& question, Time asked);
  void ReadStored(const serving::ConfigurationStamp& wanted);
  void ReadNewest();
  void CatchUp(const serving::PollStore& question);
  void TellConfirmed(const serving::PollStore& question, Time asked);
  void OnForgotten();
  void TakeChanges(const platform::StoredItems& changes, Time asked);
  void Take(const platform::StoredItem& item, Time asked);
  void ListOnceRegistered();
  // All backend servers there are, by a list that was asked for then.
  void TellBackends(const platform::StoredItems& items, Time asked);
  void TellEndings(const platform::StoredItems& items);
  void TellEvacuations(const platform::StoredItems& items);
  void TellIfUnreadable(const platform::StoredEvacuationItem& item);
  // Evacuations before the servers that they concern.
  void TakeAll(const platform::StoredItems& items, Time asked);
  void TellPeers();
  void TellCount(Time asked);
  // Notes what became of a call. False where it failed.
  bool Noted(const char* call, std::optional<platform::StoreError> error);
  bool StoreWasAway() const;
  // Where a watch of the store as it is now goes on.
  bool KnowsPlace() const;
  // The store says something to this daemon.
  void Heard();
  Duration Backoff();

  EventLoop& loop_;
  StoreFollowerOptions options_;
  Feed feed_;
  platform::StoreClient store_;
  HttpClient peer_calls_;
  std::mt19937_64 random_;
  std::map<std::string, std::string> peers_;  // to their data centres
  serving::StoreRevision at_;                 // where the watch goes on
  bool listing_ = false;
  bool listed_ = false;  // after this daemon was registered
  bool wants_watch_ = false;
  bool watching_ = false;
  Time watched_at_{};
  bool asking_ = false;
  int failures_ = 0;
  bool lost_ = false;
  Time trouble_at_{};
  Time heard_at_{};  // last, something of an answer
  Registration registration_;
  WarmUpLease warm_up_lease_;
  Timer list_timer_;
  Timer watch_timer_;
};

}  // namespace scaleshed

#endif  // SCALESHED_DAEMON_INTERNAL_STORE_FOLLOWER_H_
