#include "routing/upstream_backoffs.h"

#include <algorithm>

namespace clementinegap {

duration upstream_backoffs::start(std::string_view upstream, duration span, time_point now)
{
    const auto kept = std::min(span, max_backoff_);
    if (kept <= duration::zero()) {
        return duration::zero();
    }
    auto& entry = states_[std::string(upstream)];
    // Responses can arrive out of order; a late one must not shorten the backoff.
    entry.ends = std::max(entry.ends, now + kept);
    entry.allowed = 1;
    entry.last_use = entry.ends;
    return kept;
}

bool upstream_backoffs::is_blocked(std::string_view upstream, time_point now) const
{
    const auto found = states_.find(upstream);
    return found != states_.end() &&
           (now < found->second.ends || found->second.probes >= found->second.allowed);
}

std::optional<time_point> upstream_backoffs::available_at(std::string_view upstream, time_point now) const
{
    if (!is_blocked(upstream, now)) {
        return std::nullopt;
    }
    const auto& entry = states_.find(upstream)->second;
    return entry.probes >= entry.allowed ? std::max(entry.ends, now + probe_timeout) : entry.ends;
}

bool upstream_backoffs::sent(std::string_view upstream)
{
    const auto found = states_.find(upstream);
    if (found == states_.end()) {
        return false;
    }
    ++found->second.probes;
    return true;
}

void upstream_backoffs::probe_ended(std::string_view upstream, probe_result how, time_point now)
{
    const auto found = states_.find(upstream);
    if (found == states_.end()) {
        return;
    }
    auto& entry = found->second;
    entry.probes -= std::min(entry.probes, 1U);
    entry.last_use = std::max(entry.last_use, now);
    if (now < entry.ends || how == probe_result::unknown) {
        return;
    }
    entry.allowed = how == probe_result::succeeded ? entry.allowed * 2 : 1;
    if (entry.allowed >= unrestricted_from) {
        states_.erase(found);
    }
}

std::vector<std::string> upstream_backoffs::in_backoff(time_point now) const
{
    std::vector<std::string> result;
    for (const auto& [upstream, entry] : states_) {
        if (now < entry.ends) {
            result.push_back(upstream);
        }
    }
    return result;
}

void upstream_backoffs::expire(time_point now)
{
    std::erase_if(states_, [&](const auto& each) {
        return each.second.probes == 0 && now - each.second.last_use > idle_lifetime;
    });
}

} // namespace clementinegap
