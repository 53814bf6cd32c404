#include "routing/software_versions.h"

#include <algorithm>

namespace clementinegap {

void software_versions::listed(const upstream_record& upstream, time_point now)
{
    last_listed_[upstream.service][upstream.software_version] = now;
    const auto ended = ended_.find(upstream.id);
    if (ended != ended_.end() && ended->second.incarnation != upstream.incarnation) {
        ended_.erase(ended);
    }
}

void software_versions::directory_confirmed(time_point at)
{
    if (is_watching() && at - confirmed_at_ > max_unwatched) {
        begin_to_watch(at);
    }
    confirmed_at_ = std::max(confirmed_at_, at);
}

void software_versions::resumed(time_point now)
{
    resumed_at_ = now;
    if (is_watching()) {
        begin_to_watch(now);
    }
}

void software_versions::process_ended(std::string_view upstream, std::int64_t incarnation, time_point now)
{
    auto& known = ended_.try_emplace(std::string(upstream), ended_process{incarnation, now}).first->second;
    if (known.incarnation < incarnation) {
        known = {incarnation, now};
    } else if (known.incarnation == incarnation) {
        known.at = std::max(known.at, now); // It is still down, so the next process can only start later.
    }
}

void software_versions::expire(time_point now)
{
    std::erase_if(ended_, [&](const auto& each) { return now - each.second.at > doubt; });
    for (auto& [service, versions] : last_listed_) {
        std::erase_if(versions, [&](const auto& each) { return now - each.second > memory; });
    }
}

std::string_view software_versions::certain_version(const upstream_record& upstream, time_point now) const
{
    if (confirmed_at_ < resumed_at_ && now - resumed_at_ <= doubt) {
        return {};
    }
    const auto ended = ended_.find(upstream.id);
    const bool is_in_doubt = ended != ended_.end() && ended->second.incarnation == upstream.incarnation &&
                             now - ended->second.at <= doubt;
    return is_in_doubt ? std::string_view{} : std::string_view(upstream.software_version);
}

std::vector<std::string> software_versions::seen(std::string_view service, duration span,
                                                 time_point now) const
{
    std::vector<std::string> result;
    const auto found = last_listed_.find(service);
    if (found == last_listed_.end()) {
        return result;
    }
    for (const auto& [version, at] : found->second) {
        if (now - at <= span) {
            result.push_back(version);
        }
    }
    return result;
}

} // namespace clementinegap
