#pragma once

#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace clementinegap {

/// Decides when a daemon asks another one for a newer configuration. The store's feed is the usual way; a
/// daemon that the store turns away still has to follow, and its peers' reports tell which version they have
/// in force.
class configuration_catch_up {
public:
    /// The feed is given this long to bring what a peer has already.
    static constexpr duration feed_grace = milliseconds(300);
    /// Between two requests, so that a peer that does not answer holds nobody up for long.
    static constexpr duration retry_interval = milliseconds(500);

    /// A peer reports the version that it has in force.
    /// \returns the peer to ask now, if any.
    std::optional<std::string> on_report(const std::string& peer, std::uint64_t peer_version,
                                         std::uint64_t own_version, time_point now);

private:
    std::uint64_t awaited_version_{0};
    time_point awaited_since_{};
    time_point next_request_{};
};

} // namespace clementinegap
