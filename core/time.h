#pragma once

#include <chrono>
#include <cstdint>

/// \file
/// Time types of the decision code: microseconds since the Unix epoch, monotonic within a process.

namespace clementinegap {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

using duration = std::chrono::microseconds;

/// Clock type for decision code. It has no `now()`, so decision code cannot read a clock: the current time is
/// passed to it as an argument.
struct decision_clock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<decision_clock, duration>;
    static constexpr bool is_steady = true;
};

using time_point = decision_clock::time_point;

/// Later than any event; means "no time set".
inline constexpr time_point never = time_point::max();

constexpr std::int64_t to_milliseconds(duration value)
{
    return std::chrono::duration_cast<milliseconds>(value).count();
}

} // namespace clementinegap
