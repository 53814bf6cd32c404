#include "fakes/manual_scheduler.h"

#include <algorithm>

namespace clementinegap {

void manual_scheduler::after(duration delay, std::function<void()> call)
{
    timers_.schedule(now_ + std::max(delay, duration::zero()),
                     [call = std::move(call)](time_point) { call(); });
}

void manual_scheduler::run_until(time_point end)
{
    while (timers_.next_due() <= end) {
        step();
    }
    now_ = std::max(now_, end);
}

bool manual_scheduler::step()
{
    const auto due = timers_.next_due();
    if (due == never) {
        return false;
    }
    now_ = std::max(now_, due);
    timers_.run_due(now_);
    return true;
}

} // namespace clementinegap
