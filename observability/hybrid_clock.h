#pragma once

#include "core/time.h"

#include <atomic>
#include <cstdint>

namespace clementinegap {

/// A hybrid logical time: wall microseconds and a counter that orders events of one microsecond and of cause
/// and effect.
struct hybrid_time {
    std::int64_t wall{0};
    std::uint32_t counter{0};
    auto operator<=>(const hybrid_time&) const = default;
};

/// The hybrid logical clock of a process: every time it gives is later than those it gave or was shown
/// before, and never behind the wall clock. One atomic word, so that all threads share it without a lock; a
/// counter that overflows carries into the wall time.
class hybrid_clock {
public:
    /// The time of an event of this process, or of a message that it sends.
    hybrid_time next(time_point now);
    /// Moves the clock past the time on a message of another process. A time that is further ahead of `now`
    /// than any clock of a sound VM can be is not taken over; false then.
    bool witness(hybrid_time seen, time_point now);
    hybrid_time latest() const;

private:
    std::atomic<std::uint64_t> last_{0};
};

} // namespace clementinegap
