#pragma once

#include "core/soft_state.h"
#include "core/time.h"
#include "policy/circuit_breaker.h"
#include "policy/drain_meter.h"
#include "policy/pace_meter.h"
#include "policy/slice_book.h"

#include <cstdint>
#include <optional>
#include <string>

namespace clementinegap {

/// How many slots of one upstream are in use at a time, who yields one, and how long the queue takes: the
/// slices, the observed pace against the pool's, the breaker and the drain rate together.
class slot_policy {
public:
    slot_policy(std::string vm, std::string pool, std::uint32_t slots);

    /// Slots that may be in use now.
    std::uint32_t limit(time_point now) const;
    /// Whether placement should prefer other upstreams.
    bool slowed(time_point now) const { return limit_.slowed() || breaker_.open(now); }

    void first_token(duration after) { pace_.first_token(after); }
    void token_interval(duration each) { pace_.token_interval(each); }
    duration first_token_time() const { return pace_.first_token_time(); }
    void run_failed(time_point now) { breaker_.failed(now); }
    void run_succeeded() { breaker_.succeeded(); }
    /// When the breaker next allows a run; the owner asks again then.
    time_point closed_until() const { return breaker_.closed_until(); }

    /// Takes a report of another upstream.
    void item_seen(const soft_state_item& item, time_point now);
    /// The own report when it has changed enough, or is due again.
    std::optional<soft_state_item> report_due(time_point now);

    slice_book& slices() { return slices_; }
    const slice_book& slices() const { return slices_; }
    drain_meter& drain() { return drain_; }
    /// How long `ahead` items take to leave the queue. Slots lent to starving classes count as if they served
    /// the queue, so that a lent slot is never the reason for a refusal.
    std::optional<duration> expected_wait(std::size_t ahead, time_point now) const;

private:
    void compare() { limit_.update(pace_.known() ? pace_.token_interval_time() : duration::zero(), median_); }

    std::string vm_;
    std::string pool_;
    std::uint32_t slots_;
    slice_book slices_;
    drain_meter drain_;
    pace_meter pace_;
    pool_pace pool_pace_;
    slot_limit limit_;
    circuit_breaker breaker_;
    duration median_{0};
    duration reported_{0};
    time_point reported_at_{};
};

} // namespace clementinegap
