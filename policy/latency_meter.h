#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace clementinegap {

/// Smoothed first-token and inter-token times of one upstream, as measured by its daemon.
class latency_meter {
public:
    void record_first_token(duration value) { smooth(first_token_, value); }
    void record_token_interval(duration value);

    bool known() const { return samples_ >= min_samples; }
    duration first_token_time() const { return first_token_; }
    duration token_interval_time() const { return token_interval_; }

private:
    static constexpr std::uint32_t min_samples = 16;

    static void smooth(duration& average, duration value);

    duration first_token_{0};
    duration token_interval_{0};
    std::uint32_t samples_{0};
};

/// The latest inter-token time that each other upstream of the pool published.
class pool_latency {
public:
    void report_received(const std::string& vm, duration token_interval, time_point expires);
    /// \returns the median of the reports that have not expired; zero without any.
    duration median(time_point now);

private:
    struct report {
        duration token_interval{0};
        time_point expires;
    };
    std::map<std::string, report> reports_;
};

/// The number of slots that an upstream grants. If its inter-token time is much longer than the pool's
/// median, the number is reduced in proportion, but not below one, so that recovery can be observed.
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
