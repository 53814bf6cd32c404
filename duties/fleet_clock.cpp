#include "duties/fleet_clock.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace clementinegap {
namespace {

/// Samples stay valid without news, since they refer to a steady clock; the limit bounds their number.
constexpr duration sample_lifetime = seconds(60);
/// Smaller differences between time of day and local clock come from rounding.
constexpr duration rounding = milliseconds(2);

duration offset_of(std::int64_t unix_ms, time_point now)
{
    return milliseconds(unix_ms) - now.time_since_epoch();
}

} // namespace

void fleet_clock::set_own(std::int64_t unix_ms, time_point now)
{
    const auto offset = offset_of(unix_ms, now);
    if (is_set_ && std::chrono::abs(offset - own_) < rounding) {
        return;
    }
    is_set_ = true;
    own_ = offset;
    update();
}

void fleet_clock::heard(std::string_view daemon, std::int64_t unix_ms, time_point now)
{
    std::erase_if(others_, [&](const auto& other) { return other.second.heard_at + sample_lifetime < now; });
    others_.insert_or_assign(std::string(daemon), sample{offset_of(unix_ms, now), now});
    update();
}

void fleet_clock::update()
{
    std::vector<duration> offsets;
    offsets.reserve(others_.size() + 1);
    if (is_set_) {
        offsets.push_back(own_);
    }
    for (const auto& [name, other] : others_) {
        offsets.push_back(other.offset);
    }
    const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>((offsets.size() - 1) / 2);
    std::ranges::nth_element(offsets, middle);
    median_ = *middle;
}

} // namespace clementinegap
