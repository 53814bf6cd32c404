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
    std::size_t max_queue{1024};       ///< Reservations that wait for a slot.
    std::size_t max_set_aside{256};    ///< Paused runs that the engine keeps; beyond it nothing is preempted.
    std::size_t max_remembered{65536}; ///< Ended attempts that are still recognised.
    std::size_t max_kept_answer{65536}; ///< Bytes of an answer that are kept for resends.
    duration grant_timeout{milliseconds(500)};
    duration watch_interval{milliseconds(100)};
    duration watch_limit{seconds(5)};     ///< A run elsewhere that shows no end for so long is unknown.
    duration drain_patience{seconds(30)}; ///< How long a drain waits for outcomes to reach the table service.
    run_claims_settings claims;
    std::int64_t initial_credit{262144};
    work_queue order{tiered_queue{}};
};

} // namespace clementinegap
