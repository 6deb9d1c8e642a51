// validate, diff and accept.

#include <absl/flags/declare.h>
#include <absl/flags/flag.h>

#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>

#include "internal/commands.h"
#include "scaleshed/cli/accept.h"
#include "scaleshed/cli/sync.h"
#include "scaleshed/config/templates.h"

ABSL_FLAG(std::string, platform, "", "the platform's address, \"ip:port\"");
ABSL_FLAG(int64_t, base, -1,
          "accept: the revision that the edit is based on, as diff shows it");
ABSL_FLAG(std::string, operator_name, "", "accept: who accepts");
ABSL_FLAG(int, wait_ms, 0,
          "accept: with --daemon, wait so long for it to have the revision");
ABSL_DECLARE_FLAG(std::string, daemon);

namespace scaleshed::internal {
namespace {

using Json = nlohmann::json;

// Reads and checks the templates; prints all faults where there are any.
std::optional<TemplateSources> LoadChecked(const Arguments& arguments) {
  if (arguments.size() != 1) {
    std::cerr
        << "scaleshed: one folder with fleet.yaml and accounts/ is needed\n";
    return std::nullopt;
  }
  auto sources = ReadTemplates(arguments.front());
  ConfigErrors errors;
  if (ValueOf(sources) == nullptr) {
    errors = ErrorOf(sources);
  } else {
    const auto built = BuildConfiguration(*ValueOf(sources), 1);
    if (ValueOf(built) == nullptr) errors = ErrorOf(built);
  }
  if (errors.empty()) return std::move(*ValueOf(sources));
  if (WantsJson()) {
    Json list = Json::array();
    for (const ConfigError& it : errors) {
      list.push_back({{"file", it.file},
                      {"line", it.line},
                      {"field", it.field},
                      {"message", it.message}});
    }
    std::cout << Json{{"valid", false}, {"errors", list}}.dump(2) << "\n";
  } else {
    std::cerr << ToString(errors) << errors.size() << " fault"
              << (errors.size() == 1 ? "" : "s") << "; nothing was changed\n";
  }
  return std::nullopt;
}

std::optional<std::string> PlatformAddress() {
  std::string address = absl::GetFlag(FLAGS_platform);
  if (!address.empty()) return address;
  std::cerr << "scaleshed: --platform=IP:PORT is needed\n";
  return std::nullopt;
}

std::string NewChangeId() {
  std::random_device device;
  std::string text;
  for (int it = 0; it < 4; ++it) text += std::to_string(device()) + "-";
  return text.substr(0, text.size() - 1);
}

// The revision that the daemon named by --daemon has in force; zero for none.
std::uint64_t RevisionInForce(EventLoop& loop) {
  const std::string daemon = absl::GetFlag(FLAGS_daemon);
  if (daemon.empty()) return 0;
  const HttpResult result = CallSync(
      loop, {.address = daemon, .path = "/v1/status", .timeout = seconds(2)});
  const HttpResponse* response = ValueOf(result);
  if (response == nullptr) return 0;
  const Json status = Json::parse(response->body, nullptr, false);
  return status.is_object() ? status.value("revision", std::uint64_t{0}) : 0;
}

ExitCode Print(const Json& json, const std::string& text, ExitCode code) {
  std::cout << (WantsJson() ? json.dump(2) : text) << "\n";
  return code;
}

ExitCode PrintResult(const AcceptResult& result) {
  return std::visit(
      Overloaded{
          [](const Accepted& it) {
            return Print({{"result", "accepted"}, {"revision", it.revision}},
                         "accepted: revision " + std::to_string(it.revision),
                         ExitCode::kOk);
          },
          [](const Unchanged& it) {
            return Print({{"result", "unchanged"}, {"revision", it.revision}},
                         "unchanged: revision " + std::to_string(it.revision),
                         ExitCode::kOk);
          },
          [](const AcceptConflict& it) {
            return Print({{"result", "conflict"},
                          {"revision", it.revision},
                          {"operator", it.operator_name}},
                         "conflict: the head is at revision " +
                             std::to_string(it.revision) + " by '" +
                             it.operator_name +
                             "'; run diff, and accept with --base=" +
                             std::to_string(it.revision),
                         ExitCode::kConflict);
          },
          [](const AcceptUnknown& it) {
            const auto error =
                std::string(NameIn(kPlatformErrorNames, it.error));
            return Print(
                {{"result", "unknown"}, {"error", error}},
                "unknown: the platform does not say whether the change "
                "took effect (" +
                    error + "); run diff later",
                ExitCode::kUnknown);
          },
          [](const AcceptUnavailable& it) {
            const auto error =
                std::string(NameIn(kPlatformErrorNames, it.error));
            return Print({{"result", "failed"}, {"error", error}},
                         "failed: nothing was changed (" + error + ")",
                         ExitCode::kFailed);
          },
      },
      result);
}

// Waits until the daemon has the revision in force.
bool WaitInForce(EventLoop& loop, SyncStore& store, std::uint64_t revision) {
  const Time until = loop.Now() + milliseconds(absl::GetFlag(FLAGS_wait_ms));
  while (RevisionInForce(loop) < revision) {
    if (loop.Now() >= until) return false;
    store.Pause(milliseconds(50));
  }
  return true;
}

}  // namespace

ExitCode RunValidate(const Arguments& arguments) {
  const auto sources = LoadChecked(arguments);
  if (!sources) return ExitCode::kInvalid;
  return Print({{"valid", true}, {"documents", sources->size()}},
               "valid: " + std::to_string(sources->size()) + " documents",
               ExitCode::kOk);
}

ExitCode RunDiff(const Arguments& arguments) {
  const auto sources = LoadChecked(arguments);
  const auto address = PlatformAddress();
  if (!sources || !address) return ExitCode::kInvalid;
  EventLoop loop;
  SyncStore store(loop, *address);
  const auto read = ReadStored(store);
  const auto* stored = ValueOf(read);
  if (stored == nullptr) {
    std::cerr << "scaleshed: the platform can't be read: "
              << NameIn(kPlatformErrorNames, ErrorOf(read)) << "\n";
    return ExitCode::kFailed;
  }
  Json changes = Json::object();
  std::string text = "base revision " + std::to_string(stored->head.revision) +
                     " by '" + stored->head.operator_name + "'";
  for (const auto& [name, change] :
       CompareDocuments(stored->documents, *sources)) {
    changes[name] = NameIn(kDocumentChangeNames, change);
    text +=
        "\n" + std::string(NameIn(kDocumentChangeNames, change)) + "  " + name;
  }
  if (changes.empty()) text += "\nno difference";
  return Print({{"base_revision", stored->head.revision},
                {"operator", stored->head.operator_name},
                {"changes", changes}},
               text, ExitCode::kOk);
}

ExitCode RunAccept(const Arguments& arguments) {
  const auto sources = LoadChecked(arguments);
  const auto address = PlatformAddress();
  if (!sources || !address) return ExitCode::kInvalid;
  const std::string operator_name = absl::GetFlag(FLAGS_operator_name);
  if (operator_name.empty() || absl::GetFlag(FLAGS_base) < 0) {
    std::cerr << "scaleshed: accept needs --operator_name=NAME and "
                 "--base=REVISION (0 for the first; diff shows it)\n";
    return ExitCode::kInvalid;
  }
  EventLoop loop;
  SyncStore store(loop, *address);
  const AcceptResult result = Accept(
      store, *sources,
      {.base_revision = static_cast<std::uint64_t>(absl::GetFlag(FLAGS_base)),
       .at_least_after = RevisionInForce(loop),
       .operator_name = operator_name,
       .change = NewChangeId()});
  const ExitCode code = PrintResult(result);
  const auto* accepted = std::get_if<Accepted>(&result);
  if (accepted == nullptr || absl::GetFlag(FLAGS_wait_ms) <= 0) return code;
  if (WaitInForce(loop, store, accepted->revision)) return code;
  std::cerr << "scaleshed: accepted, but not in force at the daemon in time\n";
  return ExitCode::kFailed;
}

}  // namespace scaleshed::internal
