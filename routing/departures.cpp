#include "routing/departures.h"

#include <algorithm>

namespace clementinegap {

const departures::run* departures::find(std::string_view upstream, std::int64_t incarnation) const
{
    const auto known = known_.find(upstream);
    if (known == known_.end()) {
        return nullptr;
    }
    const auto found = std::ranges::find(known->second, incarnation, &run::incarnation);
    return found == known->second.end() ? nullptr : &*found;
}

bool departures::add(const departure& value, bool is_listed, time_point now)
{
    if (find(value.upstream, value.incarnation) != nullptr || size_ >= most) {
        return false;
    }
    known_[value.upstream].push_back({value.incarnation, is_listed ? never : now + memory});
    ++size_;
    return true;
}

bool departures::contains(std::string_view upstream, std::int64_t incarnation) const
{
    return find(upstream, incarnation) != nullptr;
}

void departures::listed(std::string_view upstream, std::int64_t incarnation)
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

void departures::unlisted(std::string_view upstream, time_point now)
{
    const auto known = known_.find(upstream);
    if (known == known_.end()) {
        return;
    }
    for (auto& each : known->second) {
        each.forget_at = std::min(each.forget_at, now + memory);
    }
}

std::vector<departure> departures::of_listed() const
{
    std::vector<departure> result;
    for (const auto& [upstream, runs] : known_) {
        for (const auto& each : runs) {
            if (each.forget_at == never) {
                result.push_back({upstream, each.incarnation});
            }
        }
    }
    return result;
}

void departures::expire(time_point now)
{
    for (auto& [upstream, runs] : known_) {
        size_ -= std::erase_if(runs, [&](const run& each) { return each.forget_at <= now; });
    }
    std::erase_if(known_, [](const auto& each) { return each.second.empty(); });
}

} // namespace clementinegap
