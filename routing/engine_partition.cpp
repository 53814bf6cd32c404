#include "routing/engine_partition.h"

#include "capacity/section_sizes.h"
#include "core/digest.h"

#include <algorithm>
#include <cmath>

namespace clementinegap {
namespace {

/// Demand of the kinds of streams that share a section.
struct section_kinds {
    duration least_tolerance{0};
    duration most_tolerance{0};
    section_demand demand;
};

/// \param shares_from step tolerance from which kinds share their engines with the more tolerant ones.
std::vector<section_kinds> group_kinds(std::span<const stream_demand> demands, duration shares_from)
{
    std::map<duration, section_demand> sums;
    for (const auto& each : demands) {
        auto& sum = sums.try_emplace(each.step_tolerance, section_demand{0, 0, UINT8_MAX}).first->second;
        sum.work += each.work;
        sum.recent_work += each.recent_work;
        sum.urgency = std::min(sum.urgency, each.urgency);
    }
    std::vector<section_kinds> groups;
    for (const auto& [tolerance, sum] : sums) {
        // The streams with the shortest gaps always keep engines of their own.
        const bool shares = groups.size() > 1 && groups.back().least_tolerance >= shares_from;
        if (!shares) {
            groups.push_back({tolerance, tolerance, sum});
            continue;
        }
        auto& last = groups.back();
        last.most_tolerance = tolerance;
        last.demand.work += sum.work;
        last.demand.recent_work += sum.recent_work;
        last.demand.urgency = std::min(last.demand.urgency, sum.urgency);
    }
    return groups;
}

} // namespace

void engine_partition::update(std::vector<upstream_ptr> engines, std::span<const stream_demand> demands,
                              duration shares_from)
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

    const auto groups = group_kinds(demands, shares_from);
    if (groups.empty() || engines_.size() < groups.size()) {
        sections_.clear();
        return;
    }
    std::vector<section_demand> group_demands;
    for (const auto& each : groups) {
        group_demands.push_back(each.demand);
    }
    const auto sizes = section_sizes(group_demands, engines_.size());
    const bool same_sections = sections_.size() == groups.size();
    std::vector<section> next;
    double boundary = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i < sizes.size(); ++i) {
        boundary += sizes[i];
        auto end = static_cast<std::size_t>(std::lround(boundary));
        if (same_count && same_sections) {
            const auto before = sections_[i].first + sections_[i].count;
            if (std::abs(boundary - static_cast<double>(before)) < hysteresis) {
                end = before;
            }
        }
        const std::size_t sections_left = sizes.size() - i - 1;
        end = std::clamp(end, first + 1, engines_.size() - sections_left);
        if (sections_left == 0) {
            end = engines_.size();
        }
        next.push_back({groups[i].least_tolerance, groups[i].most_tolerance, first, end - first});
        first = end;
    }
    sections_ = std::move(next);
}

std::span<const upstream_ptr> engine_partition::engines_for(duration step_tolerance) const
{
    const auto found = std::find_if(sections_.begin(), sections_.end(), [&](const section& each) {
        return each.least_tolerance <= step_tolerance && step_tolerance <= each.most_tolerance;
    });
    if (found == sections_.end()) {
        return engines_;
    }
    return std::span(engines_).subspan(found->first, found->count);
}

std::span<const upstream_ptr> engine_partition::more_tolerant_engines(duration step_tolerance) const
{
    const auto found = std::find_if(sections_.begin(), sections_.end(), [&](const section& each) {
        return each.least_tolerance > step_tolerance;
    });
    if (found == sections_.end()) {
        return {};
    }
    return std::span(engines_).subspan(found->first);
}

} // namespace clementinegap
