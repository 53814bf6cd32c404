#pragma once

#include "core/time.h"

#include <cstdint>

namespace clementinegap {

/// What is known of the bytes that were written to a connection.
struct delivery_state {
    std::uint64_t acknowledged{0}; ///< Bytes that the peer has acknowledged since the connection began.
    std::uint64_t outstanding{0};  ///< Bytes that it has not acknowledged.
    /// Data or window probes were sent, and nothing has been answered since the previous state.
    bool is_silent{false};
};

/// Decides when a peer that has yet to acknowledge bytes is lost. A peer that reads slowly acknowledges some
/// bytes now and then, however few fit its window. One that has vanished answers nothing, and one that has
/// stopped answers probes of its system but takes no bytes.
class delivery_monitor {
public:
    /// How long nothing is answered before the peer is lost.
    static constexpr duration silence_limit = milliseconds(2500);
    /// How long no bytes are taken before the peer is lost. A window may open again only after a large part
    /// of a receive buffer has been read.
    static constexpr duration stall_limit = seconds(10);

    /// \param elapsed time since the previous state. \returns whether the peer is lost.
    bool observe(const delivery_state& state, duration elapsed);

private:
    std::uint64_t acknowledged_{0};
    duration silent_for_{0};
    duration stalled_for_{0};
};

} // namespace clementinegap
