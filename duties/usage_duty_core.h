#pragma once

#include "duties/duty_ranking.h"
#include "duties/duty_tenure.h"
#include "duties/fleet_clock.h"
#include "duties/report_queue.h"
#include "duties/retry_delay.h"
#include "duties/usage_duty.h"
#include "duties/usage_ledger.h"

#include <optional>
#include <vector>

namespace clementinegap {

/// The state of `usage_duty`; copyable, so that tests can explore what may follow a state.
class usage_duty_core {
public:
    explicit usage_duty_core(usage_settings settings);

    void count(std::string_view workspace, std::int64_t unix_ms, time_point now);
    void heard(std::string_view daemon, std::uint64_t incarnation, duration next_in,
               const usage_statement& statement, time_point now);
    usage_statement statement(std::int64_t unix_ms, time_point now);
    std::span<const duty_action> on_event(const duty_event& event, std::int64_t unix_ms, time_point now);
    time_point next_due() const { return next_due_; }
    bool is_holder(time_point now) const { return tenure_.holds(now); }
    std::uint64_t token() const { return tenure_.token(); }
    std::size_t silent_daemons() const { return silent_daemons_; }

private:
    /// A call or write whose result has not arrived.
    struct pending_step {
        std::uint64_t step{0};
        time_point void_at;      ///< From then on the result counts as unknown.
        window_number window{0}; ///< Of a call.
    };

    void handle(const row_written& event, time_point now);
    void handle(const row_conflict& event, time_point now);
    void handle(const row_unknown& event, time_point now);
    void handle(const usage_accepted& event, time_point now);
    void handle(const usage_refused& event, time_point now);
    void handle(const tick& event, time_point now);

    void set_time(std::int64_t unix_ms, time_point now);
    void adopt_own(const duty_row& row, time_point now);
    void void_overdue_steps(time_point now);
    void send_if_due(time_point now);
    void write_if_due(time_point now);
    void write(time_point now);
    void refused(std::string_view reason, time_point now);
    void log(std::string event, std::string detail);

    window_number window_at(time_point now) const;
    duration since_end(window_number window, time_point now) const;
    /// The next window to record, if its counts are complete or waiting longer would be too late.
    std::optional<window_number> ready_window(window_number after, time_point now) const;
    /// The oldest window that is not known to be sent and whose report can be recorded or sent.
    std::optional<window_number> outstanding(time_point now) const;
    void update_outstanding(time_point now);
    bool is_turn(time_point now) const;
    bool should_hold(time_point now);
    std::vector<usage_report> reports_to_record(time_point now) const;

    usage_settings settings_;
    fleet_clock clock_;
    usage_ledger ledger_;
    duty_ranking ranking_;
    duty_tenure tenure_;
    report_queue queue_;
    retry_delay write_delay_;
    retry_delay send_delay_;

    bool is_started_{false};
    time_point started_at_{};
    bool was_holder_{false};
    std::uint64_t last_step_{0};
    std::optional<pending_step> writing_;
    std::optional<pending_step> sending_;
    time_point next_write_at_{};
    time_point next_send_at_{};
    std::optional<window_number> outstanding_;
    time_point outstanding_since_{};
    time_point next_due_{};
    /// Windows before this one may have been recorded in rows that the store has lost.
    window_number first_to_record_{0};
    std::size_t silent_daemons_{0};
    std::vector<duty_action> actions_;
};

} // namespace clementinegap
