#include "routing/upstream_limits.h"

#include <algorithm>

namespace clementinegap {
namespace {

bool is_stricter(std::optional<double> left, std::optional<double> right)
{
    return left && (!right || *left < *right);
}

} // namespace

bool upstream_limits::named(std::string_view upstream, double per_second, time_point sent_at, bool is_listed,
                            time_point now)
{
    const auto known = known_.find(upstream);
    if (known == known_.end()) {
        return set({std::string(upstream), 1, per_second}, is_listed, now);
    }
    const auto& current = known->second;
    if (current.per_second == per_second) {
        return false;
    }
    if (!is_stricter(per_second, current.per_second) && sent_at < current.known_since) {
        return false;
    }
    return set({std::string(upstream), current.revision + 1, per_second}, is_listed, now);
}

bool upstream_limits::not_named(std::string_view upstream, time_point sent_at, time_point now)
{
    const auto known = known_.find(upstream);
    if (known == known_.end() || !known->second.per_second || sent_at < known->second.known_since) {
        return false;
    }
    const auto& current = known->second;
    return set({std::string(upstream), current.revision + 1, std::nullopt}, current.is_listed, now);
}

bool upstream_limits::merge(const limit_statement& value, bool is_listed, time_point now)
{
    const auto known = known_.find(value.upstream);
    if (known == known_.end()) {
        return set(value, is_listed, now) && value.per_second.has_value();
    }
    const auto& current = known->second;
    const bool is_newer = value.revision > current.revision;
    const bool is_stricter_twin =
        value.revision == current.revision && is_stricter(value.per_second, current.per_second);
    if (!is_newer && !is_stricter_twin) {
        return false;
    }
    const bool differs = value.per_second != current.per_second;
    return set(value, is_listed, now) && differs;
}

bool upstream_limits::set(const limit_statement& value, bool is_listed, time_point now)
{
    auto known = known_.find(value.upstream);
    if (known == known_.end()) {
        if (known_.size() >= max_entries) {
            return false;
        }
        known = known_.emplace(value.upstream, entry{}).first;
    }
    const auto forget_at = !value.per_second ? now + ended_retention
                           : is_listed       ? never
                                             : now + unlisted_retention;
    known->second = {value.revision, value.per_second, now, is_listed, forget_at};
    ++revision_;
    return true;
}

std::optional<double> upstream_limits::at(std::string_view upstream) const
{
    const auto known = known_.find(upstream);
    return known == known_.end() ? std::nullopt : known->second.per_second;
}

std::map<std::string, double, std::less<>> upstream_limits::current() const
{
    std::map<std::string, double, std::less<>> result;
    for (const auto& [upstream, each] : known_) {
        if (each.per_second) {
            result.emplace(upstream, *each.per_second);
        }
    }
    return result;
}

std::vector<limit_statement> upstream_limits::next_statements(time_point now)
{
    std::vector<limit_statement> result;
    const auto add = [&](const auto& known) {
        result.push_back({known.first, known.second.revision, known.second.per_second});
    };
    const auto is_recent = [&](const auto& known) {
        return now - known.second.known_since < announcement_time;
    };
    for (const auto& each : known_) {
        if (each.second.is_listed && is_recent(each)) {
            add(each);
        }
    }
    auto next = known_.upper_bound(last_repeated_);
    std::size_t repeated = 0;
    for (std::size_t visited = 0; visited < known_.size() && repeated < repeated_statements; ++visited) {
        next = next == known_.end() ? known_.begin() : next;
        if (next->second.is_listed && !is_recent(*next)) {
            add(*next);
            ++repeated;
        }
        last_repeated_ = next->first;
        ++next;
    }
    return result;
}

void upstream_limits::listed(std::string_view upstream)
{
    const auto known = known_.find(upstream);
    if (known == known_.end()) {
        return;
    }
    known->second.is_listed = true;
    if (known->second.per_second) {
        known->second.forget_at = never;
    }
}

void upstream_limits::unlisted(std::string_view upstream, time_point now)
{
    const auto known = known_.find(upstream);
    if (known == known_.end()) {
        return;
    }
    known->second.is_listed = false;
    known->second.forget_at = std::min(known->second.forget_at, now + unlisted_retention);
}

void upstream_limits::expire(time_point now)
{
    revision_ += std::erase_if(known_, [&](const auto& each) { return each.second.forget_at <= now; });
}

} // namespace clementinegap
