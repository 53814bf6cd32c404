#pragma once

#include "observability/timeline.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace clementinegap {

/// What was read from a process's log.
struct log_reading {
    std::vector<timeline_event> events;
    std::size_t unreadable{0}; ///< Lines that are not of the form that docs/entry-log.json gives.
};

/// Reads the JSON lines of an entry daemon's log. Text before the first brace of a line, such as a
/// collector's own time, is passed over, and so are lines without a brace.
log_reading events_from_log(std::string_view text);

} // namespace clementinegap
