#include "routing/crash_watch.h"

#include <set>

namespace clementinegap {

void crash_watch::send_lost(std::string_view upstream, const std::string& fingerprint, time_point now)
{
    losses_[std::string(upstream)].push_back({fingerprint, now});
}

std::vector<soft_item> crash_watch::process_gone(std::string_view upstream, time_point now)
{
    const auto found = losses_.find(upstream);
    if (found == losses_.end()) {
        return {};
    }
    // Equal requests that were lost together are one suspect of one crash.
    std::set<std::string> lost;
    for (const auto& each : found->second) {
        if (now - each.at <= evidence_span) {
            lost.insert(each.fingerprint);
        }
    }
    losses_.erase(found);
    const std::vector<std::string> running(lost.begin(), lost.end());
    return running.empty() ? std::vector<soft_item>{} : book_.crashed(running, now);
}

std::optional<soft_item> crash_watch::ended_well(const std::string& fingerprint, time_point now)
{
    return book_.ended_well(fingerprint, now);
}

bool crash_watch::is_quarantined(std::string_view fingerprint, time_point now) const
{
    return book_.is_quarantined(fingerprint, now);
}

void crash_watch::expire(time_point now)
{
    for (auto& [upstream, losses] : losses_) {
        std::erase_if(losses, [&](const loss& each) { return now - each.at > evidence_span; });
    }
    std::erase_if(losses_, [](const auto& each) { return each.second.empty(); });
}

} // namespace clementinegap
