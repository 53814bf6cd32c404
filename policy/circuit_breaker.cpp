#include "policy/circuit_breaker.h"

#include <algorithm>

namespace clementinegap {
namespace {

constexpr duration first_pause = milliseconds(100);
constexpr duration longest_pause = seconds(5);
constexpr std::uint32_t longest_growth = 6; ///< Doublings of the pause.
constexpr std::uint32_t tolerated = 1;      ///< Failures in a row that may be the request's own fault.

} // namespace

void circuit_breaker::failed(time_point now)
{
    if (open(now)) {
        // Runs that were lost with the one that opened the breaker tell nothing new.
        return;
    }
    if (++failures_ <= tolerated) {
        return;
    }
    const auto growth = std::min(failures_ - tolerated - 1, longest_growth);
    const auto pause = first_pause * (std::int64_t{1} << growth);
    closed_until_ = now + std::min<duration>(pause, longest_pause);
}

void circuit_breaker::succeeded()
{
    failures_ = 0;
    closed_until_ = {};
}

std::uint32_t circuit_breaker::limit(std::uint32_t slots, time_point now) const
{
    if (open(now)) {
        return 0;
    }
    return failures_ > tolerated ? 1 : slots;
}

} // namespace clementinegap
