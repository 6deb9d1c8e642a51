#ifndef SCALESHED_SERVING_STORE_RELAY_H_
#define SCALESHED_SERVING_STORE_RELAY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "scaleshed/core/types.h"
#include "scaleshed/serving/configuration.h"
#include "scaleshed/serving/evacuation.h"
#include "scaleshed/serving/quarantine.h"

namespace scaleshed::serving {

// A backend server as its entry in the platform's store describes it. The
// server may start again under the same id: `start_unix_ms` tells its
// incarnations apart, and a later incarnation knows and holds nothing of an
// earlier one.
struct BackendServer {
  std::string id;
  std::string service;
  std::string address;
  std::string data_centre;
  std::int64_t slots = 1;
  bool leaving = false;
  StoreRevision revision;  // of the store entry
  // Start time of this incarnation in Unix ms; zero: unknown.
  std::uint64_t start_unix_ms = 0;
  // How much longer the server is cold, counted from when the entry was
  // received; it may have been read some time before.
  Duration warm_up_left{};
  // Why the entry names no usable backend server; empty: the entry is usable.
  // Any process may have written a faulty entry, so that its other fields are
  // ignored.
  std::string entry_error;
};

// A digest of the store state that a daemon knows. Two daemons compare their
// digests to find out whether they know the same: equal digests mean equal
// entries.
struct StoreDigest {
  ConfigurationStamp configuration;
  // A hash over the ids, the entries and their revisions within the epoch.
  std::uint64_t backends = 0;
  std::uint64_t crashes = 0;  // Quarantine::digest, for whole requests
  // The same for prompt parts; nothing: the sender's version doesn't know them.
  std::optional<std::uint64_t> part_crashes;
  // A hash over the evacuations in force; nothing: the sender's version doesn't
  // know them.
  std::optional<std::uint64_t> evacuations;
  bool operator==(const StoreDigest&) const = default;
};

// A store entry of a backend server that was added, changed or deleted. Relays
// carry it from store pollers to the other daemons.
struct BackendChange {
  std::string id;
  StoreRevision revision;
  std::optional<BackendServer> server;  // nothing: the entry was deleted
  bool certain = true;                  // as in BackendUnlisted
};

// A message in which a store poller relays the state of the store to the
// daemons of its data centre that don't poll. A relay may be lost, duplicated
// or delayed: each change therefore carries its revision, and a freshness
// confirmation carries the number of the last snapshot that the poller received
// from the receiver, so that a delay can't make a confirmation look more recent
// than it is.
struct StoreRelay {
  std::string peer_address;  // of the poller
  std::uint64_t epoch = 0;   // of the store, as last observed
  StoreDigest digest;        // of the state that the poller knows
  std::vector<BackendChange> changes;
  std::vector<StoredCrashes> crashes;
  // Evacuations in force or recently withdrawn.
  std::vector<StoredEvacuation> evacuations;
  // The store's revision up to which the poller knows every change.
  StoreRevision complete_up_to;
  // How long ago the poller sent the store query whose response was that the
  // backend entries of `digest` are the newest; nothing: the relay doesn't
  // confirm them and carries changes only.
  std::optional<Duration> backends_age;
  // How long ago the poller sent the store query whose response was that the
  // configuration of `digest` is the newest; nothing: not confirmed.
  std::optional<Duration> configuration_age;
  // How many daemons had an entry in the store `daemons_age` ago; set only with
  // a freshness confirmation. No age: the entries weren't counted.
  std::size_t daemons = 0;
  std::optional<Duration> daemons_age;
  // Incarnation and sequence number of the last snapshot of the receiver that
  // the poller had when it sent this relay.
  std::uint64_t heard_incarnation = 0;
  std::uint64_t heard_sequence = 0;
};

}  // namespace scaleshed::serving

#endif  // SCALESHED_SERVING_STORE_RELAY_H_
