#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>

namespace clementinegap {

/// One-shot timers of a decision core. The owner uses `next_due()` to decide how long to sleep and then calls
/// `run_due(now)`. The service reads no clock, so tests can run it with simulated time.
class timer_service {
public:
    using callback = std::function<void(time_point now)>;

    /// Identifies a timer; 0 is never issued and can be used for "none".
    using timer_id = std::uint64_t;

    /// Runs `action` once, in the first `run_due` whose time is at or after `at`.
    timer_id schedule(time_point at, callback action);

    /// Cancels a timer; has no effect if it has run or was cancelled.
    void cancel(timer_id id);

    /// Runs the due timers ordered by due time, then by scheduling order. Due timers that callbacks schedule
    /// are run too.
    void run_due(time_point now);

    /// The due time of the earliest timer; `never` if there is none.
    time_point next_due() const;

    std::size_t size() const { return due_.size(); }

private:
    std::map<std::pair<time_point, timer_id>, callback> due_;
    std::unordered_map<timer_id, time_point> times_;
    timer_id last_id_{0};
};

} // namespace clementinegap
