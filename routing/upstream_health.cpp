#include "routing/upstream_health.h"

#include <cmath>

namespace clementinegap {
namespace {

double remaining(duration age, duration time_constant)
{
    return std::exp(-std::chrono::duration<double>(age) / std::chrono::duration<double>(time_constant));
}

} // namespace

upstream_health::record& upstream_health::decayed(std::string_view upstream, time_point now)
{
    auto& entry = records_[std::string(upstream)];
    const double kept = remaining(now - entry.at, decay_time);
    entry.failures *= kept;
    entry.outcomes *= kept;
    entry.at = now;
    return entry;
}

void upstream_health::succeeded(std::string_view upstream, time_point now)
{
    auto& entry = decayed(upstream, now);
    entry.outcomes += 1;
    entry.breaker.record_success();
}

void upstream_health::failed(std::string_view upstream, time_point now)
{
    auto& entry = decayed(upstream, now);
    entry.outcomes += 1;
    entry.failures += 1;
}

void upstream_health::unreachable(std::string_view upstream, time_point now)
{
    auto& entry = decayed(upstream, now);
    entry.outcomes += 1;
    entry.failures += 1;
    entry.breaker.record_failure(now);
}

void upstream_health::send_failed(std::string_view upstream, send_fault fault, time_point now)
{
    switch (fault) {
    case send_fault::unreachable:
        unreachable(upstream, now);
        return;
    case send_fault::wrong_instance:
        // The process at this address is not the listed upstream, so it is avoided at once.
        unreachable(upstream, now);
        unreachable(upstream, now);
        return;
    case send_fault::recalled:
        return;
    case send_fault::not_run:
    case send_fault::lost:
    case send_fault::failed_answer:
    case send_fault::bad_answer:
        failed(upstream, now);
        return;
    }
}

bool upstream_health::avoided(std::string_view upstream, time_point now) const
{
    const auto found = records_.find(std::string(upstream));
    return found != records_.end() && found->second.breaker.open(now);
}

double upstream_health::failure_share(std::string_view upstream, time_point now) const
{
    const auto found = records_.find(std::string(upstream));
    if (found == records_.end()) {
        return 0;
    }
    const double kept = remaining(now - found->second.at, decay_time);
    return found->second.failures * kept / (found->second.outcomes * kept + prior_successes);
}

void upstream_health::expire(time_point now)
{
    constexpr int lifetimes = 8;
    std::erase_if(records_, [&](const auto& each) { return now - each.second.at > lifetimes * decay_time; });
}

} // namespace clementinegap
