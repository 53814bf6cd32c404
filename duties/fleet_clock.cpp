#include "duties/fleet_clock.h"

#include <algorithm>
#include <chrono>

namespace clementinegap {
namespace {

/// Samples stay valid without news, since they refer to a steady clock; the limit bounds their number.
constexpr duration sample_lifetime = seconds(60);
/// A single report that was delayed, as by a suspension of the receiver, has no effect on the median of
/// these.
constexpr std::size_t samples_kept = 3;
/// Reports that arrived during a suspension are read within this time after it.
constexpr duration resumption = milliseconds(200);
/// Smaller differences between time of day and local clock come from rounding.
constexpr duration rounding = milliseconds(2);

duration offset_of(std::int64_t unix_ms, time_point now)
{
    return milliseconds(unix_ms) - now.time_since_epoch();
}

/// Of an even number the greater middle one, since delays make offsets smaller.
duration median_of(std::vector<duration> offsets)
{
    const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::ranges::nth_element(offsets, middle);
    return *middle;
}

} // namespace

void fleet_clock::set_own(std::int64_t unix_ms, time_point now)
{
    notice_suspension(now);
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
    notice_suspension(now);
    if (now < resumed_at_ + resumption) {
        return;
    }
    std::erase_if(others_, [&](const auto& other) { return other.second.heard_at + sample_lifetime < now; });
    auto& [offsets, heard_at] = others_[std::string(daemon)];
    if (offsets.size() >= samples_kept) {
        offsets.erase(offsets.begin());
    }
    offsets.push_back(offset_of(unix_ms, now));
    heard_at = now;
    update();
}

void fleet_clock::notice_suspension(time_point now)
{
    if (is_set_ && now > last_call_ + longest_call_interval) {
        resumed_at_ = now;
    }
    last_call_ = now;
}

duration fleet_clock::samples::median() const
{
    return median_of(offsets);
}

void fleet_clock::update()
{
    std::vector<duration> offsets;
    offsets.reserve(others_.size() + 1);
    if (is_set_) {
        offsets.push_back(own_);
    }
    for (const auto& [name, other] : others_) {
        offsets.push_back(other.median());
    }
    median_ = median_of(std::move(offsets));
}

} // namespace clementinegap
