#include "routing/engine_speed.h"

#include "routing/scaled_duration.h"

#include <algorithm>
#include <cmath>

namespace clementinegap {
namespace {

/// Share of the old sums that a new stream leaves: some hundred streams count, a release shows in seconds.
constexpr double kept_per_stream = 0.995;
/// The assumed figures weigh as much as this many streams.
constexpr double assumed_weight = 12;
/// Prompt of the assumed streams, in tokens: long enough to lie on the line and not beside it.
constexpr double assumed_prompt = 10000;
/// A first event that took longer than this many times what was expected met a fault or a full engine.
constexpr double most_over_expected = 3;
/// A stream that took longer than the line says was held up by others; it says less of the engine.
constexpr double held_up_weight = 0.25;
/// Engines outside of these read for no known model; they keep a mistaken estimate from running away.
constexpr double slowest_tokens_per_ms = 1;
constexpr double fastest_tokens_per_ms = 1000;
constexpr duration longest_token = seconds(10);
/// Step of the running median of token times, as a share.
constexpr double median_step = 0.05;
/// Fewer output tokens than this say little of the time of one.
constexpr std::uint32_t least_output = 8;
/// Figures of others count from this many streams on.
constexpr std::uint32_t trusted_samples = 16;
/// Share of a figure heard that is taken over into the assumed ones.
constexpr double heard_share = 0.2;

double us(duration value)
{
    return std::chrono::duration<double, std::micro>(value).count();
}

} // namespace

duration engine_speed::reading(std::uint64_t tokens) const
{
    return scaled(milliseconds(1), static_cast<double>(tokens) / prompt_tokens_per_ms);
}

void engine_speed_estimate::stream_ended(const stream_sample& sample)
{
    ++samples_;
    learn_reading(sample);
    learn_token(sample);
    recompute();
}

void engine_speed_estimate::learn_reading(const stream_sample& sample)
{
    const auto tokens = static_cast<double>(sample.tokens_read);
    const double expected = start_us_ + us(value_.reading(sample.tokens_read));
    const double time = std::min(us(sample.first_event_after), expected * most_over_expected);
    const double weight = time > expected ? held_up_weight : 1;
    weight_ = weight_ * kept_per_stream + weight;
    sum_tokens_ = sum_tokens_ * kept_per_stream + weight * tokens;
    sum_time_ = sum_time_ * kept_per_stream + weight * time;
    sum_tokens_squared_ = sum_tokens_squared_ * kept_per_stream + weight * tokens * tokens;
    sum_tokens_time_ = sum_tokens_time_ * kept_per_stream + weight * tokens * time;
}

void engine_speed_estimate::learn_token(const stream_sample& sample)
{
    if (sample.output_tokens < least_output) {
        return;
    }
    const double seen = us(sample.streamed_for) / sample.output_tokens;
    if (token_us_ == 0) {
        token_us_ = us(assumed_.token);
    }
    token_us_ *= seen > token_us_ ? 1 + median_step : 1 - median_step;
}

void engine_speed_estimate::heard(const engine_speed& of_other)
{
    const double rate = of_other.prompt_tokens_per_ms;
    const bool possible = rate >= slowest_tokens_per_ms && rate <= fastest_tokens_per_ms &&
                          of_other.token > duration::zero() && of_other.token <= longest_token;
    if (of_other.samples < trusted_samples || !possible) {
        return;
    }
    const double share = heard_ ? heard_share : 1.0;
    heard_ = true;
    assumed_.prompt_tokens_per_ms += share * (of_other.prompt_tokens_per_ms - assumed_.prompt_tokens_per_ms);
    assumed_.token += scaled(of_other.token - assumed_.token, share);
    recompute();
}

void engine_speed_estimate::recompute()
{
    // The assumed streams: half of them with no prompt, half with a long one.
    const double assumed_time = us(assumed_.reading(static_cast<std::uint64_t>(assumed_prompt)));
    const double weight = weight_ + assumed_weight;
    const double tokens = sum_tokens_ + assumed_weight / 2 * assumed_prompt;
    const double time = sum_time_ + assumed_weight / 2 * assumed_time;
    const double squares = sum_tokens_squared_ + assumed_weight / 2 * assumed_prompt * assumed_prompt;
    const double products = sum_tokens_time_ + assumed_weight / 2 * assumed_prompt * assumed_time;
    const double spread = weight * squares - tokens * tokens;
    const double us_per_token = (weight * products - tokens * time) / spread;
    constexpr double us_per_ms = 1000;
    value_.prompt_tokens_per_ms =
        us_per_token > 0 ? std::clamp(us_per_ms / us_per_token, slowest_tokens_per_ms, fastest_tokens_per_ms)
                         : assumed_.prompt_tokens_per_ms;
    start_us_ = std::max(0.0, (time - us_per_token * tokens) / weight);
    value_.token = token_us_ > 0 ? scaled(microseconds(1), token_us_) : assumed_.token;
    value_.samples = samples_;
}

} // namespace clementinegap
