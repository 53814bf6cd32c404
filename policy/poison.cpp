#include "policy/poison.h"

#include <algorithm>
#include <charconv>

namespace clementinegap {
namespace {

constexpr std::string_view poison_kind = "poison";

} // namespace

std::vector<soft_state_item> poison_tracker::on_crash(std::span<const std::string> running, time_point now)
{
    const bool has_suspect =
        std::ranges::any_of(running, [&](const std::string& one) { return is_suspect(one, now); });
    std::vector<soft_state_item> items;
    for (const auto& fingerprint : running) {
        if (has_suspect && !is_suspect(fingerprint, now)) {
            continue;
        }
        const auto crashes = crashes_of(fingerprint, now) + 1;
        record_crashes(fingerprint, crashes, now + settings_.lifetime);
        items.push_back(make_item(fingerprint, crashes));
    }
    remove_expired(now);
    return items;
}

std::optional<soft_state_item> poison_tracker::on_success(const std::string& fingerprint, time_point now)
{
    if (!is_suspect(fingerprint, now)) {
        return std::nullopt;
    }
    suspicions_.erase(fingerprint);
    return make_item(fingerprint, 0);
}

void poison_tracker::soft_state_received(const soft_state_item& item, time_point now)
{
    const auto crashes = crashes_in(item);
    if (!crashes) {
        return;
    }
    if (*crashes == 0) {
        suspicions_.erase(item.key);
        return;
    }
    remove_expired(now);
    record_crashes(item.key, std::max(*crashes, crashes_of(item.key, now)), now + item.lifetime);
}

void poison_tracker::restore(const std::string& fingerprint, std::uint32_t crashes, duration age,
                             time_point now)
{
    const auto known = crashes_of(fingerprint, now);
    if (age < settings_.lifetime && known < crashes) {
        record_crashes(fingerprint, crashes, now + settings_.lifetime - age);
    }
}

std::optional<soft_state_item> poison_tracker::item_of(std::string_view fingerprint, time_point now) const
{
    const auto found = suspicions_.find(fingerprint);
    if (found == suspicions_.end() || now >= found->second.expires_at) {
        return std::nullopt;
    }
    auto item = make_item(found->first, found->second.crashes);
    item.lifetime = found->second.expires_at - now;
    return item;
}

std::optional<std::uint32_t> poison_tracker::crashes_in(const soft_state_item& item)
{
    if (item.kind != poison_kind) {
        return std::nullopt;
    }
    std::uint32_t crashes = 0;
    const auto parsed = std::from_chars(item.value.data(), item.value.data() + item.value.size(), crashes);
    return parsed.ec == std::errc{} ? std::optional(crashes) : std::nullopt;
}

bool poison_tracker::is_suspect(std::string_view fingerprint, time_point now) const
{
    return crashes_of(fingerprint, now) > 0;
}

bool poison_tracker::is_quarantined(std::string_view fingerprint, time_point now) const
{
    return crashes_of(fingerprint, now) >= settings_.quarantine_threshold;
}

std::uint32_t poison_tracker::crashes_of(std::string_view fingerprint, time_point now) const
{
    const auto found = suspicions_.find(fingerprint);
    return found == suspicions_.end() || now >= found->second.expires_at ? 0 : found->second.crashes;
}

void poison_tracker::record_crashes(const std::string& fingerprint, std::uint32_t crashes,
                                    time_point expires_at)
{
    if (suspicions_.size() < settings_.max_fingerprints || suspicions_.contains(fingerprint)) {
        suspicions_[fingerprint] = {crashes, expires_at};
    }
}

void poison_tracker::remove_expired(time_point now)
{
    std::erase_if(suspicions_, [now](const auto& item) { return now >= item.second.expires_at; });
}

soft_state_item poison_tracker::make_item(const std::string& fingerprint, std::uint32_t crashes) const
{
    soft_state_item item;
    item.kind = poison_kind;
    item.key = fingerprint;
    item.value = std::to_string(crashes);
    item.lifetime = settings_.lifetime;
    return item;
}

} // namespace clementinegap
