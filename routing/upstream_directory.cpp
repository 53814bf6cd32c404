#include "routing/upstream_directory.h"

#include <algorithm>

namespace clementinegap {

bool upstream_directory::put(upstream_record record)
{
    auto& entry = upstreams_[record.id];
    entry.drop_at = never;
    removed_.erase(record.id);
    leaving_.listed(record.id, record.incarnation);
    ended_.listed(record.id, record.incarnation);
    if (entry.record && *entry.record == record) {
        return false;
    }
    entry.record = std::make_shared<const upstream_record>(std::move(record));
    return true;
}

void upstream_directory::erase(std::string_view id, time_point now)
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end()) {
        return;
    }
    leaving_.unlisted(id, now);
    if (!may_be_restored(now)) {
        if (removed_.size() < max_removed) {
            removed_[std::string(id)] = {found->second.record->incarnation, now};
        }
        upstreams_.erase(found);
        return;
    }
    const auto returned_at = lost_ ? now : restore_grace_ends_ - restore_grace;
    found->second.drop_at = std::min(found->second.drop_at, returned_at + restore_grace);
}

std::vector<upstream_ptr> upstream_directory::retain(std::span<const std::string> ids, time_point now)
{
    std::vector<upstream_ptr> missing;
    for (const auto& [id, entry] : upstreams_) {
        if (std::find(ids.begin(), ids.end(), id) == ids.end()) {
            missing.push_back(entry.record);
        }
    }
    for (const auto& each : missing) {
        erase(each->id, now);
    }
    std::erase_if(missing, [&](const upstream_ptr& each) { return upstreams_.contains(each->id); });
    return missing;
}

bool upstream_directory::was_removed(const upstream_record& upstream) const
{
    const auto found = removed_.find(upstream.id);
    return found != removed_.end() && found->second.incarnation == upstream.incarnation;
}

bool upstream_directory::lacks_incarnation(const upstream_record& record) const
{
    if (record.incarnation != 0) {
        return false;
    }
    const auto listed = upstreams_.find(record.id);
    if (listed != upstreams_.end()) {
        return listed->second.record->incarnation != 0;
    }
    const auto removed = removed_.find(record.id);
    return removed != removed_.end() && removed->second.incarnation != 0;
}

void upstream_directory::directory_returned(time_point now)
{
    if (!lost_) {
        return;
    }
    lost_ = false;
    restore_grace_ends_ = now + restore_grace;
}

bool upstream_directory::add_leave_notice(const leave_notice& value, time_point now)
{
    const auto listed = find(value.upstream);
    return leaving_.add(value, listed != nullptr && listed->incarnation == value.incarnation, now);
}

std::vector<upstream_ptr> upstream_directory::expire(time_point now)
{
    std::vector<upstream_ptr> dropped;
    for (const auto& [id, entry] : upstreams_) {
        if (entry.drop_at <= now) {
            dropped.push_back(entry.record);
        }
    }
    for (const auto& each : dropped) {
        upstreams_.erase(upstreams_.find(each->id));
    }
    std::erase_if(removed_, [&](const auto& each) { return now - each.second.at > removal_memory; });
    leaving_.expire(now);
    ended_.expire(now);
    return dropped;
}

std::vector<upstream_ptr> upstream_directory::usable(std::string_view service, time_point now) const
{
    std::vector<upstream_ptr> result;
    for (const auto& [id, entry] : upstreams_) {
        const bool leaves = entry.record->leaving || is_leaving(*entry.record);
        const bool has_ended = ended_.contains(id, entry.record->incarnation, now);
        if (!leaves && !has_ended && entry.drop_at > now && entry.record->service == service) {
            result.push_back(entry.record);
        }
    }
    return result;
}

std::vector<upstream_ptr> upstream_directory::all() const
{
    std::vector<upstream_ptr> result;
    result.reserve(upstreams_.size());
    for (const auto& [id, entry] : upstreams_) {
        result.push_back(entry.record);
    }
    return result;
}

upstream_ptr upstream_directory::find(std::string_view id) const
{
    const auto found = upstreams_.find(id);
    return found == upstreams_.end() ? nullptr : found->second.record;
}

} // namespace clementinegap
