#include "routing/engine_partition.h"

#include "core/digest.h"

#include <algorithm>
#include <cmath>

namespace clementinegap {
namespace {

/// Demand of a kind that was seen, in engine seconds per second, however little it asked for lately.
constexpr double least_demand = 0.01;

std::map<duration, double> sum_by_tolerance(std::span<const stream_demand> demands)
{
    std::map<duration, double> sums;
    for (const auto& each : demands) {
        sums[each.step_tolerance] += each.work;
    }
    for (auto& [tolerance, work] : sums) {
        work = std::max(work, least_demand);
    }
    return sums;
}

/// Fractional engines of each kind, one at least, in all `engines`.
std::vector<double> ideal_sizes(const std::map<duration, double>& sums, std::size_t engines)
{
    const auto spare = static_cast<double>(engines - sums.size());
    double total = 0;
    for (const auto& [tolerance, work] : sums) {
        total += work;
    }
    std::vector<double> sizes;
    for (const auto& [tolerance, work] : sums) {
        sizes.push_back(1 + spare * work / total);
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

std::span<const upstream_ptr> engine_partition::looser_engines(duration step_tolerance) const
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
