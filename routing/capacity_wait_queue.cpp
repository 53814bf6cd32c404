#include "routing/capacity_wait_queue.h"

#include "routing/scaled_duration.h"

#include <algorithm>

namespace clementinegap {

std::size_t service_availability::places(time_point latest_start, std::size_t daemons) const
{
    std::size_t result = slots == 0 ? 0 : std::max<std::size_t>(1, slots / daemons);
    if (share > 0 && latest_start >= at) {
        const auto usable = std::chrono::duration<double>(latest_start - at).count();
        result += 1 + static_cast<std::size_t>(usable * share);
    }
    return result;
}

std::optional<service_availability> next_availability(std::span<const upstream_ptr> upstreams,
                                                      std::span<const std::string> excluded,
                                                      const send_gate& gate, time_point now)
{
    std::optional<service_availability> result;
    auto unlimited_at = never;
    for (const auto& each : upstreams) {
        if (std::ranges::find(excluded, each->id) != excluded.end()) {
            continue;
        }
        const auto at = gate.available_at(each->id, now);
        if (!at) {
            return std::nullopt;
        }
        if (!result) {
            result.emplace();
        }
        result->at = std::min(result->at, *at);
        if (const auto limit = gate.limits().limit(each->id)) {
            result->limit += *limit;
            result->share += gate.limits().share(each->id);
            continue;
        }
        if (const auto rate = gate.slot_rate(each->id, now); rate > 0) {
            result->share += rate;
            result->by_slots = true;
        }
        if (*at < unlimited_at) {
            unlimited_at = *at;
            result->upstreams = result->slots = 0;
        }
        if (*at == unlimited_at) {
            ++result->upstreams;
            result->slots += each->slots;
        }
    }
    if (result && result->at < unlimited_at) {
        result->upstreams = result->slots = 0;
    }
    return result;
}

std::optional<request_number> capacity_wait_queue::add(request_number request,
                                                       const request_priority& priority, std::size_t capacity)
{
    waiting_.emplace(priority, request);
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
    for (const auto& [priority, request] : waiting_) {
        result.push_back(request);
    }
    return result;
}

std::size_t capacity_wait_queue::ahead_of(request_number request, const request_priority& priority) const
{
    const auto end = waiting_.lower_bound({priority, request});
    return static_cast<std::size_t>(std::distance(waiting_.begin(), end));
}

duration capacity_wait_queue::next_retry_after(time_point available_from, duration interval,
                                               std::minstd_rand& random, time_point now)
{
    const auto place = std::min(std::max(available_from, last_retry_at_ + interval), now + max_retry_after);
    last_retry_at_ = place;
    const auto within = scaled(interval, std::uniform_real_distribution<double>(0, 1)(random));
    return place + within - now;
}

} // namespace clementinegap
