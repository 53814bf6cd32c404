#include "request/upstream_core.h"

#include <algorithm>
#include <cstdlib>
#include <iterator>
#include <utility>

namespace clementinegap {
namespace {

constexpr duration default_retry_after = seconds(1);
constexpr duration crash_window = seconds(1); ///< Runs that break within it broke in the same crash.
constexpr duration announce_interval = seconds(60);
constexpr duration longest_retry_after = seconds(30);
constexpr std::uint32_t lent_slice_tokens = 64; ///< Of the slice that an unserved class is given.
constexpr int max_refused_at_once = 8;
constexpr duration least_slice_wait = milliseconds(100);
constexpr duration least_wait_step = milliseconds(50); ///< Of the expected wait, as it is reported.

/// Upstreams that serve the same model are compared with each other.
std::string pool_of(const upstream_settings& settings)
{
    return settings.models.empty() ? std::string() : settings.models.front();
}

/// The expected wait in doublings, so that only a real change is reported.
int wait_step(duration wait)
{
    int step = 0;
    for (; wait >= least_wait_step; wait /= 2) {
        ++step;
    }
    return step;
}

} // namespace

upstream_core::upstream_core(upstream_settings settings)
    : settings_(std::move(settings)), slots_(settings_.vm, pool_of(settings_), settings_.slots),
      claims_(settings_.claims)
{
}

std::span<const upstream_action> upstream_core::on_event(const upstream_event& event, time_point now)
{
    actions_.clear();
    now_ = std::max(now_, now);
    timers_.run_due(now_);
    claims_.on_time(now_);
    slots_.drain().advance(now_, queued() > set_aside_);
    std::visit([this](const auto& value) { handle(value); }, event);
    give_out_slots();
    if (is_tiered()) {
        refuse_hopeless();
    }
    publish_load();
    std::ranges::move(claims_.take_actions(), std::back_inserter(actions_));
    finish_drain_when_idle();
    return actions_;
}

// --- Sessions with entry daemons
// ------------------------------------------------------------------------------

void upstream_core::handle(const entry_connected& event)
{
    sessions_.insert(event.session);
    hello_message hello;
    hello.vm = settings_.vm;
    hello.zone = settings_.zone;
    hello.region = settings_.region;
    hello.incarnation = settings_.incarnation;
    hello.models = settings_.models;
    hello.slots = settings_.slots;
    hello.leaving = draining_;
    actions_.emplace_back(send_to_entry{event.session, hello});
    actions_.emplace_back(send_to_entry{event.session, current_load()});
    announce_incarnation();
}

void upstream_core::handle(const entry_disconnected& event)
{
    sessions_.erase(event.session);
    std::vector<attempt_ptr> orphans;
    for (const auto& [id, attempt] : attempts_) {
        if (attempt->session == event.session) {
            orphans.push_back(attempt);
        }
    }
    for (const auto& attempt : orphans) {
        const bool runs_to_its_end = at_engine(*attempt) && attempt->reservation.never_repeat;
        if (runs_to_its_end) {
            detach(*attempt);
            record(*attempt, "run.detached", "the entry is gone and the request may not be repeated");
            continue;
        }
        if (at_engine(*attempt)) {
            actions_.emplace_back(engine_cancel{attempt->id});
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
    if (attempts_.contains(message.attempt) || ended_.contains(message.attempt)) {
        return;
    }
    auto attempt = std::make_shared<upstream_attempt>();
    attempt->id = ++last_id_;
    attempt->session = session;
    attempt->reservation = message;
    attempt->arrived = now_;
    attempt->deadline_at = now_ + message.time_left;
    attempt->credit = settings_.initial_credit;
    if (draining_) {
        send(*attempt, refused_message{message.attempt, result_code::leaving, duration::zero()});
        remember(message.attempt, ran_state::no);
        return;
    }
    if (poison_.is_quarantined(message.fingerprint, now_)) {
        send(*attempt, refused_message{message.attempt, result_code::quarantined, default_retry_after});
        remember(message.attempt, ran_state::no);
        return;
    }
    attempts_.emplace(message.attempt, attempt);
    auto& work = attempt->work;
    work.id = attempt->id;
    work.tier = message.tier;
    work.workspace = message.workspace;
    work.weight = message.workspace_weight;
    work.class_name = message.class_name;
    work.arrived = now_;
    work.target_at = now_ + message.target_left;
    work.deadline_at = attempt->deadline_at;
    work.starvation_bound = message.starvation_bound;
    runs_.emplace(attempt->id, attempt);
    if (enqueue(attempt)) {
        return;
    }
    // Not in the order, so nothing is to be taken out of it.
    attempt->phase = attempt_phase::watching;
    refuse(attempt, result_code::overloaded, retry_after());
}

bool upstream_core::enqueue(const attempt_ptr& attempt)
{
    // A slot that is lent to a starving class must not cost anyone above it a place.
    const auto room = settings_.max_queue + slots_.slices().protected_count();
    if (queued() - set_aside_ >= room) {
        const auto* last = is_tiered() ? std::get<tiered_order>(settings_.order).last() : nullptr;
        const auto& work = attempt->work;
        const bool displaces =
            last != nullptr && std::pair(last->tier, last->target_at) > std::pair(work.tier, work.target_at);
        if (!displaces) {
            return false;
        }
        const auto displaced = runs_.at(last->id);
        record(*displaced, "attempt.displaced",
               "the queue is full and request " + attempt->reservation.request_id + " of a higher tier came");
        refuse(displaced, result_code::overloaded, retry_after());
    }
    std::visit([&](auto& order) { order.push(attempt->work); }, settings_.order);
    return true;
}

void upstream_core::on_message(session_id session, const dispatch_message& message)
{
    const auto attempt = find(message.attempt);
    if (attempt == nullptr) {
        // Whether it ran is known only while it is remembered.
        const auto ended = ended_.find(message.attempt);
        const bool never_ran = ended != ended_.end() && ended->second == ran_state::no;
        const auto reply =
            never_ran ? upstream_message(refused_message{message.attempt, result_code::overloaded, {}})
                      : upstream_message(finished_message{message.attempt, result_code::upstream_lost,
                                                          ran_state::unknown});
        actions_.emplace_back(send_to_entry{session, reply});
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
    timers_.cancel(std::exchange(attempt->timer, 0));
    attempt->dispatch = message;
    if (is_keyed(*attempt)) {
        release_slot(*attempt); // The table service may take long; the slot serves others meanwhile.
        claim(attempt);
    } else {
        start(attempt);
    }
}

void upstream_core::on_message(session_id /*session*/, const cancel_message& message)
{
    const auto attempt = find(message.attempt);
    if (attempt == nullptr) {
        return;
    }
    if (at_engine(*attempt)) {
        if (attempt->reservation.never_repeat) {
            detach(*attempt);
            return;
        }
        actions_.emplace_back(engine_cancel{attempt->id});
        record(*attempt, "run.cancelled", "nobody waits for the answer");
    }
    if (attempt->phase == attempt_phase::queued) {
        slots_.drain().left();
    }
    forget(attempt);
}

void upstream_core::on_message(session_id /*session*/, const credit_message& message)
{
    const auto attempt = find(message.attempt);
    if (attempt == nullptr) {
        return;
    }
    attempt->credit += message.bytes;
    if (attempt->on_hold && attempt->credit > 0) {
        attempt->on_hold = false;
        attempt->last_token_at = never;
        actions_.emplace_back(engine_read{attempt->id});
    }
}

// --- Slots
// ----------------------------------------------------------------------------------------------------

std::size_t upstream_core::queued() const
{
    return std::visit([](const auto& order) { return order.size(); }, settings_.order);
}

void upstream_core::give_out_slots()
{
    start_claimed_runs();
    if (!is_tiered()) {
        while (busy_slots_ < settings_.slots) {
            const auto work = std::get<fifo_order>(settings_.order).pop(now_);
            if (!work) {
                return;
            }
            give_slot(*work);
        }
        return;
    }
    auto& order = std::get<tiered_order>(settings_.order);
    order.set_first_token_time(slots_.first_token_time());
    while (const auto tier = order.first_tier()) {
        if (lend_slot_to_starving()) {
            continue;
        }
        const bool free = busy_slots_ < slots_.limit(now_);
        const auto yielding = free ? std::nullopt : yielding_run(*tier);
        if (!free && !yielding) {
            return;
        }
        const auto work = order.pop(now_);
        if (yielding) {
            set_aside(runs_.at(*yielding));
        }
        give_slot(*work);
    }
}

std::optional<run_id> upstream_core::yielding_run(std::uint8_t tier) const
{
    const bool possible = is_tiered() && slots_.limit(now_) > 0 && set_aside_ < settings_.max_set_aside;
    return possible ? slots_.slices().victim(tier) : std::nullopt;
}

void upstream_core::give_slot(const queued_work& work)
{
    const auto found = runs_.find(work.id);
    if (found == runs_.end()) {
        return;
    }
    const auto attempt = found->second;
    if (attempt->phase == attempt_phase::set_aside) {
        --set_aside_;
        ++busy_slots_;
        attempt->phase = attempt_phase::running;
        actions_.emplace_back(engine_resume{attempt->id});
        begin_slice(attempt);
        return;
    }
    if (now_ >= attempt->deadline_at) {
        refuse(attempt, result_code::deadline_expired, duration::zero());
        return;
    }
    if (must_wait_alone(*attempt)) {
        parked_.push_back(attempt);
        return;
    }
    slots_.drain().left();
    grant(attempt);
}

bool upstream_core::lend_slot_to_starving()
{
    // Only a slot that became free by itself is lent, and one at a time, so that nothing is preempted for it.
    if (lent_slots_ > 0 || busy_slots_ >= slots_.limit(now_)) {
        return false;
    }
    auto& order = std::get<tiered_order>(settings_.order);
    const auto starving = order.starving_class(now_);
    if (!starving) {
        return false;
    }
    const auto work = order.pop_class(*starving, now_);
    const auto attempt = runs_.at(work->id);
    attempt->starved = true;
    ++lent_slots_;
    record(*attempt, "slot.lent", "the class went unserved past its bound");
    give_slot(*work);
    return true;
}

void upstream_core::set_aside(const attempt_ptr& attempt)
{
    release_slot(*attempt);
    attempt->phase = attempt_phase::set_aside;
    attempt->last_token_at = never;
    ++set_aside_;
    auto& work = attempt->work;
    work.set_aside = true;
    work.arrived = now_;
    work.target_at = now_ + std::max(attempt->reservation.target_left, least_slice_wait);
    std::get<tiered_order>(settings_.order).push(work);
    actions_.emplace_back(engine_pause{attempt->id});
    record(*attempt, "run.set_aside", "its slice ended while other work waited");
}

void upstream_core::begin_slice(const attempt_ptr& attempt)
{
    const auto& about = attempt->reservation;
    const auto* rules = configuration_ == nullptr ? nullptr : configuration_->find_class(about.class_name);
    const bool pausable = rules == nullptr || !rules->is_service;
    const auto full_quantum = about.quantum_tokens == 0 ? UINT32_MAX : about.quantum_tokens;
    const auto quantum = attempt->starved ? std::min(full_quantum, lent_slice_tokens) : full_quantum;
    attempt->last_token_at = never;
    slots_.slices().begin({attempt->id, about.tier, quantum, pausable, attempt->starved});
}

void upstream_core::refuse_hopeless()
{
    const auto& order = std::get<tiered_order>(settings_.order);
    // From the bottom: the least urgent work of the lowest tier, as long as its turn comes after its
    // deadline.
    for (int refused = 0; refused < max_refused_at_once; ++refused) {
        const auto* last = order.last();
        if (last == nullptr) {
            return;
        }
        const auto wait = slots_.expected_wait(order.size_to(last->tier), now_);
        if (!wait || now_ + *wait <= last->deadline_at) {
            return;
        }
        refuse(runs_.at(last->id), result_code::overloaded, retry_after());
    }
}

duration upstream_core::retry_after() const
{
    const auto wait = slots_.expected_wait(queued(), now_);
    return wait ? std::clamp<duration>(*wait, least_slice_wait, longest_retry_after) : default_retry_after;
}

void upstream_core::measure_pace(upstream_attempt& attempt, std::uint32_t tokens)
{
    if (tokens == 0) {
        return;
    }
    if (attempt.tokens == attempt.dispatch.resume_from_token) {
        slots_.first_token(now_ - attempt.began_at);
    } else if (attempt.last_token_at != never) {
        slots_.token_interval((now_ - attempt.last_token_at) / tokens);
    }
    attempt.last_token_at = now_;
    slots_.slices().produced(attempt.id, tokens);
    if (is_tiered()) {
        std::get<tiered_order>(settings_.order).charge(attempt.work, tokens);
    }
}

void upstream_core::grant(const attempt_ptr& attempt)
{
    attempt->phase = attempt_phase::granted;
    ++busy_slots_;
    send(*attempt, granted_message{attempt->reservation.attempt});
    attempt->timer = timers_.schedule(now_ + settings_.grant_timeout, [this, attempt](time_point) {
        attempt->timer = 0;
        record(*attempt, "grant.lapsed", "no dispatch came");
        refuse(attempt, result_code::overloaded, duration::zero());
    });
}

bool upstream_core::at_engine(const upstream_attempt& attempt) const
{
    return attempt.phase == attempt_phase::running || attempt.phase == attempt_phase::set_aside;
}

bool upstream_core::holds_slot(const upstream_attempt& attempt) const
{
    return attempt.phase == attempt_phase::granted || attempt.phase == attempt_phase::running;
}

void upstream_core::release_slot(upstream_attempt& attempt)
{
    --busy_slots_;
    slots_.slices().end(attempt.id);
    if (std::exchange(attempt.starved, false)) {
        --lent_slots_;
    }
}

void upstream_core::give_back_place(upstream_attempt& attempt)
{
    if (holds_slot(attempt)) {
        release_slot(attempt);
    }
    if (attempt.phase == attempt_phase::queued || attempt.phase == attempt_phase::set_aside) {
        std::visit([&](auto& order) { order.erase(attempt.id); }, settings_.order);
    }
    if (attempt.phase == attempt_phase::set_aside) {
        --set_aside_;
    }
}

// --- Claims of never-repeat runs
// ------------------------------------------------------------------------------

bool upstream_core::is_keyed(const upstream_attempt& attempt) const
{
    return attempt.reservation.never_repeat && !attempt.reservation.key.empty();
}

run_record upstream_core::record_of(const upstream_attempt& attempt) const
{
    run_record result;
    result.workspace = attempt.reservation.workspace;
    result.key = attempt.reservation.key;
    result.fingerprint = attempt.reservation.fingerprint;
    result.attempt = attempt.reservation.attempt;
    result.upstream = settings_.vm;
    result.incarnation = settings_.incarnation;
    return result;
}

void upstream_core::claim(const attempt_ptr& attempt)
{
    attempt->phase = attempt_phase::claiming;
    if (!claims_.claim(record_of(*attempt), now_)) {
        refuse(attempt, result_code::overloaded, default_retry_after);
        return;
    }
    record(*attempt, "run.claiming", "");
}

void upstream_core::handle(const claim_answered& event)
{
    apply(claims_.on_answer(event, now_));
}

void upstream_core::handle(const record_read& event)
{
    const auto attempt = find(event.attempt);
    if (attempt == nullptr || attempt->phase != attempt_phase::watching) {
        apply(claims_.on_answer(event, now_));
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

void upstream_core::handle(const finish_answered& event)
{
    claims_.on_answer(event, now_);
}

void upstream_core::handle(const release_answered& event)
{
    apply(claims_.on_answer(event, now_));
}

void upstream_core::apply(const std::optional<claim_verdict>& verdict)
{
    const auto attempt = verdict ? find(verdict->attempt) : nullptr;
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
        refuse(attempt, result_code::store_unavailable, default_retry_after);
        return;
    case claim_verdict::kind::released:
        refuse(attempt, result_code::upstream_failed, default_retry_after);
        return;
    }
}

void upstream_core::start_claimed_runs()
{
    while (!claimed_.empty()) {
        const auto attempt = claimed_.front();
        const bool free = busy_slots_ < (is_tiered() ? slots_.limit(now_) : settings_.slots);
        const auto yielding = free ? std::nullopt : yielding_run(attempt->reservation.tier);
        if (!free && !yielding) {
            return;
        }
        if (yielding) {
            set_aside(runs_.at(*yielding));
        }
        claimed_.pop_front();
        start_claimed(attempt);
    }
}

void upstream_core::start_claimed(const attempt_ptr& attempt)
{
    if (now_ >= attempt->deadline_at) {
        refuse(attempt, result_code::deadline_expired, duration::zero());
        return;
    }
    ++busy_slots_;
    start(attempt);
}

void upstream_core::watch(const attempt_ptr& attempt, const run_record& record_found)
{
    attempt->phase = attempt_phase::watching;
    attempt->watching_since = std::min(attempt->watching_since, now_);
    const auto* here = claims_.own(record_found.workspace, record_found.key);
    const auto& known = here != nullptr ? *here : record_found;
    const bool ended = known.phase == run_phase::finished;
    if (known.fingerprint != attempt->reservation.fingerprint) {
        // A started record may yet be given back, after which a delayed send of this body may run.
        finish(attempt, result_code::key_reused, ended ? ran_state::no : ran_state::unknown);
        return;
    }
    if (ended) {
        answer_from(attempt, known);
        return;
    }
    const bool owner_is_gone = here == nullptr && owners_.is_gone(known.upstream, known.incarnation);
    const bool out_of_patience = here == nullptr && now_ >= attempt->watching_since + settings_.watch_limit;
    if (owner_is_gone || out_of_patience || now_ + settings_.watch_interval >= attempt->deadline_at) {
        finish(attempt, result_code::outcome_unknown, ran_state::unknown);
        return;
    }
    watch_later(attempt);
}

void upstream_core::watch_later(const attempt_ptr& attempt)
{
    timers_.cancel(attempt->timer);
    attempt->timer = timers_.schedule(now_ + settings_.watch_interval, [this, attempt](time_point) {
        attempt->timer = 0;
        if (now_ >= attempt->watching_since + settings_.watch_limit + settings_.watch_limit) {
            finish(attempt, result_code::outcome_unknown, ran_state::unknown);
            return;
        }
        actions_.emplace_back(
            read_run{attempt->reservation.attempt, attempt->reservation.workspace, attempt->reservation.key});
    });
}

void upstream_core::answer_from(const attempt_ptr& attempt, const run_record& record_found)
{
    record(*attempt, "run.answered_from_record", record_found.upstream);
    if (record_found.code != result_code::ok) {
        finish(attempt, result_code::outcome_unknown, record_found.ran);
        return;
    }
    if (!record_found.answer) {
        finish(attempt, result_code::answer_not_kept, ran_state::yes);
        return;
    }
    const auto id = attempt->reservation.attempt;
    send(*attempt, head_message{id, record_found.answer->status, record_found.answer->content_type});
    send(*attempt, chunk_message{id, 0, record_found.answer->body, 0});
    finish(attempt, result_code::ok, ran_state::yes);
}

// --- Runs at the engine
// ---------------------------------------------------------------------------------------

void upstream_core::start(const attempt_ptr& attempt)
{
    attempt->phase = attempt_phase::running;
    attempt->began_at = now_;
    attempt->tokens = attempt->dispatch.resume_from_token;
    begin_slice(attempt);
    engine_start action;
    action.run = attempt->id;
    // Two attempts of a request may meet at one engine, so the attempt is part of the name.
    action.request_id =
        attempt->reservation.request_id + "-" + std::to_string(attempt->reservation.attempt.number);
    action.method = attempt->dispatch.method;
    action.path = attempt->dispatch.path;
    action.content_type = attempt->dispatch.content_type;
    action.body = attempt->dispatch.body;
    action.priority = attempt->reservation.tier;
    action.never_repeat = attempt->reservation.never_repeat;
    action.resume_from_token = attempt->dispatch.resume_from_token;
    actions_.emplace_back(std::move(action));
    send(*attempt, started_message{attempt->reservation.attempt});
    record(*attempt, "run.started", "");
}

void upstream_core::handle(const engine_head& event)
{
    const auto found = runs_.find(event.run);
    if (found == runs_.end()) {
        return;
    }
    auto& attempt = *found->second;
    attempt.status = event.status;
    attempt.content_type = event.content_type;
    send(attempt, head_message{attempt.reservation.attempt, event.status, event.content_type});
}

void upstream_core::handle(const engine_bytes& event)
{
    const auto found = runs_.find(event.run);
    if (found == runs_.end()) {
        return;
    }
    relay(*found->second, event.bytes, event.tokens);
}

void upstream_core::relay(upstream_attempt& attempt, const std::string& bytes, std::uint32_t tokens)
{
    measure_pace(attempt, tokens);
    attempt.tokens += tokens;
    keep(attempt, bytes);
    if (attempt.detached) {
        return;
    }
    send(attempt, chunk_message{attempt.reservation.attempt, attempt.sent, bytes, attempt.tokens});
    attempt.sent += bytes.size();
    attempt.credit -= static_cast<std::int64_t>(bytes.size());
    if (attempt.credit <= 0 && !attempt.on_hold) {
        attempt.on_hold = true;
        actions_.emplace_back(engine_hold{attempt.id});
    }
}

void upstream_core::keep(upstream_attempt& attempt, const std::string& bytes)
{
    if (!is_keyed(attempt) || attempt.answer_dropped) {
        return;
    }
    if (attempt.kept_answer.size() + bytes.size() > settings_.max_kept_answer) {
        attempt.answer_dropped = true;
        attempt.kept_answer = {};
        return;
    }
    attempt.kept_answer += bytes;
}

void upstream_core::detach(upstream_attempt& attempt)
{
    attempt.detached = true;
    // Nobody gives credit any more, and a run that is not read would never end.
    if (std::exchange(attempt.on_hold, false)) {
        actions_.emplace_back(engine_read{attempt.id});
    }
}

void upstream_core::handle(const engine_ended& event)
{
    const auto found = runs_.find(event.run);
    if (found == runs_.end() || !at_engine(*found->second)) {
        return;
    }
    const auto attempt = found->second;
    note_engine_health(event.kind);
    switch (event.kind) {
    case engine_end_kind::complete:
        if (auto cleared = poison_.ended_well(attempt->reservation.fingerprint, now_)) {
            actions_.emplace_back(publish_item{std::move(*cleared)});
        }
        store_outcome(*attempt, result_code::ok, ran_state::yes);
        finish(attempt, result_code::ok, ran_state::yes);
        return;
    case engine_end_kind::not_reached:
        end_without_answer(attempt);
        return;
    case engine_end_kind::broken: {
        blame_running_work();
        const bool silent = attempt->sent == 0 && attempt->tokens == 0;
        const auto code = silent ? result_code::upstream_failed : result_code::answer_truncated;
        const auto ran = silent ? ran_state::unknown : ran_state::yes;
        store_outcome(*attempt, code, ran);
        finish(attempt, code, ran);
        return;
    }
    }
}

void upstream_core::end_without_answer(const attempt_ptr& attempt)
{
    if (!is_keyed(*attempt)) {
        finish(attempt, result_code::upstream_failed, ran_state::no);
        return;
    }
    // The record is given back first, so that the next attempt finds the key free.
    give_back_place(*attempt);
    attempt->phase = attempt_phase::claiming;
    claims_.release(attempt->reservation.attempt, now_);
}

void upstream_core::blame_running_work()
{
    if (blamed_at_ != time_point{} && now_ < blamed_at_ + crash_window) {
        return;
    }
    blamed_at_ = now_;
    std::vector<std::string> running;
    for (const auto& [id, attempt] : runs_) {
        if (at_engine(*attempt)) {
            running.push_back(attempt->reservation.fingerprint);
        }
    }
    for (auto& item : poison_.crashed(running, now_)) {
        actions_.emplace_back(publish_item{std::move(item)});
    }
}

bool upstream_core::must_wait_alone(const upstream_attempt& attempt) const
{
    const auto is_suspect = [this](const upstream_attempt& one) {
        return poison_.is_suspect(one.reservation.fingerprint, now_);
    };
    return is_suspect(attempt) && std::ranges::any_of(runs_, [&](const auto& item) {
               const auto& other = *item.second;
               const bool is_out = holds_slot(other) || at_engine(other) ||
                                   other.phase == attempt_phase::claiming ||
                                   other.phase == attempt_phase::claimed;
               return is_out && is_suspect(other);
           });
}

void upstream_core::note_engine_health(engine_end_kind kind)
{
    if (kind == engine_end_kind::complete) {
        slots_.run_succeeded();
        return;
    }
    slots_.run_failed(now_);
    if (is_tiered() && slots_.closed_until() > now_ && breaker_timer_ == 0) {
        // Slots are given out after every event; the timer makes sure that there is one.
        breaker_timer_ = timers_.schedule(slots_.closed_until(), [this](time_point) { breaker_timer_ = 0; });
    }
}

void upstream_core::store_outcome(const upstream_attempt& attempt, result_code code, ran_state ran)
{
    if (!is_keyed(attempt)) {
        return;
    }
    auto row = record_of(attempt);
    row.phase = run_phase::finished;
    row.code = code;
    row.ran = ran;
    if (code == result_code::ok && !attempt.answer_dropped) {
        row.answer = stored_answer{attempt.status, attempt.content_type, attempt.kept_answer};
    }
    claims_.finish(row, now_);
}

// --- Ends
// -----------------------------------------------------------------------------------------------------

void upstream_core::refuse(const attempt_ptr& attempt, result_code code, duration retry_after)
{
    send(*attempt, refused_message{attempt->reservation.attempt, code, retry_after});
    record(*attempt, "attempt.refused",
           std::string(describe(code).name) + ", " + std::to_string(queued()) + " queued, " +
               std::to_string(current_load().free_slots) + " free slots");
    forget(attempt);
}

void upstream_core::finish(const attempt_ptr& attempt, result_code code, ran_state ran)
{
    if (!attempt->detached) {
        send(*attempt, finished_message{attempt->reservation.attempt, code, ran});
    }
    record(*attempt, "attempt.ended",
           std::string(describe(code).name) + ", ran " + std::string(to_string(ran)));
    forget(attempt);
}

void upstream_core::forget(const attempt_ptr& attempt)
{
    timers_.cancel(std::exchange(attempt->timer, 0));
    give_back_place(*attempt);
    if (attempt->phase == attempt_phase::claiming || attempt->phase == attempt_phase::claimed) {
        claims_.abandon(attempt->reservation.attempt, now_);
        std::erase(claimed_, attempt);
    }
    runs_.erase(attempt->id);
    attempts_.erase(attempt->reservation.attempt);
    std::erase(parked_, attempt);
    for (const auto& parked : std::exchange(parked_, {})) {
        std::visit([&](auto& order) { order.push(parked->work); }, settings_.order);
    }
    const bool ran = at_engine(*attempt);
    remember(attempt->reservation.attempt, ran ? ran_state::unknown : ran_state::no);
}

void upstream_core::remember(attempt_id attempt, ran_state ran)
{
    if (!ended_.emplace(attempt, ran).second) {
        return;
    }
    ended_order_.push_back(attempt);
    if (ended_order_.size() > settings_.max_remembered) {
        ended_.erase(ended_order_.front());
        ended_order_.pop_front();
    }
}

void upstream_core::handle(const drain_started& /*event*/)
{
    if (draining_) {
        return;
    }
    draining_ = true;
    std::vector<attempt_ptr> waiting;
    for (const auto& [id, attempt] : attempts_) {
        if (attempt->phase == attempt_phase::queued) {
            waiting.push_back(attempt);
        }
    }
    publish_load();
    for (const auto& attempt : waiting) {
        refuse(attempt, result_code::leaving, duration::zero());
    }
    drain_gives_up_at_ = now_ + settings_.drain_patience;
    timers_.schedule(drain_gives_up_at_, [](time_point) {});
}

void upstream_core::finish_drain_when_idle()
{
    const bool idle = attempts_.empty() && (claims_.empty() || now_ >= drain_gives_up_at_);
    if (!draining_ || drained_said_ || !idle) {
        return;
    }
    drained_said_ = true;
    actions_.emplace_back(drained{});
}

// --- The rest
// -------------------------------------------------------------------------------------------------

void upstream_core::handle(const configuration_applied& event)
{
    if (configuration_ == nullptr || event.value->version > configuration_->version) {
        configuration_ = event.value;
        plan_shutdown();
        actions_.emplace_back(emit_record{
            {"configuration.applied", "", "", "", "", "version " + std::to_string(configuration_->version)}});
    }
}

void upstream_core::plan_shutdown()
{
    timers_.cancel(std::exchange(shutdown_timer_, 0));
    if (const auto ends_at = configuration_->shutdown.ends_at) {
        // Nothing is admitted that runs past the date; what is left then is finished like at any other stop.
        shutdown_timer_ = timers_.schedule(*ends_at, [this](time_point) { handle(drain_started{}); });
    }
}

void upstream_core::announce_incarnation()
{
    if (announced_at_ != time_point{} && now_ < announced_at_ + announce_interval) {
        return;
    }
    announced_at_ = now_;
    actions_.emplace_back(publish_item{owner_item(settings_.vm, settings_.incarnation)});
}

void upstream_core::handle(const soft_item_seen& event)
{
    owners_.on_item(event.item);
    poison_.on_item(event.item, now_);
    if (is_tiered()) {
        slots_.item_seen(event.item, now_);
    }
}

void upstream_core::handle(const tick& /*event*/)
{
    // Due timers run before every event.
}

load_message upstream_core::current_load() const
{
    const auto limit = is_tiered() ? slots_.limit(now_) : settings_.slots;
    load_message load;
    load.free_slots = busy_slots_ < limit ? limit - busy_slots_ : 0;
    load.queued = static_cast<std::uint32_t>(queued());
    load.expected_wait = slots_.expected_wait(queued(), now_).value_or(duration::zero());
    load.yields_tier = is_tiered() ? slots_.slices().lowest_yielding().value_or(0) : 0;
    load.slowed = is_tiered() && slots_.slowed(now_);
    load.leaving = draining_;
    return load;
}

void upstream_core::publish_load()
{
    if (is_tiered()) {
        if (auto item = slots_.report_due(now_)) {
            actions_.emplace_back(publish_item{std::move(*item)});
        }
    }
    const auto load = current_load();
    // Only what changes a placement is worth a message: leaving, a slot becoming free or the last one taken,
    // and the wait in doublings.
    const bool matters = load.leaving != published_.leaving || load.slowed != published_.slowed ||
                         load.yields_tier != published_.yields_tier ||
                         (load.free_slots == 0) != (published_.free_slots == 0) ||
                         (load.queued == 0) != (published_.queued == 0) ||
                         std::abs(wait_step(load.expected_wait) - wait_step(published_.expected_wait)) > 1;
    if (!matters) {
        return;
    }
    published_ = load;
    for (const auto session : sessions_) {
        actions_.emplace_back(send_to_entry{session, load});
    }
}

void upstream_core::send(const upstream_attempt& attempt, upstream_message message)
{
    actions_.emplace_back(send_to_entry{attempt.session, std::move(message)});
}

void upstream_core::record(const upstream_attempt& attempt, std::string kind, std::string detail)
{
    actions_.emplace_back(
        emit_record{{std::move(kind), attempt.reservation.request_id, attempt.reservation.class_name,
                     attempt.reservation.workspace, settings_.vm, std::move(detail)}});
}

upstream_core::attempt_ptr upstream_core::find(attempt_id attempt) const
{
    const auto found = attempts_.find(attempt);
    return found == attempts_.end() ? nullptr : found->second;
}

} // namespace clementinegap
