#pragma once

#include "core/time.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace clementinegap {

/// This daemon's shares of the rate limits that upstreams name to all daemons together, and the pace at which
/// it uses them.
///
/// A limit is divided equally among a few of the daemons, at most two more than it allows requests per
/// second, chosen by rendezvous hashing. A share is thus large enough to be useful however many daemons there
/// are, all daemons with the same members agree on the shares without coordination, and when a daemon joins
/// or ends, few of them change. The other daemons send nothing to the upstream.
///
/// Within its share a daemon spaces its requests evenly, but for a short head start (generic cell rate
/// algorithm).
class limit_shares {
public:
    explicit limit_shares(std::string daemon) : daemon_(std::move(daemon)) {}

    /// Recomputes the shares.
    /// \param limits requests per second, by upstream.
    /// \param others the other daemons.
    /// \param portion part of its shares that this daemon may use, 0 to 1.
    void update(const std::map<std::string, double, std::less<>>& limits, std::span<const std::string> others,
                double portion, time_point now);

    /// Whether nothing may be sent to the upstream now.
    bool is_blocked(std::string_view upstream, time_point now) const;
    /// When a request may be sent to a blocked upstream; `never` without a share, nothing if it is not
    /// blocked.
    std::optional<time_point> available_at(std::string_view upstream, time_point now) const;
    /// Records a send to the upstream.
    void sent(std::string_view upstream, time_point now);

    /// The limit of the upstream, in requests per second; nothing without one.
    std::optional<double> limit(std::string_view upstream) const;
    /// This daemon's share of it; 0 without one.
    double share(std::string_view upstream) const;

private:
    /// A limit is divided among this many daemons more than it allows requests per second. Each daemon's
    /// pacing can add one request to a window of time, so the sum stays within what a limit tolerates.
    static constexpr std::size_t additional_sharers = 2;
    /// Requests may be sent this much ahead of the even spacing, so that limits of many requests per second
    /// can be used by irregular traffic.
    static constexpr duration head_start = milliseconds(500);
    /// Lower limits count as this one, in requests per second: only a response can tell that a limit has
    /// ended.
    static constexpr double min_limit = 0.1;

    struct state {
        double limit{0};
        double share{0};
        time_point next{}; ///< When the next request is due by even spacing.
    };
    /// \returns this daemon's rank for the upstream, 0 being the first.
    std::size_t rank(std::string_view upstream, std::span<const std::string> others) const;

    std::string daemon_;
    std::map<std::string, state, std::less<>> states_;
};

} // namespace clementinegap
