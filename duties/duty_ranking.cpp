#include "duties/duty_ranking.h"

#include <algorithm>
#include <tuple>

namespace clementinegap {
namespace {

/// A daemon counts as living through one lost report and this delay.
constexpr duration grace = seconds(1);
/// Bounds a stated interval, so that a wrong one keeps no dead daemon in the order.
constexpr duration longest_interval = seconds(5);

} // namespace

void duty_ranking::heard(std::string_view daemon, std::uint64_t incarnation, duration next_in, time_point now)
{
    std::erase_if(others_, [&](const auto& other) { return other.second.lives_until < now; });
    const auto interval = std::clamp(next_in, duration(0), longest_interval);
    others_.insert_or_assign(std::string(daemon), member{incarnation, now + 2 * interval + grace});
}

std::size_t duty_ranking::rank(time_point now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(others_, [&](const auto& other) {
        return other.second.lives_until >= now &&
               std::tie(other.second.incarnation, other.first) < std::tie(incarnation_, daemon_);
    }));
}

} // namespace clementinegap
