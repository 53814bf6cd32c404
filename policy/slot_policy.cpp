#include "policy/slot_policy.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace clementinegap {
namespace {

constexpr std::string_view latency_kind = "pace";
constexpr duration min_report_interval = milliseconds(500);
constexpr duration max_report_interval = seconds(30);
constexpr duration report_lifetime = seconds(75);
constexpr std::int64_t report_change_divisor =
    4; ///< A change by more than 1/4 of the last reported value is reported early.

std::optional<duration> parse_microseconds(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool valid = error == std::errc{} && end == text.data() + text.size() && value > 0;
    return valid ? std::optional(duration(value)) : std::nullopt;
}

} // namespace

slot_policy::slot_policy(std::string vm, std::string pool, std::uint32_t slots)
    : vm_(std::move(vm)), pool_(std::move(pool)), slots_(slots), limit_(slots)
{
}

std::uint32_t slot_policy::limit(time_point now) const
{
    return breaker_.limit(limit_.limit(), now);
}

void slot_policy::soft_state_received(const soft_state_item& item, time_point now)
{
    if (item.kind != latency_kind || item.key != pool_ || item.origin == vm_) {
        return;
    }
    if (const auto interval = parse_microseconds(item.value)) {
        pool_latency_.report_received(item.origin, *interval, now + item.lifetime);
        pool_median_ = pool_latency_.median(now);
        update_limit();
    }
}

std::optional<soft_state_item> slot_policy::report_due(time_point now)
{
    if (!latency_.known() || now < reported_at_ + min_report_interval) {
        return std::nullopt;
    }
    update_limit();
    const auto own = latency_.token_interval_time();
    const bool changed = std::chrono::abs(own - reported_) * report_change_divisor > reported_;
    if (!changed && now < reported_at_ + max_report_interval) {
        return std::nullopt;
    }
    reported_ = own;
    reported_at_ = now;
    soft_state_item item;
    item.kind = latency_kind;
    item.key = pool_;
    item.value = std::to_string(own.count());
    item.lifetime = report_lifetime;
    return item;
}

std::optional<duration> slot_policy::expected_wait(std::size_t ahead, time_point now) const
{
    const auto wait = queue_drain_.expected_wait(ahead);
    if (!wait) {
        return std::nullopt;
    }
    const auto slots = static_cast<std::int64_t>(std::max(limit(now), 1U));
    const auto starvation_slots = std::min(static_cast<std::int64_t>(slices_.protected_count()), slots - 1);
    return *wait * (slots - starvation_slots) / slots;
}

} // namespace clementinegap
