#pragma once

#include "core/timer_service.h"

#include <functional>

namespace clementinegap {

/// Manual time: runs functions in the order of their times, then of their scheduling, and jumps between them.
class manual_scheduler {
public:
    time_point now() const { return now_; }
    void after(duration delay, std::function<void()> call);
    /// Runs everything up to `end` and stops there.
    void run_until(time_point end);
    time_point next_due() const { return timers_.next_due(); }
    /// Runs the next function; false when there is none.
    bool step();

private:
    time_point now_{seconds(1'000'000)};
    timer_service timers_;
};

} // namespace clementinegap
