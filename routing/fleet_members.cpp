#include "routing/fleet_members.h"

#include <algorithm>
#include <utility>

namespace clementinegap {

void fleet_members::on_report(std::string_view daemon, duration next_in, time_point now)
{
    const auto known = members_.find(daemon);
    if (known == members_.end()) {
        members_.emplace(std::string(daemon), member{now, next_in});
        ++revision_;
        return;
    }
    known->second = {now, next_in};
}

bool fleet_members::on_time(time_point now)
{
    const auto gap = now - std::exchange(last_event_, now);
    if (joining_since_ == never) {
        joining_since_ = now;
        return false;
    }
    if (gap <= suspension_threshold) {
        return false;
    }
    joining_since_ = now;
    for (auto& [name, each] : members_) {
        each.heard_at += gap;
    }
    return true;
}

void fleet_members::expire(time_point now)
{
    const auto silence = [&](const member& each) { return now - each.heard_at; };
    const auto heard =
        std::ranges::count_if(members_, [&](const auto& each) { return silence(each.second) < lifetime; });
    const bool is_minority = static_cast<std::size_t>(heard + 1) * 2 <= members_.size() + 1;
    const auto base = is_minority ? minority_lifetime : lifetime;
    const auto removed = std::erase_if(members_, [&](const auto& each) {
        return silence(each.second) >= std::max<duration>(base, each.second.next_in * report_intervals);
    });
    revision_ += removed;
}

double fleet_members::portion(time_point now) const
{
    if (joining_since_ == never) {
        return 0;
    }
    const auto joining_for = now - joining_since_;
    const auto alive = members_.size() + 1;
    if (joining_for < (alive >= registered_ ? min_join_time : max_join_time)) {
        return 0;
    }
    const bool is_minority = alive * 2 <= registered_;
    return is_minority && joining_for < minority_lifetime
               ? static_cast<double>(alive) / static_cast<double>(registered_)
               : 1;
}

std::vector<std::string> fleet_members::others() const
{
    std::vector<std::string> result;
    result.reserve(members_.size());
    for (const auto& [name, each] : members_) {
        result.push_back(name);
    }
    return result;
}

} // namespace clementinegap
