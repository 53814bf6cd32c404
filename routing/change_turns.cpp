#include "routing/change_turns.h"

#include "core/digest.h"

#include <algorithm>

namespace clementinegap {

bool change_turns::is_due(std::uint64_t subject, std::span<const std::string> others, time_point now)
{
    const auto own = hash64(daemon_, subject);
    const auto before = static_cast<std::size_t>(std::ranges::count_if(
        others, [&](const std::string& other) { return hash64(other, subject) < own; }));
    auto& since = needed_since_.try_emplace(subject, now).first->second;
    if (now < since + turn_ * static_cast<duration::rep>(std::min(before, max_turns))) {
        return false;
    }
    since = now + turn_;
    return true;
}

void change_turns::retain(const std::set<std::uint64_t>& subjects)
{
    std::erase_if(needed_since_, [&](const auto& each) { return !subjects.contains(each.first); });
}

} // namespace clementinegap
