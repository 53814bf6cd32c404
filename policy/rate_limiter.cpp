#include "policy/rate_limiter.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace clementinegap {
namespace {

constexpr std::string_view demand_kind = "demand";
constexpr duration report_every = milliseconds(500);
constexpr duration report_lifetime = seconds(3);
constexpr duration spreading_time = seconds(2); ///< In which a report reaches every entry.
constexpr double demand_memory = 0.8;           ///< Weight of the former estimate.
constexpr std::size_t max_remembered_rates = 32;
constexpr double least_demand = 0.01;
constexpr double least_rate = 1e-3;

} // namespace

rate_limiter::rate_limiter(std::string vm, std::size_t max_buckets)
    : vm_(std::move(vm)), max_buckets_(max_buckets)
{
}

duration rate_limiter::report_interval()
{
    return report_every;
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
    added.tokens = -1; // Filled by its first use, which knows the burst.
    return added;
}

void rate_limiter::note_rate(bucket& about, time_point now)
{
    std::erase_if(about.peers, [now](const auto& item) { return item.second.expires <= now; });
    double others = 0;
    for (const auto& [vm, item] : about.peers) {
        others += item.demand;
    }
    const double own = std::max(about.demand, least_demand);
    const double spare = about.limit - own - others;
    const double entries = static_cast<double>(about.peers.size() + 1);
    const double due = spare > 0 ? own + spare / entries : about.limit * own / (own + others);
    while (about.rates.size() > 1 && about.rates[1].first <= now - spreading_time) {
        about.rates.pop_front();
    }
    if (about.rates.size() < max_remembered_rates) {
        about.rates.emplace_back(now, due);
    } else {
        about.rates.back().second = std::min(about.rates.back().second, due);
    }
}

double rate_limiter::usable_rate(const bucket& about)
{
    return std::ranges::min_element(about.rates, {}, &std::pair<time_point, double>::second)->second;
}

double rate_limiter::rate_of(const std::string& key, time_point now)
{
    auto& about = bucket_of(key, now);
    note_rate(about, now);
    return usable_rate(about);
}

std::optional<duration> rate_limiter::refuse(const std::string& key, const rate& limit, time_point now)
{
    auto& about = bucket_of(key, now);
    ++about.arrivals;
    about.limit = limit.requests_per_second;
    if (about.rates.empty()) {
        note_rate(about, now);
    }
    const double rate = std::max(usable_rate(about), least_rate);
    const double part = std::min(rate / std::max(about.limit, least_rate), 1.0);
    const double depth = std::max(limit.burst * part, least_depth);
    const double passed = std::chrono::duration<double>(now - about.filled_at).count();
    about.tokens = about.tokens < 0 ? depth : std::min(depth, about.tokens + passed * rate);
    about.filled_at = now;
    if (about.tokens >= 1) {
        about.tokens -= 1;
        return std::nullopt;
    }
    const std::chrono::duration<double> wait((1 - about.tokens) / rate);
    return std::chrono::duration_cast<duration>(wait);
}

void rate_limiter::item_seen(const soft_state_item& item, time_point now)
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
    auto& about = bucket_of(item.key, now);
    about.peers[item.origin] = {demand, now + item.lifetime};
    if (about.limit > 0) {
        note_rate(about, now);
    }
}

std::vector<soft_state_item> rate_limiter::reports_due(time_point now)
{
    std::vector<soft_state_item> result;
    for (auto& [key, about] : buckets_) {
        const auto counted = std::chrono::duration<double>(now - about.counted_from).count();
        if (counted < std::chrono::duration<double>(report_every).count()) {
            continue;
        }
        const double seen = about.arrivals / counted;
        about.demand = demand_memory * about.demand + (1 - demand_memory) * seen;
        about.arrivals = 0;
        about.counted_from = now;
        if (about.limit > 0) {
            note_rate(about, now);
        }
        if (about.limit > 0 && about.demand >= least_demand) {
            soft_state_item item;
            item.kind = demand_kind;
            item.key = key;
            item.value = std::to_string(about.demand);
            item.lifetime = report_lifetime;
            result.push_back(std::move(item));
        }
    }
    std::ranges::sort(result, {}, &soft_state_item::key);
    return result;
}

} // namespace clementinegap
