#include "routing/demand_meter.h"

#include <algorithm>
#include <cmath>

namespace clementinegap {
namespace {

double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

void demand_meter::decay(decaying_sum& sum, time_point now)
{
    const double age = to_seconds(now - sum.at);
    sum.slow *= std::exp(-age / to_seconds(slow_time_constant));
    sum.fast *= std::exp(-age / to_seconds(fast_time_constant));
    sum.at = now;
}

void demand_meter::on_request(duration step_tolerance, std::uint8_t urgency, duration engine_time,
                              time_point now)
{
    auto& sum = sums_[step_tolerance];
    decay(sum, now);
    sum.slow += to_seconds(engine_time);
    sum.fast += to_seconds(engine_time);
    sum.urgency = std::min(sum.urgency, urgency);
}

std::vector<stream_demand> demand_meter::demands(time_point now)
{
    std::vector<stream_demand> result;
    for (auto& [tolerance, sum] : sums_) {
        decay(sum, now);
        result.push_back({tolerance, sum.slow / to_seconds(slow_time_constant),
                          sum.fast / to_seconds(fast_time_constant), sum.urgency});
    }
    return result;
}

} // namespace clementinegap
