#pragma once

#include "core/time.h"

#include <array>
#include <cstdint>
#include <optional>

namespace clementinegap {

/// Measures the rate at which items leave a queue, by grants and by withdrawals, over the last seconds. Only
/// time in which the queue was not empty counts, so that an idle period does not lower the rate.
class queue_drain_meter {
public:
    /// Adds the time since the last call. Must be called before every change of the queue.
    /// \param waiting whether the queue was not empty since the last call.
    void advance(time_point now, bool waiting);
    /// Records that one item was granted a slot or withdrawn.
    void item_removed() { ++buckets_.at(current_).left; }
    /// \returns the time in which `ahead` items leave the queue; nothing while too little time was observed.
    std::optional<duration> expected_wait(std::size_t ahead) const;

private:
    struct bucket {
        std::uint32_t left{0};
        duration waited{0};
    };
    static constexpr std::size_t bucket_count = 16;

    std::array<bucket, bucket_count> buckets_{};
    std::size_t current_{0};
    time_point bucket_started_{};
    time_point last_{};
};

} // namespace clementinegap
