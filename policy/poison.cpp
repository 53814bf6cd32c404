#include "policy/poison.h"

#include <algorithm>
#include <charconv>

namespace clementinegap {
namespace {

constexpr std::string_view poison_kind = "poison";

} // namespace

std::vector<soft_state_item> poison_book::crashed(std::span<const std::string> running, time_point now)
{
    const bool has_suspect =
        std::ranges::any_of(running, [&](const std::string& one) { return is_suspect(one, now); });
    std::vector<soft_state_item> spread;
    for (const auto& fingerprint : running) {
        if (has_suspect && !is_suspect(fingerprint, now)) {
            continue;
        }
        const auto crashes = crashes_of(fingerprint, now) + 1;
        raise(fingerprint, crashes, now + settings_.lifetime);
        spread.push_back(item_of(fingerprint, crashes));
    }
    forget_ended(now);
    return spread;
}

std::optional<soft_state_item> poison_book::ended_well(const std::string& fingerprint, time_point now)
{
    if (!is_suspect(fingerprint, now)) {
        return std::nullopt;
    }
    counts_.erase(fingerprint);
    return item_of(fingerprint, 0);
}

void poison_book::on_item(const soft_state_item& item, time_point now)
{
    if (item.kind != poison_kind) {
        return;
    }
    std::uint32_t crashes = 0;
    const auto parsed = std::from_chars(item.value.data(), item.value.data() + item.value.size(), crashes);
    if (parsed.ec != std::errc{}) {
        return;
    }
    if (crashes == 0) {
        counts_.erase(item.key);
        return;
    }
    forget_ended(now);
    raise(item.key, std::max(crashes, crashes_of(item.key, now)), now + item.lifetime);
}

bool poison_book::is_suspect(std::string_view fingerprint, time_point now) const
{
    return crashes_of(fingerprint, now) > 0;
}

bool poison_book::is_quarantined(std::string_view fingerprint, time_point now) const
{
    return crashes_of(fingerprint, now) >= settings_.quarantine_at;
}

std::uint32_t poison_book::crashes_of(std::string_view fingerprint, time_point now) const
{
    const auto found = counts_.find(fingerprint);
    return found == counts_.end() || now >= found->second.ends_at ? 0 : found->second.crashes;
}

void poison_book::raise(const std::string& fingerprint, std::uint32_t crashes, time_point ends_at)
{
    if (counts_.size() < settings_.max_fingerprints || counts_.contains(fingerprint)) {
        counts_[fingerprint] = {crashes, ends_at};
    }
}

void poison_book::forget_ended(time_point now)
{
    std::erase_if(counts_, [now](const auto& item) { return now >= item.second.ends_at; });
}

soft_state_item poison_book::item_of(const std::string& fingerprint, std::uint32_t crashes) const
{
    soft_state_item item;
    item.kind = poison_kind;
    item.key = fingerprint;
    item.value = std::to_string(crashes);
    item.lifetime = settings_.lifetime;
    return item;
}

} // namespace clementinegap
