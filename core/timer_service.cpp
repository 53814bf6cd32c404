#include "core/timer_service.h"

#include <utility>

namespace clementinegap {

timer_service::timer_id timer_service::schedule(time_point at, callback action)
{
    const timer_id id = ++last_id_;
    due_.emplace(std::pair{at, id}, std::move(action));
    times_.emplace(id, at);
    return id;
}

void timer_service::cancel(timer_id id)
{
    const auto found = times_.find(id);
    if (found == times_.end()) {
        return;
    }
    due_.erase({found->second, id});
    times_.erase(found);
}

void timer_service::run_due(time_point now)
{
    while (!due_.empty() && due_.begin()->first.first <= now) {
        // The timer is removed before its callback runs, so that the callback can schedule and cancel timers.
        auto node = due_.extract(due_.begin());
        times_.erase(node.key().second);
        node.mapped()(now);
    }
}

time_point timer_service::next_due() const
{
    return due_.empty() ? never : due_.begin()->first.first;
}

} // namespace clementinegap
