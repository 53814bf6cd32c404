#include "routing/daemon_starts.h"

#include <algorithm>

namespace clementinegap {

bool daemon_starts::heard(const std::string& daemon, std::uint64_t incarnation)
{
    auto& known = incarnations_[daemon];
    if (incarnation <= known) {
        return false;
    }
    known = incarnation;
    return true;
}

bool daemon_starts::registered(std::span<const std::string> daemons)
{
    const bool is_any_new =
        std::ranges::any_of(daemons, [&](const std::string& each) { return !registered_.contains(each); });
    registered_ = {daemons.begin(), daemons.end()};
    return is_any_new;
}

} // namespace clementinegap
