#include "policy/queue_drain_meter.h"

#include <algorithm>

namespace clementinegap {
namespace {

constexpr duration bucket_length = milliseconds(125);
constexpr duration min_observed_time = milliseconds(500);

} // namespace

void queue_drain_meter::advance(time_point now, bool waiting)
{
    if (waiting && last_ != time_point{}) {
        buckets_.at(current_).waited += now - last_;
    }
    last_ = now;
    if (now - bucket_started_ >= bucket_length) {
        // Empty buckets are reused, so that the last known rate is kept over idle periods.
        if (buckets_.at(current_).waited > duration::zero()) {
            current_ = (current_ + 1) % bucket_count;
            buckets_.at(current_) = {};
        }
        bucket_started_ = now;
    }
}

std::optional<duration> queue_drain_meter::expected_wait(std::size_t ahead) const
{
    std::uint32_t left = 0;
    duration waited{0};
    for (const auto& item : buckets_) {
        left += item.left;
        waited += item.waited;
    }
    if (waited < min_observed_time) {
        return std::nullopt;
    }
    return waited * static_cast<std::int64_t>(ahead) / std::max(left, 1U);
}

} // namespace clementinegap
