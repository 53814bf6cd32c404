#pragma once

#include <chrono>
#include <cstdint>

/// \file
/// Time as the decision code sees it: microseconds since the Unix epoch, never going back within a process.

namespace clementinegap {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

using duration = std::chrono::microseconds;

/// The clock that decision code is handed; it has no `now()` of its own, so pure code cannot read it.
struct decision_clock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<decision_clock, duration>;
    static constexpr bool is_steady = true;
};

using time_point = decision_clock::time_point;

/// A time later than any event.
inline constexpr time_point never = time_point::max();

constexpr std::int64_t to_milliseconds(duration value)
{
    return std::chrono::duration_cast<milliseconds>(value).count();
}

} // namespace clementinegap
