#pragma once

#include "core/tick.h"
#include "core/time.h"
#include "duties/usage_report.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

/// \file
/// Events that the usage duty receives and actions that it returns.

namespace clementinegap {

/// The conditional write took effect.
struct row_written {
    std::uint64_t step{0};    ///< Of the corresponding `write_duty_row`.
    std::uint64_t version{0}; ///< The new version of the row.
    std::uint64_t era{0};     ///< Era of the store, which rises when it comes back from a copy; 0: unknown.
};

/// The row had another version than expected, so the write had no effect.
struct row_conflict {
    std::uint64_t step{0};
    std::uint64_t version{0}; ///< 0: the row does not exist.
    std::string value;
    std::uint64_t era{0}; ///< As in `row_written`.
};

/// It is unknown whether the write takes effect: there was no response, or a failure.
struct row_unknown {
    std::uint64_t step{0};
};

/// The platform's service accepted the report.
struct usage_accepted {
    std::uint64_t step{0}; ///< Of the corresponding `send_usage`.
};

/// The platform's service did not accept the report, or it is unknown whether it did.
struct usage_refused {
    std::uint64_t step{0};
    std::string reason; ///< For the log.
};

using duty_event = std::variant<row_written, row_conflict, row_unknown, usage_accepted, usage_refused, tick>;

/// A version that no row reaches; the greatest integer that every JSON reader takes exactly.
inline constexpr std::uint64_t no_row_version = 9'007'199'254'740'991;

/// Write the duty's row if it still has this version.
struct write_duty_row {
    std::uint64_t step{0};
    /// 0: the row must not exist. `no_row_version`: refused in any case, which reads the row.
    std::uint64_t expected_version{0};
    std::string value;
};

/// Send this report to the platform's service. The call is aborted with a connection reset at the deadline.
struct send_usage {
    std::uint64_t step{0};
    std::string holder;
    std::uint64_t token{0};
    usage_report report;
    time_point deadline;
};

/// A log line about the duty.
struct log_duty {
    std::string event;
    std::string detail;
};

/// How the report of a window ended.
enum class usage_result : std::uint8_t {
    sent,       ///< Accepted within the time allowed.
    late,       ///< Accepted later.
    repeated,   ///< A repetition of a report that may have been sent before.
    incomplete, ///< Recorded without the counts of all daemons.
};

struct count_usage_window {
    usage_result result{usage_result::sent};
};

using duty_action = std::variant<write_duty_row, send_usage, log_duty, count_usage_window>;

} // namespace clementinegap
