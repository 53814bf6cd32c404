#include "policy/placement.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace clementinegap {
namespace {

constexpr duration wait_resolution = milliseconds(250); ///< Waits that differ by less count as equal.

std::size_t random_index(std::size_t size, random_engine& random)
{
    return std::uniform_int_distribution<std::size_t>(0, size - 1)(random);
}

} // namespace

placement_choice random_placement::choose(std::span<const upstream_view* const> candidates,
                                          const placement_request& /*request*/, random_engine& random) const
{
    if (candidates.empty()) {
        return {};
    }
    return {random_index(candidates.size(), random)};
}

placement_choice late_bound_placement::choose(std::span<const upstream_view* const> candidates,
                                              const placement_request& request, random_engine& random) const
{
    if (candidates.empty()) {
        return {};
    }
    placement_choice order(candidates.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::ranges::shuffle(order, random);
    const auto cost = [&](std::size_t index) {
        const upstream_view& view = *candidates[index];
        const bool prefix_upstream = !request.prefix_upstream.empty() && view.vm == request.prefix_upstream;
        const bool free = view.free_slots > 0;
        // A request can preempt lower-tier work and start at once; the upstream that runs the lowest tier is
        // preferred.
        const bool preempts = !free && view.yields_tier > request.tier;
        const int yields = preempts ? -static_cast<int>(view.yields_tier) : 0;
        const auto wait = free || preempts ? 0 : view.expected_wait / wait_resolution;
        return std::tuple(view.slowed, !free, !prefix_upstream, yields, wait, view.zone != request.zone);
    };
    const auto kept = std::min(width_, order.size());
    std::ranges::partial_sort(order, order.begin() + static_cast<std::ptrdiff_t>(kept), {}, cost);
    order.resize(kept);
    const auto& best = *candidates[order.front()];
    const bool alone = !request.prefix_upstream.empty() && best.vm == request.prefix_upstream &&
                       best.free_slots > 0 && !best.slowed;
    if (alone) {
        order.resize(1);
    }
    return order;
}

} // namespace clementinegap
