#pragma once

#include "core/time.h"

#include <cstdint>
#include <string>

namespace clementinegap {

/// One queued reservation or set-aside run as the order sees it; `id` is the owner's.
struct queued_work {
    std::uint64_t id{0};
    std::uint8_t tier{0};
    std::string workspace;
    double weight{1};
    std::string class_name;
    time_point arrived;
    time_point target_at;   ///< When the first-token target is missed; for a set-aside run, its next slice.
    time_point deadline_at; ///< When the work is worthless.
    duration starvation_bound{0};
    bool set_aside{false}; ///< A run that the engine has paused; it is not refused any more.
};

} // namespace clementinegap
