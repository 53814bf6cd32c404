#include "policy/latency_meter.h"

#include <algorithm>
#include <vector>

namespace clementinegap {
namespace {

constexpr std::int64_t smoothing_divisor = 8;
constexpr std::size_t max_reports = 1024;
// Hysteresis on the ratio of the own inter-token time to the pool's median: an upstream counts as slowed from
// the first ratio on and as recovered below the second.
constexpr double slowed_ratio = 2.0;
constexpr double recovered_ratio = 1.4;

} // namespace

void latency_meter::smooth(duration& average, duration value)
{
    average = average == duration::zero() ? value : average + (value - average) / smoothing_divisor;
}

void latency_meter::record_token_interval(duration value)
{
    smooth(token_interval_, value);
    ++samples_;
}

void pool_latency::report_received(const std::string& vm, duration token_interval, time_point expires)
{
    if (reports_.size() < max_reports || reports_.contains(vm)) {
        reports_[vm] = {token_interval, expires};
    }
}

duration pool_latency::median(time_point now)
{
    std::erase_if(reports_, [now](const auto& item) { return item.second.expires <= now; });
    if (reports_.empty()) {
        return duration::zero();
    }
    std::vector<duration> values;
    values.reserve(reports_.size());
    for (const auto& [vm, item] : reports_) {
        values.push_back(item.token_interval);
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::ranges::nth_element(values, middle);
    return *middle;
}

void slot_limit::update(duration own, duration pool_median)
{
    if (pool_median <= duration::zero() || own <= duration::zero()) {
        slowed_ = false;
        limit_ = slots_;
        return;
    }
    const double ratio = static_cast<double>(own.count()) / static_cast<double>(pool_median.count());
    slowed_ = ratio >= (slowed_ ? recovered_ratio : slowed_ratio);
    limit_ = slowed_ ? std::clamp(static_cast<std::uint32_t>(slots_ / ratio), 1U, slots_) : slots_;
}

} // namespace clementinegap
