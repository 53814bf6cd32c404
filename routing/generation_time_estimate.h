#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace clementinegap {

/// How long generations really take at a service's engines, against what was expected of an idle engine.
/// Learned from the streams of this daemon, by what they tolerate, since these kinds run on different
/// engines.
class generation_time_estimate {
public:
    /// A stream ended well. \param expected_start wait and reading, as expected when it was sent.
    void stream_ended(std::string_view service, duration step_tolerance, duration expected_start,
                      duration first_event_after, duration streamed_for, std::uint32_t expected_tokens);
    /// Time that a generation needs from now to its end. On the low side: half of the lengths that callers
    /// estimate are too long.
    duration expected_time(std::string_view service, duration step_tolerance, duration expected_start,
                           std::uint32_t expected_tokens) const;

private:
    struct timing {
        double start_factor{1.3};         ///< Real over expected time to the first event.
        duration token{milliseconds(10)}; ///< Time of a token.
    };
    using kind = std::pair<std::string, duration>;

    std::map<kind, timing> timings_;
};

} // namespace clementinegap
