#include "core/connection_shedding.h"

#include <algorithm>
#include <numeric>
#include <optional>
#include <utility>

namespace clementinegap {
namespace {

using phase = connection_usage::phase;

/// A request that gets on sends a part within this time, also at a few kB a second.
constexpr duration stall_limit = seconds(2);
/// The same for a request that is given up only if nothing else is left.
constexpr duration shortest_stall = milliseconds(200);
/// Counted in addition, so that the larger of two connections that have just made progress goes first.
constexpr duration least_time = milliseconds(100);

double cost(const connection_usage& each)
{
    return static_cast<double>(each.bytes) *
           std::chrono::duration<double>(each.stalled_for + least_time).count();
}

/// Lower ranks are closed first; nothing: not at all.
std::optional<int> rank_for_replacement(const connection_usage& each)
{
    const bool has_stalled = each.stalled_for >= stall_limit;
    switch (each.now_in) {
    case phase::closing:
        return 0;
    case phase::receiving:
        if (has_stalled) {
            return 1;
        }
        return each.stalled_for >= shortest_stall ? std::optional(3) : std::nullopt;
    case phase::idle:
        return 2;
    case phase::responding:
        return has_stalled ? std::optional(4) : std::nullopt;
    case phase::handling:
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace

std::vector<std::size_t> connections_to_shed(std::span<const connection_usage> connections,
                                             std::size_t excess)
{
    std::vector<std::size_t> order(connections.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    // Closing idle connections gives nothing back.
    std::erase_if(order, [&](std::size_t each) {
        return connections[each].now_in == phase::idle || connections[each].bytes == 0;
    });
    std::ranges::sort(order, [&](std::size_t left, std::size_t right) {
        const bool left_is_handled = connections[left].now_in == phase::handling;
        const bool right_is_handled = connections[right].now_in == phase::handling;
        return left_is_handled != right_is_handled ? right_is_handled
                                                   : cost(connections[left]) > cost(connections[right]);
    });
    std::size_t freed = 0;
    std::size_t count = 0;
    while (count < order.size() && freed < excess) {
        freed += connections[order[count++]].bytes;
    }
    order.resize(count);
    return order;
}

std::vector<std::size_t> connections_to_replace(std::span<const connection_usage> connections)
{
    std::vector<std::size_t> order;
    for (std::size_t each = 0; each < connections.size(); ++each) {
        if (rank_for_replacement(connections[each])) {
            order.push_back(each);
        }
    }
    std::ranges::sort(order, {}, [&](std::size_t each) {
        return std::pair(rank_for_replacement(connections[each]), -connections[each].stalled_for);
    });
    return order;
}

} // namespace clementinegap
