#pragma once

#include "core/time.h"
#include "core/timer_service.h"
#include "routing/router_events.h"
#include "routing/upstream_backoffs.h"
#include "routing/upstream_directory.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace clementinegap {

/// The earliest end of backoff among the upstreams of a service that are all backing off.
struct service_availability {
    time_point at;              ///< When the first of them accepts requests again.
    std::uint32_t upstreams{0}; ///< Number of upstreams that accept requests at that time.
    std::uint32_t slots{0};     ///< Sum of their slots.
};

/// \param excluded ids of upstreams that are ignored.
/// \returns nothing if an upstream accepts requests now or if there is none.
std::optional<service_availability> next_availability(std::span<const upstream_ptr> upstreams,
                                                      std::span<const std::string> excluded,
                                                      const upstream_backoffs& backoffs, time_point now);

/// Queue of a service's requests while all of its upstreams are in backoff. It holds as many requests as the
/// first available upstreams can take, by urgency and then by arrival. The other callers are refused at once;
/// their Retry-After times are staggered from the end of the backoff on, so that they do not all retry at the
/// same instant.
class capacity_wait_queue {
public:
    /// Enqueues a request.
    /// \param capacity maximum length of the queue.
    /// \returns the request that does not fit: the last in order, which may be the new one.
    std::optional<request_number> add(request_number request, std::uint8_t urgency, std::size_t capacity);
    void remove(request_number request, std::uint8_t urgency) { waiting_.erase({urgency, request}); }
    std::vector<request_number> in_order() const;
    bool empty() const { return waiting_.empty(); }

    /// Time until the next refused caller should retry.
    /// \param interval between two retrying callers that the service can handle.
    duration next_retry_after(time_point available_from, duration interval, std::minstd_rand& random,
                              time_point now);

    timer_service::timer_id timer{0}; ///< Timer of the next attempt to send waiting requests; 0: none.

private:
    std::set<std::pair<std::uint8_t, request_number>> waiting_;
    time_point last_retry_at_{};
};

} // namespace clementinegap
