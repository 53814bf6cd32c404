#include "routing/engine_speed.h"

#include "routing/scaled_duration.h"

#include <algorithm>
#include <cmath>

namespace clementinegap {
namespace {

/// Factor by which each stream decays the old sums: several hundred streams count, so a release with other
/// engines shows within seconds.
constexpr double decay_per_stream = 0.995;
/// The assumed values weigh as much as this many streams.
constexpr double assumed_weight = 12;
/// Prompt length of the assumed streams in tokens; long enough to determine the slope of the line.
constexpr double assumed_prompt = 10000;
/// First-event times are capped at this multiple of the expected time; a longer one indicates a fault or a
/// full engine.
constexpr double max_over_expected = 3;
/// Weight of a stream that took longer than expected: it was delayed by other streams and says less about the
/// engine.
constexpr double delayed_weight = 0.25;
/// Plausible range for any known model; it keeps a wrong estimate from diverging.
constexpr double min_tokens_per_ms = 1;
constexpr double max_tokens_per_ms = 1000;
constexpr duration max_token_time = seconds(10);
/// Relative step of the running median of token times.
constexpr double median_step = 0.05;
/// Shorter outputs are not used to estimate the time per token.
constexpr std::uint32_t min_output_tokens = 8;
/// Estimates of other daemons are used from this many samples on.
constexpr std::uint32_t min_remote_samples = 16;
/// Weight of another daemon's estimate when it is merged into the assumed values.
constexpr double remote_share = 0.2;

double us(duration value)
{
    return std::chrono::duration<double, std::micro>(value).count();
}

} // namespace

duration engine_speed::prefill_time(std::uint64_t tokens) const
{
    return scaled(milliseconds(1), static_cast<double>(tokens) / prompt_tokens_per_ms);
}

void engine_speed_estimate::stream_ended(const stream_sample& sample)
{
    ++samples_;
    learn_prefill_rate(sample);
    learn_token_time(sample);
    recompute();
}

void engine_speed_estimate::learn_prefill_rate(const stream_sample& sample)
{
    const auto tokens = static_cast<double>(sample.tokens_read);
    const double expected = start_us_ + us(value_.prefill_time(sample.tokens_read));
    const double time = std::min(us(sample.first_event_after), expected * max_over_expected);
    const double weight = time > expected ? delayed_weight : 1;
    weight_ = weight_ * decay_per_stream + weight;
    sum_tokens_ = sum_tokens_ * decay_per_stream + weight * tokens;
    sum_time_ = sum_time_ * decay_per_stream + weight * time;
    sum_tokens_squared_ = sum_tokens_squared_ * decay_per_stream + weight * tokens * tokens;
    sum_tokens_time_ = sum_tokens_time_ * decay_per_stream + weight * tokens * time;
}

void engine_speed_estimate::learn_token_time(const stream_sample& sample)
{
    if (sample.output_tokens < min_output_tokens) {
        return;
    }
    const double seen = us(sample.streamed_for) / sample.output_tokens;
    if (token_us_ == 0) {
        token_us_ = us(assumed_.token);
    }
    token_us_ *= seen > token_us_ ? 1 + median_step : 1 - median_step;
}

void engine_speed_estimate::merge_remote(const engine_speed& remote)
{
    const double rate = remote.prompt_tokens_per_ms;
    const bool possible = rate >= min_tokens_per_ms && rate <= max_tokens_per_ms &&
                          remote.token > duration::zero() && remote.token <= max_token_time;
    if (remote.samples < min_remote_samples || !possible) {
        return;
    }
    const double share = has_remote_ ? remote_share : 1.0;
    has_remote_ = true;
    assumed_.prompt_tokens_per_ms += share * (remote.prompt_tokens_per_ms - assumed_.prompt_tokens_per_ms);
    assumed_.token += scaled(remote.token - assumed_.token, share);
    recompute();
}

void engine_speed_estimate::recompute()
{
    // Half of the assumed streams have an empty prompt, half a long one.
    const double assumed_time = us(assumed_.prefill_time(static_cast<std::uint64_t>(assumed_prompt)));
    const double weight = weight_ + assumed_weight;
    const double tokens = sum_tokens_ + assumed_weight / 2 * assumed_prompt;
    const double time = sum_time_ + assumed_weight / 2 * assumed_time;
    const double squares = sum_tokens_squared_ + assumed_weight / 2 * assumed_prompt * assumed_prompt;
    const double products = sum_tokens_time_ + assumed_weight / 2 * assumed_prompt * assumed_time;
    const double spread = weight * squares - tokens * tokens;
    const double us_per_token = (weight * products - tokens * time) / spread;
    constexpr double us_per_ms = 1000;
    value_.prompt_tokens_per_ms =
        us_per_token > 0 ? std::clamp(us_per_ms / us_per_token, min_tokens_per_ms, max_tokens_per_ms)
                         : assumed_.prompt_tokens_per_ms;
    start_us_ = std::max(0.0, (time - us_per_token * tokens) / weight);
    value_.token = token_us_ > 0 ? scaled(microseconds(1), token_us_) : assumed_.token;
    value_.samples = samples_;
}

} // namespace clementinegap
