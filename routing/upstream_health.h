#pragma once

#include "policy/circuit_breaker.h"
#include "routing/send_fault.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace clementinegap {

/// Reliability of each upstream as observed on this daemon's own connections. Health checks and reports of
/// other daemons are not used, since an upstream may fail requests while its health check passes.
class upstream_health {
public:
    void succeeded(std::string_view upstream, time_point now);
    /// The upstream sent a failure response, or no response.
    void failed(std::string_view upstream, time_point now);
    /// No connection could be made.
    void unreachable(std::string_view upstream, time_point now);

    /// A send failed; the fault determines how it counts against the upstream.
    void send_failed(std::string_view upstream, send_fault fault, time_point now);

    /// Whether new work should go to another upstream if there is one.
    bool avoided(std::string_view upstream, time_point now) const;
    /// Share of recent requests that failed, 0 to 1; 0 for an unknown upstream.
    double failure_share(std::string_view upstream, time_point now) const;
    /// Removes upstreams that were not used recently.
    void expire(time_point now);

private:
    /// Time constant of the exponential decay of outcomes.
    static constexpr duration decay_time = seconds(4);
    /// Successes assumed for every upstream, so that a single failure has little weight.
    static constexpr double prior_successes = 3;

    struct record {
        circuit_breaker breaker;
        double failures{0};
        double outcomes{0};
        time_point at{};
    };
    record& decayed(std::string_view upstream, time_point now);

    std::unordered_map<std::string, record> records_;
};

} // namespace clementinegap
