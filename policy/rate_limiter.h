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

/// Token buckets over the whole deployment whose rate is divided between the entry daemons by the demand that
/// each observes and publishes: everyone gets its demand and an even part of what is spare, or a proportional
/// part when nothing is. A greater part is used only after it has been due for as long as reports take to
/// spread, a smaller one at once; so while reports arrive within that time the parts do not exceed the limit
/// together. Beyond it each entry may let a burst of `least_depth` requests pass.
class rate_limiter {
public:
    /// What one bucket allows over the whole deployment.
    struct rate {
        double requests_per_second{0};
        double burst{1};
    };

    explicit rate_limiter(std::string vm, std::size_t max_buckets = 4096);

    /// Takes one request out of the bucket `key`; the time until it may come back when it is empty.
    std::optional<duration> refuse(const std::string& key, const rate& limit, time_point now);
    /// Takes a report of another entry daemon.
    void item_seen(const soft_state_item& item, time_point now);
    /// Reports that are due; `next_report` tells when to ask again.
    std::vector<soft_state_item> reports_due(time_point now);
    static constexpr double least_depth = 3;
    static duration report_interval();

    /// Requests per second of the limit that this entry uses now.
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
        std::deque<std::pair<time_point, double>> rates; ///< That were due, oldest first.
        std::list<std::string>::iterator recency;
    };

    bucket& bucket_of(const std::string& key, time_point now);
    void note_rate(bucket& about, time_point now);
    static double usable_rate(const bucket& about);

    std::string vm_;
    std::size_t max_buckets_;
    std::unordered_map<std::string, bucket> buckets_;
    std::list<std::string> recency_; ///< Most recently used first.
};

} // namespace clementinegap
