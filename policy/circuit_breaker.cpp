#include "policy/circuit_breaker.h"

#include <algorithm>

namespace clementinegap {
namespace {

constexpr duration min_open_time = milliseconds(100);
constexpr duration max_open_time = seconds(5);
constexpr std::uint32_t max_doublings = 6; ///< Of the open time.
constexpr std::uint32_t tolerated_failures =
    1; ///< Consecutive failures that the request itself may have caused.

} // namespace

void circuit_breaker::record_failure(time_point now)
{
    if (open(now)) {
        // The run was lost to the same fault that opened the breaker, so it does not extend the open time.
        return;
    }
    if (++failures_ <= tolerated_failures) {
        return;
    }
    const auto doublings = std::min(failures_ - tolerated_failures - 1, max_doublings);
    const auto open_time = min_open_time * (std::int64_t{1} << doublings);
    open_until_ = now + std::min<duration>(open_time, max_open_time);
}

void circuit_breaker::record_success()
{
    failures_ = 0;
    open_until_ = {};
}

std::uint32_t circuit_breaker::limit(std::uint32_t slots, time_point now) const
{
    if (open(now)) {
        return 0;
    }
    return failures_ > tolerated_failures ? 1 : slots;
}

} // namespace clementinegap
