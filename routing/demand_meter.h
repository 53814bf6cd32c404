#pragma once

#include "routing/load_tracker.h"

#include <map>
#include <vector>

namespace clementinegap {

/// Measures the engine work that this daemon's callers request, per step tolerance, as an exponentially
/// decaying sum. It follows a burst within one to two seconds.
class demand_meter {
public:
    static constexpr duration slow_time_constant =
        milliseconds(2500); ///< Shorter than the surges of the traffic.
    /// Covers several hundred requests of a fleet.
    static constexpr duration fast_time_constant = milliseconds(900);

    void on_request(duration step_tolerance, std::uint8_t urgency, duration engine_time, time_point now);
    std::vector<stream_demand> demands(time_point now);

private:
    struct decaying_sum {
        double slow{0}; ///< Engine seconds within about `slow_time_constant`.
        double fast{0}; ///< Engine seconds within about `fast_time_constant`.
        time_point at{};
        std::uint8_t urgency{UINT8_MAX};
    };
    static void decay(decaying_sum& sum, time_point now);

    std::map<duration, decaying_sum> sums_;
};

} // namespace clementinegap
