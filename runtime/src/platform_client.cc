#include "scaleshed/runtime/platform_client.h"

#include <utility>

#include "scaleshed/runtime/http_query.h"

namespace scaleshed {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflictStatus = 409;

PlatformError FromHttp(HttpError error) {
  return IsUnsent(error) ? PlatformError::kNotSent
                         : PlatformError::kUnavailable;
}

// Reads an answer's body with `parse`, or says why there is none.
template <typename T, typename Parse>
PlatformResult<T> Read(const HttpResult& result, Parse parse) {
  const HttpResponse* response = ValueOf(result);
  if (response == nullptr) return FromHttp(ErrorOf(result));
  if (response->status == kNotFound) return PlatformError::kAbsent;
  if (response->status == kConflictStatus) return PlatformError::kConflict;
  if (response->status != kOk) return PlatformError::kUnavailable;
  auto parsed = parse(response->body);
  if (auto* value = ValueOf(parsed)) return std::move(*value);
  return PlatformError::kInvalid;
}

}  // namespace

PlatformClient::PlatformClient(EventLoop& loop, PlatformClientOptions options)
    : loop_(loop), options_(std::move(options)), http_(loop) {
  budget_.SetRate(options_.calls_per_second, loop.Now());
}

bool PlatformClient::Spend() {
  if (budget_.WaitFor(1, loop_.Now()) > Duration::zero()) return false;
  budget_.Take(1);
  ++calls_;
  return true;
}

HttpCall PlatformClient::MakeCall(std::string method, std::string path,
                                  std::string body) const {
  return HttpCall{.address = options_.address,
                  .method = std::move(method),
                  .path = std::move(path),
                  .headers = {{"Content-Type", "application/json"}},
                  .body = std::move(body),
                  .timeout = options_.timeout,
                  .max_body_bytes = kMaxDocumentBytes,
                  .on_chunk = {},
                  .on_done = {}};
}

void PlatformClient::Get(const std::string& key,
                         std::function<void(PlatformResult<KeyValue>)> done) {
  if (!Spend()) {
    done(PlatformError::kBudget);
    return;
  }
  HttpCall call =
      MakeCall("GET", TargetWithQuery("/v1/kv", {{"key", key}}), "");
  call.on_done = [done = std::move(done)](const HttpResult& result) {
    done(Read<KeyValue>(result, ParseKeyValue));
  };
  http_.Start(std::move(call));
}

void PlatformClient::Watch(const std::string& key, std::uint64_t version,
                           std::function<void(PlatformResult<KeyValue>)> done) {
  if (!Spend()) {
    done(PlatformError::kBudget);
    return;
  }
  const auto wait =
      std::chrono::duration_cast<milliseconds>(options_.watch_wait);
  HttpCall call = MakeCall(
      "GET",
      TargetWithQuery("/v1/watch", {{"key", key},
                                    {"version", std::to_string(version)},
                                    {"wait_ms", std::to_string(wait.count())}}),
      "");
  call.timeout = options_.watch_wait + options_.timeout;
  call.on_done = [done = std::move(done)](const HttpResult& result) {
    done(Read<KeyValue>(result, ParseKeyValue));
  };
  http_.Start(std::move(call));
}

void PlatformClient::Put(
    const KeyWrite& write,
    std::function<void(PlatformResult<std::uint64_t>)> done) {
  if (!Spend()) {
    done(PlatformError::kBudget);
    return;
  }
  HttpCall call = MakeCall("PUT", "/v1/kv", KeyWriteJson(write));
  call.on_done = [done = std::move(done)](const HttpResult& result) {
    auto entry = Read<KeyValue>(result, ParseKeyValue);
    if (const auto* value = ValueOf(entry)) {
      done(value->version);
    } else {
      done(ErrorOf(entry));
    }
  };
  http_.Start(std::move(call));
}

void PlatformClient::List(
    std::function<void(PlatformResult<std::vector<Instance>>)> done) {
  if (!Spend()) {
    done(PlatformError::kBudget);
    return;
  }
  HttpCall call = MakeCall("GET", "/v1/instances", "");
  call.on_done = [done = std::move(done)](const HttpResult& result) {
    done(Read<std::vector<Instance>>(result, ParseInstances));
  };
  http_.Start(std::move(call));
}

}  // namespace scaleshed
