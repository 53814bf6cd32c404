#include "routing/request_router.h"

#include "routing/scaled_duration.h"

#include <algorithm>
#include <sstream>
#include <utility>

/// \file
/// The part of the router that holds requests until an upstream accepts them, and tells refused callers when
/// to come back.

namespace clementinegap {
namespace {

/// Assumed time of a plain request at a service that has not responded to any yet.
constexpr duration first_service_time = milliseconds(50);

} // namespace

bool request_router::wait_for_capacity(routed_request& request)
{
    if (draining()) {
        return false;
    }
    const auto availability = next_availability(usable_for(request), request.tried, gate(), now_);
    if (!availability || availability->at == never) {
        return false;
    }
    const auto available_in = availability->at - now_;
    const auto places = places_for(request, *availability);
    auto& queue = wait_queues_[request.service];
    if (queue.ahead_of(request.number, request.priority) >= places) {
        return false;
    }
    // By a rate limit, the others have places of their own, which depend on their deadlines.
    const auto capacity = availability->share > 0 ? queue.size() + 1 : places;
    const auto displaced = queue.add(request.number, request.priority, capacity);
    if (displaced == request.number) {
        return false;
    }
    request.waiting = true;
    timers_.cancel(request.timer);
    request.timer =
        timers_.schedule(request.ends_at, [this, number = request.number](time_point) { on_timer(number); });
    timers_.cancel(queue.timer);
    queue.timer = timers_.schedule(availability->at, [this, service = request.service](time_point) {
        wait_queues_[service].timer = 0;
        send_waiting(service);
    });
    log("request.waiting", request, "opens_in_ms " + std::to_string(to_milliseconds(available_in)));
    const auto last = displaced ? requests_.find(*displaced) : requests_.end();
    if (last != requests_.end()) {
        last->second.waiting = false;
        give_up(last->second, send_fault::not_run, last->second.response_begun);
    }
    refuse_overdue(request.service);
    return true;
}

std::size_t request_router::places_for(const routed_request& request,
                                       const service_availability& availability)
{
    upstream_choice first_available;
    first_available.expected_wait = availability.at - now_;
    first_available.prefill_tokens = request.prompt.own_tokens();
    const auto needed = request.is_generation()
                            ? placement_.time_needed(request, first_available)
                            : first_available.expected_wait + service_time(request.service);
    // Where slots are shared, later requests would make all behind them late as well.
    const auto ends = availability.by_slots
                          ? std::min(request.ends_at, request.arrived + request.matched_route->objective)
                          : request.ends_at;
    const auto latest_start = ends - (needed - first_available.expected_wait);
    return latest_start < availability.at ? 0 : availability.places(latest_start, daemons());
}

void request_router::refuse_overdue(const std::string& service)
{
    auto& queue = wait_queues_[service];
    std::size_t ahead = 0;
    for (const auto number : queue.in_order()) {
        const auto found = requests_.find(number);
        if (found == requests_.end() || !found->second.waiting) {
            continue;
        }
        auto& request = found->second;
        const auto availability = next_availability(usable_for(request), request.tried, gate(), now_);
        const bool is_limited = availability && availability->share + availability->limit > 0;
        if (!is_limited || (availability->at != never && ahead < places_for(request, *availability))) {
            ++ahead;
            continue;
        }
        stop_waiting(request);
        give_up(request, send_fault::not_run, request.response_begun);
    }
}

void request_router::stop_waiting(routed_request& request)
{
    if (std::exchange(request.waiting, false)) {
        wait_queues_[request.service].remove(request.number, request.priority);
    }
}

void request_router::send_waiting(const std::string& service)
{
    for (const auto number : wait_queues_[service].in_order()) {
        const auto found = requests_.find(number);
        if (found == requests_.end() || !found->second.waiting) {
            continue;
        }
        auto& request = found->second;
        stop_waiting(request);
        if (!try_send(request)) {
            give_up(request, send_fault::not_run, request.response_begun);
        } else if (request.waiting) {
            refuse_overdue(service); // No upstream accepts the requests behind it either.
            return;
        }
    }
}

slot_use request_router::use_of(const upstream_record& upstream) const
{
    return {upstream.id, upstream.slots, service_time(upstream.service), daemons()};
}

void request_router::slot_freed(const std::string& service)
{
    if (const auto queue = wait_queues_.find(service);
        queue != wait_queues_.end() && !queue->second.empty()) {
        send_waiting(service);
    }
}

std::string request_router::unsent_reason(const routed_request& request) const
{
    const auto upstreams = usable_for(request);
    const auto availability = next_availability(upstreams, request.tried, gate(), now_);
    if (!availability) {
        return "no upstream can end it in time";
    }
    std::ostringstream text;
    text << "no upstream accepts it now";
    if (availability->limit > 0) {
        text << ", limits allow " << availability->limit << " per second";
    }
    return text.str();
}

duration request_router::retry_after_for(const routed_request& request)
{
    const auto upstreams = usable_for(request);
    const auto availability = next_availability(upstreams, {}, gate(), now_);
    if (!availability) {
        return jittered(std::max(default_retry_after, request.expected_wait));
    }
    auto& queue = wait_queues_[request.service];
    if (availability->slots == 0 && availability->limit > 0) {
        // Callers come back to any of the daemons, at the rate that all limits together allow.
        const auto from = availability->at == never ? now_ + default_retry_after : availability->at;
        const auto rate = availability->limit / static_cast<double>(daemons());
        return queue.next_retry_after(from, scaled(seconds(1), 1 / rate), random_, now_);
    }
    const auto interval = request.is_generation()
                              ? placement_.speed(request.service).prefill_time(request.prompt.own_tokens()) /
                                    availability->upstreams
                              : service_time(request.service) / std::max(1U, availability->slots);
    return queue.next_retry_after(availability->at, interval * static_cast<duration::rep>(daemons()), random_,
                                  now_);
}

duration request_router::service_time(const std::string& service) const
{
    const auto known = service_times_.find(service);
    return known == service_times_.end() ? first_service_time : known->second;
}

} // namespace clementinegap
