#pragma once

#include "policy/circuit_breaker.h"
#include "routing/send_fault.h"
#include "routing/upstream_record.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace clementinegap {

/// Recent outcomes of a daemon's requests at one process of an upstream, decayed.
struct outcome_statement {
    std::string upstream;
    std::int64_t incarnation{0};
    double lost{0};     ///< Requests without a usable response; rejected ones are not among them.
    double outcomes{0}; ///< All requests.
    bool operator==(const outcome_statement&) const = default;
};

/// Reliability of each upstream as observed on this daemon's own connections, and of plain upstreams also as
/// other daemons report it: each of many daemons would otherwise lose several requests before it knows.
/// Health checks are not used, since an upstream may fail requests while its health check passes.
class upstream_health {
public:
    /// From this share of lost requests on, an upstream should not get requests that may run only once.
    static constexpr double failing_share = 0.1;

    void succeeded(std::string_view upstream, time_point now);
    /// The upstream sent a failure response, or no response.
    void failed(std::string_view upstream, time_point now);
    /// The upstream stated that it did not run the request; it was probably full.
    void rejected(std::string_view upstream, time_point now);
    /// No connection could be made.
    void unreachable(std::string_view upstream, time_point now);

    /// A send failed; the fault determines how it counts against the upstream.
    void send_failed(std::string_view upstream, send_fault fault, time_point now);

    /// Whether new work should go to another upstream if there is one.
    bool avoided(std::string_view upstream, time_point now) const;
    /// Share of recent requests that failed, 0 to 1; 0 for an unknown upstream.
    double failure_share(std::string_view upstream, time_point now) const;
    /// The same for a plain upstream, the outcomes at this process that others reported included.
    double failure_share(const upstream_record& upstream, time_point now) const;
    /// Share of recent requests to a plain upstream that were lost, 0 to 1, reported outcomes included.
    double loss_share(const upstream_record& upstream, time_point now) const;
    bool loses_requests(const upstream_record& upstream, time_point now) const
    {
        return loss_share(upstream, now) >= failing_share;
    }

    /// The upstream was replaced by another process, to which earlier outcomes do not apply.
    void process_ended(std::string_view upstream);
    /// This daemon's outcomes at upstreams that lost requests recently, the most losses first; without
    /// incarnations.
    std::vector<outcome_statement> losses(time_point now) const;
    /// Replaces the statements in the daemon's previous report.
    void on_report(const std::string& daemon, const std::vector<outcome_statement>& statements,
                   time_point now);

    /// Removes upstreams that were not used recently.
    void expire(time_point now);

private:
    /// Time constant of the exponential decay of outcomes.
    static constexpr duration decay_time = seconds(4);
    /// Successes assumed for every upstream, so that a single failure has little weight.
    static constexpr double prior_successes = 3;

    /// Time constant of lost requests; shorter, so that an upstream that recovered is used again soon.
    static constexpr duration loss_decay_time = seconds(2);
    /// Fewer losses are not reported; a single one is reported for about three seconds.
    static constexpr double min_reported_losses = 0.2;

    struct loss_counts {
        double lost{0};
        double outcomes{0};
        time_point at{};
        loss_counts at_time(time_point now) const;
        void add(double more_lost, double more_outcomes, time_point now);
    };
    struct record {
        circuit_breaker breaker;
        double failures{0};
        double outcomes{0};
        time_point at{};
        loss_counts losses;
    };
    struct reported {
        std::vector<outcome_statement> statements;
        time_point at{};
    };
    record& decayed(std::string_view upstream, time_point now);
    loss_counts of_others(const upstream_record& upstream, time_point now) const;
    static std::string process_key(std::string_view upstream, std::int64_t incarnation);

    std::unordered_map<std::string, record> records_;
    std::unordered_map<std::string, reported> reports_;          ///< By daemon.
    std::unordered_map<std::string, loss_counts> others_losses_; ///< Sums over `reports_`, by process.
};

} // namespace clementinegap
