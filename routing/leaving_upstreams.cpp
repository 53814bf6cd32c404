#include "routing/leaving_upstreams.h"

#include <algorithm>

namespace clementinegap {

const leaving_upstreams::run* leaving_upstreams::find(std::string_view upstream,
                                                      std::int64_t incarnation) const
{
    const auto known = known_.find(upstream);
    if (known == known_.end()) {
        return nullptr;
    }
    const auto found = std::ranges::find(known->second, incarnation, &run::incarnation);
    return found == known->second.end() ? nullptr : &*found;
}

bool leaving_upstreams::add(const leave_notice& value, bool is_listed, time_point now)
{
    if (find(value.upstream, value.incarnation) != nullptr || size_ >= max_entries) {
        return false;
    }
    known_[value.upstream].push_back({value.incarnation, is_listed ? never : now + retention});
    ++size_;
    return true;
}

bool leaving_upstreams::contains(std::string_view upstream, std::int64_t incarnation) const
{
    if (incarnation == 0) {
        const auto known = known_.find(upstream);
        return known != known_.end() && !known->second.empty();
    }
    return find(upstream, incarnation) != nullptr;
}

void leaving_upstreams::listed(std::string_view upstream, std::int64_t incarnation)
{
    const auto known = known_.find(upstream);
    if (known == known_.end()) {
        return;
    }
    size_ -= std::erase_if(known->second, [&](const run& each) {
        return each.forget_at == never && each.incarnation != incarnation;
    });
    for (auto& each : known->second) {
        if (each.incarnation == incarnation) {
            each.forget_at = never;
        }
    }
}

void leaving_upstreams::unlisted(std::string_view upstream, time_point now)
{
    const auto known = known_.find(upstream);
    if (known == known_.end()) {
        return;
    }
    for (auto& each : known->second) {
        each.forget_at = std::min(each.forget_at, now + retention);
    }
}

std::vector<leave_notice> leaving_upstreams::of_listed() const
{
    std::vector<leave_notice> result;
    for (const auto& [upstream, runs] : known_) {
        for (const auto& each : runs) {
            if (each.forget_at == never) {
                result.push_back({upstream, each.incarnation});
            }
        }
    }
    return result;
}

void leaving_upstreams::expire(time_point now)
{
    for (auto& [upstream, runs] : known_) {
        size_ -= std::erase_if(runs, [&](const run& each) { return each.forget_at <= now; });
    }
    std::erase_if(known_, [](const auto& each) { return each.second.empty(); });
}

} // namespace clementinegap
