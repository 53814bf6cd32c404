#include "routing/engine_partition.h"

#include "core/digest.h"

#include <algorithm>
#include <cmath>

namespace clementinegap {
namespace {

/// Minimum demand of a kind that was seen, in engine seconds per second, however little it requested
/// recently.
constexpr double min_demand = 0.01;

/// Utilization of an engine up to which its streams stay on time.
constexpr double target_utilization = 0.7;

struct kind_demand {
    double work{0};
    double recent_work{0};
    std::uint8_t urgency{UINT8_MAX};
};
using kind_demands = std::map<duration, kind_demand>;

kind_demands sum_by_tolerance(std::span<const stream_demand> demands)
{
    kind_demands sums;
    for (const auto& each : demands) {
        auto& sum = sums[each.step_tolerance];
        sum.work += each.work;
        sum.recent_work += each.recent_work;
        sum.urgency = std::min(sum.urgency, each.urgency);
    }
    for (auto& [tolerance, sum] : sums) {
        sum.work = std::max({sum.work, sum.recent_work, min_demand});
    }
    return sums;
}

/// Fractional number of engines of each kind, at least one, out of `engines`.
std::vector<double> ideal_sizes(const kind_demands& sums, std::size_t engines)
{
    double total = 0;
    std::vector<std::pair<std::uint8_t, std::size_t>> by_urgency;
    std::vector<double> wanted;
    for (const auto& [tolerance, sum] : sums) {
        by_urgency.emplace_back(sum.urgency, wanted.size());
        wanted.push_back(sum.work);
        total += sum.work;
    }
    double spare = static_cast<double>(engines - sums.size());
    std::vector<double> sizes(sums.size(), 1.0);
    if (total / target_utilization <= static_cast<double>(engines)) {
        for (std::size_t i = 0; i < sizes.size(); ++i) {
            sizes[i] += spare * wanted[i] / total;
        }
        return sizes;
    }
    std::sort(by_urgency.begin(), by_urgency.end());
    for (const auto& [urgency, kind] : by_urgency) {
        const double more = std::min(spare, std::max(0.0, wanted[kind] / target_utilization - 1));
        sizes[kind] += more;
        spare -= more;
    }
    return sizes;
}

} // namespace

void engine_partition::update(std::vector<upstream_ptr> engines, std::span<const stream_demand> demands)
{
    std::vector<std::pair<std::uint64_t, upstream_ptr>> ordered;
    ordered.reserve(engines.size());
    for (auto& each : engines) {
        ordered.emplace_back(hash64(each->id), std::move(each));
    }
    std::sort(ordered.begin(), ordered.end(),
              [](const auto& left, const auto& right) { return left.first < right.first; });
    const bool same_count = ordered.size() == engines_.size();
    engines_.clear();
    for (auto& each : ordered) {
        engines_.push_back(std::move(each.second));
    }

    const auto sums = sum_by_tolerance(demands);
    if (sums.empty() || engines_.size() < sums.size()) {
        sections_.clear();
        return;
    }
    const auto sizes = ideal_sizes(sums, engines_.size());
    const bool same_kinds = sections_.size() == sums.size();
    std::vector<section> next;
    double boundary = 0;
    std::size_t first = 0;
    auto kind = sums.begin();
    for (std::size_t i = 0; i < sizes.size(); ++i, ++kind) {
        boundary += sizes[i];
        auto end = static_cast<std::size_t>(std::lround(boundary));
        if (same_count && same_kinds) {
            const auto before = sections_[i].first + sections_[i].count;
            if (std::abs(boundary - static_cast<double>(before)) < hysteresis) {
                end = before;
            }
        }
        const std::size_t kinds_left = sizes.size() - i - 1;
        end = std::clamp(end, first + 1, engines_.size() - kinds_left);
        if (kinds_left == 0) {
            end = engines_.size();
        }
        next.push_back({kind->first, first, end - first});
        first = end;
    }
    sections_ = std::move(next);
}

std::span<const upstream_ptr> engine_partition::engines_for(duration step_tolerance) const
{
    const auto found = std::find_if(sections_.begin(), sections_.end(), [&](const section& each) {
        return each.step_tolerance == step_tolerance;
    });
    if (found == sections_.end()) {
        return engines_;
    }
    return std::span(engines_).subspan(found->first, found->count);
}

std::span<const upstream_ptr> engine_partition::more_tolerant_engines(duration step_tolerance) const
{
    const auto found = std::find_if(sections_.begin(), sections_.end(), [&](const section& each) {
        return each.step_tolerance > step_tolerance;
    });
    if (found == sections_.end()) {
        return {};
    }
    return std::span(engines_).subspan(found->first);
}

} // namespace clementinegap
