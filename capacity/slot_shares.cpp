#include "capacity/slot_shares.h"

#include <algorithm>

namespace clementinegap {
namespace {

duration spacing(duration service_time, double share)
{
    return std::chrono::duration_cast<duration>(service_time / share);
}

} // namespace

double slot_shares::even_share(const slot_use& use)
{
    return static_cast<double>(std::max(use.slots, 1U)) /
           static_cast<double>(std::max<std::size_t>(use.competitors, 1));
}

const slot_shares::state* slot_shares::restricted(std::string_view upstream, time_point now) const
{
    const auto found = states_.find(upstream);
    if (found == states_.end() || !found->second.restricted ||
        now - found->second.rejected_at >= restricted_for) {
        return nullptr;
    }
    return &found->second;
}

void slot_shares::sent(const slot_use& use, time_point now)
{
    auto found = states_.find(use.upstream);
    if (found == states_.end()) {
        found = states_.emplace(use.upstream, state{}).first;
    }
    auto& entry = found->second;
    ++entry.in_flight;
    if (entry.restricted) {
        const auto step = spacing(use.service_time, entry.share);
        entry.next = std::max(entry.next, now - step) + step;
    }
}

void slot_shares::ended(std::string_view upstream)
{
    const auto found = states_.find(upstream);
    if (found != states_.end()) {
        found->second.in_flight -= std::min(found->second.in_flight, 1U);
    }
}

void slot_shares::succeeded(const slot_use& use, time_point now)
{
    const auto found = states_.find(use.upstream);
    if (found == states_.end() || !found->second.restricted) {
        return;
    }
    auto& entry = found->second;
    if (now - entry.rejected_at >= restricted_for) {
        entry.restricted = false;
        return;
    }
    entry.share = std::min(entry.share + increase * even_share(use), static_cast<double>(use.slots));
}

void slot_shares::rejected(const slot_use& use, time_point now)
{
    auto& entry = states_[std::string(use.upstream)];
    const bool was_restricted = restricted(use.upstream, now) != nullptr;
    entry.rejected_at = now;
    entry.service_time = use.service_time;
    if (!was_restricted) {
        entry.restricted = true;
        entry.share =
            std::min(even_share(use) * first_even_shares, static_cast<double>(std::max(use.slots, 1U)));
        entry.reduced_at = now;
        entry.next = now;
        return;
    }
    if (now - entry.reduced_at < use.service_time) {
        return; // Sends from before the last reduction.
    }
    entry.share = std::max(entry.share * (1 - decrease), even_share(use));
    entry.reduced_at = now;
}

bool slot_shares::is_blocked(std::string_view upstream, time_point now) const
{
    const auto* entry = restricted(upstream, now);
    if (entry == nullptr) {
        return false;
    }
    return entry->share < 1 ? now < entry->next || entry->in_flight > 0
                            : entry->in_flight >= static_cast<std::uint32_t>(entry->share);
}

std::optional<time_point> slot_shares::available_at(std::string_view upstream, time_point now) const
{
    if (!is_blocked(upstream, now)) {
        return std::nullopt;
    }
    const auto& entry = states_.find(upstream)->second;
    // The end of a request in flight also shows that a slot is free.
    const auto by_end = entry.in_flight == 0 ? now : now + entry.service_time / 2;
    return entry.share < 1 ? std::max(entry.next, by_end) : by_end;
}

std::optional<double> slot_shares::share(std::string_view upstream, time_point now) const
{
    const auto* entry = restricted(upstream, now);
    return entry == nullptr ? std::nullopt : std::optional(entry->share);
}

std::optional<double> slot_shares::ahead_of_share(std::string_view upstream, time_point now) const
{
    const auto* entry = restricted(upstream, now);
    return entry == nullptr
               ? std::nullopt
               : std::optional(std::chrono::duration<double>(entry->next - now) /
                               std::chrono::duration<double>(entry->service_time) * entry->share);
}

double slot_shares::rate(std::string_view upstream, time_point now) const
{
    const auto* entry = restricted(upstream, now);
    return entry == nullptr ? 0 : entry->share / std::chrono::duration<double>(entry->service_time).count();
}

void slot_shares::expire(time_point now)
{
    std::erase_if(states_, [&](const auto& each) {
        return each.second.in_flight == 0 && now - each.second.rejected_at >= restricted_for;
    });
}

} // namespace clementinegap
