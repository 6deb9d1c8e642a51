#ifndef SCALESHED_SERVING_STORE_RELAY_H_
#define SCALESHED_SERVING_STORE_RELAY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "scaleshed/core/types.h"
#include "scaleshed/serving/configuration.h"
#include "scaleshed/serving/quarantine.h"

namespace scaleshed::serving {

// A backend server as the platform's store lists it. It may start again under
// the same id: `born` tells its lives apart, and a later life knows and holds
// nothing of an earlier one.
struct BackendServer {
  std::string id;
  std::string service;
  std::string address;
  std::string data_centre;
  std::int64_t slots = 1;
  bool leaving = false;
  StoreRevision revision;  // of its entry
  std::uint64_t start_unix_ms =
      0;  // start of this life, Unix ms; zero: not told
  // Why the entry names no backend server to use; empty: it names one. Anybody
  // may have written it, so that nothing else of it counts then.
  std::string entry_error;
};

// All that a daemon knows of the store, to be compared with what another one
// knows: equal digests mean equal entries.
struct StoreDigest {
  ConfigurationStamp configuration;
  // A hash of ids, of the entries and of their revisions within the era.
  std::uint64_t backends = 0;
  std::uint64_t crashes = 0;  // Quarantine::digest
  bool operator==(const StoreDigest&) const = default;
};

// An entry of a backend server that came, changed or went.
struct BackendChange {
  std::string id;
  StoreRevision revision;
  std::optional<BackendServer> server;  // nothing: the entry is gone
  bool certain = true;                  // see BackendUnlisted
};

// What a daemon that asks the store tells those that don't. Any of these may be
// lost, doubled or late: a change says its revision, and a proof says what the
// asker last heard of the receiver, so that nothing gets younger on its way.
struct StoreRelay {
  std::string peer_address;  // who asked
  std::uint64_t epoch = 0;   // of the store, as last heard
  StoreDigest digest;        // of what it knows
  std::vector<BackendChange> changes;
  std::vector<StoredCrashes> crashes;
  // The store's revision up to which it has been told of every change.
  StoreRevision complete_up_to;
  // How long ago it put the question whose answer was that the entries of
  // `digest` are the newest; nothing: no proof, news only.
  std::optional<Duration> backends_age;
  // The same of the configuration.
  std::optional<Duration> configuration_age;
  // How many daemons had an entry so long ago; with a proof only. No entries
  // were counted where there is no age.
  std::size_t daemons = 0;
  std::optional<Duration> daemons_age;
  // The receiver's last snapshot that the asker had when it sent this.
  std::uint64_t heard_incarnation = 0;
  std::uint64_t heard_sequence = 0;
};

}  // namespace scaleshed::serving

#endif  // SCALESHED_SERVING_STORE_RELAY_H_
