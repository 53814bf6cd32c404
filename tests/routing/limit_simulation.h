#pragma once

#include "routing/router_fixture.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace clementinegap::testing {

/// Simulates a fleet of daemons and upstreams that name rate limits, with callers that come back after the
/// Retry-After of a refusal. Daemons restart, freeze, are disconnected from the others, join and leave.
///
/// Checks what the platform requires: from `settle_time` after an upstream first named its limit, it receives
/// in no window of four seconds more than one and a half times what the limit allows, and five requests.
/// Counted are the requests of undisturbed daemons to which it had named the limit half a second before or
/// earlier.
class limit_simulation {
public:
    struct plan {
        std::size_t daemons{4};
        std::size_t upstreams{2};
        bool generations{false}; ///< Whether the upstreams are engines.
        double requests_per_second{40};
        duration response_time{milliseconds(60)};
        duration report_interval{milliseconds(100)};
        double report_loss{0}; ///< Share of the reports that are lost on their way to a daemon.
        std::uint32_t seed{1};
    };

    explicit limit_simulation(const plan& options);

    /// From now on the upstream names this limit in every response; nothing: it names none.
    void set_limit(std::size_t upstream, std::optional<double> per_second);
    void set_all_limits(std::optional<double> per_second);
    void pass(duration span);

    void restart(std::size_t daemon);
    void freeze(std::size_t daemon, duration span);
    /// Disconnects a daemon from the other daemons.
    void disconnect(std::size_t daemon, duration span);
    void add_daemons(std::size_t count);
    /// The daemon ends for good.
    void remove(std::size_t daemon);

    /// The first violation; empty if there is none.
    const std::string& broken() const { return broken_; }
    std::size_t daemons() const { return daemons_.size(); }
    std::uint64_t arrived() const { return arrived_; }
    std::uint64_t served() const { return served_; }
    std::uint64_t refused() const { return refused_; }
    /// Requests that came back after a refusal, and those of them that were served.
    std::uint64_t returned() const { return returned_; }
    std::uint64_t returned_served() const { return returned_served_; }
    /// Requests that the upstream received since the last call.
    std::uint64_t take_received(std::size_t upstream);

    static constexpr duration settle_time = seconds(3);
    static constexpr duration window = seconds(4);

private:
    static constexpr duration step = milliseconds(5);
    /// Time after which the platform holds a daemon to a limit that it was told.
    static constexpr duration notice_slack = milliseconds(500);
    static constexpr double allowed_factor = 1.5;
    static constexpr double allowed_extra = 5;
    /// Callers wait for at most the time that they have, divided by this.
    static constexpr int wait_divisor = 3;

    struct daemon {
        std::unique_ptr<request_router> router;
        std::uint64_t incarnation{1};
        bool removed{false};
        time_point frozen_until{};
        time_point disconnected_until{};
        time_point excused_until{};
        time_point next_report{};
        std::deque<router_event> inbox;          ///< Events that arrived while it was frozen.
        std::map<std::size_t, time_point> told;  ///< Since when it was told the current limit, by upstream.
        std::map<request_number, bool> returned; ///< Its open requests, and whether they came back.
    };
    struct upstream {
        std::string id;
        std::optional<double> limit;
        time_point named_since{never};
        std::deque<time_point> counted;                                    ///< Times of the counted requests.
        std::deque<std::pair<time_point, std::optional<double>>> limits{}; ///< Changes of the limit.
        std::uint64_t received{0};
    };
    struct response {
        std::size_t daemon;
        std::uint64_t incarnation;
        request_number request;
        std::size_t upstream;
    };
    struct comeback {
        std::size_t daemon;
    };

    void add_daemon();
    void start(std::size_t index);
    void run_step();
    void arrive(std::size_t index, bool is_return);
    void respond(const response& value);
    void exchange_reports(std::size_t from);
    void give(std::size_t index, const router_event& event);
    void on_send(std::size_t index, const send_request& send);
    /// The daemon is disturbed up to this time.
    void excuse(std::size_t daemon, time_point until);
    void on_refusal(std::size_t index, const respond_to_caller& refusal);
    void check(upstream& at);
    double allowed_in_window(const upstream& at) const;
    bool runs(const daemon& one) const { return !one.removed && one.frozen_until <= now_; }
    std::optional<std::size_t> any_running(std::optional<std::size_t> except = std::nullopt);
    double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }

    plan plan_;
    std::mt19937 random_;
    time_point now_{testing::start};
    double due_requests_{0};
    std::vector<daemon> daemons_;
    std::vector<upstream> upstreams_;
    std::multimap<time_point, response> responses_;
    std::multimap<time_point, comeback> comebacks_;
    std::set<request_number> stopped_;
    request_number last_{0};
    std::uint64_t arrived_{0};
    std::uint64_t served_{0};
    std::uint64_t refused_{0};
    std::uint64_t returned_{0};
    std::uint64_t returned_served_{0};
    std::string broken_;
};

} // namespace clementinegap::testing
