#pragma once

#include "capacity/slot_shares.h"
#include "routing/limit_shares.h"
#include "routing/upstream_backoffs.h"

#include <algorithm>
#include <optional>
#include <string_view>

namespace clementinegap {

/// Whether and when this daemon may send to an upstream: not during a backoff that the upstream asked for,
/// and within this daemon's shares of the upstream's rate limit and slots.
class send_gate {
public:
    /// \param slots nullptr: slots are not shared.
    send_gate(const upstream_backoffs& backoffs, const limit_shares& limits,
              const slot_shares* slots = nullptr)
        : backoffs_(backoffs), limits_(limits), slots_(slots)
    {
    }

    bool is_blocked(std::string_view upstream, time_point now) const
    {
        return backoffs_.is_blocked(upstream, now) || limits_.is_blocked(upstream, now) ||
               (slots_ != nullptr && slots_->is_blocked(upstream, now));
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
        // An empty optional is less than any time.
        const auto within_slots = slots_ == nullptr ? std::nullopt : slots_->available_at(upstream, now);
        return std::max(
            {backoffs_.available_at(upstream, now), limits_.available_at(upstream, now), within_slots});
    }
    /// Requests per second that this daemon's share of the upstream's slots allows; 0: it is not restricted.
    double slot_rate(std::string_view upstream, time_point now) const
    {
        return slots_ == nullptr ? 0 : slots_->rate(upstream, now);
    }
    /// See `slot_shares::ahead_of_share`.
    std::optional<double> ahead_of_share(std::string_view upstream, time_point now) const
    {
        return slots_ == nullptr ? std::nullopt : slots_->ahead_of_share(upstream, now);
    }
    const limit_shares& limits() const { return limits_; }

private:
    const upstream_backoffs& backoffs_;
    const limit_shares& limits_;
    const slot_shares* slots_;
};

} // namespace clementinegap
