#include "policy/placement.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace clementinegap {
namespace {

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
    placement_choice order(candidates.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::ranges::shuffle(order, random);
    const auto cost = [&](std::size_t index) {
        const upstream_view& view = *candidates[index];
        return std::tuple(view.slowed, view.free_slots == 0, view.expected_wait, view.zone != request.zone);
    };
    const auto kept = std::min(width_, order.size());
    std::ranges::partial_sort(order, order.begin() + static_cast<std::ptrdiff_t>(kept), {}, cost);
    order.resize(kept);
    return order;
}

} // namespace clementinegap
