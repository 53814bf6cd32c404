#pragma once

#include "core/event_record.h"
#include "core/time.h"

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace clementinegap {

/// A hybrid logical time: wall microseconds and a counter that orders events of one microsecond and of cause
/// and effect.
struct hybrid_time {
    std::int64_t wall{0};
    std::uint32_t counter{0};
    auto operator<=>(const hybrid_time&) const = default;
};

struct stamped_event {
    hybrid_time at;
    std::uint64_t sequence{0};
    event_record record;
};

/// The bounded ring of a process's events; the oldest give way and are counted.
class event_log {
public:
    event_log(std::string vm, std::size_t capacity) : vm_(std::move(vm)), capacity_(capacity) {}

    void add(event_record record, time_point now);
    /// Moves the logical time past one that was seen on a message of another process.
    void witness(hybrid_time seen);
    hybrid_time latest() const;
    /// The events as JSON lines, oldest first; only those of `request_id` unless it is empty.
    std::string json_lines(const std::string& request_id) const;
    std::uint64_t dropped() const;

private:
    mutable std::mutex mutex_;
    std::string vm_;
    std::size_t capacity_;
    hybrid_time last_;
    std::uint64_t sequence_{0};
    std::uint64_t dropped_{0};
    std::deque<stamped_event> events_;
};

} // namespace clementinegap
