#pragma once

#include "core/time.h"

#include <algorithm>
#include <cstddef>
#include <random>

namespace clementinegap {

/// Schedules one daemon's reads of the platform. The interval grows with the fleet, so that the total rate of
/// the fleet is bounded regardless of its size, and is randomized, so that the daemons do not read in step.
class fleet_poll {
public:
    /// \param fleet_rate reads per second of all daemons together
    /// \param min_interval lower bound of the mean interval of one daemon
    fleet_poll(double fleet_rate, duration min_interval)
        : fleet_rate_(fleet_rate), min_interval_(min_interval)
    {
    }

    bool due(time_point now) const { return now >= next_; }
    time_point next() const { return next_; }

    /// Schedules the read after the one at `now`, at a random time between 0.5 and 1.5 mean intervals.
    void schedule_next(time_point now, std::size_t fleet_size, std::mt19937_64& random)
    {
        const auto interval =
            duration(static_cast<std::int64_t>(1e6 * static_cast<double>(fleet_size) / fleet_rate_));
        const auto mean_interval = std::max(min_interval_, interval);
        next_ = now + duration(std::uniform_int_distribution<std::int64_t>(
                          mean_interval.count() / 2, mean_interval.count() * 3 / 2)(random));
    }
    /// Makes the next read due at once.
    void poll_soon() { next_ = time_point{}; }

private:
    double fleet_rate_;
    duration min_interval_;
    time_point next_;
};

} // namespace clementinegap
