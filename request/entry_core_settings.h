#pragma once

#include "core/time.h"
#include "policy/placement.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace clementinegap {

/// Bounds and identity of an entry daemon's core.
struct entry_core_settings {
    std::string vm;
    std::string zone;
    std::uint64_t incarnation{1};
    std::uint64_t seed{1};
    std::size_t max_requests{4096};
    std::size_t max_held_bytes{1U << 20U}; ///< Of a response that is not streamed.
    std::uint32_t max_dispatches{3};       ///< Attempts of one repeatable request.
    duration placement_interval{milliseconds(50)};
    duration placement_timeout{seconds(1)}; ///< How long a request waits for a reachable upstream.
    double retry_share{0.1};                ///< Retries per request.
    double hedge_share{0.02};               ///< Hedges per request.
    double budget_depth{32};                ///< Retries or hedges that may be saved up.
    std::size_t max_considered{24};         ///< Upstreams that one placement considers.
    std::size_t max_reservations{24};       ///< Of one request at a time.
    std::size_t max_prefixes{65536};        ///< Prefixes stored for placement.
    std::uint32_t max_moves{4};             ///< Of one stream away from slowed upstreams.
    placement_policy placement{late_bound_placement{}};
};

} // namespace clementinegap
