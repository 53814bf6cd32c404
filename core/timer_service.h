#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>

namespace clementinegap {

/// Timers that parts of a decision core subscribe to. The owner asks `next_due()` how long it may sleep and
/// calls `run_due(now)`; the service itself reads no clock, so tests drive it in manual time.
class timer_service {
public:
    using callback = std::function<void(time_point now)>;

    /// Identifies a subscription; 0 is never issued, so it can stand for "none".
    using timer_id = std::uint64_t;

    /// Runs `action` once, at the first `run_due` whose time is at or after `at`.
    timer_id schedule(time_point at, callback action);

    /// Forgets a subscription; does nothing for one that has run or was cancelled.
    void cancel(timer_id id);

    /// Runs what is due in the order of due times, then of subscription; includes what the callbacks
    /// subscribe.
    void run_due(time_point now);

    /// The time of the earliest subscription, `never` without one.
    time_point next_due() const;

    std::size_t size() const { return due_.size(); }

private:
    std::map<std::pair<time_point, timer_id>, callback> due_;
    std::unordered_map<timer_id, time_point> times_;
    timer_id last_id_{0};
};

} // namespace clementinegap
