// status, explain and lookup.

#include <absl/flags/flag.h>

#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>

#include "internal/commands.h"
#include "scaleshed/cli/sync.h"
#include "scaleshed/runtime/http_query.h"

ABSL_FLAG(std::string, daemon, "", "a daemon's address, \"ip:port\"");
ABSL_FLAG(std::string, account, "", "explain: the client account");
ABSL_FLAG(std::string, model, "", "explain: the model");
ABSL_FLAG(int64_t, prompt_tokens, 1024, "explain: the prompt's length");
ABSL_FLAG(std::string, data_centre, "", "lookup: the caller's data centre");

namespace scaleshed::internal {
namespace {

using Json = nlohmann::json;

// Gets JSON from the daemon; prints what is wrong where there is none.
std::optional<Json> Ask(HttpCall call) {
  call.address = absl::GetFlag(FLAGS_daemon);
  call.timeout = seconds(5);
  if (call.address.empty()) {
    std::cerr << "scaleshed: --daemon=IP:PORT is needed\n";
    return std::nullopt;
  }
  const std::string address = call.address;
  EventLoop loop;
  const HttpResult result = CallSync(loop, std::move(call));
  const HttpResponse* response = ValueOf(result);
  if (response == nullptr) {
    std::cerr << "scaleshed: no answer from " << address << "\n";
    return std::nullopt;
  }
  Json json = Json::parse(response->body, nullptr, false);
  if (response->status == 200 && json.is_object()) return json;
  std::cerr << "scaleshed: " << address << " answered " << response->status
            << ": " << response->body << "\n";
  return std::nullopt;
}

void PrintStatus(const Json& status) {
  std::cout << "instance    " << status.value("incarnation", "") << " in "
            << status.value("data_centre", "") << "\n"
            << "state       " << status.value("stop", "")
            << (status.value("ready", false) ? ", ready" : ", not ready")
            << "\n"
            << "revision    " << status.value("revision", 0) << ", "
            << status.value("accounts", 0) << " accounts, policy "
            << status.value("policy", "") << "\n"
            << "queued      " << status.value("queued", 0) << "\n";
  for (const Json& it : status.value("members", Json::array())) {
    std::cout << "member      " << it.value("incarnation", "") << "  "
              << it.value("state", "") << "  " << it.value("address", "")
              << "\n";
  }
  for (const Json& it : status.value("backends", Json::array())) {
    std::cout << "backend     " << it.value("name", "") << "  "
              << it.value("service", "") << "  "
              << (it.value("leaving", false)          ? "leaving"
                  : it.value("takes_new_work", false) ? "open"
                                                      : "ejected")
              << "  in flight " << it.value("in_flight", 0) << ", backlog "
              << it.value("backlog_ms", 0.0) << " ms, free "
              << it.value("free_tokens", 0) << " tokens\n";
  }
}

void PrintExplanation(const Json& explanation) {
  if (!explanation.value("would_run", false)) {
    std::cout << "refused: " << explanation.value("reason", "") << ": "
              << explanation.value("message", "") << "\n";
    return;
  }
  std::cout << "engines     ";
  for (const Json& it : explanation.value("engines", Json::array())) {
    std::cout << it.get<std::string>() << " ";
  }
  std::cout << explanation.value("message", "") << "\n"
            << "first token " << explanation.value("first_token_ms", 0.0)
            << " ms expected, of it prefill "
            << explanation.value("prefill_ms", 0.0) << " ms\n"
            << "pool        " << explanation.value("engines_known", 0)
            << " engines, " << explanation.value("engines_open", 0)
            << " open\n";
}

}  // namespace

ExitCode RunStatus(const Arguments& /*arguments*/) {
  const auto status = Ask({.path = "/v1/status"});
  if (!status) return ExitCode::kFailed;
  if (WantsJson()) {
    std::cout << status->dump(2) << "\n";
  } else {
    PrintStatus(*status);
  }
  return ExitCode::kOk;
}

ExitCode RunExplain(const Arguments& /*arguments*/) {
  const auto explanation =
      Ask({.method = "POST",
           .path = TargetWithQuery(
               "/v1/explain", {{"model", absl::GetFlag(FLAGS_model)},
                               {"prompt_tokens", std::to_string(absl::GetFlag(
                                                     FLAGS_prompt_tokens))}}),
           .headers = {{"X-Client-Account", absl::GetFlag(FLAGS_account)}}});
  if (!explanation) return ExitCode::kFailed;
  if (WantsJson()) {
    std::cout << explanation->dump(2) << "\n";
  } else {
    PrintExplanation(*explanation);
  }
  return ExitCode::kOk;
}

ExitCode RunLookup(const Arguments& /*arguments*/) {
  const auto answer = Ask(
      {.path = TargetWithQuery(
           "/v1/lookup", {{"data_centre", absl::GetFlag(FLAGS_data_centre)}})});
  if (!answer) return ExitCode::kFailed;
  if (WantsJson()) {
    std::cout << answer->dump(2) << "\n";
  } else {
    std::cout << answer->value("address", "") << " for "
              << answer->value("keep_ms", 0) << " ms, id prefix "
              << answer->value("id_prefix", "") << "\n";
  }
  return ExitCode::kOk;
}

}  // namespace scaleshed::internal
