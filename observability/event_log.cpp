#include "observability/event_log.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace clementinegap {

void event_log::add(event_record record, time_point now)
{
    const std::lock_guard lock(mutex_);
    const auto wall = now.time_since_epoch().count();
    last_ = wall > last_.wall ? hybrid_time{wall, 0} : hybrid_time{last_.wall, last_.counter + 1};
    events_.push_back({last_, ++sequence_, std::move(record)});
    if (events_.size() > capacity_) {
        events_.pop_front();
        ++dropped_;
    }
}

void event_log::witness(hybrid_time seen)
{
    const std::lock_guard lock(mutex_);
    last_ = std::max(last_, seen);
}

hybrid_time event_log::latest() const
{
    const std::lock_guard lock(mutex_);
    return last_;
}

std::uint64_t event_log::dropped() const
{
    const std::lock_guard lock(mutex_);
    return dropped_;
}

std::string event_log::json_lines(const std::string& request_id) const
{
    const std::lock_guard lock(mutex_);
    std::string text;
    for (const auto& event : events_) {
        if (!request_id.empty() && event.record.request_id != request_id) {
            continue;
        }
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
