#pragma once

#include "policy/slot_policy.h"
#include "request/upstream_context.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace clementinegap {

/// The slots of one upstream and the work that waits for them: who is next, who yields a slot, what has no
/// chance to be served before its deadline. Under overload the least urgent work of the lowest tier loses its
/// place first.
class slot_queue {
public:
    explicit slot_queue(upstream_context& context);

    /// Brings the measured drain rate to the present time.
    void advance();
    bool has_room() const;
    /// The id of the queued work that `work` may displace from a full queue; nothing without one.
    std::optional<run_id> displaced_by(const queued_work& work) const;
    void push(const queued_work& work);
    /// Queued work was granted a slot or withdrawn.
    void left() { slots_.queue_drain().item_removed(); }

    /// The tier of the work that `next` would give.
    std::optional<std::uint8_t> first_tier();
    std::optional<queued_work> next();
    /// Work of a class that went unserved past its bound, when a slot may be lent to it.
    std::optional<queued_work> next_starving();
    bool has_free_slot() const { return busy_ < limit(); }
    /// The run that gives up its slot for work of `tier`; nothing without one.
    std::optional<run_id> yielding_run(std::uint8_t tier) const;
    /// The work that cannot have its turn before its deadline; nothing without one.
    std::optional<run_id> hopeless() const;

    void take_slot() { ++busy_; }
    /// The attempt begins a slice of work in the slot that it holds.
    void begin_slice(upstream_attempt& attempt);
    /// The running attempt loses its slot and is queued for its next slice.
    void set_aside(upstream_attempt& attempt);
    /// An attempt that was set aside gets a slot again.
    void resume(upstream_attempt& attempt);
    /// The slot is lent to a starving class until the end of the slice.
    void lend(upstream_attempt& attempt);
    void release(upstream_attempt& attempt);
    /// Gives up the attempt's slot or its place in the queue.
    void give_back_place(upstream_attempt& attempt);

    void measure_pace(upstream_attempt& attempt, std::uint32_t tokens);
    void run_succeeded() { slots_.run_succeeded(); }
    /// \returns until when no slot is given out, if the breaker has opened.
    std::optional<time_point> run_failed();
    void item_seen(const soft_item& item);
    std::optional<soft_item> report_due();

    /// When a refused request may find a slot.
    duration retry_after() const;
    /// What entry daemons are told; without `leaving`.
    load_message load() const;
    std::size_t queued() const;
    std::size_t set_aside_count() const { return set_aside_; }
    std::uint32_t busy() const { return busy_; }
    bool is_tiered() const { return std::holds_alternative<tiered_queue>(order_); }

private:
    std::uint32_t limit() const;
    void end_loan(upstream_attempt& attempt);
    const tiered_queue& tiers() const { return std::get<tiered_queue>(order_); }
    tiered_queue& tiers() { return std::get<tiered_queue>(order_); }

    upstream_context& context_;
    work_queue order_;
    slot_policy slots_;
    std::uint32_t busy_{0};
    std::size_t set_aside_{0};
    std::uint32_t lent_{0}; ///< Held by slices of starving classes.
};

} // namespace clementinegap
