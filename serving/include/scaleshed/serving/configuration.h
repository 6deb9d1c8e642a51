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

// What may be done with a request whose answer did not come.
enum class RequestKind {
  kOnce,             // runs at most once
  kRepeatable,       // may run again at another backend server
  kOnceStream,       // a stream that runs at most once
  kResumableStream,  // a stream that another backend server can go on with
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

// How long a model engine takes, as the operators' configuration tells it.
struct EngineTiming {
  std::int64_t slots = 0;            // requests at once
  std::int64_t memory_tokens = 0;    // of prompts and answers together
  double step_ms = 0;                // one token for each writing request
  double step_ms_per_decoder = 0;    // more for each writing request, a step
  double context_ms_per_1000 = 0;    // more for each 1,000 tokens of context
  double prefill_tokens_per_ms = 1;  // of prompts
  double attention_ms_per_million_pairs =
      0;  // for pairs of a token and one before it
  std::int64_t tokens_per_event = 1;
  std::int64_t prefill_chunk_tokens = 0;  // read at most in one step
  double hop_ms = 0;  // a step of a prompt on several engines
};

struct Service {
  std::string name;
  std::int64_t max_connections = 0;    // of one backend server, all callers
  std::optional<EngineTiming> engine;  // model services only
};

struct ServiceShare {
  std::string service;
  std::int64_t weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;
  RequestKind kind = RequestKind::kOnce;
  Duration timeout{};        // the longest time to hold a request
  Duration objective{};      // to the answer, or to a stream's first event
  Duration max_event_gap{};  // between a stream's events; zero: not told
  int priority = 0;          // 0 goes first
  std::vector<ServiceShare> shares;
  int max_sends = 1;  // backend servers that may get one request
  bool is_public = false;
};

struct ClientAccount {
  std::string name;
  std::vector<std::string> keys;
  std::optional<int> priority;
};

struct RequestLimits {
  std::int64_t max_header_bytes = 0;
  std::int64_t max_body_bytes = 0;
  Duration header_timeout{};
  Duration idle_timeout{};
};

// One accepted configuration.
struct Configuration {
  // As it is stored, for daemons that lack it; may be missing.
  std::shared_ptr<const std::string> document;
  StoreRevision revision;
  std::int64_t version = 0;  // the operators' own count: it only rises
  std::vector<Route> routes;
  std::map<std::string, Service> services;
  std::vector<ClientAccount> accounts;
  RequestLimits limits;

  ConfigurationStamp stamp() const {
    return {.version = version, .revision = revision};
  }
};

// Finds routes and accounts of one configuration.
class ConfigurationIndex {
 public:
  ConfigurationIndex() = default;
  explicit ConfigurationIndex(Configuration configuration);

  const Configuration& configuration() const { return configuration_; }
  // The route with the longest prefix of `path`; nullptr where there is none.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  const ClientAccount* FindAccount(std::string_view key) const;
  const Service* FindService(const std::string& name) const;

 private:
  Configuration configuration_;
  // Indexes of routes by host, longest prefix first.
  std::map<std::string, std::vector<std::size_t>, std::less<>> by_host_;
  std::map<std::string, std::size_t, std::less<>> by_key_;
};

}  // namespace scaleshed::serving

#endif  // SCALESHED_SERVING_CONFIGURATION_H_
