#include "routing/row_source.h"

#include "core/digest.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace clementinegap {

std::uint32_t zone_number(std::string_view zone)
{
    return static_cast<std::uint32_t>(hash64(zone));
}

row_source::row_source(std::string daemon, const relay_status& own, bool prefer_relays)
    : daemon_(std::move(daemon)), own_(own), prefer_relays_(prefer_relays)
{
}

void row_source::on_report(const std::string& daemon, const relay_status& status, duration valid_for,
                           time_point now)
{
    first_report_at_ = std::min(first_report_at_, now);
    auto& known = peers_[daemon];
    known.status = status;
    known.valid_until = now + valid_for;
    newest_known_ = std::max(newest_known_, std::pair(status.era, status.directory_version));
    if (is_behind() && behind_since_ == never) {
        behind_since_ = now;
    }
}

void row_source::directory_read(std::uint64_t version, std::uint64_t complete_to, std::uint64_t era,
                                time_point now)
{
    const auto newest = std::max(std::pair(own_.era, own_.directory_version), std::pair(era, version));
    std::tie(own_.era, own_.directory_version) = newest;
    complete_to_ = std::max({complete_to_, newest, std::pair(era, complete_to)});
    behind_since_ = is_behind() ? now : never;
}

std::size_t row_source::rank_among_readers(std::uint64_t subject, time_point now) const
{
    const auto own = hash64(daemon_, subject);
    return static_cast<std::size_t>(std::ranges::count_if(peers_, [&](const auto& each) {
        const auto& [name, known] = each;
        return known.valid_until > now && known.status.serves && hash64(name, subject) < own;
    }));
}

bool row_source::is_behind() const
{
    return newest_known_ > complete_to_;
}

void row_source::relay_failed(const std::string& daemon, time_point now)
{
    relays_avoided_until_ = now + avoidance_time;
    if (const auto found = peers_.find(daemon); found != peers_.end()) {
        found->second.avoided_until = now + avoidance_time;
    }
}

void row_source::store_failed(std::size_t reader, time_point now)
{
    failing_since_[reader] = std::min(failing_since_[reader], now);
    if (now - failing_since() >= store_failure_timeout) {
        store_avoided_until_ = now + avoidance_time;
    }
}

void row_source::store_succeeded(std::size_t reader)
{
    failing_since_[reader] = never;
    if (failing_since() == never) {
        store_avoided_until_ = time_point{};
    }
}

bool row_source::may_serve(time_point now) const
{
    return failing_since() == never || now - failing_since() < serving_grace;
}

bool row_source::is_settling(time_point now) const
{
    return first_report_at_ == never || now - first_report_at_ < settling_time;
}

bool row_source::is_lagging(time_point now) const
{
    return behind_since_ != never && now - behind_since_ > max_lag;
}

const std::string& row_source::choose(time_point now)
{
    std::erase_if(peers_, [&](const auto& each) { return each.second.valid_until <= now; });
    if (is_lagging(now)) {
        // The current source delivers no updates, although it may still be connected.
        behind_since_ = now;
        if (!current_.empty()) {
            relay_failed(current_, now);
        } else {
            store_avoided_until_ = now + avoidance_time;
        }
    }
    if (now < store_avoided_until_) {
        current_ = best_relay(true, now);
    } else if (!prefer_relays_ || is_settling(now) || now < relays_avoided_until_ || is_relay(now)) {
        current_.clear();
    } else {
        current_ = best_relay(false, now);
    }
    return current_;
}

row_source::rank_value row_source::rank(const relay_status& status, std::string_view name)
{
    return {-static_cast<int>(status.link_mbps), hash64(name), name};
}

bool row_source::is_first(const rank_value& mine, time_point now) const
{
    auto before = static_cast<std::size_t>(rank(own_, daemon_) < mine ? 1 : 0);
    for (const auto& [name, known] : peers_) {
        const bool counts = known.valid_until > now && known.status.zone == own_.zone;
        before += counts && rank(known.status, name) < mine ? 1 : 0;
    }
    return before < relays_per_zone;
}

bool row_source::usable(const peer& candidate, time_point now) const
{
    return candidate.status.serves && candidate.valid_until > now && candidate.avoided_until <= now;
}

std::string row_source::best_relay(bool any_zone, time_point now) const
{
    const auto kept = peers_.find(current_);
    if (kept != peers_.end() && usable(kept->second, now)) {
        return current_;
    }
    std::string best;
    std::pair<bool, std::uint64_t> best_rank;
    for (const auto& [name, candidate] : peers_) {
        const bool near = candidate.status.zone == own_.zone;
        const bool stays = near && is_first(rank(candidate.status, name), now);
        if (!usable(candidate, now) || (!stays && !any_zone)) {
            continue;
        }
        const std::pair rank(near, hash64(name, hash64(daemon_)));
        if (best.empty() || rank > best_rank) {
            best = name;
            best_rank = rank;
        }
    }
    return best;
}

} // namespace clementinegap
