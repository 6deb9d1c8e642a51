#ifndef SCALESHED_DAEMON_INTERNAL_STORE_FOLLOWER_H_
#define SCALESHED_DAEMON_INTERNAL_STORE_FOLLOWER_H_

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "scaleshed/platform/store_client.h"
#include "scaleshed/runtime/event_loop.h"
#include "scaleshed/serving/events.h"

namespace scaleshed {

struct StoreFollowerOptions {
  std::string store;         // "ip:port"
  std::string peer_address;  // under which this daemon is listed
  std::uint64_t seed = 1;
};

// Keeps the reducer told of what lies in the platform's store: lists it once,
// watches it, asks again and again whether what is known is still the newest,
// and lists this daemon there. A silent watch proves nothing; only the answers
// to those questions count as proof.
class StoreFollower {
 public:
  using Feed = std::function<void(serving::EventBody)>;

  StoreFollower(EventLoop& loop, StoreFollowerOptions options, Feed feed);
  StoreFollower(const StoreFollower&) = delete;
  StoreFollower& operator=(const StoreFollower&) = delete;

  void Start();
  // Takes this daemon out of the list.
  void Leave();
  std::uint64_t calls() const { return store_.calls(); }

 private:
  void List();
  void OnList(platform::StoreResult<platform::StoredItems> result, Time asked);
  void Watch();
  void OnWatch(platform::StoreResult<platform::StoredItems> result);
  void Confirm();
  void OnConfirmed(platform::StoreResult<platform::Confirmation> result,
                   Time asked);
  void Take(const platform::StoredItem& item, Time asked);
  void Register();
  void WriteMember();
  void Renew();
  void TellPeers();
  // Notes what became of a call. False where it failed.
  bool Noted(const char* call, std::optional<platform::StoreError> error);
  bool StoreWasAway() const;
  Duration Backoff();

  EventLoop& loop_;
  StoreFollowerOptions options_;
  Feed feed_;
  platform::StoreClient store_;
  std::mt19937_64 random_;
  // What is known: revisions by key, and where the watch goes on.
  std::uint64_t configuration_revision_ = 0;
  std::map<std::string, std::uint64_t> backends_;
  std::set<std::string> peers_;
  std::uint64_t at_ = 0;
  std::uint64_t lease_ = 0;
  bool registered_ = false;
  bool listing_ = false;
  bool watching_ = false;
  bool confirming_ = false;
  bool leaving_ = false;
  int failures_ = 0;
  bool lost_ = false;
  Time trouble_at_{};
  Timer list_timer_;
  Timer watch_timer_;
  Timer confirm_timer_;
  Timer lease_timer_;
};

}  // namespace scaleshed

#endif  // SCALESHED_DAEMON_INTERNAL_STORE_FOLLOWER_H_
