#pragma once

#include "adapters/runtime.h"
#include "observability/hybrid_clock.h"

/// \file
/// The hybrid logical times on peer frames, by which the time lines of two processes are put in causal order.

namespace clementinegap {

/// Stamps a frame right before it is written.
template <class Frame> void stamp(Frame& frame, hybrid_clock& clock)
{
    const auto at = clock.next(process_now());
    frame.mutable_sent()->set_wall_us(at.wall);
    frame.mutable_sent()->set_counter(at.counter);
}

/// Moves the clock past a received frame's stamp; a frame without one changes nothing.
template <class Frame> void witness(const Frame& frame, hybrid_clock& clock)
{
    if (frame.has_sent()) {
        clock.witness({frame.sent().wall_us(), frame.sent().counter()}, process_now());
    }
}

} // namespace clementinegap
