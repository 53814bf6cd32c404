#include "request/upstream_core.h"

#include <iterator>
#include <utility>

namespace clementinegap {
namespace {

constexpr int max_refused_at_once = 8;

queued_work work_of(const upstream_attempt& attempt)
{
    const auto& about = attempt.reservation;
    queued_work work;
    work.id = attempt.id;
    work.tier = about.tier;
    work.workspace = about.workspace;
    work.weight = about.workspace_weight;
    work.class_name = about.class_name;
    work.arrived = attempt.arrived;
    work.target_at = attempt.arrived + about.target_left;
    work.deadline_at = attempt.deadline_at;
    work.starvation_bound = about.starvation_bound;
    return work;
}

} // namespace

upstream_core::upstream_core(upstream_settings settings)
    : context_(std::move(settings)), sessions_(context_), attempts_(context_.settings.max_remembered),
      slots_(context_), relay_(context_, slots_), keyed_(context_, attempts_, *this),
      suspects_(context_, attempts_)
{
}

std::span<const upstream_action> upstream_core::on_event(const upstream_event& event, time_point now)
{
    context_.actions.clear();
    context_.now = std::max(context_.now, now);
    context_.timers.run_due(context_.now);
    keyed_.on_time();
    slots_.advance();
    std::visit([this](const auto& value) { handle(value); }, event);
    give_out_slots();
    if (slots_.is_tiered()) {
        refuse_hopeless();
    }
    publish_load();
    std::ranges::move(keyed_.take_actions(), std::back_inserter(context_.actions));
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
                            "the entry is gone and the request may not be repeated");
            continue;
        }
        if (attempt->at_engine()) {
            context_.act(engine_cancel{attempt->id});
        }
        forget(attempt);
    }
}

void upstream_core::handle(const entry_said& event)
{
    std::visit([&](const auto& message) { on_message(event.session, message); }, event.message);
}

void upstream_core::on_message(session_id session, const reserve_message& message)
{
    if (attempts_.knows(message.attempt)) {
        return;
    }
    const auto attempt = admitted(session, message);
    if (attempt == nullptr || enqueue(attempt)) {
        return;
    }
    // Not in the order, so nothing is to be taken out of it.
    attempt->phase = attempt_phase::watching;
    refuse(attempt, result_code::overloaded, slots_.retry_after());
}

upstream_attempt_ptr upstream_core::admitted(session_id session, const reserve_message& message)
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
        // Whether it ran is known only while it is remembered.
        const bool never_ran = attempts_.ended(message.attempt) == ran_state::no;
        const auto reply =
            never_ran ? upstream_message(refused_message{message.attempt, result_code::overloaded, {}})
                      : upstream_message(finished_message{message.attempt, result_code::upstream_lost,
                                                          ran_state::unknown});
        context_.act(send_to_entry{session, reply});
        return;
    }
    if (attempt->phase == attempt_phase::queued) {
        // The entry took a slot for free and did not wait for the grant; it asks again in the usual way.
        refuse(attempt, result_code::overloaded, duration::zero());
        return;
    }
    if (attempt->phase != attempt_phase::granted) {
        return;
    }
    context_.timers.cancel(std::exchange(attempt->timer, 0));
    attempt->dispatch = message;
    if (attempt->is_keyed()) {
        slots_.release(*attempt); // The table service may take long; the slot serves others meanwhile.
        keyed_.claim(attempt);
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
        context_.record(*attempt, "run.cancelled", "nobody waits for the answer");
    }
    if (attempt->phase == attempt_phase::queued) {
        slots_.left();
    }
    forget(attempt);
}

void upstream_core::on_message(session_id /*session*/, const credit_message& message)
{
    if (const auto attempt = attempts_.find(message.attempt)) {
        relay_.credit_given(*attempt, message.bytes);
    }
}

// --- Slots

void upstream_core::give_out_slots()
{
    start_claimed_runs();
    if (slots_.is_tiered()) {
        give_out_by_tier();
        return;
    }
    while (slots_.has_free_slot()) {
        const auto work = slots_.next();
        if (!work) {
            return;
        }
        give_slot(*work);
    }
}

void upstream_core::give_out_by_tier()
{
    while (const auto tier = slots_.first_tier()) {
        if (lend_slot_to_starving()) {
            continue;
        }
        const auto yielding = slots_.has_free_slot() ? std::nullopt : slots_.yielding_run(*tier);
        if (!slots_.has_free_slot() && !yielding) {
            return;
        }
        const auto work = slots_.next();
        if (yielding) {
            set_aside(*yielding);
        }
        give_slot(*work);
    }
}

void upstream_core::give_slot(const queued_work& work)
{
    const auto attempt = attempts_.find_run(work.id);
    if (attempt == nullptr) {
        return;
    }
    if (attempt->phase == attempt_phase::set_aside) {
        context_.act(engine_resume{attempt->id});
        slots_.resume(*attempt);
        return;
    }
    if (context_.now >= attempt->deadline_at) {
        refuse(attempt, result_code::deadline_expired, duration::zero());
        return;
    }
    if (suspects_.must_wait(*attempt)) {
        suspects_.park(attempt);
        return;
    }
    slots_.left();
    grant(attempt);
}

