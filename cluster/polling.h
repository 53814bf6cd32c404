#pragma once

#include "core/time.h"

#include <algorithm>
#include <cstddef>
#include <random>

namespace clementinegap {

/// When one daemon reads the platform: the interval grows with the fleet, so that the fleet's total rate is
/// bounded whatever its size, and is spread so that the daemons do not read in step.
class shared_poll {
public:
    /// `fleet_rate` in reads a second for all daemons together; no daemon reads more often than `least`.
    shared_poll(double fleet_rate, duration least) : fleet_rate_(fleet_rate), least_(least) {}

    bool due(time_point now) const { return now >= next_; }
    time_point next() const { return next_; }

    /// Notes a read and draws the time of the next one, between half the mean interval and one and a half.
    void done(time_point now, std::size_t fleet_size, std::mt19937_64& random)
    {
        const auto shared =
            duration(static_cast<std::int64_t>(1e6 * static_cast<double>(fleet_size) / fleet_rate_));
        const auto mean = std::max(least_, shared);
        next_ = now + duration(std::uniform_int_distribution<std::int64_t>(mean.count() / 2,
                                                                           mean.count() * 3 / 2)(random));
    }
    /// Reads at the next opportunity.
    void hurry() { next_ = time_point{}; }

private:
    double fleet_rate_;
    duration least_;
    time_point next_;
};

} // namespace clementinegap
