#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace clementinegap {

/// An upstream's own first-token and inter-token times as its daemon sees them, smoothed.
class pace_meter {
public:
    void first_token(duration value) { blend(first_token_, value); }
    void token_interval(duration value);

    bool known() const { return samples_ >= least_samples; }
    duration first_token_time() const { return first_token_; }
    duration token_interval_time() const { return token_interval_; }

private:
    static constexpr std::uint32_t least_samples = 16;

    static void blend(duration& average, duration value);

    duration first_token_{0};
    duration token_interval_{0};
    std::uint32_t samples_{0};
};

/// The inter-token times that the other upstreams of the pool published, newest of each.
class pool_pace {
public:
    void seen(const std::string& vm, duration token_interval, time_point expires);
    /// The median of what has not expired; zero without any.
    duration median(time_point now);

private:
    struct report {
        duration token_interval{0};
        time_point expires;
    };
    std::map<std::string, report> reports_;
};

/// How many slots an upstream gives out. One whose tokens come much slower than its pool's is cut in
/// proportion, to one at least: that one shows when it has recovered.
class slot_limit {
public:
    explicit slot_limit(std::uint32_t slots) : slots_(slots), limit_(slots) {}

    void update(duration own, duration pool_median);
    std::uint32_t limit() const { return limit_; }
    bool slowed() const { return slowed_; }

private:
    std::uint32_t slots_;
    std::uint32_t limit_;
    bool slowed_{false};
};

} // namespace clementinegap
