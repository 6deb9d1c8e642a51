#include "scaleshed/wire/relay_codec.h"

#include <catch2/catch.hpp>

namespace scaleshed {
namespace {

RelayEnvelope MakeEnvelope() {
  return {.origin = "10.0.0.1:7340",
          .method = "POST",
          .target = "/chat/a?b=c%20d",
          .headers = {{"Host", "h"}, {"X-Own", "one"}, {"x-own", "two"}},
          .body = std::string("a\0b", 3)};
}

TEST_CASE("A relayed request arrives unchanged") {
  const auto decoded = DecodeRelay(EncodeRelay(MakeEnvelope()));
  REQUIRE(decoded);
  CHECK(decoded->origin == MakeEnvelope().origin);
  CHECK(decoded->method == MakeEnvelope().method);
  CHECK(decoded->target == MakeEnvelope().target);
  CHECK(decoded->headers == MakeEnvelope().headers);
  CHECK(decoded->body == MakeEnvelope().body);
}

TEST_CASE("Bytes that are no whole envelope aren't taken for a request") {
  const std::string bytes = EncodeRelay(MakeEnvelope());
  CHECK_FALSE(DecodeRelay(""));
  CHECK_FALSE(DecodeRelay("POST / HTTP/1.1\r\n\r\n"));
  CHECK_FALSE(DecodeRelay(bytes.substr(0, bytes.size() / 2)));
  for (const char* missing : {"origin", "method", "target"}) {
    RelayEnvelope envelope = MakeEnvelope();
    const std::string field = missing;
    if (field == "origin") envelope.origin.clear();
    if (field == "method") envelope.method.clear();
    if (field == "target") envelope.target.clear();
    CHECK_FALSE(DecodeRelay(EncodeRelay(envelope)));
  }
}

TEST_CASE("Each outcome of a relayed request is read as it was written") {
  const auto read = [](const RelayOutcome& outcome) {
    return ParseRelayOutcome(RelayOutcomeText(outcome),
                             RelayRetryText(outcome));
  };
  REQUIRE(read({}));
  CHECK_FALSE(read({})->refusal);
  for (const auto& [refusal, name] : serving::kRefusalNames) {
    const auto outcome =
        read({.refusal = refusal, .retry_after = milliseconds(250)});
    REQUIRE(outcome);
    CHECK(outcome->refusal == refusal);
    CHECK(outcome->retry_after == milliseconds(250));
  }
}

TEST_CASE("An unknown outcome is none, an unreadable time to wait is zero") {
  CHECK_FALSE(ParseRelayOutcome("", "0"));
  CHECK_FALSE(ParseRelayOutcome("served, overload", "0"));
  for (const char* it : {"", "-5", "1e9", "99999999999999999999", "70000"}) {
    const auto outcome = ParseRelayOutcome("overload", it);
    REQUIRE(outcome);
    CHECK(outcome->retry_after == Duration::zero());
  }
}

}  // namespace
}  // namespace scaleshed
