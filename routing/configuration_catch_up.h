#pragma once

#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace clementinegap {

/// Decides when a daemon requests a newer configuration from another daemon. Configurations usually arrive
/// through the store's feed. A daemon that the store rejects learns from its peers' reports which version is
/// in force and fetches it from a peer.
class configuration_catch_up {
public:
    explicit configuration_catch_up(time_point started = {}) : started_(started) {}

    /// Time that the feed has to deliver a version that a peer already has.
    static constexpr duration feed_grace = milliseconds(300);
    /// A daemon that starts does not wait for the feed: the store may have come back from an older copy.
    static constexpr duration startup_time = seconds(3);
    /// Minimum time between two requests, so that a peer that does not respond causes only a short delay.
    static constexpr duration retry_interval = milliseconds(500);

    /// Handles a peer's report of the version that it has in force.
    /// \returns the peer to request the configuration from now, if any.
    std::optional<std::string> on_report(const std::string& peer, std::uint64_t peer_version,
                                         std::uint64_t own_version, time_point now);

private:
    time_point started_;
    std::uint64_t awaited_version_{0};
    time_point awaited_since_{};
    time_point next_request_{};
};

} // namespace clementinegap
