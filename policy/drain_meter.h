#pragma once

#include "core/time.h"

#include <array>
#include <cstdint>
#include <optional>

namespace clementinegap {

/// The rate at which a queue empties, by grants and by withdrawals, over the last seconds. It counts only
/// time in which something waited, so that an idle spell does not look like a slow one.
class drain_meter {
public:
    /// Tells how much was waiting until `now`; called before every change.
    void advance(time_point now, bool waiting);
    /// One item left the queue for a slot or because its owner withdrew it.
    void left() { ++buckets_.at(current_).left; }
    /// How long `ahead` items take to leave; nothing while too little was seen.
    std::optional<duration> expected_wait(std::size_t ahead) const;

private:
    struct bucket {
        std::uint32_t left{0};
        duration waited{0};
    };
    static constexpr std::size_t bucket_count = 16;

    std::array<bucket, bucket_count> buckets_{};
    std::size_t current_{0};
    time_point bucket_began_{};
    time_point last_{};
};

} // namespace clementinegap
