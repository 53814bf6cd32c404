#include "routing/urgency_scale.h"

#include <algorithm>
#include <array>

namespace clementinegap {
namespace {

/// Prompt tokens at which the next size begins, by the number of sizes: about one, two and six chunks of an
/// engine.
constexpr std::array<std::uint32_t, 3> steps_of_four_sizes = {2000, 5000, 12000};
constexpr std::array<std::uint32_t, 2> steps_of_three_sizes = {2000, 5000};
constexpr std::array<std::uint32_t, 1> steps_of_two_sizes = {5000};
constexpr std::size_t most_sizes = steps_of_four_sizes.size() + 1;

std::span<const std::uint32_t> size_steps(std::size_t sizes)
{
    switch (sizes) {
    case 1:
        return {};
    case 2:
        return steps_of_two_sizes;
    case 3:
        return steps_of_three_sizes;
    default:
        return steps_of_four_sizes;
    }
}

} // namespace

urgency_scale::urgency_scale(const std::map<request_priority, duration>& objectives)
{
    std::vector<std::pair<duration, std::size_t>> by_objective;
    for (const auto& [priority, objective] : objectives) {
        by_objective.emplace_back(objective, bands_.size());
        bands_.push_back({priority});
    }
    std::ranges::sort(by_objective, std::greater{});
    for (std::size_t used = bands_.size(), next = 0; used < std::min(levels, bands_.size() * most_sizes);
         ++used, ++next) {
        ++bands_[by_objective[next % bands_.size()].second].count;
    }
    std::size_t first = 0;
    for (auto& each : bands_) {
        each.first = first;
        first += each.count;
    }
    if (first > levels) {
        // More priorities than levels: neighbours share one.
        for (auto& each : bands_) {
            each.first = each.first * levels / first;
        }
    }
}

urgency_scale urgency_scale::of_service(const route_table& table, std::string_view service)
{
    std::map<request_priority, duration> objectives;
    const auto add = [&](std::uint8_t workspace, const route& each) {
        auto& longest = objectives[{workspace, each.priority}];
        longest = std::max(longest, each.objective);
    };
    for (const route& each : table.streams()) {
        const bool leads_there = std::ranges::any_of(
            each.targets, [&](const weighted_service& target) { return target.service == service; });
        if (!leads_there) {
            continue;
        }
        if (each.is_public || table.workspaces().empty()) {
            add(each.priority, each);
        }
        for (const auto& owner : table.workspaces()) {
            add(owner.priority.value_or(each.priority), each);
        }
    }
    return urgency_scale(objectives);
}

std::uint8_t urgency_scale::urgency(const request_priority& priority, std::uint32_t prefill_tokens) const
{
    if (bands_.empty()) {
        return 0;
    }
    // A priority of an older configuration takes the place of the next one.
    const auto found = std::ranges::lower_bound(bands_, priority, {}, &band::priority);
    const auto& own = found == bands_.end() ? bands_.back() : *found;
    const auto steps = size_steps(own.count);
    const auto size = std::ranges::count_if(steps, [&](std::uint32_t step) { return prefill_tokens > step; });
    return static_cast<std::uint8_t>(own.first + static_cast<std::size_t>(size));
}

} // namespace clementinegap
