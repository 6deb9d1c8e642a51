#ifndef SCALESHED_SERVING_TEST_RELAY_STORE_H_
#define SCALESHED_SERVING_TEST_RELAY_STORE_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "serving_harness.h"

namespace scaleshed::serving::test {

inline constexpr int kServers = 4;
inline constexpr int kDataCentres = 2;

inline std::string DataCentreName(int i) {
  return "z" + std::to_string(i % kDataCentres);
}

// A fake of the platform's store that records the time of each change, so that
// tests can compare what a daemon knows with what the store had accepted at any
// time. It can be restored from a backup; WriteAgain() then makes the owners of
// the entries write their latest state again.
class FakeStore {
 public:
  FakeStore() {
    for (int i = 0; i < kServers; ++i) Put(i, false, kStart);
    Accept(1, kStart);
  }

  void Configure(Time now) { Accept(newest() + 1, now); }
  void MakeCopy() {
    copy_ = {revision_, stored_, servers_, evacuations_, settled_era_};
  }
  // Loses all changes since the backup and begins a new epoch.
  void Restore() {
    ++revision_.epoch;
    revision_.number = copy_.revision.number;
    stored_ = InThisEra(copy_.stored);
    servers_ = copy_.servers;
    evacuations_ = copy_.evacuations;
    for (auto& [name, revision] : evacuations_)
      revision.epoch = revision_.epoch;
    settled_era_ = copy_.settled_era;
    for (auto& [id, server] : servers_) server.revision.epoch = revision_.epoch;
  }
  // Makes the operators and the servers write what the backup lacks.
  void WriteAgain(Time now) {
    if (stored_.version < newest()) Accept(newest(), now);
    for (const auto& [id, server] : alive_) {
      const auto found = servers_.find(id);
      const bool same = found != servers_.end() &&
                        found->second.start_unix_ms == server.start_unix_ms &&
                        found->second.leaving == server.leaving &&
                        found->second.entry_error == server.entry_error;
      if (!same) Write(server, now);
    }
    for (int i = 0; i < kDataCentres; ++i) {
      const bool wanted = wanted_.contains(DataCentreName(i));
      if (wanted == evacuations_.contains(DataCentreName(i))) continue;
      wanted ? Evacuate(i, now) : Withdraw(i, now);
    }
    // The leases of servers that have ended expire.
    std::vector<std::string> gone;
    for (const auto& [id, server] : servers_) {
      if (!alive_.contains(id)) gone.push_back(id);
    }
    for (const std::string& it : gone) Erase(it, now);
  }
  void Evacuate(int i, Time now) {
    const std::string name = DataCentreName(i);
    wanted_.insert(name);
    evacuations_[name] = Next();
    evacuation_changes_.push_back({name, now, true, revision_});
  }
  void Withdraw(int i, Time now) {
    const std::string name = DataCentreName(i);
    wanted_.erase(name);
    if (evacuations_.erase(name) == 0) return;
    evacuation_changes_.push_back({name, now, false, Next()});
  }
  const std::map<std::string, StoreRevision>& evacuations() const {
    return evacuations_;
  }
  // Returns the changes of evacuations since a revision of this epoch, in
  // order, as a watch reports them.
  std::vector<StoredEvacuation> EvacuationChangesSince(
      const StoreRevision& after) const {
    std::vector<StoredEvacuation> changes;
    for (const EvacuationChange& it : evacuation_changes_) {
      if (it.revision.epoch == revision_.epoch && it.revision > after)
        changes.push_back({it.data_centre, it.in_force, it.revision, {}});
    }
    return changes;
  }
  // Describes a change of an evacuation before `then` that the daemon lacks;
  // empty if there is none. A change that a restore lost isn't looked for: the
  // operators write it again. A daemon without a record may know by a complete
  // list that the request was withdrawn meanwhile.
  std::string MissingEvacuation(const State& state, Time then) const {
    std::map<std::string, const EvacuationChange*> last;
    for (const EvacuationChange& it : evacuation_changes_) {
      if (it.at < then) last[it.data_centre] = &it;
    }
    for (const auto& [name, change] : last) {
      if (change->revision.epoch != revision_.epoch) continue;
      const auto found = state.evacuations.find(name);
      const bool has_record = found != state.evacuations.end();
      // A daemon that missed both a request and its withdrawal keeps an older
      // record, or none.
      const bool is_known =
          (has_record && found->second.revision >= change->revision) ||
          IsWithdrawnBetween(*change, state.store.complete_up_to);
      const bool evacuated = has_record && found->second.in_force;
      if (!is_known && evacuated != change->in_force)
        return name + (change->in_force ? " is evacuated" : " is reopened");
    }
    return "";
  }
  // Records the reconciled epoch for a daemon.
  void NoteSettledEra(std::uint64_t era) {
    Next();
    settled_era_ = era;
  }
  std::uint64_t settled_era() const { return settled_era_; }
  bool HasCopy() const { return copy_.revision.number != 0; }
  void Put(int i, bool leaving, Time now) {
    const std::string id = "app" + std::to_string(i);
    Write({.id = id,
           .service = "app",
           .address = id + ":1",
           .data_centre = DataCentreName(i),
           .slots = 8,
           .leaving = leaving,
           .start_unix_ms = born_[id]},
          now);
  }
  // Writes the entry of a new incarnation under the same id.
  void StartAgain(int i, Time now) {
    born_["app" + std::to_string(i)] += 1000;
    Put(i, false, now);
  }
  // Applies a delayed write of the previous incarnation.
  void WriteLate(int i, Time now) {
    const std::string id = "app" + std::to_string(i);
    if (!servers_.contains(id) || born_[id] == 0) return;
    Put(i, true, now);
    servers_[id].start_unix_ms -= 1000;
    alive_[id] = servers_[id];
    changes_.back().server = servers_[id];
  }
  // Writes an entry, by another process, that names no usable backend server.
  void Forge(int i, Time now) {
    Write({.id = "app" + std::to_string(i), .entry_error = "state: ?"}, now);
  }
  void Remove(int i, Time now) {
    const std::string id = "app" + std::to_string(i);
    alive_.erase(id);
    Erase(id, now);
  }