bool upstream_core::lend_slot_to_starving()
{
    const auto work = slots_.next_starving();
    if (!work) {
        return false;
    }
    const auto attempt = attempts_.find_run(work->id);
    slots_.lend(*attempt);
    context_.record(*attempt, "slot.lent", "the class went unserved past its bound");
    give_slot(*work);
    return true;
}

void upstream_core::set_aside(run_id run)
{
    const auto attempt = attempts_.find_run(run);
    slots_.set_aside(*attempt);
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
        context_.record(*attempt, "grant.lapsed", "no dispatch came");
        refuse(attempt, result_code::overloaded, duration::zero());
    });
}

void upstream_core::refuse_hopeless()
{
    // From the bottom: the least urgent work of the lowest tier, as long as its turn comes after its
    // deadline.
    for (int refused = 0; refused < max_refused_at_once; ++refused) {
        const auto last = slots_.hopeless();
        if (!last) {
            return;
        }
        refuse(attempts_.find_run(*last), result_code::overloaded, slots_.retry_after());
    }
}

void upstream_core::start_claimed_runs()
{
    while (const auto attempt = keyed_.next_to_start()) {
        const auto yielding =
            slots_.has_free_slot() ? std::nullopt : slots_.yielding_run(attempt->reservation.tier);
        if (!slots_.has_free_slot() && !yielding) {
            return;
        }
        if (yielding) {
            set_aside(*yielding);
        }
        keyed_.pop_next_to_start();
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
    note_engine_health(event.kind);
    switch (event.kind) {
    case engine_end_kind::complete:
        suspects_.ended_well(*attempt);
        keyed_.store_outcome(*attempt, result_code::ok, ran_state::yes);
        finish(attempt, result_code::ok, ran_state::yes);
        return;
    case engine_end_kind::not_reached:
        if (!attempt->is_keyed()) {
            finish(attempt, result_code::upstream_failed, ran_state::no);
            return;
        }
        slots_.give_back_place(*attempt);
        keyed_.give_back(*attempt);
        return;
    case engine_end_kind::broken:
        run_broke(attempt);
        return;
    }
}

void upstream_core::run_broke(const upstream_attempt_ptr& attempt)
{
    suspects_.engine_broke();
    const bool silent = attempt->sent == 0 && attempt->tokens == 0;
    const auto code = silent ? result_code::upstream_failed : result_code::answer_truncated;
    const auto ran = silent ? ran_state::unknown : ran_state::yes;
    keyed_.store_outcome(*attempt, code, ran);
    finish(attempt, code, ran);
}

void upstream_core::note_engine_health(engine_end_kind kind)
{
    if (kind == engine_end_kind::complete) {
        slots_.run_succeeded();
        return;
    }
    const auto closed_until = slots_.run_failed();
    if (closed_until && breaker_timer_ == 0) {
        // Slots are given out after every event; the timer makes sure that there is one.
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
    forget(attempt);
}

void upstream_core::finish(const upstream_attempt_ptr& attempt, result_code code, ran_state ran)
{
    if (!attempt->detached) {
        context_.send(*attempt, finished_message{attempt->reservation.attempt, code, ran});
    }
    context_.record(*attempt, "attempt.ended",
                    std::string(describe(code).name) + ", ran " + std::string(to_string(ran)));
    forget(attempt);
}

void upstream_core::forget(const upstream_attempt_ptr& attempt)
{
    context_.timers.cancel(std::exchange(attempt->timer, 0));
    slots_.give_back_place(*attempt);
    keyed_.abandon(attempt);
    attempts_.erase(*attempt, attempt->at_engine() ? ran_state::unknown : ran_state::no);
    for (const auto& parked : suspects_.take_parked(attempt)) {
        slots_.push(parked->work);
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
    drain_gives_up_at_ = context_.now + context_.settings.drain_patience;
    context_.timers.schedule(drain_gives_up_at_, [](time_point) {});
}

void upstream_core::finish_drain_when_idle()
{
    const bool stored = keyed_.open_records() == 0 || context_.now >= drain_gives_up_at_;
    if (!draining_ || drained_said_ || !attempts_.empty() || !stored) {
        return;
    }
    drained_said_ = true;
    context_.act(drained{});
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
        // Nothing is admitted that runs past the date; what is left then is finished like at any other stop.
        shutdown_timer_ = context_.timers.schedule(*ends_at, [this](time_point) { handle(drain_started{}); });
    }
}

void upstream_core::handle(const soft_item_seen& event)
{
    keyed_.item_seen(event.item);
    suspects_.item_seen(event.item);
    slots_.item_seen(event.item);
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
