#pragma once

#include "policy/slot_policy.h"
#include "request/upstream_context.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace clementinegap {

/// The slots of one upstream and the work that waits for them: which work is next, which run yields its slot,
/// which work cannot start before its deadline. Under overload the least urgent work of the lowest tier is
/// refused first.
class slot_queue {
public:
    explicit slot_queue(upstream_context& context);

    /// Updates the measured drain rate to the current time.
    void advance();
    bool has_room() const;
    /// The id of the queued work that `work` may displace from a full queue; nullopt without one.
    std::optional<run_id> displaced_by(const queued_work& work) const;
    void push(const queued_work& work);
    /// Queued work was granted a slot or withdrawn.
    void on_dequeued() { slots_.queue_drain().item_removed(); }

    /// The tier of the work that `next` would return.
    std::optional<std::uint8_t> first_tier();
    std::optional<queued_work> next();
    /// Work of a class that exceeded its starvation bound, when a slot may be granted to it.
    std::optional<queued_work> next_starving();
    bool has_free_slot() const { return busy_ < limit(); }
    /// The run to preempt for work of `tier`; nullopt without one.
    std::optional<run_id> preemptible_run(std::uint8_t tier) const;
    /// The work that cannot start before its deadline; nullopt without one.
    std::optional<run_id> work_past_deadline() const;

    void take_slot() { ++busy_; }
    /// The attempt begins a slice of work in the slot that it holds.
    void begin_slice(upstream_attempt& attempt);
    /// The running attempt loses its slot and is queued for its next slice.
    void preempt(upstream_attempt& attempt);
    /// A preempted attempt gets a slot again.
    void resume(upstream_attempt& attempt);
    /// The slot is granted to a starving class until the end of the slice.
    void start_starvation_slot(upstream_attempt& attempt);
    void release(upstream_attempt& attempt);
    /// Releases the attempt's slot or its place in the queue.
    void release_place(upstream_attempt& attempt);

    void record_token_latency(upstream_attempt& attempt, std::uint32_t tokens);
    void run_succeeded() { slots_.run_succeeded(); }
    /// \returns until when no slot is assigned, if the breaker has opened.
    std::optional<time_point> run_failed();
    void on_soft_state(const soft_state_item& item);
    std::optional<soft_state_item> report_due();

    /// When a refused request may find a slot.
    duration retry_after() const;
    /// The load reported to entry daemons, without `leaving`.
    load_message load() const;
    std::size_t queued() const;
    std::size_t preempted_count() const { return preempted_; }
    std::uint32_t busy() const { return busy_; }
    bool is_tiered() const { return std::holds_alternative<tiered_queue>(order_); }

private:
    std::uint32_t limit() const;
    void end_starvation_slot(upstream_attempt& attempt);
    const tiered_queue& tiers() const { return std::get<tiered_queue>(order_); }
    tiered_queue& tiers() { return std::get<tiered_queue>(order_); }

    upstream_context& context_;
    work_queue order_;
    slot_policy slots_;
    std::uint32_t busy_{0};
    std::size_t preempted_{0};
    std::uint32_t starvation_slots_{0}; ///< Held by slices of starving classes.
};

} // namespace clementinegap
