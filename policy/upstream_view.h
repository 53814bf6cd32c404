#pragma once

#include "core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace clementinegap {

/// An entry daemon's view of one upstream. Soft state that may be out of date; used for placement only.
struct upstream_view {
    std::string vm;
    std::string zone;
    std::string region;
    std::uint64_t incarnation{0};
    std::vector<std::string> models;
    std::uint32_t slots{0};
    std::uint32_t free_slots{0};
    std::uint32_t queued{0};
    duration expected_wait{0};
    std::uint8_t yields_tier{
        0}; ///< The lowest preemptible tier among the running work; 0 if none is preemptible.
    bool slowed{false};
    bool leaving{false};
    bool connected{false};
};

} // namespace clementinegap
