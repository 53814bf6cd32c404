#include "routing/report_admission.h"

#include <utility>

namespace clementinegap {

void report_admission::set_listed(std::set<std::string, std::less<>> names)
{
    listed_ = std::move(names);
}

bool report_admission::admits(std::string_view daemon, std::size_t bytes, time_point now)
{
    if (listed_.contains(daemon)) {
        return true;
    }
    const auto size = report_overhead + bytes + daemon.size();
    const auto known = unlisted_.find(daemon);
    const auto previous = known == unlisted_.end() ? 0 : known->second.bytes;
    if (unlisted_bytes_ - previous + size > max_unlisted_bytes) {
        expire(now);
        if (unlisted_bytes_ + size > max_unlisted_bytes) {
            return false;
        }
        return admits(daemon, bytes, now);
    }
    unlisted_bytes_ = unlisted_bytes_ - previous + size;
    unlisted_[std::string(daemon)] = {size, now};
    return true;
}

void report_admission::expire(time_point now)
{
    std::erase_if(unlisted_, [&](const auto& each) {
        const bool is_over = now - each.second.at >= lifetime || listed_.contains(each.first);
        unlisted_bytes_ -= is_over ? each.second.bytes : 0;
        return is_over;
    });
}

} // namespace clementinegap
