#include "net/delivery_watch.h"

#include <algorithm>
#include <vector>

namespace clementinegap {

void delivery_watch::begin(uv_loop_t* loop)
{
    uv_timer_init(loop, &timer_);
    timer_.data = this;
}

void delivery_watch::add(member& one)
{
    if (members_.empty()) {
        checked_at_ = clock_();
        const auto interval_ms = static_cast<std::uint64_t>(to_milliseconds(interval));
        uv_timer_start(
            &timer_, [](uv_timer_t* timer) { static_cast<delivery_watch*>(timer->data)->check(); },
            interval_ms, interval_ms);
    }
    members_.insert(&one);
}

void delivery_watch::remove(member& one)
{
    if (members_.erase(&one) > 0 && members_.empty()) {
        uv_timer_stop(&timer_);
    }
}

void delivery_watch::refresh()
{
    for (auto* each : members_) {
        each->measure();
    }
}

void delivery_watch::check()
{
    const auto now = clock_();
    // After a suspension of this process the peers have had no more time to answer than usual.
    const auto elapsed = std::min(now - checked_at_, 2 * interval);
    checked_at_ = now;
    const std::vector<member*> due(members_.begin(), members_.end());
    for (auto* each : due) {
        // The check may destroy this member or others.
        if (members_.erase(each) > 0 && each->check_delivery(elapsed)) {
            members_.insert(each);
        }
    }
    if (members_.empty()) {
        uv_timer_stop(&timer_);
    }
}

} // namespace clementinegap
