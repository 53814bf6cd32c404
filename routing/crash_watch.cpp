#include "routing/crash_watch.h"

#include "core/digest.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace clementinegap {

void crash_watch::send_lost(const upstream_process& at, const std::string& fingerprint, time_point now)
{
    losses_[at].push_back({fingerprint, now});
}

std::vector<soft_state_item> crash_watch::process_ended(const upstream_process& ended, time_point by,
                                                        time_point now)
{
    const auto found = losses_.find(ended);
    if (found == losses_.end()) {
        return {};
    }
    auto& losses = found->second;
    std::erase_if(losses, [&](const loss& each) { return now - each.at > blame_window; });
    const auto end = std::ranges::find_if(losses, [&](const loss& each) { return each.at > by; });
    // Equal requests that were lost together count as one suspect of one crash. The process has outlived
    // earlier losses.
    std::set<std::string> lost;
    for (auto each = losses.begin(); each != end; ++each) {
        if (std::prev(end)->at - each->at <= loss_spread && !is_trusted(each->fingerprint, now)) {
            lost.insert(each->fingerprint);
        }
    }
    losses.erase(losses.begin(), end);
    if (losses.empty()) {
        losses_.erase(found);
    }
    const std::vector<std::string> running(lost.begin(), lost.end());
    return running.empty() ? std::vector<soft_state_item>{} : poison_.on_crash(running, now);
}

void crash_watch::remember_end(const upstream_process& ended, time_point now)
{
    // Without an incarnation, the next process could not be told from this one.
    if (ended.incarnation != 0) {
        ends_.try_emplace(ended, now);
    }
}

std::vector<upstream_process> crash_watch::noticed_late(time_point now) const
{
    std::vector<upstream_process> result;
    for (const auto& [process, losses] : losses_) {
        if (ends_.contains(process) && now - losses.back().at >= late_loss_delay) {
            result.push_back(process);
        }
    }
    return result;
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
    for (auto& [process, losses] : losses_) {
        std::erase_if(losses, [&](const loss& each) { return now - each.at > blame_window; });
    }
    std::erase_if(ended_well_at_, [&](const auto& each) { return now - each.second > trust_window; });
    std::erase_if(losses_, [](const auto& each) { return each.second.empty(); });
    std::erase_if(ends_, [&](const auto& each) { return now - each.second > blame_window; });
}

} // namespace clementinegap
