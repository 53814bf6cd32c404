#include "observability/event_log.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace clementinegap {

event_log::event_log(std::string vm, std::size_t capacity)
    : vm_(std::move(vm)), capacity_(std::max<std::size_t>(1, capacity))
{
}

void event_log::add(const event_record& record, time_point now)
{
    const std::lock_guard lock(mutex_);
    const auto at = clock_.next(now);
    const auto slot = static_cast<std::size_t>(sequence_ % capacity_);
    ++sequence_;
    if (slot == events_.size()) {
        events_.push_back({at, sequence_, record});
        return;
    }
    events_[slot].at = at;
    events_[slot].sequence = sequence_;
    events_[slot].record = record;
}

std::uint64_t event_log::dropped() const
{
    const std::lock_guard lock(mutex_);
    return sequence_ - events_.size();
}

std::size_t event_log::size() const
{
    const std::lock_guard lock(mutex_);
    return events_.size();
}

std::vector<stamped_event> event_log::copy(const std::string& request_id) const
{
    const std::lock_guard lock(mutex_);
    std::vector<stamped_event> result;
    const auto first = sequence_ - events_.size();
    for (std::uint64_t number = first; number < sequence_; ++number) {
        const auto& event = events_[static_cast<std::size_t>(number % capacity_)];
        if (request_id.empty() || event.record.request_id == request_id) {
            result.push_back(event);
        }
    }
    return result;
}

std::string event_log::json_lines(const std::string& request_id) const
{
    // The text is made outside the lock, so that a reader does not hold up the decision thread.
    std::string text;
    for (const auto& event : copy(request_id)) {
        const nlohmann::json line{{"wall_us", event.at.wall},          {"counter", event.at.counter},
                                  {"sequence", event.sequence},        {"vm", vm_},
                                  {"kind", event.record.kind},         {"request", event.record.request_id},
                                  {"class", event.record.class_name},  {"workspace", event.record.workspace},
                                  {"upstream", event.record.upstream}, {"detail", event.record.detail}};
        text += line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        text += '\n';
    }
    return text;
}

} // namespace clementinegap
