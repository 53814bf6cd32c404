#include "routing/limit_shares.h"

#include "core/digest.h"
#include "routing/scaled_duration.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace clementinegap {
namespace {

duration interval_of(double share)
{
    return scaled(seconds(1), 1 / share);
}

} // namespace

void limit_shares::update(const std::map<std::string, double, std::less<>>& limits,
                          std::span<const std::string> others, double portion, time_point now)
{
    std::erase_if(states_, [&](const auto& each) { return !limits.contains(each.first); });
    for (const auto& [upstream, limit] : limits) {
        auto& each = states_[upstream];
        each.limit = std::max(limit, min_limit);
        const auto members = others.size() + 1;
        const auto sharers = static_cast<std::size_t>(
            std::min(static_cast<double>(members), std::floor(each.limit) + additional_sharers));
        const auto own_rank = rank(upstream, others);
        const auto share = own_rank < sharers ? portion * each.limit / static_cast<double>(sharers) : 0;
        const auto before = std::exchange(each.share, share);
        if (share <= 0 || share == before) {
            continue;
        }
        if (before > 0) {
            each.next = std::min(each.next, now + head_start + interval_of(each.share));
        } else {
            // The sharers begin one after the other.
            const auto turn = static_cast<double>(own_rank) / static_cast<double>(sharers);
            each.next = std::max(each.next, now + head_start + scaled(interval_of(each.share), turn));
        }
    }
}

std::size_t limit_shares::rank(std::string_view upstream, std::span<const std::string> others) const
{
    const auto seed = hash64(upstream);
    const auto own = std::pair(hash64(daemon_, seed), std::string_view(daemon_));
    return static_cast<std::size_t>(std::ranges::count_if(
        others, [&](std::string_view each) { return std::pair(hash64(each, seed), each) > own; }));
}

bool limit_shares::is_blocked(std::string_view upstream, time_point now) const
{
    const auto found = states_.find(upstream);
    return found != states_.end() && (found->second.share <= 0 || now < found->second.next - head_start);
}

std::optional<time_point> limit_shares::available_at(std::string_view upstream, time_point now) const
{
    if (!is_blocked(upstream, now)) {
        return std::nullopt;
    }
    const auto& each = states_.find(upstream)->second;
    return each.share <= 0 ? never : each.next - head_start;
}

void limit_shares::sent(std::string_view upstream, time_point now)
{
    const auto found = states_.find(upstream);
    if (found != states_.end() && found->second.share > 0) {
        found->second.next = std::max(now, found->second.next) + interval_of(found->second.share);
    }
}

std::optional<double> limit_shares::limit(std::string_view upstream) const
{
    const auto found = states_.find(upstream);
    return found == states_.end() ? std::nullopt : std::optional(found->second.limit);
}

double limit_shares::share(std::string_view upstream) const
{
    const auto found = states_.find(upstream);
    return found == states_.end() ? 0 : found->second.share;
}

} // namespace clementinegap
