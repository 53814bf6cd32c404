#pragma once

#include "routing/limit_shares.h"
#include "routing/upstream_backoffs.h"

#include <optional>
#include <string_view>

namespace clementinegap {

/// Whether and when this daemon may send to an upstream: not during a backoff that the upstream asked for,
/// and within this daemon's share of the upstream's rate limit.
class send_gate {
public:
    send_gate(const upstream_backoffs& backoffs, const limit_shares& limits)
        : backoffs_(backoffs), limits_(limits)
    {
    }

    bool is_blocked(std::string_view upstream, time_point now) const
    {
        return backoffs_.is_blocked(upstream, now) || limits_.is_blocked(upstream, now);
    }
    /// Whether prompt parts may be copied from the upstream. A copy is not a request, so it does not count
    /// towards a rate limit.
    bool may_copy_from(std::string_view upstream, time_point now) const
    {
        return !backoffs_.is_blocked(upstream, now);
    }
    /// When a blocked upstream accepts a request, as estimated; `never` if this daemon has no share of its
    /// limit, nothing if it is not blocked.
    std::optional<time_point> available_at(std::string_view upstream, time_point now) const
    {
        const auto after_backoff = backoffs_.available_at(upstream, now);
        const auto within_limit = limits_.available_at(upstream, now);
        return after_backoff && within_limit ? std::max(*after_backoff, *within_limit)
               : after_backoff               ? after_backoff
                                             : within_limit;
    }
    const limit_shares& limits() const { return limits_; }

private:
    const upstream_backoffs& backoffs_;
    const limit_shares& limits_;
};

} // namespace clementinegap
