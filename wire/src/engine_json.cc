#include "scaleshed/wire/engine_json.h"

#include "internal/json_reader.h"

namespace scaleshed {
namespace {

using internal::Dump;
using internal::Json;
using internal::JsonReader;

constexpr std::int64_t kMostTokens = 1'000'000'000;
constexpr std::int64_t kMostMicros = INT64_MAX;

Incarnation ReadHolder(JsonReader& reader) {
  const auto holder = ParseIncarnation(reader.Text("holder", true));
  if (!holder) reader.Fault("holder", "must be an instance and an incarnation");
  return holder.value_or(Incarnation());
}

std::vector<std::uint64_t> ReadHashes(JsonReader& reader, const char* field) {
  std::vector<std::uint64_t> hashes;
  for (const Json& it : reader.Member(field)) {
    if (it.is_number_unsigned()) {
      hashes.push_back(it.get<std::uint64_t>());
    } else {
      reader.Fault(field, "must be a list of whole numbers");
    }
  }
  return hashes;
}

Duration ReadMicros(JsonReader& reader, const char* field) {
  return Duration(reader.Whole(field, 0, kMostMicros, 0));
}

// One entry for each engine priority; those that are missing are zero.
std::array<Duration, kEnginePriorities> ReadBacklog(JsonReader& reader) {
  std::array<Duration, kEnginePriorities> backlog{};
  std::size_t n = 0;
  for (const Json& it : reader.Member("backlog_us")) {
    if (n == backlog.size() || !it.is_number_integer()) {
      reader.Fault("backlog_us", "must be at most 12 whole numbers");
      break;
    }
    backlog[n++] = Duration(it.get<std::int64_t>());
  }
  return backlog;
}

template <typename E, std::size_t N>
E ReadEnum(JsonReader& reader, const char* field, const NameTable<E, N>& table,
           E fallback) {
  const auto value = FindIn(table, reader.Text(field, true));
  if (!value) reader.Fault(field, "is not one of the names allowed");
  return value.value_or(fallback);
}

template <typename T>
Result<T, WireError> Checked(const JsonReader& reader, T value) {
  if (reader.error()) return *reader.error();
  return value;
}

}  // namespace

std::string EngineStreamRequestJson(const EngineStreamRequest& request) {
  return Dump({{"attempt", request.attempt},
               {"holder", ToString(request.holder)},
               {"model", request.call.model},
               {"adapter", request.call.adapter},
               {"prompt", request.prompt},
               {"prompt_tokens", request.call.prompt_tokens},
               {"prefixes", request.call.prefixes},
               {"max_tokens", request.call.max_tokens},
               {"priority", request.priority},
               {"time_left_us", request.time_left.count()},
               {"offset", request.offset},
               {"checksum", request.checksum},
               {"rank", request.rank},
               {"group_size", request.group_size},
               {"hold", request.hold}});
}

Result<EngineStreamRequest, WireError> ParseEngineStreamRequest(
    std::string_view text) {
  JsonReader reader(text);
  EngineStreamRequest request;
  request.attempt = reader.Unsigned("attempt");
  request.holder = ReadHolder(reader);
  request.call.model = reader.Text("model", true);
  request.call.adapter = reader.Text("adapter", false);
  request.prompt = reader.Text("prompt", true);
  request.call.prompt_tokens =
      reader.Whole("prompt_tokens", 1, kMostTokens, {});
  request.call.prefixes = ReadHashes(reader, "prefixes");
  request.call.max_tokens = reader.Whole("max_tokens", 1, kMostTokens, {});
  request.priority =
      static_cast<int>(reader.Whole("priority", 0, kEnginePriorities - 1, {}));
  request.time_left = ReadMicros(reader, "time_left_us");
  request.offset = reader.Whole("offset", 0, kMostTokens, 0);
  request.checksum = reader.Unsigned("checksum");
  request.rank = static_cast<int>(reader.Whole("rank", 0, 1000, 0));
  request.group_size = static_cast<int>(reader.Whole("group_size", 1, 1000, 1));
  request.hold = reader.Unsigned("hold");
  return Checked(reader, std::move(request));
}

std::string EngineHoldRequestJson(const EngineHoldRequest& request) {
  return Dump({{"hold", request.hold},
               {"holder", ToString(request.holder)},
               {"tokens", request.tokens},
               {"valid_for_us", request.valid_for.count()}});
}

Result<EngineHoldRequest, WireError> ParseEngineHoldRequest(
    std::string_view text) {
  JsonReader reader(text);
  EngineHoldRequest request{
      .hold = reader.Unsigned("hold"),
      .holder = ReadHolder(reader),
      .tokens = reader.Whole("tokens", 1, kMostTokens, {}),
      .valid_for = ReadMicros(reader, "valid_for_us")};
  return Checked(reader, std::move(request));
}

std::string HoldStateJson(HoldState state) {
  return Dump({{"state", NameIn(kHoldStateNames, state)}});
}

Result<HoldState, WireError> ParseHoldState(std::string_view text) {
  JsonReader reader(text);
  const HoldState state =
      ReadEnum(reader, "state", kHoldStateNames, HoldState::kRefused);
  return Checked(reader, state);
}

std::string StreamLineJson(const StreamLine& line) {
  return std::visit(
      Overloaded{
          [](const FrameLine& it) {
            return Dump({{"attempt", it.attempt},
                         {"offset", it.offset},
                         {"text", it.text},
                         {"checksum", it.checksum}});
          },
          [](const EndLine& it) {
            return Dump({{"attempt", it.attempt},
                         {"end", true},
                         {"tokens", it.tokens},
                         {"checksum", it.checksum}});
          },
          [](const ErrorLine& it) {
            return Dump({{"attempt", it.attempt},
                         {"error", NameIn(kAttemptErrorNames, it.error)}});
          },
      },
      line);
}

Result<StreamLine, WireError> ParseStreamLine(std::string_view text) {
  JsonReader reader(text);
  StreamLine line;
  const AttemptId attempt = reader.Unsigned("attempt");
  if (reader.Member("error").is_string()) {
    line = ErrorLine{.attempt = attempt,
                     .error = ReadEnum(reader, "error", kAttemptErrorNames,
                                       AttemptError::kCut)};
  } else if (reader.Flag("end", false)) {
    line = EndLine{.attempt = attempt,
                   .tokens = reader.Whole("tokens", 0, kMostTokens, {}),
                   .checksum = reader.Unsigned("checksum")};
  } else {
    line = FrameLine{.attempt = attempt,
                     .offset = reader.Whole("offset", 0, kMostTokens, {}),
                     .text = reader.Text("text", true),
                     .checksum = reader.Unsigned("checksum")};
  }
  return Checked(reader, std::move(line));
}

std::string EngineRefusalJson(const EngineRefusal& refusal) {
  return Dump({{"refused", NameIn(kAttemptErrorNames, refusal.error)},
               {"retry_after_us", refusal.retry_after.count()},
               {"message", refusal.message}});
}

Result<EngineRefusal, WireError> ParseEngineRefusal(std::string_view text) {
  JsonReader reader(text);
  EngineRefusal refusal{.error = ReadEnum(reader, "refused", kAttemptErrorNames,
                                          AttemptError::kCut),
                        .retry_after = ReadMicros(reader, "retry_after_us"),
                        .message = reader.Text("message", false)};
  return Checked(reader, std::move(refusal));
}

std::string ReportJson(const Report& report) {
  Json backlog = Json::array();
  for (const Duration it : report.backlog) backlog.push_back(it.count());
  Json entries = Json::array();
  for (const HolderEntry& it : report.entries) {
    entries.push_back(
        {{"attempt", it.attempt}, {"holder", ToString(it.holder)}});
  }
  return Dump({{"incarnation", report.incarnation},
               {"leaving", report.leaving},
               {"backlog_us", backlog},
               {"used_tokens", report.used_tokens},
               {"held_tokens", report.held_tokens},
               {"memory_tokens", report.memory_tokens},
               {"active", report.active},
               {"entries", entries},
               {"cache_first", report.cache_first},
               {"cache_sequence", report.cache_sequence},
               {"cache_added", report.cache_added},
               {"cache_removed", report.cache_removed}});
}

Result<Report, WireError> ParseReport(std::string_view text) {
  JsonReader reader(text);
  Report report;
  report.incarnation = reader.Unsigned("incarnation");
  report.leaving = reader.Flag("leaving", false);
  report.backlog = ReadBacklog(reader);
  report.used_tokens = reader.Whole("used_tokens", 0, kMostTokens, 0);
  report.held_tokens = reader.Whole("held_tokens", 0, kMostTokens, 0);
  report.memory_tokens = reader.Whole("memory_tokens", 0, kMostTokens, 0);
  report.active = reader.Whole("active", 0, kMostTokens, 0);
  for (const Json& it : reader.Member("entries")) {
    JsonReader entry(it);
    report.entries.push_back(
        {.attempt = entry.Unsigned("attempt"), .holder = ReadHolder(entry)});
    if (entry.error()) reader.Fault("entries", ToString(*entry.error()));
  }
  report.cache_first = reader.Unsigned("cache_first");
  report.cache_sequence = reader.Unsigned("cache_sequence");
  report.cache_added = ReadHashes(reader, "cache_added");
  report.cache_removed = ReadHashes(reader, "cache_removed");
  return Checked(reader, std::move(report));
}

}  // namespace scaleshed
