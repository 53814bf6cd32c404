#include "request/keyed_run_coordinator.h"

#include <algorithm>
#include <utility>

namespace clementinegap {

keyed_run_coordinator::keyed_run_coordinator(upstream_context& context, const attempt_registry& attempts,
                                             attempt_owner& owner)
    : context_(context), attempts_(attempts), owner_(owner), claims_(context.settings.claims)
{
}

run_record keyed_run_coordinator::record_of(const upstream_attempt& attempt) const
{
    run_record result;
    result.workspace = attempt.reservation.workspace;
    result.key = attempt.reservation.key;
    result.fingerprint = attempt.reservation.fingerprint;
    result.attempt = attempt.reservation.attempt;
    result.upstream = context_.settings.vm;
    result.incarnation = context_.settings.incarnation;
    return result;
}

void keyed_run_coordinator::claim(const upstream_attempt_ptr& attempt)
{
    attempt->phase = attempt_phase::claiming;
    if (!claims_.claim(record_of(*attempt), context_.now)) {
        owner_.refuse(attempt, result_code::overloaded, default_retry_after);
        return;
    }
    context_.record(*attempt, "run.claiming", "");
}

void keyed_run_coordinator::release_claim(upstream_attempt& attempt)
{
    attempt.phase = attempt_phase::claiming;
    claims_.release(attempt.reservation.attempt, context_.now);
}

void keyed_run_coordinator::abandon(const upstream_attempt_ptr& attempt)
{
    if (attempt->phase != attempt_phase::claiming && attempt->phase != attempt_phase::claimed) {
        return;
    }
    claims_.abandon(attempt->reservation.attempt, context_.now);
    std::erase(claimed_, attempt);
}

void keyed_run_coordinator::store_outcome(const upstream_attempt& attempt, result_code code, ran_state ran)
{
    if (!attempt.is_keyed()) {
        return;
    }
    auto row = record_of(attempt);
    row.phase = run_phase::finished;
    row.code = code;
    row.ran = ran;
    if (code == result_code::ok && !attempt.kept_response_dropped) {
        row.answer = stored_response{attempt.status, attempt.content_type, attempt.kept_response};
    }
    claims_.finish(row, context_.now);
}

void keyed_run_coordinator::on_result(const record_read& event)
{
    const auto attempt = attempts_.find(event.attempt);
    if (attempt == nullptr || attempt->phase != attempt_phase::awaiting_outcome) {
        apply(claims_.on_result(event, context_.now));
        return;
    }
    if (event.result == store_result::done) {
        await_outcome(attempt, event.record);
    } else if (event.result == store_result::absent) {
        // The other attempt released its claim without having run, so this one may claim.
        attempt->awaiting_since = never;
        claim(attempt);
    } else {
        schedule_record_read(attempt);
    }
}

void keyed_run_coordinator::apply(const std::optional<claim_outcome>& outcome)
{
    const auto attempt = outcome ? attempts_.find(outcome->attempt) : nullptr;
    if (attempt == nullptr) {
        return;
    }
    switch (outcome->what) {
    case claim_outcome::kind::acquired:
        attempt->phase = attempt_phase::claimed;
        claimed_.push_back(attempt);
        return;
    case claim_outcome::kind::found:
        await_outcome(attempt, outcome->record);
        return;
    case claim_outcome::kind::failed:
        owner_.refuse(attempt, result_code::store_unavailable, default_retry_after);
        return;
    case claim_outcome::kind::released:
        owner_.refuse(attempt, result_code::upstream_failed, default_retry_after);
        return;
    }
}

void keyed_run_coordinator::await_outcome(const upstream_attempt_ptr& attempt, const run_record& found)
{
    const auto now = context_.now;
    const auto& settings = context_.settings;
    attempt->phase = attempt_phase::awaiting_outcome;
    attempt->awaiting_since = std::min(attempt->awaiting_since, now);
    const auto* here = claims_.find_own(found.workspace, found.key);
    const auto& known = here != nullptr ? *here : found;
    const bool ended = known.phase == run_phase::finished;
    if (known.fingerprint != attempt->reservation.fingerprint) {
        // A started record may still be released, after which a delayed send of this body may run.
        owner_.finish(attempt, result_code::key_reused, ended ? ran_state::no : ran_state::unknown);
        return;
    }
    if (ended) {
        respond_from_record(attempt, known);
        return;
    }
    const bool owner_restarted =
        here == nullptr && incarnations_.has_restarted(known.upstream, known.incarnation);
    const bool timed_out = here == nullptr && now >= attempt->awaiting_since + settings.outcome_timeout;
    if (owner_restarted || timed_out || now + settings.record_poll_interval >= attempt->deadline_at) {
        owner_.finish(attempt, result_code::outcome_unknown, ran_state::unknown);
        return;
    }
    schedule_record_read(attempt);
}

void keyed_run_coordinator::schedule_record_read(const upstream_attempt_ptr& attempt)
{
    context_.timers.cancel(attempt->timer);
    const auto at = context_.now + context_.settings.record_poll_interval;
    attempt->timer = context_.timers.schedule(at, [this, attempt](time_point) {
        attempt->timer = 0;
        const auto limit = context_.settings.outcome_timeout;
        if (context_.now >= attempt->awaiting_since + limit + limit) {
            owner_.finish(attempt, result_code::outcome_unknown, ran_state::unknown);
            return;
        }
        const auto& reservation = attempt->reservation;
        context_.act(read_run{reservation.attempt, reservation.workspace, reservation.key});
    });
}

void keyed_run_coordinator::respond_from_record(const upstream_attempt_ptr& attempt, const run_record& found)
{
    context_.record(*attempt, "run.answered_from_record", found.upstream);
    if (found.code != result_code::ok) {
        owner_.finish(attempt, result_code::outcome_unknown, found.ran);
        return;
    }
    if (!found.answer) {
        owner_.finish(attempt, result_code::answer_not_kept, ran_state::yes);
        return;
    }
    const auto id = attempt->reservation.attempt;
    context_.send(*attempt, head_message{id, found.answer->status, found.answer->content_type});
    context_.send(*attempt, chunk_message{id, 0, found.answer->body, 0});
    owner_.finish(attempt, result_code::ok, ran_state::yes);
}

} // namespace clementinegap
