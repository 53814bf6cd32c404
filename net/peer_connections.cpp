#include "net/peer_connections.h"

#include <algorithm>
#include <iterator>
#include <malloc.h>

namespace clementinegap {
namespace {

std::vector<connection_usage> usages(const std::vector<peer_connections::member*>& members, time_point now)
{
    std::vector<connection_usage> result;
    result.reserve(members.size());
    std::ranges::transform(members, std::back_inserter(result),
                           [&](const auto* each) { return each->usage(now); });
    return result;
}

} // namespace

bool peer_connections::group::make_room(time_point now)
{
    if (members_.size() < limit_) {
        return true;
    }
    // While there are some, finding the order again once all of it was used takes little time for each.
    const bool is_used_up = replaceable_.empty() && had_replaceable_;
    if (now >= ordered_at_ + order_validity || is_used_up) {
        find_replaceable(now);
    }
    while (!replaceable_.empty()) {
        auto* chosen = replaceable_.back();
        replaceable_.pop_back();
        const auto usage = chosen->usage(now);
        // It may have got on since the order was found.
        if (!connections_to_replace(std::span(&usage, 1)).empty()) {
            ++all_.shed_count_;
            chosen->replace();
            return true;
        }
    }
    return false;
}

void peer_connections::group::find_replaceable(time_point now)
{
    ordered_at_ = now;
    replaceable_.clear();
    for (const auto each : connections_to_replace(usages(members_, now))) {
        replaceable_.push_back(members_[each]);
    }
    std::ranges::reverse(replaceable_);
    had_replaceable_ = !replaceable_.empty();
}

void peer_connections::group::add(member& one)
{
    members_.push_back(&one);
    all_.members_.push_back(&one);
}

void peer_connections::group::remove(member& one)
{
    std::erase(members_, &one);
    std::erase(replaceable_, &one);
    std::erase(all_.members_, &one);
}

void peer_connections::check(time_point now)
{
    if (now >= progress_due_) {
        progress_due_ = now + progress_interval;
        for (auto* each : members_) {
            each->note_progress(now);
        }
    }
    keep_within_ceiling(now);
}

void peer_connections::keep_within_ceiling(time_point now)
{
    if (!budget_.is_above_ceiling() || is_shedding_) {
        return;
    }
    // What the system holds is an upper bound until it is asked.
    deliveries_.refresh();
    if (!budget_.is_above_ceiling()) {
        return;
    }
    is_shedding_ = true;
    const auto target = budget_.ceiling() - budget_.ceiling() / headroom_parts;
    const auto members = members_;
    for (const auto each : connections_to_shed(usages(members, now), budget_.total() - target)) {
        // Closing one may have closed others.
        if (std::ranges::find(members_, members[each]) != members_.end()) {
            ++shed_count_;
            members[each]->shed();
        }
    }
    is_shedding_ = false;
    // Freed memory within the heap would still count as used.
    malloc_trim(0);
}

} // namespace clementinegap
