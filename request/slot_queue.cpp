#include "request/slot_queue.h"

#include <algorithm>
#include <limits>
#include <string>
#include <utility>

namespace clementinegap {
namespace {

constexpr duration max_retry_after = seconds(30);
constexpr std::uint32_t starvation_slice_tokens = 64; ///< Length of the slice granted to a starving class.
constexpr duration min_slice_wait = milliseconds(100);

/// Upstreams that serve the same model are compared with each other.
std::string pool_of(const upstream_settings& settings)
{
    return settings.models.empty() ? std::string() : settings.models.front();
}

} // namespace

slot_queue::slot_queue(upstream_context& context)
    : context_(context), order_(context.settings.order),
      slots_(context.settings.vm, pool_of(context.settings), context.settings.slots)
{
}

void slot_queue::advance()
{
    slots_.queue_drain().advance(context_.now, queued() > preempted_);
}

std::uint32_t slot_queue::limit() const
{
    return is_tiered() ? slots_.limit(context_.now) : context_.settings.slots;
}

std::size_t slot_queue::queued() const
{
    return std::visit([](const auto& order) { return order.size(); }, order_);
}

bool slot_queue::has_room() const
{
    // A starvation slot must not reduce the queue capacity of the tiers above it.
    const auto room = context_.settings.max_queue + slots_.slices().protected_count();
    return queued() - preempted_ < room;
}

std::optional<run_id> slot_queue::displaced_by(const queued_work& work) const
{
    const auto* last = is_tiered() ? tiers().least_urgent() : nullptr;
    const bool displaces =
        last != nullptr && std::pair(last->tier, last->target_at) > std::pair(work.tier, work.target_at);
    return displaces ? std::optional(last->id) : std::nullopt;
}

void slot_queue::push(const queued_work& work)
{
    std::visit([&](auto& order) { order.push(work); }, order_);
}

std::optional<std::uint8_t> slot_queue::first_tier()
{
    tiers().set_first_token_time(slots_.first_token_time());
    return tiers().highest_tier();
}

std::optional<queued_work> slot_queue::next()
{
    return std::visit([&](auto& order) { return order.pop(context_.now); }, order_);
}

std::optional<queued_work> slot_queue::next_starving()
{
    // Only a slot that is already free is granted, one at a time, so that nothing is preempted for it.
    if (starvation_slots_ > 0 || !has_free_slot()) {
        return std::nullopt;
    }
    const auto starving = tiers().starving_class(context_.now);
    return starving ? tiers().pop_class(*starving, context_.now) : std::nullopt;
}

std::optional<run_id> slot_queue::preemptible_run(std::uint8_t tier) const
{
    const bool possible = is_tiered() && limit() > 0 && preempted_ < context_.settings.max_preempted;
    return possible ? slots_.slices().victim(tier) : std::nullopt;
}

std::optional<run_id> slot_queue::work_past_deadline() const
{
    const auto* last = tiers().least_urgent();
    if (last == nullptr) {
        return std::nullopt;
    }
    const auto wait = slots_.expected_wait(tiers().size_up_to(last->tier), context_.now);
    const bool in_time = !wait || context_.now + *wait <= last->deadline_at;
    return in_time ? std::nullopt : std::optional(last->id);
}

void slot_queue::begin_slice(upstream_attempt& attempt)
{
    const auto& reservation = attempt.reservation;
    const auto* rules =
        context_.rules == nullptr ? nullptr : context_.rules->find_class(reservation.class_name);
    const bool pausable = rules == nullptr || !rules->is_service;
    const auto full_quantum = reservation.quantum_tokens == 0 ? std::numeric_limits<std::uint32_t>::max()
                                                              : reservation.quantum_tokens;
    const auto quantum =
        attempt.has_starvation_slot ? std::min(full_quantum, starvation_slice_tokens) : full_quantum;
    attempt.last_token_at = never;
    slots_.slices().begin({attempt.id, reservation.tier, quantum, pausable, attempt.has_starvation_slot});
}

void slot_queue::preempt(upstream_attempt& attempt)
{
    release(attempt);
    attempt.phase = attempt_phase::preempted;
    attempt.last_token_at = never;
    ++preempted_;
    auto& work = attempt.work;
    work.preempted = true;
    work.arrived = context_.now;
    work.target_at = context_.now + std::max(attempt.reservation.target_left, min_slice_wait);
    push(work);
}

void slot_queue::resume(upstream_attempt& attempt)
{
    --preempted_;
    ++busy_;
    attempt.phase = attempt_phase::running;
    begin_slice(attempt);
}

void slot_queue::start_starvation_slot(upstream_attempt& attempt)
{
    attempt.has_starvation_slot = true;
    ++starvation_slots_;
}

void slot_queue::release(upstream_attempt& attempt)
{
    --busy_;
    slots_.slices().end(attempt.id);
    end_starvation_slot(attempt);
}

void slot_queue::end_starvation_slot(upstream_attempt& attempt)
{
    if (std::exchange(attempt.has_starvation_slot, false)) {
        --starvation_slots_;
    }
}

void slot_queue::release_place(upstream_attempt& attempt)
{
    if (attempt.holds_slot()) {
        release(attempt);
    }
    if (attempt.is_queued()) {
        std::visit([&](auto& order) { order.erase(attempt.id); }, order_);
    }
    if (attempt.phase == attempt_phase::preempted) {
        --preempted_;
    }
    // Work that is refused or withdrawn before its start holds no slot, but still has the starvation grant.
    end_starvation_slot(attempt);
}

void slot_queue::record_token_latency(upstream_attempt& attempt, std::uint32_t tokens)
{
    if (tokens == 0) {
        return;
    }
    if (attempt.tokens == attempt.dispatch.resume_from_token) {
        slots_.record_first_token(context_.now - attempt.started_at);
    } else if (attempt.last_token_at != never) {
        slots_.record_token_interval((context_.now - attempt.last_token_at) / tokens);
    }
    attempt.last_token_at = context_.now;
    slots_.slices().produced(attempt.id, tokens);
    if (is_tiered()) {
        tiers().charge(attempt.work, tokens);
    }
}

std::optional<time_point> slot_queue::run_failed()
{
    slots_.run_failed(context_.now);
    const bool closed = is_tiered() && slots_.breaker_open_until() > context_.now;
    return closed ? std::optional(slots_.breaker_open_until()) : std::nullopt;
}

void slot_queue::on_soft_state(const soft_state_item& item)
{
    if (is_tiered()) {
        slots_.soft_state_received(item, context_.now);
    }
}

std::optional<soft_state_item> slot_queue::report_due()
{
    return is_tiered() ? slots_.report_due(context_.now) : std::nullopt;
}

duration slot_queue::retry_after() const
{
    const auto wait = slots_.expected_wait(queued(), context_.now);
    return wait ? std::clamp<duration>(*wait, min_slice_wait, max_retry_after) : default_retry_after;
}

load_message slot_queue::load() const
{
    load_message load;
    load.free_slots = has_free_slot() ? limit() - busy_ : 0;
    load.queued = static_cast<std::uint32_t>(queued());
    load.expected_wait = slots_.expected_wait(queued(), context_.now).value_or(duration::zero());
    load.yields_tier = is_tiered() ? slots_.slices().lowest_preemptible_tier().value_or(0) : 0;
    load.slowed = is_tiered() && slots_.slowed(context_.now);
    return load;
}

} // namespace clementinegap
