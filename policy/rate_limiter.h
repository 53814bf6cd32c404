#pragma once

#include "core/soft_state.h"
#include "core/time.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace clementinegap {

/// Deployment-wide token buckets. Each limit is divided between the entry daemons by the demand that each of
/// them observes and publishes: every entry gets its demand plus an equal share of the spare rate, or a
/// proportional share if the demand exceeds the limit. An entry applies an increase of its share only after
/// the propagation time of reports, and a decrease at once, so the shares together do not exceed the limit
/// while reports arrive within that time. In addition each entry may admit a burst of `min_burst` requests.
class rate_limiter {
public:
    /// The limit of one bucket over the whole deployment.
    struct rate {
        double requests_per_second{0};
        double burst{1};
    };

    explicit rate_limiter(std::string vm, std::size_t max_buckets = 4096);

    /// Takes one request out of the bucket `key`.
    /// \returns nothing if the request is admitted, else the time after which it may be retried.
    std::optional<duration> refuse(const std::string& key, const rate& limit, time_point now);
    /// Processes a demand report of another entry daemon.
    void soft_state_received(const soft_state_item& item, time_point now);
    /// \returns the demand reports to publish now; must be called every `report_interval()`.
    std::vector<soft_state_item> reports_due(time_point now);
    static constexpr double min_burst = 3;
    static duration report_interval();

    /// \returns this entry's current share of the limit, in requests per second.
    double rate_of(const std::string& key, time_point now);
    std::size_t size() const { return buckets_.size(); }

private:
    struct peer {
        double demand{0};
        time_point expires;
    };
    struct bucket {
        double tokens{0};
        time_point filled_at;
        double limit{0};  ///< Requests per second over the whole deployment; 0 until it is known.
        double demand{0}; ///< Requests per second at this entry, smoothed.
        std::uint32_t arrivals{0};
        time_point counted_from;
        std::map<std::string, peer> peers;
        std::deque<std::pair<time_point, double>>
            rates; ///< Shares calculated within the propagation time, oldest first.
        std::list<std::string>::iterator recency;
    };

    bucket& bucket_of(const std::string& key, time_point now);
    void update_rate(bucket& target, time_point now);
    static double usable_rate(const bucket& target);

    std::string vm_;
    std::size_t max_buckets_;
    std::unordered_map<std::string, bucket> buckets_;
    std::list<std::string> recency_; ///< Most recently used first.
};

} // namespace clementinegap
