#include "capacity/section_sizes.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace clementinegap {
namespace {

/// Minimum demand of a section, so that a kind that requested nothing recently keeps engines.
constexpr double min_demand = 0.01;
/// Utilization of an engine up to which its streams stay on time.
constexpr double target_utilization = 0.85;

std::vector<double> wanted_by(std::span<const section_demand> demands, bool only_recent)
{
    std::vector<double> wanted;
    wanted.reserve(demands.size());
    for (const auto& each : demands) {
        const double work = only_recent ? each.recent_work : std::max(each.work, each.recent_work);
        wanted.push_back(std::max(work, min_demand));
    }
    return wanted;
}

double sum_of(std::span<const double> values)
{
    return std::accumulate(values.begin(), values.end(), 0.0);
}

std::vector<double> in_proportion(std::span<const double> wanted, double spare)
{
    const double total = sum_of(wanted);
    std::vector<double> sizes;
    sizes.reserve(wanted.size());
    for (const double each : wanted) {
        sizes.push_back(1 + spare * each / total);
    }
    return sizes;
}

std::vector<double> most_urgent_first(std::span<const section_demand> demands, std::span<const double> wanted,
                                      double spare)
{
    std::vector<std::pair<std::uint8_t, std::size_t>> by_urgency;
    for (std::size_t i = 0; i < demands.size(); ++i) {
        by_urgency.emplace_back(demands[i].urgency, i);
    }
    std::sort(by_urgency.begin(), by_urgency.end());
    std::vector<double> sizes(demands.size(), 1.0);
    for (const auto& [urgency, i] : by_urgency) {
        const double more = std::min(spare, std::max(0.0, wanted[i] / target_utilization - 1));
        sizes[i] += more;
        spare -= more;
    }
    return sizes;
}

} // namespace

std::vector<double> section_sizes(std::span<const section_demand> demands, std::size_t engines)
{
    const double spare = static_cast<double>(engines - demands.size());
    std::vector<double> wanted;
    for (const bool only_recent : {false, true}) {
        wanted = wanted_by(demands, only_recent);
        if (sum_of(wanted) / target_utilization <= static_cast<double>(engines)) {
            return in_proportion(wanted, spare);
        }
    }
    return most_urgent_first(demands, wanted, spare);
}

} // namespace clementinegap
