#pragma once

#include "availability/ended_processes.h"
#include "core/time.h"
#include "duties/usage_statement.h"
#include "routing/engine_speed.h"
#include "routing/leaving_upstreams.h"
#include "routing/prompt_cache_view.h"
#include "routing/prompt_part_quarantine.h"
#include "routing/row_source.h"
#include "routing/upstream_health.h"
#include "routing/upstream_limits.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace clementinegap {

/// Load that daemons put on one upstream.
struct upstream_load {
    std::uint32_t in_flight{0};
    std::uint32_t short_gaps{0};     ///< Requests of the kind of stream that tolerates the shortest gaps.
    std::uint32_t prefill_tokens{0}; ///< Prompt tokens still to be read, as estimated by the senders.
    std::uint32_t backoffs{0}; ///< Number of daemons that it asked to back off; it is then probably full.
    bool operator==(const upstream_load&) const = default;
};

/// Demand of the streams that tolerate the same time per token.
struct stream_demand {
    duration step_tolerance{0};
    double work{0};          ///< Engine seconds per second, averaged over a few seconds.
    double recent_work{0};   ///< The same over the last second.
    std::uint8_t urgency{0}; ///< Urgency of the most urgent stream; 0 is the highest.
};

/// A daemon's speed estimate for the engines of a service.
struct service_speed {
    std::string service;
    engine_speed speed;
    bool operator==(const service_speed&) const = default;
};

/// What a daemon reports to the other daemons about its own load and state.
struct load_report {
    std::string daemon;
    std::uint64_t incarnation{0};
    std::uint64_t sequence{0};
    std::uint64_t configuration_version{0};
    std::vector<std::pair<std::string, upstream_load>> loads; ///< By upstream id.
    std::vector<stream_demand> demands;
    std::vector<part_placement> placements; ///< Since the previous report.
    duration next_in{0}; ///< Time until the daemon's next report; larger fleets report less often.
    std::vector<service_speed> speeds{};          ///< Included in some of the reports only.
    std::vector<memory_use> memory_uses{};        ///< At engines, since the previous report.
    std::vector<leave_notice> leave_notices{};    ///< Listed upstreams that announced that they are leaving.
    std::vector<limit_statement> limits{};        ///< Rate limits that upstreams named.
    prompt_part_statements prompt_parts{};        ///< Parts that crash upstreams.
    relay_status relay{};                         ///< The platform's table rows that the daemon can serve.
    std::vector<ended_process> ended_processes{}; ///< Upstream processes that refused a connection lately.
    std::vector<outcome_statement> outcomes{};    ///< At plain upstreams that lost requests recently.
    std::optional<usage_statement> usage{};       ///< Nothing where no daemon sends usage reports.
};

/// Tracks the load of every upstream as the sum of this daemon's own load and the latest reports of the other
/// daemons. A report that is not renewed for several intervals expires, since its daemon has stopped or
/// cannot be reached.
class load_tracker {
public:
    /// Many report intervals of a small fleet.
    static constexpr duration report_lifetime = milliseconds(1500);
    /// Number of report intervals after which a report expires, if that is longer than `report_lifetime`. Two
    /// reports may be lost.
    static constexpr int report_intervals = 3;

    /// \param short_gap whether the request is of the kind that tolerates the shortest gaps.
    void add(std::string_view upstream, std::uint32_t prefill_tokens, bool short_gap);
    void prefill_done(std::string_view upstream, std::uint32_t prefill_tokens);
    /// \param prefill_tokens tokens of the prefill that were not read yet.
    void remove(std::string_view upstream, std::uint32_t prefill_tokens, bool short_gap);

    /// Ignores reports that are not newer than the last one of the same daemon.
    void on_report(load_report report, time_point now);
    void expire(time_point now);

    upstream_load at(std::string_view upstream) const;
    /// The demand of all other daemons.
    std::vector<stream_demand> demands_of_others() const;
    /// Number of daemons with a current report.
    std::size_t reporting_daemons() const { return reports_.size(); }
    /// This daemon's own loads, for its report.
    /// \param in_backoff upstreams that asked this daemon to back off.
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
