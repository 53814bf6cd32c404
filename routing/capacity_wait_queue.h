#pragma once

#include "core/time.h"
#include "core/timer_service.h"
#include "routing/request_priority.h"
#include "routing/router_events.h"
#include "routing/send_gate.h"
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

/// When a service whose upstreams are all blocked accepts requests of this daemon again, and how many.
struct service_availability {
    /// When the first of them accepts a request; `never` if this daemon has no share of any of their limits.
    time_point at{never};
    /// Number of upstreams without a rate limit that accept requests at that time, and the sum of their
    /// slots.
    std::uint32_t upstreams{0};
    std::uint32_t slots{0};
    /// Requests per second that this daemon may send, by its shares of rate limits and of slots.
    double share{0};
    bool by_slots{false}; ///< Whether a share of slots is among them.
    double limit{0};      ///< Requests per second that all daemons may send to them.

    /// How many waiting requests this daemon can send up to `latest_start`.
    /// \param daemons number of daemons that use the service.
    std::size_t places(time_point latest_start, std::size_t daemons) const;
};

/// \param excluded ids of upstreams that are ignored.
/// \returns nothing if an upstream accepts requests now or if there is none.
std::optional<service_availability> next_availability(std::span<const upstream_ptr> upstreams,
                                                      std::span<const std::string> excluded,
                                                      const send_gate& gate, time_point now);

/// Queue of a service's requests while all of its upstreams are blocked. It holds as many requests as the
/// first available upstreams can take, by priority and then by arrival. The other callers are refused at
/// once; their Retry-After times are staggered from the first availability on, so that they do not all retry
/// at the same instant.
class capacity_wait_queue {
public:
    /// Enqueues a request.
    /// \param capacity maximum length of the queue.
    /// \returns the request that does not fit: the last in order, which may be the new one.
    std::optional<request_number> add(request_number request, const request_priority& priority,
                                      std::size_t capacity);
    void remove(request_number request, const request_priority& priority)
    {
        waiting_.erase({priority, request});
    }
    std::vector<request_number> in_order() const;
    /// Number of requests that go before this one.
    std::size_t ahead_of(request_number request, const request_priority& priority) const;
    std::size_t size() const { return waiting_.size(); }
    bool empty() const { return waiting_.empty(); }

    /// Time until the next refused caller should retry.
    /// \param interval between two retrying callers that the service can handle.
    duration next_retry_after(time_point available_from, duration interval, std::minstd_rand& random,
                              time_point now);

    timer_service::timer_id timer{0}; ///< Timer of the next attempt to send waiting requests; 0: none.

private:
    /// The upper bound of a staggered Retry-After. The cause of the wait may end before all callers have had
    /// their turn.
    static constexpr duration max_retry_after = seconds(30);

    std::set<std::pair<request_priority, request_number>> waiting_;
    time_point last_retry_at_{};
};

} // namespace clementinegap
