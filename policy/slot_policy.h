#pragma once

#include "core/soft_state.h"
#include "core/time.h"
#include "policy/circuit_breaker.h"
#include "policy/latency_meter.h"
#include "policy/queue_drain_meter.h"
#include "policy/slice_tracker.h"

#include <cstdint>
#include <optional>
#include <string>

namespace clementinegap {

/// Controls the slots of one upstream: how many may be in use, which run is preempted, and the expected
/// queueing time. Combines the slice tracker, the latency compared with the pool's, the circuit breaker and
/// the drain rate.
class slot_policy {
public:
    slot_policy(std::string vm, std::string pool, std::uint32_t slots);

    /// \returns the number of slots that may be in use.
    std::uint32_t limit(time_point now) const;
    /// \returns whether placement should prefer other upstreams.
    bool slowed(time_point now) const { return limit_.slowed() || breaker_.open(now); }

    void record_first_token(duration after) { latency_.record_first_token(after); }
    void record_token_interval(duration each) { latency_.record_token_interval(each); }
    duration first_token_time() const { return latency_.first_token_time(); }
    void run_failed(time_point now) { breaker_.record_failure(now); }
    void run_succeeded() { breaker_.record_success(); }
    /// The time at which the breaker next allows a run; the owner must retry then.
    time_point breaker_open_until() const { return breaker_.open_until(); }

    /// Processes a latency report of another upstream.
    void soft_state_received(const soft_state_item& item, time_point now);
    /// \returns this upstream's latency report if the value has changed enough or the last report is too old.
    std::optional<soft_state_item> report_due(time_point now);

    slice_tracker& slices() { return slices_; }
    const slice_tracker& slices() const { return slices_; }
    queue_drain_meter& queue_drain() { return queue_drain_; }
    /// \returns the time in which `ahead` items leave the queue. Slots granted to starving classes count as
    /// if they served the queue, so that a starvation slot never causes a refusal.
    std::optional<duration> expected_wait(std::size_t ahead, time_point now) const;

private:
    void update_limit()
    {
        limit_.update(latency_.known() ? latency_.token_interval_time() : duration::zero(), pool_median_);
    }

    std::string vm_;
    std::string pool_;
    std::uint32_t slots_;
    slice_tracker slices_;
    queue_drain_meter queue_drain_;
    latency_meter latency_;
    pool_latency pool_latency_;
    slot_limit limit_;
    circuit_breaker breaker_;
    duration pool_median_{0};
    duration reported_{0};
    time_point reported_at_{};
};

} // namespace clementinegap
