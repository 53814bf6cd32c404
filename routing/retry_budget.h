#pragma once

#include "core/time.h"

#include <array>
#include <cstdint>
#include <optional>

namespace clementinegap {

/// Limits of extra sends, those beyond the first send of each request, for one service in a sliding window.
struct retry_budget_settings {
    double ratio{0.2}; ///< Extra sends per request.
    double slack{0};   ///< Extra sends of the whole fleet in addition to the ratio.
    duration window{seconds(10)};
};

/// One daemon's share of a retry budget for the whole fleet: the ratio applies to the daemon's own requests,
/// the slack is divided evenly. Counts are kept in buckets of an eighth of the window. Extra sends are summed
/// over one bucket more than the window, so that the limit holds for every window.
///
/// What other processes have spent before this one started is not known: the daemon's own former processes,
/// and those of daemons that were lost. Until it has left every window, a new process uses the reserve only.
class retry_budget {
public:
    /// \param started when this process may have followed others; nothing: it has not.
    explicit retry_budget(retry_budget_settings settings, std::optional<time_point> started = std::nullopt)
        : settings_(settings),
          settled_at_(started ? *started + settings.window + bucket_span() : time_point::min())
    {
    }

    void request_seen(time_point now);
    /// Counts one extra send if the budget allows it.
    /// \param daemons number of live daemons, including this one.
    bool take(std::size_t daemons, time_point now);

private:
    static constexpr std::size_t buckets_per_window = 8;
    static constexpr std::size_t bucket_count = buckets_per_window + 1;
    /// Part of the budget that is used. The rest is a reserve, because other daemons count a moment later and
    /// may see fewer members or have been restarted.
    static constexpr double usable_share = 0.7;
    /// Part of the ratio that a new process uses. It has no part of the slack, which would count anew with
    /// each of several restarts, while the ratio grows with the requests since the last of them only.
    static constexpr double reserve_share = 1 - usable_share;

    struct bucket {
        std::int64_t number{-1};
        std::uint32_t requests{0};
        std::uint32_t extra_sends{0};
    };
    bucket& current(time_point now);
    duration bucket_span() const { return settings_.window / static_cast<duration::rep>(buckets_per_window); }

    retry_budget_settings settings_;
    time_point settled_at_; ///< From then on, no window holds sends of former processes.
    std::array<bucket, bucket_count> buckets_;
};

} // namespace clementinegap
