#include "adapters/peer_codec.h"

namespace clementinegap {
namespace {

void encode(attempt_id id, wire::attempt& target)
{
    target.set_entry(id.entry);
    target.set_number(id.number);
}

attempt_id decode(const wire::attempt& id)
{
    return {id.entry(), id.number()};
}

void encode_body(const reserve_message& message, wire::entry_message& frame)
{
    auto& target = *frame.mutable_reserve();
    encode(message.attempt, *target.mutable_id());
    target.set_request_id(message.request_id);
    target.set_workspace(message.workspace);
    target.set_workspace_weight(message.workspace_weight);
    target.set_class_name(message.class_name);
    target.set_model(message.model);
    target.set_tier(message.tier);
    target.set_never_repeat(message.never_repeat);
    target.set_key(message.key);
    target.set_fingerprint(message.fingerprint);
    target.set_prompt_tokens(message.prompt_tokens);
    target.set_quantum_tokens(message.quantum_tokens);
    target.set_time_left_us(message.time_left.count());
    target.set_target_left_us(message.target_left.count());
    target.set_starvation_bound_us(message.starvation_bound.count());
    for (const auto hash : message.prefix_hashes) {
        target.add_prefix_hashes(hash);
    }
}

void encode_body(const dispatch_message& message, wire::entry_message& frame)
{
    auto& target = *frame.mutable_dispatch();
    encode(message.attempt, *target.mutable_id());
    target.set_method(message.method);
    target.set_path(message.path);
    target.set_content_type(message.content_type);
    target.set_body(message.body);
    target.set_resume_from_token(message.resume_from_token);
}

void encode_body(const cancel_message& message, wire::entry_message& frame)
{
    encode(message.attempt, *frame.mutable_cancel()->mutable_id());
}

void encode_body(const credit_message& message, wire::entry_message& frame)
{
    encode(message.attempt, *frame.mutable_credit()->mutable_id());
    frame.mutable_credit()->set_size(message.bytes);
}

void encode_body(const hello_message& message, wire::upstream_message& frame)
{
    auto& target = *frame.mutable_hello();
    target.set_vm(message.vm);
    target.set_zone(message.zone);
    target.set_region(message.region);
    target.set_incarnation(message.incarnation);
    for (const auto& model : message.models) {
        target.add_models(model);
    }
    target.set_slots(message.slots);
    target.set_leaving(message.leaving);
}

void encode_body(const granted_message& message, wire::upstream_message& frame)
{
    encode(message.attempt, *frame.mutable_granted()->mutable_id());
}

void encode_body(const refused_message& message, wire::upstream_message& frame)
{
    auto& target = *frame.mutable_refused();
    encode(message.attempt, *target.mutable_id());
    target.set_code(static_cast<std::uint32_t>(message.code));
    target.set_retry_after_us(message.retry_after.count());
}

void encode_body(const started_message& message, wire::upstream_message& frame)
{
    encode(message.attempt, *frame.mutable_started()->mutable_id());
}

void encode_body(const head_message& message, wire::upstream_message& frame)
{
    auto& target = *frame.mutable_head();
    encode(message.attempt, *target.mutable_id());
    target.set_status(message.status);
    target.set_content_type(message.content_type);
}

void encode_body(const chunk_message& message, wire::upstream_message& frame)
{
    auto& target = *frame.mutable_chunk();
    encode(message.attempt, *target.mutable_id());
    target.set_offset(message.offset);
    target.set_data(message.bytes);
    target.set_tokens(message.tokens);
}

void encode_body(const finished_message& message, wire::upstream_message& frame)
{
    auto& target = *frame.mutable_finished();
    encode(message.attempt, *target.mutable_id());
    target.set_code(static_cast<std::uint32_t>(message.code));
    target.set_ran(static_cast<std::uint32_t>(message.ran));
}

void encode_body(const load_message& message, wire::upstream_message& frame)
{
    auto& target = *frame.mutable_load();
    target.set_free_slots(message.free_slots);
    target.set_queued(message.queued);
    target.set_expected_wait_us(message.expected_wait.count());
    target.set_yields_tier(message.yields_tier);
    target.set_slowed(message.slowed);
    target.set_leaving(message.leaving);
}

/// A number from the wire that names no code or state is read as the most cautious one.
result_code code_from(std::uint32_t number)
{
    return describe(static_cast<result_code>(number)).code;
}

ran_state ran_from(std::uint32_t number)
{
    return number <= static_cast<std::uint32_t>(ran_state::yes) ? static_cast<ran_state>(number)
                                                                : ran_state::unknown;
}

reserve_message decode(const wire::reserve& source)
{
    reserve_message message;
    message.attempt = decode(source.id());
    message.request_id = source.request_id();
    message.workspace = source.workspace();
    message.workspace_weight = source.workspace_weight();
    message.class_name = source.class_name();
    message.model = source.model();
    message.tier = static_cast<std::uint8_t>(source.tier());
    message.never_repeat = source.never_repeat();
    message.key = source.key();
    message.fingerprint = source.fingerprint();
    message.prompt_tokens = source.prompt_tokens();
    message.quantum_tokens = source.quantum_tokens();
    message.time_left = duration(source.time_left_us());
    message.target_left = duration(source.target_left_us());
    message.starvation_bound = duration(source.starvation_bound_us());
    message.prefix_hashes.assign(source.prefix_hashes().begin(), source.prefix_hashes().end());
    return message;
}

dispatch_message decode(const wire::dispatch& source)
{
    return {decode(source.id()),   source.method(), source.path(),
            source.content_type(), source.body(),   source.resume_from_token()};
}

hello_message decode(const wire::hello& source)
{
    hello_message message;
    message.vm = source.vm();
    message.zone = source.zone();
    message.region = source.region();
    message.incarnation = source.incarnation();
    message.models.assign(source.models().begin(), source.models().end());
    message.slots = source.slots();
    message.leaving = source.leaving();
    return message;
}

load_message decode(const wire::load& source)
{
    return {source.free_slots(),
            source.queued(),
            duration(source.expected_wait_us()),
            static_cast<std::uint8_t>(source.yields_tier()),
            source.slowed(),
            source.leaving()};
}

} // namespace

void encode(const entry_message& message, wire::entry_message& target)
{
    std::visit([&](const auto& body) { encode_body(body, target); }, message);
}

void encode(const upstream_message& message, wire::upstream_message& target)
{
    std::visit([&](const auto& body) { encode_body(body, target); }, message);
}

std::optional<entry_message> decode(const wire::entry_message& message)
{
    switch (message.body_case()) {
    case wire::entry_message::kReserve:
        return decode(message.reserve());
    case wire::entry_message::kDispatch:
        return decode(message.dispatch());
    case wire::entry_message::kCancel:
        return cancel_message{decode(message.cancel().id())};
    case wire::entry_message::kCredit:
        return credit_message{decode(message.credit().id()), message.credit().size()};
    case wire::entry_message::BODY_NOT_SET:
        break;
    }
    return std::nullopt;
}

std::optional<upstream_message> decode(const wire::upstream_message& message)
{
    switch (message.body_case()) {
    case wire::upstream_message::kHello:
        return decode(message.hello());
    case wire::upstream_message::kGranted:
        return granted_message{decode(message.granted().id())};
    case wire::upstream_message::kRefused:
        return refused_message{decode(message.refused().id()), code_from(message.refused().code()),
                               duration(message.refused().retry_after_us())};
    case wire::upstream_message::kStarted:
        return started_message{decode(message.started().id())};
    case wire::upstream_message::kHead:
        return head_message{decode(message.head().id()), static_cast<std::uint16_t>(message.head().status()),
                            message.head().content_type()};
    case wire::upstream_message::kChunk:
        return chunk_message{decode(message.chunk().id()), message.chunk().offset(), message.chunk().data(),
                             message.chunk().tokens()};
    case wire::upstream_message::kFinished:
        return finished_message{decode(message.finished().id()), code_from(message.finished().code()),
                                ran_from(message.finished().ran())};
    case wire::upstream_message::kLoad:
        return decode(message.load());
    case wire::upstream_message::BODY_NOT_SET:
        break;
    }
    return std::nullopt;
}

} // namespace clementinegap
