#pragma once

#include "core/time.h"
#include "policy/work_queue.h"
#include "request/run_claims.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace clementinegap {

/// Bounds and identity of an upstream daemon's core.
struct upstream_settings {
    std::string vm;
    std::string zone;
    std::string region;
    std::uint64_t incarnation{1};
    std::vector<std::string> models;
    std::uint32_t slots{8};
    std::size_t max_queue{1024};       ///< Queued reservations.
    std::size_t max_preempted{256};    ///< Paused runs that the engine keeps; beyond it nothing is preempted.
    std::size_t max_remembered{65536}; ///< Ended attempts whose execution state is kept.
    std::size_t max_kept_response{65536}; ///< Bytes of a response kept for resends.
    duration grant_timeout{milliseconds(500)};
    duration record_poll_interval{milliseconds(100)};
    duration outcome_timeout{
        seconds(5)}; ///< A run elsewhere without an outcome after this time counts as unknown.
    duration drain_timeout{seconds(30)}; ///< How long a drain waits for outcomes to reach the table service.
    run_claims_settings claims;
    std::int64_t initial_credit{262144};
    work_queue order{tiered_queue{}};
};

} // namespace clementinegap
