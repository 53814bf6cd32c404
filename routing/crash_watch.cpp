#include "routing/crash_watch.h"

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
    std::vector<std::string> running;
    for (const auto& each : found->second) {
        if (now - each.at <= evidence_span) {
            running.push_back(each.fingerprint);
        }
    }
    losses_.erase(found);
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
