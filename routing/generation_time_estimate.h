#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace clementinegap {

/// Estimates how long generations take on a service's engines, relative to what is expected of an idle
/// engine. It is measured from this daemon's streams per step tolerance, since the kinds of streams run on
/// different engines.
class generation_time_estimate {
public:
    /// Records a stream that completed successfully.
    /// \param expected_start queue wait and prefill as expected at the send.
    void stream_ended(std::string_view service, duration step_tolerance, duration expected_start,
                      duration first_event_after, duration streamed_for, std::uint32_t expected_tokens);
    /// Time that a generation needs from now to its end. The estimate is low on purpose: half of the callers'
    /// length hints are too long.
    duration expected_time(std::string_view service, duration step_tolerance, duration expected_start,
                           std::uint32_t expected_tokens) const;

private:
    struct timing {
        double start_factor{1.3};         ///< Measured over expected time to the first event.
        duration token{milliseconds(10)}; ///< Time per token.
    };
    using kind = std::pair<std::string, duration>;

    std::map<kind, timing> timings_;
};

} // namespace clementinegap
