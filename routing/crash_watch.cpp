#include "routing/crash_watch.h"

#include "core/digest.h"

#include <set>

namespace clementinegap {

void crash_watch::send_lost(std::string_view upstream, const std::string& fingerprint, time_point now)
{
    losses_[std::string(upstream)].push_back({fingerprint, now});
}

std::vector<soft_state_item> crash_watch::process_ended(std::string_view upstream, time_point now)
{
    const auto found = losses_.find(upstream);
    if (found == losses_.end()) {
        return {};
    }
    // Equal requests that were lost together count as one suspect of one crash.
    std::set<std::string> lost;
    for (const auto& each : found->second) {
        if (now - each.at <= blame_window && !is_trusted(each.fingerprint, now)) {
            lost.insert(each.fingerprint);
        }
    }
    losses_.erase(found);
    const std::vector<std::string> running(lost.begin(), lost.end());
    return running.empty() ? std::vector<soft_state_item>{} : poison_.on_crash(running, now);
}

std::optional<soft_state_item> crash_watch::ended_well(const std::string& fingerprint, time_point now)
{
    if (ended_well_at_.size() < max_trusted) {
        ended_well_at_[hash64(fingerprint)] = now;
    }
    return poison_.on_success(fingerprint, now);
}

std::optional<soft_state_item> crash_watch::refute(const soft_state_item& item, time_point now)
{
    if (poison_tracker::crashes_in(item).value_or(0) == 0 || !is_trusted(item.key, now)) {
        return std::nullopt;
    }
    return poison_.on_success(item.key, now);
}

void crash_watch::on_recorded(std::span<const suspicion> recorded, time_point now)
{
    for (const auto& each : recorded) {
        poison_.restore(each.fingerprint, each.crashes, each.age, now);
    }
}

bool crash_watch::is_trusted(const std::string& fingerprint, time_point now) const
{
    const auto found = ended_well_at_.find(hash64(fingerprint));
    return found != ended_well_at_.end() && now - found->second <= trust_window;
}

bool crash_watch::is_quarantined(std::string_view fingerprint, time_point now) const
{
    return poison_.is_quarantined(fingerprint, now);
}

void crash_watch::expire(time_point now)
{
    for (auto& [upstream, losses] : losses_) {
        std::erase_if(losses, [&](const loss& each) { return now - each.at > blame_window; });
    }
    std::erase_if(ended_well_at_, [&](const auto& each) { return now - each.second > trust_window; });
    std::erase_if(losses_, [](const auto& each) { return each.second.empty(); });
}

} // namespace clementinegap
