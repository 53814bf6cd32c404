#include "cluster/membership.h"

#include <algorithm>
#include <set>

namespace clementinegap {

bool membership::take(const soft_state_item& item, time_point now)
{
    const stamp at{item.incarnation, item.sequence};
    auto& known = evidence_[item.origin];
    if (item.kind == "member") {
        if (known.has_stated && at <= known.stated_at) {
            return false;
        }
        known.stated = member_from_item(item.origin, item.value);
        known.has_stated = true;
        known.stated_at = at;
    } else if (item.kind == "suspicion" && at > known.suspected_at) {
        known.suspected_at = at;
        known.suspected_since = now;
    } else if (item.kind == "leaving" && at > known.leaving_at) {
        known.leaving_at = at;
    }
    return update(item.origin, now);
}

bool membership::take_list(std::span<const listed_member> list, time_point now)
{
    std::set<std::string> named;
    bool changed = false;
    for (const auto& row : list) {
        named.insert(row.info.vm);
        auto& known = evidence_[row.info.vm];
        if (row.info.leaving && !known.listed_leaving) {
            known.leaving_listed_since = now;
        }
        known.listed = true;
        known.listed_leaving = row.info.leaving;
        known.listed_info = row.info;
        changed = update(row.info.vm, now) || changed;
    }
    for (auto& [vm, known] : evidence_) {
        if (known.listed && !named.contains(vm)) {
            known.listed = false;
            known.listed_leaving = false;
            changed = update(vm, now) || changed;
        }
    }
    return changed;
}

bool membership::advance(time_point now)
{
    bool changed = false;
    for (const auto& [vm, known] : evidence_) {
        const auto found = views_.find(vm);
        if (found != views_.end() && found->second.state == member_state::suspected) {
            changed = update(vm, now) || changed;
        }
    }
    return changed;
}

void membership::forget(const std::string& vm)
{
    const auto found = evidence_.find(vm);
    if (found == evidence_.end()) {
        return;
    }
    if (found->second.listed) {
        found->second.has_stated = false;
        update(vm, found->second.suspected_since);
        return;
    }
    evidence_.erase(found);
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
    for (const auto& [vm, known] : evidence_) {
        if (known.has_stated && is_marked_by_list(known)) {
            result.push_back(vm);
        }
    }
    return result;
}

std::size_t membership::fleet_size() const
{
    const auto listed = std::ranges::count_if(evidence_, [](const auto& row) { return row.second.listed; });
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
            due = std::min(due, evidence_.at(vm).suspected_since + refutation_time);
        }
    }
    return due;
}

bool membership::is_marked_by_list(const evidence& known)
{
    if (!known.listed_leaving) {
        return false;
    }
    // The list lags, so a mark that was there before this incarnation started is its predecessor's.
    const time_point started{microseconds(static_cast<std::int64_t>(known.stated_at.incarnation))};
    return !known.has_stated || known.leaving_listed_since >= started;
}

bool membership::update(const std::string& vm, time_point now)
{
    const auto& known = evidence_.at(vm);
    if (!known.has_stated && !known.listed) {
        return views_.erase(vm) != 0;
    }
    member_view view;
    view.info = known.has_stated ? known.stated : known.listed_info;
    view.incarnation = known.stated_at.incarnation;
    view.sequence = known.stated_at.sequence;
    if (known.has_stated) {
        const bool doubted = known.suspected_at >= known.stated_at;
        const bool late = now >= known.suspected_since + refutation_time;
        view.state = !doubted ? member_state::live : (late ? member_state::dead : member_state::suspected);
    }
    view.leaving = view.info.leaving || is_marked_by_list(known) ||
                   (known.has_stated && known.leaving_at >= known.stated_at);
    auto& place = views_[vm];
    if (place == view) {
        return false;
    }
    place = std::move(view);
    return true;
}

} // namespace clementinegap
