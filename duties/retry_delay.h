#pragma once

#include "core/time.h"

#include <cstdint>
#include <random>

namespace clementinegap {

/// Exponential backoff with jitter.
class retry_delay {
public:
    explicit retry_delay(std::uint64_t seed) : random_(seed) {}

    /// The delay after one more failure.
    duration failed();
    void succeeded() { failures_ = 0; }

private:
    std::minstd_rand random_;
    unsigned failures_{0};
};

} // namespace clementinegap
