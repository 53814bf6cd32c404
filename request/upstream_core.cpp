#include "request/upstream_core.h"

#include <iterator>
#include <utility>

namespace clementinegap {
namespace {

constexpr int max_refused_at_once = 8;

queued_work work_of(const upstream_attempt& attempt)
{
    const auto& reservation = attempt.reservation;
    queued_work work;
    work.id = attempt.id;
    work.tier = reservation.tier;
    work.workspace = reservation.workspace;
    work.weight = reservation.workspace_weight;
    work.class_name = reservation.class_name;
    work.arrived = attempt.arrived;
    work.target_at = attempt.arrived + reservation.target_left;
    work.deadline_at = attempt.deadline_at;
    work.starvation_bound = reservation.starvation_bound;
    return work;
}

} // namespace

upstream_core::upstream_core(upstream_settings settings)
    : context_(std::move(settings)), sessions_(context_), attempts_(context_.settings.max_remembered),
      slots_(context_), relay_(context_, slots_), keyed_runs_(context_, attempts_, *this),
      suspects_(context_, attempts_)
{
}

std::span<const upstream_action> upstream_core::on_event(const upstream_event& event, time_point now)
{
    context_.actions.clear();
    context_.now = std::max(context_.now, now);
    context_.timers.run_due(context_.now);
    keyed_runs_.on_timer();
    slots_.advance();
    std::visit([this](const auto& value) { handle(value); }, event);
    assign_slots();
    if (slots_.is_tiered()) {
        refuse_work_past_deadline();
    }
    publish_load();
    std::ranges::move(keyed_runs_.take_actions(), std::back_inserter(context_.actions));
    finish_drain_when_idle();
    return context_.actions;
}

// --- Sessions with entry daemons

void upstream_core::handle(const entry_connected& event)
{
    sessions_.opened(event.session, current_load());
}

void upstream_core::handle(const entry_disconnected& event)
{
    sessions_.closed(event.session);
    const auto orphans =
        attempts_.where([&](const upstream_attempt& attempt) { return attempt.session == event.session; });
    for (const auto& attempt : orphans) {
        if (attempt->at_engine() && attempt->reservation.never_repeat) {
            relay_.detach(*attempt);
            context_.record(*attempt, "run.detached",
                            "the entry disconnected and the request may not be repeated");
            continue;
        }
        if (attempt->at_engine()) {
            context_.act(engine_cancel{attempt->id});
        }
        remove_attempt(attempt);
    }
}

void upstream_core::handle(const entry_message_received& event)
{
    std::visit([&](const auto& message) { on_message(event.session, message); }, event.message);
}

void upstream_core::on_message(session_id session, const reserve_message& message)
{
    if (attempts_.is_known(message.attempt)) {
        return;
    }
    const auto attempt = admit(session, message);
    if (attempt == nullptr || enqueue(attempt)) {
        return;
    }
    // It was never queued, so it must not be removed from the queue.
    attempt->phase = attempt_phase::awaiting_outcome;
    refuse(attempt, result_code::overloaded, slots_.retry_after());
}

upstream_attempt_ptr upstream_core::admit(session_id session, const reserve_message& message)
{
    auto attempt = attempts_.make();
    attempt->session = session;
    attempt->reservation = message;
    attempt->arrived = context_.now;
    attempt->deadline_at = context_.now + message.time_left;
    attempt->credit = context_.settings.initial_credit;
    if (draining_ || suspects_.is_quarantined(message.fingerprint)) {
        const auto code = draining_ ? result_code::leaving : result_code::quarantined;
        const auto retry_after = draining_ ? duration::zero() : default_retry_after;
        context_.send(*attempt, refused_message{message.attempt, code, retry_after});
        attempts_.remember(message.attempt, ran_state::no);
        return nullptr;
    }
    attempt->work = work_of(*attempt);
    attempts_.add(attempt);
    return attempt;
}

bool upstream_core::enqueue(const upstream_attempt_ptr& attempt)
{
    if (!slots_.has_room()) {
        const auto last = slots_.displaced_by(attempt->work);
        if (!last) {
            return false;
        }
        const auto displaced = attempts_.find_run(*last);
        context_.record(*displaced, "attempt.displaced",
                        "the queue is full and request " + attempt->reservation.request_id +
                            " of a higher tier came");
        refuse(displaced, result_code::overloaded, slots_.retry_after());
    }
    slots_.push(attempt->work);
    return true;
}

void upstream_core::on_message(session_id session, const dispatch_message& message)
{
    const auto attempt = attempts_.find(message.attempt);
    if (attempt == nullptr) {
        // The execution state is known only while the ended attempt is still stored.
        const bool never_ran = attempts_.ended_state(message.attempt) == ran_state::no;
        const auto reply =
            never_ran ? upstream_message(refused_message{message.attempt, result_code::overloaded, {}})
                      : upstream_message(finished_message{message.attempt, result_code::upstream_lost,
                                                          ran_state::unknown});
        context_.act(send_to_entry{session, reply});
        return;
    }
    if (attempt->phase == attempt_phase::queued) {
        // The entry dispatched without a grant because a slot was reported free; it reserves again after this
        // refusal.
        refuse(attempt, result_code::overloaded, duration::zero());
        return;
    }
    if (attempt->phase != attempt_phase::granted) {
        return;
    }
    context_.timers.cancel(std::exchange(attempt->timer, 0));
    attempt->dispatch = message;
    if (attempt->is_keyed()) {
        slots_.release(*attempt); // The table service may be slow; other work uses the slot meanwhile.
        keyed_runs_.claim(attempt);
    } else {
        relay_.start(*attempt);
    }
}

void upstream_core::on_message(session_id /*session*/, const cancel_message& message)
{
    const auto attempt = attempts_.find(message.attempt);
    if (attempt == nullptr) {
        return;
    }
    if (attempt->at_engine()) {
        if (attempt->reservation.never_repeat) {
            relay_.detach(*attempt);
            return;
        }
        context_.act(engine_cancel{attempt->id});
        context_.record(*attempt, "run.cancelled", "the result is no longer needed");
    }
    if (attempt->phase == attempt_phase::queued) {
        slots_.on_dequeued();
    }
    remove_attempt(attempt);
}

void upstream_core::on_message(session_id /*session*/, const credit_message& message)
{
    if (const auto attempt = attempts_.find(message.attempt)) {
        relay_.add_credit(*attempt, message.bytes);
    }
}

// --- Slots

void upstream_core::assign_slots()
{
    start_claimed_runs();
    if (slots_.is_tiered()) {
        assign_slots_by_tier();
        return;
    }
    while (slots_.has_free_slot()) {
        const auto work = slots_.next();
        if (!work) {
            return;
        }
        assign_slot(*work);
    }
}

void upstream_core::assign_slots_by_tier()
{
    while (const auto tier = slots_.first_tier()) {
        if (grant_starvation_slot()) {
            continue;
        }
        const auto yielding = slots_.has_free_slot() ? std::nullopt : slots_.preemptible_run(*tier);
        if (!slots_.has_free_slot() && !yielding) {
            return;
        }
        const auto work = slots_.next();
        if (yielding) {
            preempt(*yielding);
        }
        assign_slot(*work);
    }
}

void upstream_core::assign_slot(const queued_work& work)
{
    const auto attempt = attempts_.find_run(work.id);
    if (attempt == nullptr) {
        return;
    }
    if (attempt->phase == attempt_phase::preempted) {
        context_.act(engine_resume{attempt->id});
        slots_.resume(*attempt);
        return;
    }
    if (context_.now >= attempt->deadline_at) {
        refuse(attempt, result_code::deadline_expired, duration::zero());
        return;
    }
    if (suspects_.must_wait(*attempt)) {
        suspects_.defer(attempt);
        return;
    }
    slots_.on_dequeued();
    grant(attempt);
}

bool upstream_core::grant_starvation_slot()
{
    const auto work = slots_.next_starving();
    if (!work) {
        return false;
    }
    const auto attempt = attempts_.find_run(work->id);
    slots_.start_starvation_slot(*attempt);
    context_.record(*attempt, "slot.lent", "the class exceeded its starvation bound");
    assign_slot(*work);
    return true;
}

void upstream_core::preempt(run_id run)
{
    const auto attempt = attempts_.find_run(run);
    slots_.preempt(*attempt);
    context_.act(engine_pause{attempt->id});
    context_.record(*attempt, "run.set_aside", "its slice ended while other work waited");
}

void upstream_core::grant(const upstream_attempt_ptr& attempt)
{
    attempt->phase = attempt_phase::granted;
    slots_.take_slot();
    context_.send(*attempt, granted_message{attempt->reservation.attempt});
    const auto lapses_at = context_.now + context_.settings.grant_timeout;
    attempt->timer = context_.timers.schedule(lapses_at, [this, attempt](time_point) {
        attempt->timer = 0;
        context_.record(*attempt, "grant.lapsed", "no dispatch arrived within the grant timeout");
        refuse(attempt, result_code::overloaded, duration::zero());
    });
}

void upstream_core::refuse_work_past_deadline()
{
    // Starts with the least urgent work of the lowest tier, while its expected start is after its deadline.
    for (int refused = 0; refused < max_refused_at_once; ++refused) {
        const auto last = slots_.work_past_deadline();
        if (!last) {
            return;
        }
        refuse(attempts_.find_run(*last), result_code::overloaded, slots_.retry_after());
    }
}

void upstream_core::start_claimed_runs()
{
    while (const auto attempt = keyed_runs_.next_to_start()) {
        const auto yielding =
            slots_.has_free_slot() ? std::nullopt : slots_.preemptible_run(attempt->reservation.tier);
        if (!slots_.has_free_slot() && !yielding) {
            return;
        }
        if (yielding) {
            preempt(*yielding);
        }
        keyed_runs_.pop_next_to_start();
        if (context_.now >= attempt->deadline_at) {
            refuse(attempt, result_code::deadline_expired, duration::zero());
            continue;
        }
        slots_.take_slot();
        relay_.start(*attempt);
    }
}

// --- Runs at the engine

void upstream_core::handle(const engine_head& event)
{
    if (const auto attempt = attempts_.find_run(event.run)) {
        relay_.head_arrived(*attempt, event);
    }
}

void upstream_core::handle(const engine_bytes& event)
{
    if (const auto attempt = attempts_.find_run(event.run)) {
        relay_.bytes_arrived(*attempt, event);
    }
}

void upstream_core::handle(const engine_ended& event)
{
    const auto attempt = attempts_.find_run(event.run);
    if (attempt == nullptr || !attempt->at_engine()) {
        return;
    }
    record_engine_health(event.kind);
    switch (event.kind) {
    case engine_end_kind::complete:
        suspects_.on_run_completed(*attempt);
        keyed_runs_.store_outcome(*attempt, result_code::ok, ran_state::yes);
        finish(attempt, result_code::ok, ran_state::yes);
        return;
    case engine_end_kind::not_reached:
        if (!attempt->is_keyed()) {
            finish(attempt, result_code::upstream_failed, ran_state::no);
            return;
        }
        slots_.release_place(*attempt);
        keyed_runs_.release_claim(*attempt);
        return;
    case engine_end_kind::broken:
        on_run_broken(attempt);
        return;
    }
}

void upstream_core::on_run_broken(const upstream_attempt_ptr& attempt)
{
    suspects_.on_engine_crash();
    const bool no_output = attempt->sent == 0 && attempt->tokens == 0;
    const auto code = no_output ? result_code::upstream_failed : result_code::answer_truncated;
    const auto ran = no_output ? ran_state::unknown : ran_state::yes;
    keyed_runs_.store_outcome(*attempt, code, ran);
    finish(attempt, code, ran);
}

void upstream_core::record_engine_health(engine_end_kind kind)
{
    if (kind == engine_end_kind::complete) {
        slots_.run_succeeded();
        return;
    }
    const auto closed_until = slots_.run_failed();
    if (closed_until && breaker_timer_ == 0) {
        // Slots are assigned after every event; the timer ensures that one occurs when the breaker closes.
        breaker_timer_ = context_.timers.schedule(*closed_until, [this](time_point) { breaker_timer_ = 0; });
    }
}

// --- Ends

void upstream_core::refuse(const upstream_attempt_ptr& attempt, result_code code, duration retry_after)
{
    context_.send(*attempt, refused_message{attempt->reservation.attempt, code, retry_after});
    context_.record(*attempt, "attempt.refused",
                    std::string(describe(code).name) + ", " + std::to_string(queued()) + " queued, " +
                        std::to_string(slots_.load().free_slots) + " free slots");
    remove_attempt(attempt);
}

void upstream_core::finish(const upstream_attempt_ptr& attempt, result_code code, ran_state ran)
{
    if (!attempt->detached) {
        context_.send(*attempt, finished_message{attempt->reservation.attempt, code, ran});
    }
    context_.record(*attempt, "attempt.ended",
                    std::string(describe(code).name) + ", ran " + std::string(to_string(ran)));
    remove_attempt(attempt);
}

void upstream_core::remove_attempt(const upstream_attempt_ptr& attempt)
{
    context_.timers.cancel(std::exchange(attempt->timer, 0));
    slots_.release_place(*attempt);
    keyed_runs_.abandon(attempt);
    attempts_.erase(*attempt, attempt->at_engine() ? ran_state::unknown : ran_state::no);
    for (const auto& deferred : suspects_.take_deferred(attempt)) {
        slots_.push(deferred->work);
    }
}

void upstream_core::handle(const drain_started& /*event*/)
{
    if (std::exchange(draining_, true)) {
        return;
    }
    const auto waiting = attempts_.where(
        [](const upstream_attempt& attempt) { return attempt.phase == attempt_phase::queued; });
    publish_load();
    for (const auto& attempt : waiting) {
        refuse(attempt, result_code::leaving, duration::zero());
    }
    drain_deadline_ = context_.now + context_.settings.drain_timeout;
    context_.timers.schedule(drain_deadline_, [](time_point) {});
}

void upstream_core::finish_drain_when_idle()
{
    const bool stored = keyed_runs_.open_records() == 0 || context_.now >= drain_deadline_;
    if (!draining_ || drain_completed_sent_ || !attempts_.empty() || !stored) {
        return;
    }
    drain_completed_sent_ = true;
    context_.act(drain_completed{});
}

// --- The daemon

void upstream_core::handle(const configuration_applied& event)
{
    if (context_.rules != nullptr && event.value->version <= context_.rules->version) {
        return;
    }
    context_.rules = event.value;
    plan_shutdown();
    context_.act(emit_record{
        {"configuration.applied", "", "", "", "", "version " + std::to_string(context_.rules->version)}});
}

void upstream_core::plan_shutdown()
{
    context_.timers.cancel(std::exchange(shutdown_timer_, 0));
    if (const auto ends_at = context_.rules->shutdown.ends_at) {
        // Nothing that could run past the date is admitted; remaining work finishes as in any other drain.
        shutdown_timer_ = context_.timers.schedule(*ends_at, [this](time_point) { handle(drain_started{}); });
    }
}

void upstream_core::handle(const soft_state_received& event)
{
    keyed_runs_.on_soft_state(event.item);
    suspects_.on_soft_state(event.item);
    slots_.on_soft_state(event.item);
}

void upstream_core::handle(const tick& /*event*/)
{
    // Due timers run before every event.
}

load_message upstream_core::current_load() const
{
    auto load = slots_.load();
    load.leaving = draining_;
    return load;
}

void upstream_core::publish_load()
{
    if (auto item = slots_.report_due()) {
        context_.act(publish_item{std::move(*item)});
    }
    sessions_.publish(current_load());
}

} // namespace clementinegap
