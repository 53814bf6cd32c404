#include "policy/rate_limiter.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace clementinegap {
namespace {

constexpr std::string_view demand_kind = "demand";
constexpr duration report_period = milliseconds(500);
constexpr duration report_lifetime = seconds(3);
constexpr duration propagation_time = seconds(2); ///< A report reaches every entry within this time.
constexpr double demand_smoothing = 0.8;          ///< Weight of the previous estimate.
constexpr std::size_t max_remembered_rates = 32;
constexpr double min_demand = 0.01;
constexpr double min_rate = 1e-3;

} // namespace

rate_limiter::rate_limiter(std::string vm, std::size_t max_buckets)
    : vm_(std::move(vm)), max_buckets_(max_buckets)
{
}

duration rate_limiter::report_interval()
{
    return report_period;
}

rate_limiter::bucket& rate_limiter::bucket_of(const std::string& key, time_point now)
{
    if (const auto found = buckets_.find(key); found != buckets_.end()) {
        recency_.splice(recency_.begin(), recency_, found->second.recency);
        return found->second;
    }
    if (buckets_.size() >= max_buckets_) {
        buckets_.erase(recency_.back());
        recency_.pop_back();
    }
    recency_.push_front(key);
    auto& added = buckets_[key];
    added.recency = recency_.begin();
    added.filled_at = now;
    added.counted_from = now;
    added.tokens = -1; // Initialized at the first request, which supplies the burst.
    return added;
}

void rate_limiter::update_rate(bucket& target, time_point now)
{
    std::erase_if(target.peers, [now](const auto& item) { return item.second.expires <= now; });
    double others = 0;
    for (const auto& [vm, item] : target.peers) {
        others += item.demand;
    }
    const double own = std::max(target.demand, min_demand);
    const double spare = target.limit - own - others;
    const double entries = static_cast<double>(target.peers.size() + 1);
    const double due = spare > 0 ? own + spare / entries : target.limit * own / (own + others);
    while (target.rates.size() > 1 && target.rates[1].first <= now - propagation_time) {
        target.rates.pop_front();
    }
    if (target.rates.size() < max_remembered_rates) {
        target.rates.emplace_back(now, due);
    } else {
        target.rates.back().second = std::min(target.rates.back().second, due);
    }
}

double rate_limiter::usable_rate(const bucket& target)
{
    return std::ranges::min_element(target.rates, {}, &std::pair<time_point, double>::second)->second;
}

double rate_limiter::rate_of(const std::string& key, time_point now)
{
    auto& target = bucket_of(key, now);
    update_rate(target, now);
    return usable_rate(target);
}

std::optional<duration> rate_limiter::refuse(const std::string& key, const rate& limit, time_point now)
{
    auto& target = bucket_of(key, now);
    ++target.arrivals;
    target.limit = limit.requests_per_second;
    if (target.rates.empty()) {
        update_rate(target, now);
    }
    const double rate = std::max(usable_rate(target), min_rate);
    const double share = std::min(rate / std::max(target.limit, min_rate), 1.0);
    const double depth = std::max(limit.burst * share, min_burst);
    const double elapsed = std::chrono::duration<double>(now - target.filled_at).count();
    target.tokens = target.tokens < 0 ? depth : std::min(depth, target.tokens + elapsed * rate);
    target.filled_at = now;
    if (target.tokens >= 1) {
        target.tokens -= 1;
        return std::nullopt;
    }
    const std::chrono::duration<double> wait((1 - target.tokens) / rate);
    return std::chrono::duration_cast<duration>(wait);
}

void rate_limiter::soft_state_received(const soft_state_item& item, time_point now)
{
    if (item.kind != demand_kind || item.origin == vm_) {
        return;
    }
    double demand = 0;
    const auto* end = item.value.data() + item.value.size();
    const auto [stop, error] = std::from_chars(item.value.data(), end, demand);
    const bool valid = error == std::errc{} && stop == end && demand >= 0;
    if (!valid) {
        return;
    }
    auto& target = bucket_of(item.key, now);
    target.peers[item.origin] = {demand, now + item.lifetime};
    if (target.limit > 0) {
        update_rate(target, now);
    }
}

std::vector<soft_state_item> rate_limiter::reports_due(time_point now)
{
    std::vector<soft_state_item> result;
    for (auto& [key, target] : buckets_) {
        const auto counted = std::chrono::duration<double>(now - target.counted_from).count();
        if (counted < std::chrono::duration<double>(report_period).count()) {
            continue;
        }
        const double observed = target.arrivals / counted;
        target.demand = demand_smoothing * target.demand + (1 - demand_smoothing) * observed;
        target.arrivals = 0;
        target.counted_from = now;
        if (target.limit > 0) {
            update_rate(target, now);
        }
        if (target.limit > 0 && target.demand >= min_demand) {
            soft_state_item item;
            item.kind = demand_kind;
            item.key = key;
            item.value = std::to_string(target.demand);
            item.lifetime = report_lifetime;
            result.push_back(std::move(item));
        }
    }
    std::ranges::sort(result, {}, &soft_state_item::key);
    return result;
}

} // namespace clementinegap
