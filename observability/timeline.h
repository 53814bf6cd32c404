#pragma once

#include "core/event_record.h"
#include "core/outcome.h"
#include "observability/hybrid_clock.h"

#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// The time line of a whole deployment: the events of all processes in one causal order, and its text forms.

namespace clementinegap {

/// One event with the process that recorded it.
struct timeline_event {
    hybrid_time at;
    std::uint64_t sequence{0};
    std::string vm;
    event_record record;
};

/// Which events are wanted; an empty member fits all.
struct timeline_filter {
    std::string request_id;
    std::string class_name;
    std::string workspace;
    std::string upstream;
    std::int64_t from_us{std::numeric_limits<std::int64_t>::min()};
    std::int64_t to_us{std::numeric_limits<std::int64_t>::max()};

    bool fits(const timeline_event& event) const;
};

/// Reads the JSON lines of one process (see `event_log::json_lines`); `internal` names the first line that
/// cannot be read.
outcome<std::vector<timeline_event>> timeline_from_json_lines(std::string_view text);

/// Puts the events into causal order: by hybrid time, then by VM and sequence, so that the result is the same
/// whatever order the processes were read in.
void sort_timeline(std::vector<timeline_event>& events);

/// One line an event, for people.
std::string timeline_text(std::span<const timeline_event> events);
/// One JSON object a line.
std::string timeline_json_lines(std::span<const timeline_event> events);
/// The trace-event JSON format: a process for each VM, a track for each request, a span from each request's
/// admission to its end and from each run's start to its end, an instant for each event.
std::string timeline_trace(std::span<const timeline_event> events);

/// Wall microseconds as "2026-12-04T03:52:48.000001Z".
std::string utc_text(std::int64_t wall_us);

} // namespace clementinegap
