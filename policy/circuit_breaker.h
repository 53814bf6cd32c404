#pragma once

#include "core/time.h"

#include <cstdint>

namespace clementinegap {

/// Keeps work away from an engine that cannot be reached or breaks its runs: after two consecutive failures
/// no slot is given out for a growing time, then one at a time until a run succeeds.
class circuit_breaker {
public:
    void failed(time_point now);
    void succeeded();
    /// Slots that may be in use at `now`, of `slots`.
    std::uint32_t limit(std::uint32_t slots, time_point now) const;
    bool open(time_point now) const { return now < closed_until_; }
    time_point closed_until() const { return closed_until_; }

private:
    std::uint32_t failures_{0};
    time_point closed_until_{};
};

} // namespace clementinegap
