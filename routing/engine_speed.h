#pragma once

#include "core/time.h"

#include <cstdint>

namespace clementinegap {

/// Estimated speed of a service's engines.
struct engine_speed {
    double prompt_tokens_per_ms{40}; ///< Prompt tokens that an engine reads per millisecond.
    duration token{milliseconds(8)}; ///< Time per output token of a stream on a moderately loaded engine.
    std::uint32_t samples{0};        ///< Number of streams measured; 0: the values are assumed.

    /// Time that an engine takes to read `tokens` prompt tokens.
    duration prefill_time(std::uint64_t tokens) const;
    bool operator==(const engine_speed&) const = default;
};

/// Measurements of one stream that completed successfully.
struct stream_sample {
    std::uint64_t tokens_read{0};  ///< Prompt tokens of this request and of those queued before it.
    duration first_event_after{0}; ///< From the send to the first event.
    duration streamed_for{0};      ///< From the first event to the end.
    std::uint32_t output_tokens{0};
};

/// Estimates the speed of a service's engines from this daemon's streams. Until there are enough samples, the
/// estimates of other daemons are used, or else the values of the settings, so a restarted daemon does not
/// start from scratch.
class engine_speed_estimate {
public:
    engine_speed_estimate() = default;
    explicit engine_speed_estimate(engine_speed assumed) : assumed_(assumed) { recompute(); }

    void stream_ended(const stream_sample& sample);
    /// Merges the estimate of another daemon. Implausible values are ignored.
    void merge_remote(const engine_speed& remote);
    const engine_speed& value() const { return value_; }

private:
    void learn_prefill_rate(const stream_sample& sample);
    void learn_token_time(const stream_sample& sample);
    void recompute();

    engine_speed assumed_; ///< From the settings, or from other daemons once they have reported.
    bool has_remote_{false};
    engine_speed value_;
    std::uint32_t samples_{0};
    // Weighted sums for a linear regression of first-event time over prompt tokens.
    double weight_{0};
    double sum_tokens_{0};
    double sum_time_{0};
    double sum_tokens_squared_{0};
    double sum_tokens_time_{0};
    double start_us_{0}; ///< Time to the first event of an empty prompt.
    double token_us_{0}; ///< Running median; 0: no sample yet.
};

} // namespace clementinegap
