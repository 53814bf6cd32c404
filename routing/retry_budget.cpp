#include "routing/retry_budget.h"

#include <algorithm>

namespace clementinegap {

retry_budget::bucket& retry_budget::current(time_point now)
{
    const std::int64_t number = now.time_since_epoch() / bucket_span();
    auto& entry = buckets_[static_cast<std::size_t>(number) % bucket_count];
    if (entry.number != number) {
        entry = bucket{number, 0, 0};
    }
    return entry;
}

void retry_budget::request_seen(time_point now)
{
    ++current(now).requests;
}

bool retry_budget::take(std::size_t daemons, time_point now)
{
    auto& latest = current(now);
    std::uint32_t requests = 0;
    std::uint32_t extra_sends = 0;
    for (const auto& each : buckets_) {
        if (each.number + static_cast<std::int64_t>(bucket_count) <= latest.number) {
            continue;
        }
        extra_sends += each.extra_sends;
        if (each.number > latest.number - static_cast<std::int64_t>(buckets_per_window)) {
            requests += each.requests;
        }
    }
    const auto members = static_cast<double>(std::max<std::size_t>(daemons, 1));
    const double allowed = now < settled_at_
                               ? reserve_share * settings_.ratio * requests
                               : usable_share * (settings_.ratio * requests + settings_.slack / members);
    if (extra_sends + 1.0 > allowed) {
        return false;
    }
    ++latest.extra_sends;
    return true;
}

} // namespace clementinegap
