#include "observability/hybrid_clock.h"

#include <algorithm>

namespace clementinegap {
namespace {

constexpr unsigned int counter_bits = 12;
constexpr std::uint64_t counter_mask = (std::uint64_t{1} << counter_bits) - 1;
/// Without this bound, one VM with a wrong date would carry every other clock away.
constexpr duration max_ahead = seconds(60);

std::uint64_t packed(hybrid_time value)
{
    return (static_cast<std::uint64_t>(value.wall) << counter_bits) |
           std::min<std::uint64_t>(value.counter, counter_mask);
}

hybrid_time unpacked(std::uint64_t value)
{
    return {static_cast<std::int64_t>(value >> counter_bits),
            static_cast<std::uint32_t>(value & counter_mask)};
}

} // namespace

hybrid_time hybrid_clock::next(time_point now)
{
    const auto wall = packed({now.time_since_epoch().count(), 0});
    auto last = last_.load(std::memory_order_relaxed);
    std::uint64_t chosen = 0;
    do {
        chosen = std::max(wall, last + 1);
    } while (!last_.compare_exchange_weak(last, chosen, std::memory_order_acq_rel));
    return unpacked(chosen);
}

bool hybrid_clock::witness(hybrid_time seen, time_point now)
{
    if (seen.wall < 0 || seen.wall > (now.time_since_epoch() + max_ahead).count()) {
        return false;
    }
    const auto value = packed(seen);
    auto last = last_.load(std::memory_order_relaxed);
    while (last < value && !last_.compare_exchange_weak(last, value, std::memory_order_acq_rel)) {
    }
    return true;
}

hybrid_time hybrid_clock::latest() const
{
    return unpacked(last_.load(std::memory_order_acquire));
}

} // namespace clementinegap
