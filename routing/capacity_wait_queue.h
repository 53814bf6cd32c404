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

/// When upstreams that all asked for a pause open again.
struct service_availability {
    time_point at;              ///< The first of them.
    std::uint32_t upstreams{0}; ///< Those that open by then.
    std::uint32_t slots{0};     ///< Their slots.
};

/// Nothing where one of them is open, or where there is none. \param excluded ids that do not count.
std::optional<service_availability> next_availability(std::span<const upstream_ptr> upstreams,
                                                      std::span<const std::string> excluded,
                                                      const upstream_backoffs& backoffs, time_point now);

/// What becomes of a service's requests while all of its upstreams have asked for a pause. As many as the
/// first upstreams to open can take wait here, the most urgent first, then in order of arrival; the others
/// are told to return one after the other once there is room, so that they do not all come in one instant.
class capacity_wait_queue {
public:
    /// Takes in a request. \param places that there are. \returns the request that finds none: the last in
    /// order, perhaps this one.
    std::optional<request_number> add(request_number request, std::uint8_t urgency, std::size_t places);
    void remove(request_number request, std::uint8_t urgency) { waiting_.erase({urgency, request}); }
    std::vector<request_number> in_order() const;
    bool empty() const { return waiting_.empty(); }

    /// When the next caller should return. \param interval at which the service can take returning callers.
    duration next_retry_after(time_point opens, duration interval, std::minstd_rand& random, time_point now);

    timer_service::timer_id timer{0}; ///< Of the next look at those that wait; 0: none.

private:
    std::set<std::pair<std::uint8_t, request_number>> waiting_;
    time_point last_retry_at_{};
};

} // namespace clementinegap
