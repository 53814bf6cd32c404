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

std::vector<double> in_proportion(std::span<const double> wanted, double total, double spare)
{
    std::vector<double> sizes;
    sizes.reserve(wanted.size());
    for (const double each : wanted) {
        sizes.push_back(1 + spare * each / total);
    }
    return sizes;
}

} // namespace

std::vector<double> section_sizes(std::span<const section_demand> demands, double engines)
{
    const double spare = std::max(0.0, engines - static_cast<double>(demands.size()));
    std::vector<double> wanted;
    const auto fits = [&](auto work_of) {
        wanted.clear();
        for (const auto& each : demands) {
            wanted.push_back(std::max(work_of(each), min_demand));
        }
        return std::accumulate(wanted.begin(), wanted.end(), 0.0) / target_utilization <= engines;
    };
    const bool suffice =
        fits([](const section_demand& each) { return std::max(each.work, each.recent_work); }) ||
        fits([](const section_demand& each) { return each.recent_work; });
    if (suffice) {
        return in_proportion(wanted, std::accumulate(wanted.begin(), wanted.end(), 0.0), spare);
    }
    std::vector<std::pair<std::uint8_t, std::size_t>> by_urgency;
    for (std::size_t i = 0; i < demands.size(); ++i) {
        by_urgency.emplace_back(demands[i].urgency, i);
    }
    std::sort(by_urgency.begin(), by_urgency.end());
    std::vector<double> sizes(demands.size(), 1.0);
    double left = spare;
    for (const auto& [urgency, i] : by_urgency) {
        const double more = std::min(left, std::max(0.0, wanted[i] / target_utilization - 1));
        sizes[i] += more;
        left -= more;
    }
    return sizes;
}

} // namespace clementinegap
