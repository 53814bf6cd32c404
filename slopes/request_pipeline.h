#pragma once

#include "observability/event_log.h"
#include "observability/metrics.h"
#include "request/entry_core.h"
#include "request/upstream_core.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace clementinegap {

/// What one side spent, and what it sent.
struct side_cost {
    double cpu_us{0};
    std::uint64_t messages{0};
    std::uint64_t bytes{0};
    std::uint64_t records{0};
};

/// The load of one run.
struct pipeline_load {
    std::size_t requests{1000};
    std::uint32_t tokens{1};
    std::size_t body_bytes{2048};
    std::size_t token_bytes{120}; ///< A token as the engine streams it.
};

/// One entry core and the upstream cores that grant its reservations, joined by the real codec, with the real
/// event ring and metrics, all on the calling thread in manual time. The work of the two sides is done in
/// batches, so that the processor time of each side is known.
class request_pipeline {
public:
    /// `views` is the number of upstreams that the entry knows; three of them have a core and free slots.
    request_pipeline(configuration_ptr rules, std::size_t views, std::uint64_t seed);

    /// Runs a load to its end.
    void run(const pipeline_load& load);

    const side_cost& entry_cost() const { return entry_cost_; }
    const side_cost& upstream_cost() const { return upstream_cost_; }
    std::uint64_t completed() const { return completed_; }

private:
    using frame = std::pair<std::string, std::string>; ///< VM and encoded message.

    void connect(const std::string& vm);
    void settle();
    void entry_event_in(const entry_event& event);
    void upstream_event_in(const std::string& vm, const upstream_event& event);
    void apply(const entry_action& action);
    void apply(const std::string& vm, const upstream_action& action);
    void record(event_log& log, metrics& counts, side_cost& cost, const event_record& value) const;

    entry_core entry_;
    std::map<std::string, upstream_core, std::less<>> upstreams_;
    event_log entry_log_;
    event_log upstream_log_;
    metrics entry_metrics_;
    metrics upstream_metrics_;
    std::vector<frame> to_upstreams_;
    std::vector<frame> to_entry_;
    std::vector<std::pair<std::string, run_id>> runs_;
    side_cost entry_cost_;
    side_cost upstream_cost_;
    std::uint64_t completed_{0};
    caller_id last_caller_{0};
    time_point now_{seconds(1'000'000)};
};

} // namespace clementinegap
