#include "routing/generation_time_estimate.h"

#include <algorithm>

namespace clementinegap {
namespace {

/// Number of streams over which the estimates are smoothed.
constexpr int smoothing = 32;
/// A stream that took longer met a fault and does not reflect the usual time.
constexpr double max_start_factor = 4.0;
constexpr double min_start_factor = 0.5;
constexpr duration max_token_time = milliseconds(300);
/// Added to the expected time, so that tiny prompts have little influence.
constexpr duration start_overhead = milliseconds(10);
/// Share of the estimated length that a generation must have time for, because the callers' estimates are
/// correct only at the median.
constexpr double needed_length_share = 0.7;

} // namespace

void generation_time_estimate::stream_ended(std::string_view service, duration step_tolerance,
                                            duration expected_start, duration first_event_after,
                                            duration streamed_for, std::uint32_t expected_tokens)
{
    auto& timing = timings_[kind(service, step_tolerance)];
    const auto expected = static_cast<double>((expected_start + start_overhead).count());
    const double factor = std::clamp(static_cast<double>(first_event_after.count()) / expected,
                                     min_start_factor, max_start_factor);
    timing.start_factor += (factor - timing.start_factor) / smoothing;
    const auto token = std::min(streamed_for / std::max(expected_tokens, 1U), max_token_time);
    timing.token += (token - timing.token) / smoothing;
}

duration generation_time_estimate::expected_time(std::string_view service, duration step_tolerance,
                                                 duration expected_start, std::uint32_t expected_tokens) const
{
    const auto found = timings_.find(kind(service, step_tolerance));
    const auto known = found == timings_.end() ? timing{} : found->second;
    const double start = static_cast<double>(expected_start.count()) * known.start_factor;
    const double stream = static_cast<double>((known.token * expected_tokens).count()) * needed_length_share;
    return duration(static_cast<duration::rep>(start + stream));
}

} // namespace clementinegap
