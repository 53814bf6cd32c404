#include "routing/capacity_wait_queue.h"

#include "routing/scaled_duration.h"

#include <algorithm>

namespace clementinegap {

std::optional<service_availability> next_availability(std::span<const upstream_ptr> upstreams,
                                                      std::span<const std::string> excluded,
                                                      const upstream_backoffs& backoffs, time_point now)
{
    std::optional<service_availability> result;
    for (const auto& each : upstreams) {
        if (std::ranges::find(excluded, each->id) != excluded.end()) {
            continue;
        }
        const auto at = backoffs.available_at(each->id, now);
        if (!at) {
            return std::nullopt;
        }
        if (!result || *at < result->at) {
            result = service_availability{*at, 0, 0};
        }
        if (*at == result->at) {
            ++result->upstreams;
            result->slots += each->slots;
        }
    }
    return result;
}

std::optional<request_number> capacity_wait_queue::add(request_number request, std::uint8_t urgency,
                                                       std::size_t capacity)
{
    waiting_.emplace(urgency, request);
    if (waiting_.size() <= capacity) {
        return std::nullopt;
    }
    const auto last = std::prev(waiting_.end());
    const auto number = last->second;
    waiting_.erase(last);
    return number;
}

std::vector<request_number> capacity_wait_queue::in_order() const
{
    std::vector<request_number> result;
    for (const auto& [urgency, request] : waiting_) {
        result.push_back(request);
    }
    return result;
}

duration capacity_wait_queue::next_retry_after(time_point available_from, duration interval,
                                               std::minstd_rand& random, time_point now)
{
    const auto place = std::max(available_from, last_retry_at_ + interval);
    last_retry_at_ = place;
    const auto within = scaled(interval, std::uniform_real_distribution<double>(0, 1)(random));
    return place + within - now;
}

} // namespace clementinegap
