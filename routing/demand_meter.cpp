#include "routing/demand_meter.h"

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
    sum.seconds *= std::exp(-to_seconds(now - sum.at) / to_seconds(time_constant));
    sum.at = now;
}

void demand_meter::on_request(duration step_tolerance, duration engine_time, time_point now)
{
    auto& sum = sums_[step_tolerance];
    decay(sum, now);
    sum.seconds += to_seconds(engine_time);
}

std::vector<stream_demand> demand_meter::demands(time_point now)
{
    std::vector<stream_demand> result;
    for (auto& [tolerance, sum] : sums_) {
        decay(sum, now);
        result.push_back({tolerance, sum.seconds / to_seconds(time_constant)});
    }
    return result;
}

} // namespace clementinegap
