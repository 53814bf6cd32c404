#pragma once

#include "duties/usage_duty.h"
#include "observability/metrics.h"
#include "router/timed_call.h"
#include "routing/load_tracker.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace clementinegap {

/// Performs the actions of this daemon's usage duty: conditional writes of its row in the platform's store
/// and reports to the platform's service, at most one call to each at a time.
class duty_runner {
public:
    struct settings {
        usage_settings usage;
        endpoint store;
        endpoint service;
        double calls_per_second{1}; ///< That the service accepts from all daemons together.
    };
    /// Time of day of this VM, in milliseconds since the Unix epoch.
    using wall_clock = std::function<std::int64_t()>;
    using logger = std::function<void(std::string_view event, std::string_view detail)>;

    duty_runner(event_loop& loop, settings values, wall_clock unix_ms, logger log, metrics& counters);

    /// Runs what is due.
    void run(time_point now);
    /// When `run` must be called next.
    time_point due() const;
    /// A request of this workspace began to run.
    void count(std::string_view workspace);
    /// The report of another daemon. Reports that are not newer than the last of the same daemon are ignored.
    void heard(const load_report& report, time_point now);
    /// The statement for this daemon's next report.
    usage_statement statement(time_point now);
    /// Changes the store's address, from the next call on.
    void set_store(endpoint store) { settings_.store = std::move(store); }
    /// Sets the gauges of the duty.
    void measure(time_point now);

private:
    struct heard_report {
        std::uint64_t incarnation{0};
        std::uint64_t sequence{0};
        time_point at;
    };
    /// The store answers within milliseconds; a lease is far longer.
    static constexpr duration store_timeout = seconds(1);

    void post(duty_event event);
    void perform(const write_duty_row& action);
    void perform(const send_usage& action);
    void perform(const log_duty& action);
    void perform(const count_usage_window& action);
    /// Starts the calls that wait and may begin.
    void start_calls(time_point now);
    void on_store_result(const timed_call::result& result);
    void on_service_result(const timed_call::result& result);

    settings settings_;
    wall_clock unix_ms_;
    logger log_;
    metrics& counters_;
    usage_duty duty_;
    timed_call store_call_;
    timed_call service_call_;
    std::deque<write_duty_row> writes_; ///< The first one is in progress if the store is being called.
    std::deque<send_usage> reports_;    ///< The first one is in progress if the service is being called.
    std::deque<duty_event> events_;
    bool dispatching_{false};
    time_point next_report_at_{}; ///< Before, a call could exceed what the service accepts.
    std::map<std::string, heard_report, std::less<>> last_reports_; ///< By daemon.
};

} // namespace clementinegap
