#pragma once

#include "core/time.h"
#include "routing/engine_speed.h"
#include "routing/leaving_upstreams.h"
#include "routing/prompt_cache_view.h"
#include "routing/row_source.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace clementinegap {

/// Work that daemons have at one upstream.
struct upstream_load {
    std::uint32_t in_flight{0};
    std::uint32_t short_gaps{0};     ///< Requests of the kind of stream that tolerates the shortest gaps.
    std::uint32_t prefill_tokens{0}; ///< Prompt tokens still to be read, by the senders' estimate.
    std::uint32_t backoffs{0};       ///< Daemons that it asked to send nothing for now: it is likely full.
    bool operator==(const upstream_load&) const = default;
};

/// The wanted work of streams that tolerate the same time for one token.
struct stream_demand {
    duration step_tolerance{0};
    double work{0};          ///< Engine seconds per second, over a few seconds.
    double recent_work{0};   ///< The same over the last second.
    std::uint8_t urgency{0}; ///< Of the most urgent of them; 0 goes first.
};

/// What a daemon has learned of the engines of a service.
struct service_speed {
    std::string service;
    engine_speed speed;
    bool operator==(const service_speed&) const = default;
};

/// What one daemon tells the others of its own work.
struct load_report {
    std::string daemon;
    std::uint64_t incarnation{0};
    std::uint64_t sequence{0};
    std::uint64_t configuration_version{0};
    std::vector<std::pair<std::string, upstream_load>> loads; ///< By upstream id.
    std::vector<stream_demand> demands;
    std::vector<part_placement> placements; ///< Since the report before.
    duration next_in{0}; ///< Until the daemon's next report; larger fleets report more rarely.
    std::vector<service_speed> speeds{};       ///< In some of the reports.
    std::vector<leave_notice> leave_notices{}; ///< Listed upstreams that said that they are leaving.
    relay_status rows{};                       ///< What it can give of the platform's tables.
};

/// The load of every upstream as the sum of this daemon's own work and the latest reports of the others. A
/// report that is not renewed for several intervals no longer counts: its daemon is gone or out of reach.
class load_tracker {
public:
    static constexpr duration report_lifetime = milliseconds(1500); ///< Many intervals of a small fleet.
    /// Intervals after which a report no longer counts, where these are longer: two may be lost.
    static constexpr int report_intervals = 3;

    /// \param short_gap whether the request is of the kind that tolerates the shortest gaps.
    void add(std::string_view upstream, std::uint32_t prefill_tokens, bool short_gap);
    void prefill_done(std::string_view upstream, std::uint32_t prefill_tokens);
    /// \param prefill_tokens what was not done of the prefill.
    void remove(std::string_view upstream, std::uint32_t prefill_tokens, bool short_gap);

    /// Ignores reports that are older than the last of the same daemon.
    void on_report(load_report report, time_point now);
    void expire(time_point now);

    upstream_load at(std::string_view upstream) const;
    /// The demand of all other daemons.
    std::vector<stream_demand> demands_of_others() const;
    /// Daemons whose reports count.
    std::size_t reporting_daemons() const { return reports_.size(); }
    /// This daemon's own loads, for its report. \param paused upstreams that asked it for a pause.
    std::vector<std::pair<std::string, upstream_load>>
    own_loads(std::span<const std::string> in_backoff) const;

private:
    struct received {
        load_report report;
        time_point at;
    };
    void sum_up(const load_report& report, int sign);

    std::unordered_map<std::string, upstream_load> own_;
    std::unordered_map<std::string, upstream_load> others_; ///< Sum over `reports_`.
    std::map<std::string, received, std::less<>> reports_;
};

} // namespace clementinegap
