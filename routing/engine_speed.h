#pragma once

#include "core/time.h"

#include <cstdint>

namespace clementinegap {

/// How fast the engines of a service are, as far as it is known.
struct engine_speed {
    double prompt_tokens_per_ms{40}; ///< Prompt tokens that an engine reads in a millisecond.
    duration token{milliseconds(8)}; ///< Time of a token of a stream in a moderately filled engine.
    std::uint32_t samples{0};        ///< Streams behind the figures; 0: assumed.

    /// Time that an engine takes to read `tokens` of a prompt.
    duration prefill_time(std::uint64_t tokens) const;
    bool operator==(const engine_speed&) const = default;
};

/// What is learned from one stream that ended well.
struct stream_sample {
    std::uint64_t tokens_read{0};  ///< Own tokens and those of others that were to be read before.
    duration first_event_after{0}; ///< From the send to the first event.
    duration streamed_for{0};      ///< From the first event to the end.
    std::uint32_t output_tokens{0};
};

/// Learns the speed of a service's engines from this daemon's streams. Until there are enough of them, what
/// the other daemons have learned counts, or else the figures of the settings: a restarted daemon does not
/// begin anew.
class engine_speed_estimate {
public:
    engine_speed_estimate() = default;
    explicit engine_speed_estimate(engine_speed assumed) : assumed_(assumed) { recompute(); }

    void stream_ended(const stream_sample& sample);
    /// Figures of another daemon.
    void merge_remote(const engine_speed& remote);
    const engine_speed& value() const { return value_; }

private:
    void learn_prefill_rate(const stream_sample& sample);
    void learn_token_time(const stream_sample& sample);
    void recompute();

    engine_speed assumed_; ///< Of the settings, or of the other daemons once they are heard.
    bool has_remote_{false};
    engine_speed value_;
    std::uint32_t samples_{0};
    // Weighted sums over the streams, for a line through first-event times over tokens.
    double weight_{0};
    double sum_tokens_{0};
    double sum_time_{0};
    double sum_tokens_squared_{0};
    double sum_tokens_time_{0};
    double start_us_{0}; ///< Time to the first event of a prompt without tokens.
    double token_us_{0}; ///< Running median; 0: none yet.
};

} // namespace clementinegap