  const ConfigurationStamp& stored() const { return stored_; }
  const StoreRevision& revision() const { return revision_; }
  const std::map<std::string, BackendServer>& servers() const {
    return servers_;
  }
  // Returns whether a newer configuration than `known` had been accepted before
  // `then`, even if the store has lost it since.
  bool HadNewer(const ConfigurationStamp& known, Time then) const {
    return std::any_of(accepted_.begin(), accepted_.end(), [&](const auto& it) {
      return IsNewer(it.first, known) && it.second < then;
    });
  }
  // Describes an entry's change before `then` that `known` lacks; empty if
  // there is none.
  std::string Missing(const std::map<std::string, Backend>& known,
                      Time then) const {
    std::map<std::string, const Change*> last;
    for (const auto& it : changes_) {
      if (it.at < then) last[it.id] = &it;
    }
    for (const auto& [id, change] : last) {
      const BackendServer& server = change->server;
      const auto found = known.find(id);
      const bool listed = found != known.end() && !found->second.gone_at;
      const bool gone = change->gone;
      if (gone && listed && found->second.server.revision < server.revision) {
        return id + " is gone";
      }
      if (!gone && listed && found->second.server.revision < server.revision) {
        return id + " has changed";
      }
    }
    return "";
  }

 private:
  struct Change {
    std::string id;
    Time at{};
    BackendServer server;
    bool gone = false;
  };
  struct Copy {
    StoreRevision revision;
    ConfigurationStamp stored;
    std::map<std::string, BackendServer> servers;
    std::map<std::string, StoreRevision> evacuations;
    std::uint64_t settled_era = 0;
  };
  struct EvacuationChange {
    std::string data_centre;
    Time at{};
    bool in_force = false;
    StoreRevision revision;
  };

  bool IsWithdrawnBetween(const EvacuationChange& request,
                          const StoreRevision& end) const {
    return std::any_of(evacuation_changes_.begin(), evacuation_changes_.end(),
                       [&](const EvacuationChange& it) {
                         return it.data_centre == request.data_centre &&
                                !it.in_force &&
                                it.revision > request.revision &&
                                it.revision <= end;
                       });
  }
  // The operators' last version, even if the store has lost it.
  std::int64_t newest() const {
    return accepted_.empty() ? 0 : accepted_.back().first.version;
  }
  StoreRevision Next() {
    ++revision_.number;
    return revision_;
  }
  ConfigurationStamp InThisEra(ConfigurationStamp stamp) const {
    stamp.revision.epoch = revision_.epoch;
    return stamp;
  }
  void Accept(std::int64_t version, Time now) {
    stored_ = {.version = version, .revision = Next()};
    accepted_.emplace_back(stored_, now);
  }
  void Write(BackendServer server, Time now) {
    server.revision = Next();
    servers_[server.id] = server;
    alive_[server.id] = server;
    changes_.push_back({server.id, now, server});
  }
  void Erase(const std::string& id, Time now) {
    if (servers_.erase(id) == 0) return;
    changes_.push_back(
        {id, now, BackendServer{.id = id, .revision = Next()}, true});
  }

  StoreRevision revision_{.epoch = 1, .number = 100};
  ConfigurationStamp stored_;
  std::uint64_t settled_era_ = 0;
  Copy copy_;
  // All configurations that were ever accepted, and when.
  std::vector<std::pair<ConfigurationStamp, Time>> accepted_;
  std::map<std::string, BackendServer> servers_;
  std::map<std::string, BackendServer> alive_;  // with their last entries
  // Start times of the current incarnations by id.
  std::map<std::string, std::uint64_t> born_;
  std::vector<Change> changes_;
  std::map<std::string, StoreRevision> evacuations_;  // in force
  std::set<std::string> wanted_;  // by the operators, even if lost
  std::vector<EvacuationChange> evacuation_changes_;
};

}  // namespace scaleshed::serving::test

#endif  // SCALESHED_SERVING_TEST_RELAY_STORE_H_
