#include "scaleshed/wire/peer_codec.h"

#include <algorithm>

#include "generated/peer.pb.h"

namespace scaleshed {
namespace {

void Put(wire::Incarnation* to, const Incarnation& from) {
  to->set_instance(from.instance);
  to->set_number(from.number);
}

Incarnation Get(const wire::Incarnation& from) {
  return {.instance = from.instance(), .number = from.number()};
}

void Put(wire::Member* to, const Member& from) {
  Put(to->mutable_incarnation(), from.incarnation);
  to->set_address(from.address);
  to->set_peer_address(from.peer_address);
  to->set_data_centre(from.data_centre);
  to->set_state(static_cast<int>(from.state));
  to->set_version(from.version);
}

// Enumerators arrive as numbers; one outside the table reads as the fallback.
template <typename E, std::size_t N>
E GetEnum(const NameTable<E, N>& /*table*/, int value, E fallback) {
  const bool known = value >= 0 && value < static_cast<int>(N);
  return known ? static_cast<E>(value) : fallback;
}

Member Get(const wire::Member& from) {
  return {
      .incarnation = Get(from.incarnation()),
      .address = from.address(),
      .peer_address = from.peer_address(),
      .data_centre = from.data_centre(),
      .state = GetEnum(kMemberStateNames, from.state(), MemberState::kSuspect),
      .version = from.version()};
}

void Put(wire::Probe* to, const Probe& from) {
  to->set_sequence(from.sequence);
  to->set_is_ack(from.is_ack);
  to->set_revision(from.revision);
  for (const Member& it : from.members) Put(to->add_members(), it);
}

Probe Get(const wire::Probe& from) {
  Probe probe{.sequence = from.sequence(),
              .is_ack = from.is_ack(),
              .revision = from.revision(),
              .members = {}};
  for (const auto& it : from.members()) probe.members.push_back(Get(it));
  return probe;
}

void Put(wire::CallSpec* to, const CallSpec& from) {
  to->set_account(from.account);
  to->set_id(from.id);
  to->set_time_limit_us(from.time_limit.count());
  std::visit(Overloaded{
                 [&](const ModelCall& it) {
                   auto* call = to->mutable_model_call();
                   call->set_model(it.model);
                   call->set_adapter(it.adapter);
                   call->set_prompt_tokens(it.prompt_tokens);
                   call->set_max_tokens(it.max_tokens);
                   for (const auto n : it.prefixes) call->add_prefixes(n);
                 },
                 [&](const ServiceCall& it) {
                   to->mutable_service_call()->set_service(it.service);
                 },
             },
             from.call);
}

CallSpec Get(const wire::CallSpec& from) {
  CallSpec spec{.account = from.account(),
                .id = from.id(),
                .time_limit = Duration(from.time_limit_us()),
                .call = {}};
  if (from.has_service_call()) {
    spec.call = ServiceCall{.service = from.service_call().service()};
    return spec;
  }
  const auto& call = from.model_call();
  spec.call =
      ModelCall{.model = call.model(),
                .adapter = call.adapter(),
                .prompt_tokens = call.prompt_tokens(),
                .max_tokens = call.max_tokens(),
                .prefixes = {call.prefixes().begin(), call.prefixes().end()}};
  return spec;
}

void Put(wire::ForwardCall* to, const ForwardCall& from, std::int64_t unix_us) {
  to->set_origin_key(from.origin_key);
  Put(to->mutable_origin(), from.origin);
  Put(to->mutable_spec(), from.spec);
  to->set_deadline_unix_us(unix_us + from.time_left.count());
  to->set_body(from.body);
}

ForwardCall Get(const wire::ForwardCall& from, std::int64_t unix_us) {
  const std::int64_t left =
      std::max<std::int64_t>(from.deadline_unix_us() - unix_us, 0);
  // A sender whose clock is ahead can't lengthen the caller's own limit.
  const std::int64_t most = from.spec().time_limit_us();
  return {.origin_key = from.origin_key(),
          .origin = Get(from.origin()),
          .spec = Get(from.spec()),
          .time_left = Duration(std::min(left, most)),
          .body = from.body()};
}

void Put(wire::ForwardFinal* to, const ForwardFinal& from) {
  Put(to->mutable_origin(), from.origin);
  to->set_origin_key(from.origin_key);
  to->set_outcome(static_cast<int>(from.final.outcome));
  to->set_reason(static_cast<int>(from.final.reason));
  to->set_message(from.final.message);
  to->set_retry_after_us(from.final.retry_after.count());
  to->set_tokens(from.final.tokens);
  to->set_checksum(from.final.checksum);
  to->set_status(from.final.status);
  to->set_content_type(from.final.content_type);
  to->set_body(from.final.body);
}

ForwardFinal Get(const wire::ForwardFinal& from) {
  return {
      .origin = Get(from.origin()),
      .origin_key = from.origin_key(),
      .final = {
          .outcome = GetEnum(kOutcomeNames, from.outcome(), Outcome::kUnknown),
          .reason = GetEnum(kReasonNames, from.reason(), Reason::kNone),
          .message = from.message(),
          .retry_after = Duration(from.retry_after_us()),
          .tokens = from.tokens(),
          .checksum = from.checksum(),
          .status = from.status(),
          .content_type = from.content_type(),
          .body = from.body()}};
}

void Put(wire::AllowanceGrant* to, const AllowanceGrant& from) {
  to->set_account(from.account);
  to->set_requests_per_second(from.share.requests_per_second);
  to->set_tokens_per_second(from.share.tokens_per_second);
  to->set_tokens_in_flight(from.share.tokens_in_flight);
  to->set_valid_for_us(from.valid_for.count());
}

AllowanceGrant Get(const wire::AllowanceGrant& from) {
  return {.account = from.account(),
          .share = {.requests_per_second = from.requests_per_second(),
                    .tokens_per_second = from.tokens_per_second(),
                    .tokens_in_flight = from.tokens_in_flight()},
          .valid_for = Duration(from.valid_for_us())};
}

void Put(wire::AllowanceDemand* to, const AllowanceDemand& from) {
  to->set_account(from.account);
  to->set_requests_per_second(from.requests_per_second);
  to->set_tokens_per_second(from.tokens_per_second);
  to->set_tokens_in_flight(from.tokens_in_flight);
}

AllowanceDemand Get(const wire::AllowanceDemand& from) {
  return {.account = from.account(),
          .requests_per_second = from.requests_per_second(),
          .tokens_per_second = from.tokens_per_second(),
          .tokens_in_flight = from.tokens_in_flight()};
}

void Put(wire::ForwardChunk* to, const ForwardChunk& from) {
  Put(to->mutable_origin(), from.origin);
  to->set_origin_key(from.origin_key);
  to->set_offset(from.offset);
  to->set_text(from.text);
}

ForwardChunk Get(const wire::ForwardChunk& from) {
  return {.origin = Get(from.origin()),
          .origin_key = from.origin_key(),
          .offset = from.offset(),
          .text = from.text()};
}

}  // namespace

std::string EncodePeer(const PeerEnvelope& envelope, std::int64_t unix_us) {
  wire::Envelope to;
  Put(to.mutable_from(), envelope.from);
  std::visit(
      Overloaded{
          [&](const Probe& it) { Put(to.mutable_probe(), it); },
          [&](const ForwardCall& it) {
            Put(to.mutable_forward_call(), it, unix_us);
          },
          [&](const ForwardChunk& it) { Put(to.mutable_forward_chunk(), it); },
          [&](const ForwardFinal& it) { Put(to.mutable_forward_final(), it); },
          [&](const AllowanceDemand& it) {
            Put(to.mutable_allowance_demand(), it);
          },
          [&](const AllowanceGrant& it) {
            Put(to.mutable_allowance_grant(), it);
          },
      },
      envelope.message);
  return to.SerializeAsString();
}

Result<PeerEnvelope, WireError> DecodePeer(std::string_view bytes,
                                           std::int64_t unix_us) {
  wire::Envelope from;
  if (!from.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return WireError{.field = {}, .message = "not a peer message"};
  }
  PeerEnvelope envelope{.from = Get(from.from()), .message = {}};
  switch (from.message_case()) {
    case wire::Envelope::kProbe:
      envelope.message = Get(from.probe());
      break;
    case wire::Envelope::kForwardCall:
      envelope.message = Get(from.forward_call(), unix_us);
      break;
    case wire::Envelope::kForwardChunk:
      envelope.message = Get(from.forward_chunk());
      break;
    case wire::Envelope::kForwardFinal:
      envelope.message = Get(from.forward_final());
      break;
    case wire::Envelope::kAllowanceDemand:
      envelope.message = Get(from.allowance_demand());
      break;
    case wire::Envelope::kAllowanceGrant:
      envelope.message = Get(from.allowance_grant());
      break;
    case wire::Envelope::MESSAGE_NOT_SET:
      return WireError{.field = "message", .message = "of a kind not known"};
  }
  return envelope;
}

std::string EncodeCallBody(const CallBody& body) {
  wire::CallBody to;
  to.set_method(body.method);
  to.set_path(body.path);
  to.set_content_type(body.content_type);
  to.set_body(body.body);
  return to.SerializeAsString();
}

Result<CallBody, WireError> DecodeCallBody(std::string_view bytes) {
  wire::CallBody from;
  if (!from.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return WireError{.field = {}, .message = "not a call body"};
  }
  return CallBody{.method = from.method(),
                  .path = from.path(),
                  .content_type = from.content_type(),
                  .body = from.body()};
}

}  // namespace scaleshed
