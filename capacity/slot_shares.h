#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace clementinegap {

/// What `slot_shares` needs to know of an upstream when something happened there.
struct slot_use {
    std::string_view upstream;
    std::uint32_t slots{1};     ///< Of the upstream, for all daemons together.
    duration service_time{0};   ///< Usual time of a request.
    std::size_t competitors{1}; ///< Daemons that send to the upstream, this one included.
};

/// Load: many daemons share upstreams with few slots and short requests, so that no report of the others is
/// new enough to tell whether a slot is free.
///
/// This daemon's share of the slots of each upstream, found from its own rejections alone (AIMD): a rejection
/// reduces the share by a part, each success raises it a little. A share may be less than one request: the
/// daemon then spaces its requests so that it uses that part of a slot on average. It is at least an even
/// share. An upstream that has rejected nothing for a while is not restricted at all.
class slot_shares {
public:
    /// An upstream that has not rejected for this long is not restricted; long against a request there, short
    /// against the intervals between surges.
    static constexpr duration restricted_for = seconds(2);

    void sent(const slot_use& use, time_point now);
    /// A send has ended, in whatever way.
    void ended(std::string_view upstream);
    void succeeded(const slot_use& use, time_point now);
    /// The upstream was full.
    void rejected(const slot_use& use, time_point now);

    bool is_blocked(std::string_view upstream, time_point now) const;
    /// When a blocked upstream may be sent a request, as estimated; nothing if it is not blocked.
    std::optional<time_point> available_at(std::string_view upstream, time_point now) const;
    /// Requests that this daemon may have at the upstream on average; nothing: it is not restricted.
    std::optional<double> share(std::string_view upstream, time_point now) const;
    /// Requests that this daemon has sent to a restricted upstream ahead of an even spacing by its share;
    /// negative if it is behind, nothing if the upstream is not restricted. Only this daemon's own sends
    /// count, so that daemons with the same reports do not all choose the same upstream.
    std::optional<double> ahead_of_share(std::string_view upstream, time_point now) const;
    /// Requests per second that the share allows; 0 if the upstream is not restricted.
    double rate(std::string_view upstream, time_point now) const;
    void expire(time_point now);

private:
    /// Part of a share that a rejection takes away, and part of an even share that a success adds. Few slots
    /// are only used well if some sends are rejected, since the daemons do not know of each other's sends.
    static constexpr double decrease = 0.05;
    static constexpr double increase = 0.1;
    /// A share begins with this many even ones: most daemons have less demand than an even share.
    static constexpr double first_even_shares = 3;

    struct state {
        std::uint32_t in_flight{0};
        double share{0};
        duration service_time{0};
        time_point rejected_at{};
        time_point reduced_at{};
        time_point next{}; ///< When the next request is due by even spacing; binding below one request.
        bool restricted{false};
    };
    static double even_share(const slot_use& use);
    const state* restricted(std::string_view upstream, time_point now) const;

    std::map<std::string, state, std::less<>> states_;
};

} // namespace clementinegap
