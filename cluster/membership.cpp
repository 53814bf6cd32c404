#include "cluster/membership.h"

#include <algorithm>
#include <set>

namespace clementinegap {

bool membership::apply_item(const soft_item& item, time_point now)
{
    const stamp at{item.incarnation, item.sequence};
    auto& known = observations_[item.origin];
    if (item.kind == "member") {
        if (known.has_announced && at <= known.announced_stamp) {
            return false;
        }
        known.announced = member_from_item(item.origin, item.value);
        known.has_announced = true;
        known.announced_stamp = at;
    } else if (item.kind == "suspicion" && at > known.suspected_stamp) {
        known.suspected_stamp = at;
        known.suspected_since = now;
    } else if (item.kind == "leaving" && at > known.leaving_stamp) {
        known.leaving_stamp = at;
    }
    return update_view(item.origin, now);
}

bool membership::apply_list(std::span<const listed_member> list, time_point now)
{
    std::set<std::string> named;
    bool changed = false;
    for (const auto& row : list) {
        named.insert(row.info.vm);
        auto& known = observations_[row.info.vm];
        if (row.info.leaving && !known.listed_leaving) {
            known.leaving_listed_since = now;
        }
        known.listed = true;
        known.listed_leaving = row.info.leaving;
        known.listed_info = row.info;
        changed = update_view(row.info.vm, now) || changed;
    }
    for (auto& [vm, known] : observations_) {
        if (known.listed && !named.contains(vm)) {
            known.listed = false;
            known.listed_leaving = false;
            changed = update_view(vm, now) || changed;
        }
    }
    return changed;
}

bool membership::expire_suspicions(time_point now)
{
    bool changed = false;
    for (const auto& [vm, known] : observations_) {
        const auto found = views_.find(vm);
        if (found != views_.end() && found->second.state == member_state::suspected) {
            changed = update_view(vm, now) || changed;
        }
    }
    return changed;
}

void membership::remove(const std::string& vm)
{
    const auto found = observations_.find(vm);
    if (found == observations_.end()) {
        return;
    }
    if (found->second.listed) {
        found->second.has_announced = false;
        update_view(vm, found->second.suspected_since);
        return;
    }
    observations_.erase(found);
    views_.erase(vm);
}

const member_view* membership::find(const std::string& vm) const
{
    const auto found = views_.find(vm);
    return found == views_.end() ? nullptr : &found->second;
}

std::vector<std::string> membership::listed_as_leaving() const
{
    std::vector<std::string> result;
    for (const auto& [vm, known] : observations_) {
        if (known.has_announced && is_marked_by_list(known)) {
            result.push_back(vm);
        }
    }
    return result;
}

std::size_t membership::fleet_size() const
{
    const auto listed =
        std::ranges::count_if(observations_, [](const auto& row) { return row.second.listed; });
    const auto alive = std::ranges::count_if(views_, [](const auto& row) {
        return row.second.state == member_state::live || row.second.state == member_state::suspected;
    });
    return static_cast<std::size_t>(std::max({listed, alive, std::ptrdiff_t{1}}));
}

time_point membership::next_due() const
{
    auto due = never;
    for (const auto& [vm, view] : views_) {
        if (view.state == member_state::suspected) {
            due = std::min(due, observations_.at(vm).suspected_since + refutation_timeout);
        }
    }
    return due;
}

bool membership::is_marked_by_list(const observations& known)
{
    if (!known.listed_leaving) {
        return false;
    }
    // The list lags, so a mark that is older than this incarnation belongs to its predecessor.
    const time_point started{microseconds(static_cast<std::int64_t>(known.announced_stamp.incarnation))};
    return !known.has_announced || known.leaving_listed_since >= started;
}

bool membership::update_view(const std::string& vm, time_point now)
{
    const auto& known = observations_.at(vm);
    if (!known.has_announced && !known.listed) {
        return views_.erase(vm) != 0;
    }
    member_view view;
    view.info = known.has_announced ? known.announced : known.listed_info;
    view.incarnation = known.announced_stamp.incarnation;
    view.sequence = known.announced_stamp.sequence;
    if (known.has_announced) {
        const bool suspected = known.suspected_stamp >= known.announced_stamp;
        const bool late = now >= known.suspected_since + refutation_timeout;
        view.state = !suspected ? member_state::live : (late ? member_state::dead : member_state::suspected);
    }
    view.leaving = view.info.leaving || is_marked_by_list(known) ||
                   (known.has_announced && known.leaving_stamp >= known.announced_stamp);
    auto& current = views_[vm];
    if (current == view) {
        return false;
    }
    current = std::move(view);
    return true;
}

} // namespace clementinegap
