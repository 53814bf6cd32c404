#include "request/engine_relay.h"

#include <utility>

namespace clementinegap {

void engine_relay::start(upstream_attempt& attempt)
{
    attempt.phase = attempt_phase::running;
    attempt.started_at = context_.now;
    attempt.tokens = attempt.dispatch.resume_from_token;
    slots_.begin_slice(attempt);
    const auto& reservation = attempt.reservation;
    engine_start action;
    action.run = attempt.id;
    // Two attempts of a request may run at the same engine, so the id includes the attempt.
    action.request_id = reservation.request_id + "-" + std::to_string(reservation.attempt.number);
    action.method = attempt.dispatch.method;
    action.path = attempt.dispatch.path;
    action.content_type = attempt.dispatch.content_type;
    action.body = attempt.dispatch.body;
    action.priority = reservation.tier;
    action.never_repeat = reservation.never_repeat;
    action.resume_from_token = attempt.dispatch.resume_from_token;
    context_.act(std::move(action));
    context_.send(attempt, started_message{reservation.attempt});
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
    slots_.record_token_latency(attempt, arrived.tokens);
    attempt.tokens += arrived.tokens;
    keep(attempt, arrived.bytes);
    if (attempt.detached) {
        return;
    }
    context_.send(attempt,
                  chunk_message{attempt.reservation.attempt, attempt.sent, arrived.bytes, attempt.tokens});
    attempt.sent += arrived.bytes.size();
    attempt.credit -= static_cast<std::int64_t>(arrived.bytes.size());
    if (attempt.credit <= 0 && !attempt.reading_paused) {
        attempt.reading_paused = true;
        context_.act(engine_pause_reading{attempt.id});
    }
}

void engine_relay::add_credit(upstream_attempt& attempt, std::uint32_t bytes)
{
    attempt.credit += bytes;
    if (attempt.reading_paused && attempt.credit > 0) {
        attempt.reading_paused = false;
        attempt.last_token_at = never;
        context_.act(engine_resume_reading{attempt.id});
    }
}

void engine_relay::detach(upstream_attempt& attempt)
{
    attempt.detached = true;
    // No more credit will arrive, and a run whose response is not read would never end.
    if (std::exchange(attempt.reading_paused, false)) {
        context_.act(engine_resume_reading{attempt.id});
    }
}

void engine_relay::keep(upstream_attempt& attempt, const std::string& bytes)
{
    if (!attempt.is_keyed() || attempt.kept_response_dropped) {
        return;
    }
    if (attempt.kept_response.size() + bytes.size() > context_.settings.max_kept_response) {
        attempt.kept_response_dropped = true;
        attempt.kept_response = {};
        return;
    }
    attempt.kept_response += bytes;
}

} // namespace clementinegap
