#include "request/keyed_runs.h"

#include <algorithm>
#include <utility>

namespace clementinegap {

keyed_runs::keyed_runs(upstream_context& context, const attempt_registry& attempts, attempt_owner& owner)
    : context_(context), attempts_(attempts), owner_(owner), claims_(context.settings.claims)
{
}

run_record keyed_runs::record_of(const upstream_attempt& attempt) const
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

void keyed_runs::claim(const upstream_attempt_ptr& attempt)
{
    attempt->phase = attempt_phase::claiming;
    if (!claims_.claim(record_of(*attempt), context_.now)) {
        owner_.refuse(attempt, result_code::overloaded, default_retry_after);
        return;
    }
    context_.record(*attempt, "run.claiming", "");
}

void keyed_runs::give_back(upstream_attempt& attempt)
{
    attempt.phase = attempt_phase::claiming;
    claims_.release(attempt.reservation.attempt, context_.now);
}

void keyed_runs::abandon(const upstream_attempt_ptr& attempt)
{
    if (attempt->phase != attempt_phase::claiming && attempt->phase != attempt_phase::claimed) {
        return;
    }
    claims_.abandon(attempt->reservation.attempt, context_.now);
    std::erase(claimed_, attempt);
}

void keyed_runs::store_outcome(const upstream_attempt& attempt, result_code code, ran_state ran)
{
    if (!attempt.is_keyed()) {
        return;
    }
    auto row = record_of(attempt);
    row.phase = run_phase::finished;
    row.code = code;
    row.ran = ran;
    if (code == result_code::ok && !attempt.answer_dropped) {
        row.answer = stored_answer{attempt.status, attempt.content_type, attempt.kept_answer};
    }
    claims_.finish(row, context_.now);
}

void keyed_runs::on_answer(const record_read& event)
{
    const auto attempt = attempts_.find(event.attempt);
    if (attempt == nullptr || attempt->phase != attempt_phase::watching) {
        apply(claims_.on_answer(event, context_.now));
        return;
    }
    if (event.result == store_result::done) {
        watch(attempt, event.record);
    } else if (event.result == store_result::absent) {
        // The other attempt gave its claim back without having run, so this one may try.
        attempt->watching_since = never;
        claim(attempt);
    } else {
        watch_later(attempt);
    }
}

void keyed_runs::apply(const std::optional<claim_verdict>& verdict)
{
    const auto attempt = verdict ? attempts_.find(verdict->attempt) : nullptr;
    if (attempt == nullptr) {
        return;
    }
    switch (verdict->what) {
    case claim_verdict::kind::won:
        attempt->phase = attempt_phase::claimed;
        claimed_.push_back(attempt);
        return;
    case claim_verdict::kind::found:
        watch(attempt, verdict->record);
        return;
    case claim_verdict::kind::failed:
        owner_.refuse(attempt, result_code::store_unavailable, default_retry_after);
        return;
    case claim_verdict::kind::released:
        owner_.refuse(attempt, result_code::upstream_failed, default_retry_after);
        return;
    }
}

void keyed_runs::watch(const upstream_attempt_ptr& attempt, const run_record& found)
{
    const auto now = context_.now;
    const auto& settings = context_.settings;
    attempt->phase = attempt_phase::watching;
    attempt->watching_since = std::min(attempt->watching_since, now);
    const auto* here = claims_.own(found.workspace, found.key);
    const auto& known = here != nullptr ? *here : found;
    const bool ended = known.phase == run_phase::finished;
    if (known.fingerprint != attempt->reservation.fingerprint) {
        // A started record may yet be given back, after which a delayed send of this body may run.
        owner_.finish(attempt, result_code::key_reused, ended ? ran_state::no : ran_state::unknown);
        return;
    }
    if (ended) {
        answer_from(attempt, known);
        return;
    }
    const bool owner_is_gone = here == nullptr && owners_.is_gone(known.upstream, known.incarnation);
    const bool out_of_patience = here == nullptr && now >= attempt->watching_since + settings.watch_limit;
    if (owner_is_gone || out_of_patience || now + settings.watch_interval >= attempt->deadline_at) {
        owner_.finish(attempt, result_code::outcome_unknown, ran_state::unknown);
        return;
    }
    watch_later(attempt);
}

void keyed_runs::watch_later(const upstream_attempt_ptr& attempt)
{
    context_.timers.cancel(attempt->timer);
    const auto at = context_.now + context_.settings.watch_interval;
    attempt->timer = context_.timers.schedule(at, [this, attempt](time_point) {
        attempt->timer = 0;
        const auto limit = context_.settings.watch_limit;
        if (context_.now >= attempt->watching_since + limit + limit) {
            owner_.finish(attempt, result_code::outcome_unknown, ran_state::unknown);
            return;
        }
        const auto& about = attempt->reservation;
        context_.act(read_run{about.attempt, about.workspace, about.key});
    });
}

void keyed_runs::answer_from(const upstream_attempt_ptr& attempt, const run_record& found)
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
