#pragma once

#include "core/time.h"

#include <cstdint>

namespace clementinegap {

/// Stops granting slots of an engine that is unreachable or whose runs fail. After two consecutive failures
/// the breaker opens for an exponentially growing time; then it is half-open and allows one slot at a time
/// until a run succeeds.
class circuit_breaker {
public:
    void record_failure(time_point now);
    void record_success();
    /// \returns how many of `slots` may be in use at `now`.
    std::uint32_t limit(std::uint32_t slots, time_point now) const;
    bool open(time_point now) const { return now < open_until_; }
    time_point open_until() const { return open_until_; }

private:
    std::uint32_t failures_{0};
    time_point open_until_{};
};

} // namespace clementinegap
