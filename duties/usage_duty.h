#pragma once

#include "duties/usage_duty_events.h"
#include "duties/usage_statement.h"

#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace clementinegap {

struct usage_settings {
    std::string daemon;           ///< Name of this daemon, which is also its name as a holder.
    std::uint64_t incarnation{0}; ///< Start time of this process.
    duration window{0};           ///< Length of a window.
    duration late{0};             ///< Time after the end of a window within which its report is due.
    duration lease_term{0};
};

/// Counts the requests of each workspace by window of the wall clock, together with the other daemons, and
/// sends one report for each window to the platform's service if this daemon is the holder of the duty. It
/// has no side effects: it receives events with their time and returns the actions to perform.
class usage_duty {
public:
    explicit usage_duty(usage_settings settings);
    usage_duty(const usage_duty&) = delete;
    usage_duty& operator=(const usage_duty&) = delete;
    ~usage_duty();

    /// A request of this workspace began to run.
    /// \param unix_ms time of day of this VM.
    void count(std::string_view workspace, std::int64_t unix_ms, time_point now);
    /// The statement in a report of another daemon.
    /// \param next_in time until the next report of that daemon.
    void heard(std::string_view daemon, std::uint64_t incarnation, duration next_in,
               const usage_statement& statement, time_point now);
    /// The statement for this daemon's next report.
    usage_statement statement(std::int64_t unix_ms, time_point now);

    /// \param unix_ms time of day of this VM.
    /// \returns actions in order; valid until the next call.
    std::span<const duty_action> on_event(const duty_event& event, std::int64_t unix_ms, time_point now);
    /// When the next `tick` is due.
    time_point next_due() const;

    bool is_holder(time_point now) const;
    /// The newest fencing token that this daemon knows; 0: none.
    std::uint64_t token() const;
    /// Daemons whose counts the last recorded report lacked.
    std::size_t silent_daemons() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace clementinegap
