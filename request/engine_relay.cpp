#include "request/engine_relay.h"

#include <utility>

namespace clementinegap {

void engine_relay::start(upstream_attempt& attempt)
{
    attempt.phase = attempt_phase::running;
    attempt.began_at = context_.now;
    attempt.tokens = attempt.dispatch.resume_from_token;
    slots_.begin_slice(attempt);
    const auto& about = attempt.reservation;
    engine_start action;
    action.run = attempt.id;
    // Two attempts of a request may meet at one engine, so the attempt is part of the name.
    action.request_id = about.request_id + "-" + std::to_string(about.attempt.number);
    action.method = attempt.dispatch.method;
    action.path = attempt.dispatch.path;
    action.content_type = attempt.dispatch.content_type;
    action.body = attempt.dispatch.body;
    action.priority = about.tier;
    action.never_repeat = about.never_repeat;
    action.resume_from_token = attempt.dispatch.resume_from_token;
    context_.act(std::move(action));
    context_.send(attempt, started_message{about.attempt});
    context_.record(attempt, "run.started", "");
}

void engine_relay::head_arrived(upstream_attempt& attempt, const engine_head& head)
{
    attempt.status = head.status;
    attempt.content_type = head.content_type;
    context_.send(attempt, head_message{attempt.reservation.attempt, head.status, head.content_type});
}

void engine_relay::bytes_arrived(upstream_attempt& attempt, const engine_bytes& arrived)
{
    slots_.measure_pace(attempt, arrived.tokens);
    attempt.tokens += arrived.tokens;
    keep(attempt, arrived.bytes);
    if (attempt.detached) {
        return;
    }
    context_.send(attempt,
                  chunk_message{attempt.reservation.attempt, attempt.sent, arrived.bytes, attempt.tokens});
    attempt.sent += arrived.bytes.size();
    attempt.credit -= static_cast<std::int64_t>(arrived.bytes.size());
    if (attempt.credit <= 0 && !attempt.on_hold) {
        attempt.on_hold = true;
        context_.act(engine_hold{attempt.id});
    }
}

void engine_relay::credit_given(upstream_attempt& attempt, std::uint32_t bytes)
{
    attempt.credit += bytes;
    if (attempt.on_hold && attempt.credit > 0) {
        attempt.on_hold = false;
        attempt.last_token_at = never;
        context_.act(engine_read{attempt.id});
    }
}

void engine_relay::detach(upstream_attempt& attempt)
{
    attempt.detached = true;
    // Nobody gives credit any more, and a run that is not read would never end.
    if (std::exchange(attempt.on_hold, false)) {
        context_.act(engine_read{attempt.id});
    }
}

void engine_relay::keep(upstream_attempt& attempt, const std::string& bytes)
{
    if (!attempt.is_keyed() || attempt.answer_dropped) {
        return;
    }
    if (attempt.kept_answer.size() + bytes.size() > context_.settings.max_kept_answer) {
        attempt.answer_dropped = true;
        attempt.kept_answer = {};
        return;
    }
    attempt.kept_answer += bytes;
}

} // namespace clementinegap
