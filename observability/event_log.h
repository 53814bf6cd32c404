#pragma once

#include "core/event_record.h"
#include "core/time.h"
#include "observability/hybrid_clock.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace clementinegap {

struct stamped_event {
    hybrid_time at;
    std::uint64_t sequence{0};
    event_record record;
};

/// The bounded ring of a process's events; the oldest give way and are counted. Adding copies into the slot
/// of the event that gives way, so that its strings' memory is used again and the decision thread allocates
/// nothing; text is made only when the ring is read.
class event_log {
public:
    event_log(std::string vm, std::size_t capacity);

    void add(const event_record& record, time_point now);
    /// The clock that stamps events and messages between processes.
    hybrid_clock& clock() { return clock_; }
    /// The events as JSON lines, oldest first; only those of `request_id` unless it is empty.
    std::string json_lines(const std::string& request_id) const;
    /// Events that gave way to newer ones.
    std::uint64_t dropped() const;
    std::size_t size() const;

private:
    std::vector<stamped_event> copy(const std::string& request_id) const;

    mutable std::mutex mutex_;
    std::string vm_;
    std::size_t capacity_;
    hybrid_clock clock_;
    std::uint64_t sequence_{0}; ///< Of the newest event; its slot is `(sequence_ - 1) % capacity_`.
    std::vector<stamped_event> events_;
};

} // namespace clementinegap
