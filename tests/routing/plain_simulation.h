#pragma once

#include "routing/router_fixture.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace clementinegap::testing {

/// Simulates a fleet of daemons that share a few plain upstreams with few slots. A full upstream rejects a
/// request with the statement that it did not run. Callers that are refused come back once, after the
/// Retry-After, at another daemon.
class plain_simulation {
public:
    struct plan {
        std::size_t daemons{29};
        std::size_t upstreams{4};
        std::uint32_t slots{6}; ///< Of each upstream.
        duration service_time{milliseconds(60)};
        double once_per_second{0};       ///< Requests that may run only once, at most at one upstream.
        double repeatable_per_second{0}; ///< Requests that may run at two upstreams.
        duration report_interval{milliseconds(150)};
        double report_loss{0};
        double resets{0}; ///< Share of its requests that the first upstream loses.
        double retry_slack{56};
        std::uint32_t seed{1};
    };
    /// What the callers got.
    struct results {
        std::uint64_t arrived{0};
        std::uint64_t in_time{0}; ///< Within the objective of 300 ms.
        std::uint64_t late{0};
        std::uint64_t refused{0};
        std::uint64_t failed{0};
        std::uint64_t sends{0};
        std::uint64_t rejections{0}; ///< By full upstreams.
        std::uint64_t lost{0};       ///< Sends that the failing upstream reset.
        std::uint64_t waited{0};     ///< Requests that a daemon held back.
        std::uint64_t returned{0};
        std::uint64_t returned_served{0};
        /// Sends beyond the first of each request, as a part of what the retry budget allows, in the worst
        /// window so far.
        double budget_used{0};
        double share(std::uint64_t part) const
        {
            return static_cast<double>(part) / static_cast<double>(std::max<std::uint64_t>(arrived, 1));
        }
    };

    explicit plain_simulation(const plan& options);

    void pass(duration span);
    void set_rates(double once_per_second, double repeatable_per_second);
    void set_resets(double share) { plan_.resets = share; }
    /// The results since the last call.
    results take_results();

private:
    struct open_request {
        time_point arrived;
        bool once{false};
        bool came_back{false};
        std::uint32_t sends{0};
        std::uint32_t send{0}; ///< Of the current send; a stop counts as one.
    };
    struct upstream {
        std::string id;
        std::uint32_t running{0};
    };
    struct budget_second {
        double requests{0};
        double extra_sends{0};
    };

    void at(time_point when, std::function<void()> what) { due_.emplace(when, std::move(what)); }
    void next_arrival(bool once);
    void arrive(std::size_t daemon, bool once, bool came_back);
    void give(std::size_t daemon, const router_event& event);
    void on_send(std::size_t daemon, const send_request& send);
    void on_response(std::size_t daemon, const respond_to_caller& response);
    void completed(const open_request& request);
    void report_from(std::size_t daemon);
    double budget_used() const;
    std::size_t any_daemon() { return random_() % plan_.daemons; }
    double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }

    plan plan_;
    std::mt19937 random_;
    time_point now_{testing::start};
    std::vector<std::unique_ptr<request_router>> routers_;
    std::vector<upstream> upstreams_;
    std::multimap<time_point, std::function<void()>> due_;
    std::map<request_number, open_request> open_;
    std::map<std::int64_t, budget_second> budget_;
    request_number last_{0};
    results results_;
    std::uint64_t arrival_epoch_{0}; ///< Arrivals that were planned before the last change are dropped.
};

} // namespace clementinegap::testing
