#include "routing/upstream_health.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace clementinegap {
namespace {

double remaining(duration age, duration time_constant)
{
    return std::exp(-std::chrono::duration<double>(age) / std::chrono::duration<double>(time_constant));
}

} // namespace

upstream_health::loss_counts upstream_health::loss_counts::at_time(time_point now) const
{
    const double kept = remaining(now - at, loss_decay_time);
    return {lost * kept, outcomes * kept, now};
}

void upstream_health::loss_counts::add(double more_lost, double more_outcomes, time_point now)
{
    *this = at_time(now);
    lost = std::max(0.0, lost + more_lost);
    outcomes = std::max(0.0, outcomes + more_outcomes);
}

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
    entry.losses.add(0, 1, now);
    entry.breaker.record_success();
}

void upstream_health::failed(std::string_view upstream, time_point now)
{
    auto& entry = decayed(upstream, now);
    entry.outcomes += 1;
    entry.failures += 1;
    entry.losses.add(1, 1, now);
}

void upstream_health::rejected(std::string_view upstream, time_point now)
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
        rejected(upstream, now);
        return;
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

double upstream_health::failure_share(const upstream_record& upstream, time_point now) const
{
    const auto others = of_others(upstream, now);
    if (others.lost == 0) {
        return failure_share(upstream.id, now);
    }
    const auto found = records_.find(upstream.id);
    const auto own = found == records_.end() ? record{} : found->second;
    const double kept = remaining(now - own.at, decay_time);
    return (own.failures * kept + others.lost) / (own.outcomes * kept + others.outcomes + prior_successes);
}

double upstream_health::loss_share(const upstream_record& upstream, time_point now) const
{
    auto sum = of_others(upstream, now);
    if (const auto found = records_.find(upstream.id); found != records_.end()) {
        const auto own = found->second.losses.at_time(now);
        sum.add(own.lost, own.outcomes, now);
    }
    return sum.lost / (sum.outcomes + prior_successes);
}

upstream_health::loss_counts upstream_health::of_others(const upstream_record& upstream, time_point now) const
{
    if (others_losses_.empty()) {
        return {0, 0, now};
    }
    const auto found = others_losses_.find(process_key(upstream.id, upstream.incarnation));
    return found == others_losses_.end() ? loss_counts{0, 0, now} : found->second.at_time(now);
}

std::string upstream_health::process_key(std::string_view upstream, std::int64_t incarnation)
{
    return std::string(upstream) + "@" + std::to_string(incarnation);
}

void upstream_health::process_ended(std::string_view upstream)
{
    if (const auto found = records_.find(std::string(upstream)); found != records_.end()) {
        found->second.failures = found->second.outcomes = 0;
        found->second.losses = {};
    }
}

std::vector<outcome_statement> upstream_health::losses(time_point now) const
{
    std::vector<outcome_statement> result;
    for (const auto& [upstream, entry] : records_) {
        const auto counts = entry.losses.at_time(now);
        if (counts.lost >= min_reported_losses) {
            result.push_back({upstream, 0, counts.lost, counts.outcomes});
        }
    }
    std::ranges::sort(result, [](const auto& left, const auto& right) {
        return std::tie(right.lost, left.upstream) < std::tie(left.lost, right.upstream);
    });
    return result;
}

void upstream_health::on_report(const std::string& daemon, const std::vector<outcome_statement>& statements,
                                time_point now)
{
    auto known = reports_.find(daemon);
    if (known == reports_.end()) {
        if (statements.empty()) {
            return;
        }
        known = reports_.emplace(daemon, reported{}).first;
    }
    const double kept = remaining(now - known->second.at, loss_decay_time);
    for (const auto& each : known->second.statements) {
        const auto sum = others_losses_.find(process_key(each.upstream, each.incarnation));
        if (sum != others_losses_.end()) {
            sum->second.add(-each.lost * kept, -each.outcomes * kept, now);
        }
    }
    for (const auto& each : statements) {
        others_losses_[process_key(each.upstream, each.incarnation)].add(each.lost, each.outcomes, now);
    }
    if (statements.empty()) {
        reports_.erase(known);
    } else {
        known->second = {statements, now};
    }
}

void upstream_health::expire(time_point now)
{
    constexpr int lifetimes = 8;
    std::erase_if(reports_, [&](const auto& each) { return now - each.second.at > lifetimes * decay_time; });
    std::erase_if(others_losses_,
                  [&](const auto& each) { return now - each.second.at > lifetimes * decay_time; });
    std::erase_if(records_, [&](const auto& each) { return now - each.second.at > lifetimes * decay_time; });
}

} // namespace clementinegap
