#pragma once

#include "policy/circuit_breaker.h"
#include "routing/send_fault.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace clementinegap {

/// What this daemon has seen of each upstream's reliability on its own connections. Health checks and reports
/// play no part: an upstream may fail requests while its health check is good.
class upstream_health {
public:
    void succeeded(std::string_view upstream, time_point now);
    /// An answer that the upstream should not have given, or an answer that did not come.
    void failed(std::string_view upstream, time_point now);
    /// No connection could be made: nobody is there.
    void unreachable(std::string_view upstream, time_point now);

    /// A send ended in a fault, which says more or less of the upstream.
    void send_failed(std::string_view upstream, send_fault fault, time_point now);

    /// Whether new work should go elsewhere while another upstream can be had.
    bool avoided(std::string_view upstream, time_point now) const;
    /// Share of recent requests that failed, 0 to 1; 0 for an upstream that is not known.
    double failure_share(std::string_view upstream, time_point now) const;
    /// Drops what is known of upstreams that were not used for a while.
    void expire(time_point now);

private:
    static constexpr duration decay_time = seconds(4); ///< Time constant in which old outcomes are forgotten.
    /// Outcomes of a good upstream that are assumed beforehand, so that one failure is no judgement.
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
