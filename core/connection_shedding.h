#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace clementinegap {

/// What a peer's connection holds, and how it gets on.
struct connection_usage {
    enum class phase : std::uint8_t {
        idle,       ///< Between requests.
        receiving,  ///< A request is being received.
        responding, ///< The peer has yet to take bytes of responses.
        handling,   ///< A request is being handled, and the peer has taken all that was sent.
        closing,    ///< The last response was written; the peer is expected to close.
    };
    phase now_in{phase::idle};
    std::size_t bytes{0};    ///< In the process and in the system's buffers.
    duration stalled_for{0}; ///< Since the peer last sent or took a substantial part.
};

/// The connections to close so that about `excess` bytes are given back: those that have held the most for
/// the longest time without progress. A peer that sends or takes a steady flow, however slow, goes after
/// those that have stalled, and a request that is being handled goes last. \returns indices.
std::vector<std::size_t> connections_to_shed(std::span<const connection_usage> connections,
                                             std::size_t excess);

/// The connections that may be closed so that others can be accepted, in this order: those that close anyway,
/// those whose request has stalled, those that have been idle for longest, those whose request has paused for
/// a moment, and those whose peers do not read. A request that gets on or is being handled is not given up
/// for another connection. \returns indices.
std::vector<std::size_t> connections_to_replace(std::span<const connection_usage> connections);

} // namespace clementinegap
