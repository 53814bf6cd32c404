#pragma once

#include "core/time.h"

#include <cstdint>
#include <string>

namespace clementinegap {

/// A queued reservation or preempted run; `id` is assigned by the owner of the queue.
struct queued_work {
    std::uint64_t id{0};
    std::uint8_t tier{0};
    std::string workspace;
    double weight{1};
    std::string class_name;
    time_point arrived;
    time_point target_at; ///< End of the first-token target; for a preempted run, when its next slice is due.
    time_point deadline_at; ///< When the result is no longer useful.
    duration starvation_bound{0};
    bool preempted{false}; ///< A run that the engine has paused; it can no longer be refused.
};

} // namespace clementinegap
