#include "routing/load_tracker.h"

#include <algorithm>

namespace clementinegap {
namespace {

upstream_load find_load(const std::unordered_map<std::string, upstream_load>& loads, std::string_view id)
{
    const auto found = loads.find(std::string(id));
    return found == loads.end() ? upstream_load{} : found->second;
}

} // namespace

void load_tracker::add(std::string_view upstream, std::uint32_t prefill_tokens, bool short_gap)
{
    auto& load = own_[std::string(upstream)];
    ++load.in_flight;
    load.prefill_tokens += prefill_tokens;
    load.short_gaps += short_gap ? 1 : 0;
}

void load_tracker::prefill_done(std::string_view upstream, std::uint32_t prefill_tokens)
{
    auto& load = own_[std::string(upstream)];
    load.prefill_tokens -= std::min(load.prefill_tokens, prefill_tokens);
}

void load_tracker::remove(std::string_view upstream, std::uint32_t prefill_tokens, bool short_gap)
{
    const auto found = own_.find(std::string(upstream));
    if (found == own_.end()) {
        return;
    }
    auto& load = found->second;
    load.in_flight -= std::min(load.in_flight, 1U);
    load.short_gaps -= std::min(load.short_gaps, short_gap ? 1U : 0U);
    load.prefill_tokens -= std::min(load.prefill_tokens, prefill_tokens);
    if (load.in_flight == 0) {
        own_.erase(found);
    }
}

void load_tracker::on_report(load_report report, time_point now)
{
    const auto known = reports_.find(report.daemon);
    if (known != reports_.end()) {
        const auto& last = known->second.report;
        const auto age = std::pair(report.incarnation, report.sequence);
        if (age <= std::pair(last.incarnation, last.sequence)) {
            return;
        }
        sum_up(last, -1);
    }
    sum_up(report, 1);
    auto name = report.daemon;
    reports_.insert_or_assign(std::move(name), received{std::move(report), now});
}

void load_tracker::expire(time_point now)
{
    for (auto each = reports_.begin(); each != reports_.end();) {
        const auto lifetime =
            std::max<duration>(report_lifetime, each->second.report.next_in * report_intervals);
        if (now - each->second.at < lifetime) {
            ++each;
            continue;
        }
        sum_up(each->second.report, -1);
        each = reports_.erase(each);
    }
}

void load_tracker::sum_up(const load_report& report, int sign)
{
    for (const auto& [upstream, load] : report.loads) {
        auto& sum = others_[upstream];
        sum.in_flight += static_cast<std::uint32_t>(sign) * load.in_flight;
        sum.short_gaps += static_cast<std::uint32_t>(sign) * load.short_gaps;
        sum.backoffs += static_cast<std::uint32_t>(sign) * load.backoffs;
        sum.prefill_tokens += static_cast<std::uint32_t>(sign) * load.prefill_tokens;
        if (sum == upstream_load{}) {
            others_.erase(upstream);
        }
    }
}

upstream_load load_tracker::at(std::string_view upstream) const
{
    auto sum = find_load(own_, upstream);
    const auto others = find_load(others_, upstream);
    sum.in_flight += others.in_flight;
    sum.short_gaps += others.short_gaps;
    sum.backoffs += others.backoffs;
    sum.prefill_tokens += others.prefill_tokens;
    return sum;
}

std::vector<stream_demand> load_tracker::demands_of_others() const
{
    std::vector<stream_demand> result;
    for (const auto& [name, each] : reports_) {
        const auto& demands = each.report.demands;
        result.insert(result.end(), demands.begin(), demands.end());
    }
    return result;
}

std::vector<std::pair<std::string, upstream_load>>
load_tracker::own_loads(std::span<const std::string> in_backoff) const
{
    auto loads = own_;
    for (const auto& upstream : in_backoff) {
        loads[upstream].backoffs = 1;
    }
    return {loads.begin(), loads.end()};
}

} // namespace clementinegap
