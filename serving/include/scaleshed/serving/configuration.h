#ifndef SCALESHED_SERVING_CONFIGURATION_H_
#define SCALESHED_SERVING_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "scaleshed/core/types.h"
#include "scaleshed/serving/store_revision.h"

namespace scaleshed::serving {

// What may be done with a request whose response did not arrive.
enum class RequestKind {
  kOnce,             // runs at most once
  kRepeatable,       // may run again at another backend server
  kOnceStream,       // a stream that runs at most once
  kResumableStream,  // a stream that another backend server can continue
};
inline constexpr NameTable<RequestKind, 4> kRequestKindNames{{
    {RequestKind::kOnce, "once"},
    {RequestKind::kRepeatable, "repeatable"},
    {RequestKind::kOnceStream, "once_stream"},
    {RequestKind::kResumableStream, "resumable_stream"},
}};

constexpr bool IsStream(RequestKind kind) {
  return kind == RequestKind::kOnceStream ||
         kind == RequestKind::kResumableStream;
}
constexpr bool MayRunAgain(RequestKind kind) {
  return kind == RequestKind::kRepeatable ||
         kind == RequestKind::kResumableStream;
}

// Capacity and speed of the model engines of a service, as the operators'
// configuration states them. Placing estimates from it how long an engine takes
// for a prompt and for the decoding of responses.
struct EngineTiming {
  std::int64_t slots = 0;          // requests at the same time
  std::int64_t memory_tokens = 0;  // for prompts and responses together
  // Base time of an engine step, which yields one token for each decoding
  // request.
  double step_ms = 0;
  double step_ms_per_decoder = 0;    // added to a step for each such request
  double context_ms_per_1000 = 0;    // added for each 1,000 tokens of context
  double prefill_tokens_per_ms = 1;  // prefill speed
  // Attention time of a prefill, for pairs of a token and an earlier one.
  double attention_ms_per_million_pairs = 0;
  std::int64_t tokens_per_event = 1;
  std::int64_t prefill_chunk_tokens = 0;  // prefilled at most in one step
  // The time that the configuration states for each step of a prompt that
  // several engines prefill. Placement doesn't use it.
  double hop_ms = 0;
};

// How a backend server of a service has to be treated after a start during
// traffic, while it is cold.
struct WarmUpLimits {
  // How long a server stays cold if nothing more precise is known.
  Duration duration{};
  // Requests a second that a cold server bears from all daemons together; zero:
  // not limited.
  double per_second = 0;
};

// A service of the configuration: a kind of backend server that routes send
// requests to.
struct Service {
  std::string name;
  // To one backend server, from all callers together.
  std::int64_t max_connections = 0;
  std::optional<EngineTiming> engine;  // model services only
  std::string health_path;             // of health checks; empty: none
  WarmUpLimits warm_up;
};

// A service to which a route sends requests, with the weight that sets its part
// of them relative to the route's other services.
struct ServiceShare {
  std::string service;
  std::int64_t weight = 1;
};

// A route of the configuration: which requests it matches (by host and path
// prefix) and how they are served. ConfigurationIndex finds the route of a
// request.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;
  RequestKind kind = RequestKind::kOnce;
  Duration timeout{};        // the longest time that a request may take
  Duration objective{};      // to the response, or to a stream's first event
  Duration max_event_gap{};  // between a stream's events; zero: unspecified
  int priority = 0;          // 0 goes first
  std::vector<ServiceShare> shares;
  // Sends of one request that may have run; sends that a server declined don't
  // count.
  int max_sends = 1;
  bool is_public = false;
  // The regions whose backend servers may run the requests, and to whose
  // daemons their bodies may go; unset: all, empty: none.
  std::optional<std::vector<std::string>> allowed_regions;
};

// A client account with the keys that authenticate its requests.
struct ClientAccount {
  std::string name;
  std::vector<std::string> keys;
  std::optional<int> priority;  // unset: not given
  // As Route::allowed_regions. If both are given, both apply.
  std::optional<std::vector<std::string>> allowed_regions;
};

// Limits of size and time for the requests that a daemon reads from clients.
struct RequestLimits {
  std::int64_t max_header_bytes = 0;
  std::int64_t max_body_bytes = 0;
  Duration header_timeout{};
  Duration idle_timeout{};
};

// An accepted configuration: the routes, services and client accounts by which
// daemons serve. A newer one replaces it as a whole.
struct Configuration {
  // The text as it is stored, for daemons that lack this configuration; may be
  // missing.
  std::shared_ptr<const std::string> document;
  StoreRevision revision;
  std::int64_t version = 0;  // set by the operators; it only rises
  std::vector<Route> routes;
  std::map<std::string, Service> services;
  // Unset: requests need no key. Empty: no key is known, and only requests of
  // public routes are served.
  std::optional<std::vector<ClientAccount>> accounts;
  RequestLimits limits;

  ConfigurationStamp stamp() const {
    return {.version = version, .revision = revision};
  }
};

// Finds the routes, accounts and services of one configuration. The pointers
// that it returns are valid as long as the index.
class ConfigurationIndex {
 public:
  ConfigurationIndex() = default;
  explicit ConfigurationIndex(Configuration configuration);

  const Configuration& configuration() const { return configuration_; }
  // Returns the route of `host` whose prefix is the longest that `path` begins
  // with; nullptr if there is none.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  const ClientAccount* FindAccount(std::string_view key) const;
  const Service* FindService(const std::string& name) const;

 private:
  Configuration configuration_;
  // Indexes into the routes by host, the longest prefix first.
  std::map<std::string, std::vector<std::size_t>, std::less<>> by_host_;
  std::map<std::string, std::size_t, std::less<>> by_key_;
};

}  // namespace scaleshed::serving

#endif  // SCALESHED_SERVING_CONFIGURATION_H_
