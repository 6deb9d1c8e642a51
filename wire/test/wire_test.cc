#include <catch2/catch.hpp>
#include <random>

#include "scaleshed/wire/caller_json.h"
#include "scaleshed/wire/completion_reader.h"
#include "scaleshed/wire/engine_json.h"
#include "scaleshed/wire/peer_codec.h"
#include "scaleshed/wire/platform_json.h"

namespace scaleshed {
namespace {

const Incarnation kPeer{.instance = "entry-1", .number = 42};

std::vector<PeerMessage> Messages() {
  const CallSpec spec{.account = "acme",
                      .id = "x",
                      .time_limit = seconds(5),
                      .call = ServiceCall{.service = "app"}};
  const CallSpec prompt{.account = "acme",
                        .time_limit = seconds(5),
                        .call = ModelCall{.model = "llm",
                                          .prompt_tokens = 9,
                                          .max_tokens = 2,
                                          .prefixes = {1, 2}}};
  return {
      Probe{.sequence = 1, .revision = 3, .members = {{.incarnation = kPeer}}},
      ForwardCall{.origin_key = 5,
                  .origin = kPeer,
                  .spec = spec,
                  .time_left = seconds(4),
                  .body = "body"},
      ForwardCall{.origin = kPeer, .spec = prompt, .time_left = seconds(1)},
      ForwardChunk{.origin = kPeer, .origin_key = 5, .offset = 2, .text = "t"},
      ForwardFinal{.origin = kPeer,
                   .origin_key = 5,
                   .final = {.outcome = Outcome::kUnknown,
                             .reason = Reason::kHomeGone,
                             .message = "m",
                             .retry_after = seconds(1),
                             .status = 200,
                             .body = std::string("\0\xff", 2)}},
      AllowanceDemand{.account = "acme", .requests_per_second = 1.5},
      AllowanceGrant{.account = "acme",
                     .share = {.tokens_per_second = 2},
                     .valid_for = seconds(3)}};
}

TEST_CASE("Peer messages are read back as they were") {
  for (const PeerMessage& it : Messages()) {
    const auto decoded =
        DecodePeer(EncodePeer({.from = kPeer, .message = it}, 1000), 1000);
    REQUIRE(ValueOf(decoded) != nullptr);
    CHECK(ValueOf(decoded)->from == kPeer);
    CHECK((ValueOf(decoded)->message == it));
  }
}

TEST_CASE("A forwarded call that waited in a paused process has no time left") {
  const PeerMessage call = Messages()[1];
  const std::string bytes = EncodePeer({.from = kPeer, .message = call}, 0);
  const auto late = DecodePeer(bytes, 60'000'000);
  REQUIRE(ValueOf(late) != nullptr);
  CHECK(std::get<ForwardCall>(ValueOf(late)->message).time_left ==
        Duration::zero());
}

TEST_CASE("Damaged peer messages never crash, and never read as another kind") {
  std::mt19937 random(1);
  for (const PeerMessage& it : Messages()) {
    const std::string bytes = EncodePeer({.from = kPeer, .message = it}, 0);
    for (std::size_t n = 0; n < bytes.size(); ++n) {
      DecodePeer(bytes.substr(0, n), 0);
      std::string damaged = bytes;
      damaged[n] = static_cast<char>(random());
      DecodePeer(damaged, 0);
    }
  }
  SUCCEED("no crash");
}

TEST_CASE("A completion request is checked member by member") {
  const auto error = [](const std::string& body) {
    const auto parsed = ParseCompletion(body);
    return ValueOf(parsed) != nullptr ? "" : ToString(ErrorOf(parsed));
  };
  CHECK(error(R"({"model": "llm", "prompt": "x"})").empty());
  CHECK(error(R"({"model": "llm", "prom)") == "not valid JSON");
  CHECK(error("[]") == "must be a JSON object");
  CHECK(error(R"({"prompt": "x"})") == "model: must be a string");
  CHECK(error(R"({"model": "llm", "prompt": ""})") ==
        "prompt: must not be empty");
  CHECK(error(R"({"model": "llm", "prompt": "x", "max_tokens": -1})") ==
        "max_tokens: must be a whole number from 1 to 1000000");
  CHECK(error(R"({"model": "llm", "prompt": "x", "stream": "yes"})") ==
        "stream: must be true or false");
  CHECK_FALSE(
      error(R"({"model":"llm","prompt":"x","max_tokens":99999999999999999999})")
          .empty());
}

TEST_CASE("Prefix hashes are those of doubling lengths") {
  const std::string prompt(5000 * kBytesPerToken, 'a');
  const auto prefixes = PrefixHashes(prompt);
  REQUIRE(prefixes.size() == 3);
  CHECK(prefixes[0] == PrefixHashes(prompt + "b")[0]);
  CHECK(PrefixHashes("short").empty());
}

TEST_CASE("The engines' messages are read back as they were") {
  const EngineStreamRequest request{.attempt = 7,
                                    .holder = kPeer,
                                    .call = {.model = "llm",
                                             .prompt_tokens = 9,
                                             .max_tokens = 2,
                                             .prefixes = {~std::uint64_t{0}}},
                                    .prompt = "p",
                                    .priority = 11,
                                    .time_left = seconds(1),
                                    .checksum = ~std::uint64_t{0}};
  const auto parsed =
      ParseEngineStreamRequest(EngineStreamRequestJson(request));
  REQUIRE(ValueOf(parsed) != nullptr);
  CHECK(ValueOf(parsed)->call == request.call);
  CHECK(ValueOf(parsed)->checksum == request.checksum);
  CHECK(ValueOf(parsed)->priority == 11);
  Report report{.incarnation = 3, .leaving = true, .used_tokens = 5};
  report.backlog[11] = seconds(2);
  report.entries = {{.attempt = 1, .holder = kPeer}};
  report.cache_added = {4};
  const auto read = ParseReport(ReportJson(report));
  REQUIRE(ValueOf(read) != nullptr);
  CHECK((*ValueOf(read) == report));
  CHECK(ValueOf(ParseStreamLine("{\"attempt\": 1")) == nullptr);
}

TEST_CASE("A cut answer never looks whole") {
  const std::string token =
      "data: " + CompletionChunkJson("llm", " a") + "\n\n";
  const Final final{.outcome = Outcome::kDone,
                    .tokens = 2,
                    .checksum = ChainChecksum(ChainChecksum(0, " a"), " a")};
  const std::string whole =
      token + token + "event: outcome\ndata: " + FinalJson(final) + "\n\n";
  for (std::size_t n = 0; n + 3 < whole.size(); ++n) {
    CompletionReader reader;
    reader.Feed(whole.substr(0, n));
    INFO(n);
    CHECK_FALSE(reader.IsWhole());
  }
  CompletionReader reader;
  for (const char it : whole) reader.Feed(std::string(1, it));
  CHECK(reader.IsWhole());
  CompletionReader shorter;
  shorter.Feed(whole.substr(token.size()));
  CHECK_FALSE(shorter.IsWhole());
}

TEST_CASE("Outcomes have distinct statuses") {
  CHECK(HttpStatusOf({.outcome = Outcome::kDone}) == 200);
  CHECK(HttpStatusOf({.outcome = Outcome::kFailed}) == 502);
  CHECK(HttpStatusOf({.outcome = Outcome::kFailed,
                      .reason = Reason::kTimeLimit}) == 504);
  CHECK(HttpStatusOf({.outcome = Outcome::kNotRun, .reason = Reason::kLimit}) ==
        429);
  CHECK(HttpStatusOf(
            {.outcome = Outcome::kNotRun, .reason = Reason::kOverload}) == 503);
  CHECK(HttpStatusOf({.outcome = Outcome::kUnknown}) == 500);
}

}  // namespace
}  // namespace scaleshed
