#include "routing/prompt_cache_view.h"

#include <algorithm>

namespace clementinegap {

void prompt_cache_view::placed(const part_placement& placement, time_point now)
{
    auto& cache = engines_[placement.upstream];
    const auto known = cache.by_part.find(placement.part);
    if (known != cache.by_part.end()) {
        known->second->used = now;
        cache.recent.splice(cache.recent.begin(), cache.recent, known->second);
        return;
    }
    cache.recent.push_front({placement.part, placement.tokens, now, now + placement.ready_in});
    holders_[placement.part].push_back(placement.upstream);
    cache.by_part[placement.part] = cache.recent.begin();
    cache.tokens += placement.tokens;
    evict(cache, placement.upstream);
}

void prompt_cache_view::used(const memory_use& use, time_point now)
{
    auto& cache = engines_[use.upstream];
    auto& recent = cache.recent;
    const auto tokens = static_cast<std::uint32_t>(std::min<std::uint64_t>(use.tokens, capacity_));
    const bool joins_last = !recent.empty() && !recent.front().part &&
                            now - recent.front().used < unshared_interval &&
                            recent.front().tokens + std::uint64_t{tokens} <= capacity_;
    if (joins_last) {
        recent.front().tokens += tokens;
    } else {
        recent.push_front({std::nullopt, tokens, now, now});
    }
    cache.tokens += tokens;
    evict(cache, use.upstream);
}

void prompt_cache_view::evict(engine_cache& cache, const std::string& upstream)
{
    while (cache.tokens > capacity_ && cache.recent.size() > 1) {
        const auto& oldest = cache.recent.back();
        cache.tokens -= oldest.tokens;
        if (oldest.part) {
            forget_holder(*oldest.part, upstream);
            cache.by_part.erase(*oldest.part);
        }
        cache.recent.pop_back();
    }
}

void prompt_cache_view::was_read(std::string_view upstream, std::span<const prompt_part> parts,
                                 time_point now)
{
    const auto found = engines_.find(std::string(upstream));
    if (found == engines_.end()) {
        return;
    }
    for (const auto& part : parts) {
        const auto place = found->second.by_part.find(part.id);
        if (place != found->second.by_part.end()) {
            place->second->read_at = std::min(place->second->read_at, now);
        }
    }
}

void prompt_cache_view::forget_unread(std::string_view upstream, std::span<const prompt_part> parts,
                                      time_point now)
{
    const auto found = engines_.find(std::string(upstream));
    if (found == engines_.end()) {
        return;
    }
    auto& cache = found->second;
    for (const auto& part : parts) {
        const auto place = cache.by_part.find(part.id);
        if (place == cache.by_part.end() || place->second->read_at <= now) {
            continue;
        }
        cache.tokens -= place->second->tokens;
        cache.recent.erase(place->second);
        cache.by_part.erase(place);
        forget_holder(part.id, found->first);
    }
}

void prompt_cache_view::forget(std::string_view upstream)
{
    const auto found = engines_.find(std::string(upstream));
    if (found == engines_.end()) {
        return;
    }
    for (const auto& held : found->second.recent) {
        if (held.part) {
            forget_holder(*held.part, found->first);
        }
    }
    engines_.erase(found);
}

void prompt_cache_view::forget_holder(std::uint64_t part, const std::string& upstream)
{
    const auto found = holders_.find(part);
    if (found == holders_.end()) {
        return;
    }
    std::erase(found->second, upstream);
    if (found->second.empty()) {
        holders_.erase(found);
    }
}

const prompt_cache_view::held_part* prompt_cache_view::find_held(const engine_cache& cache,
                                                                 std::uint64_t part, time_point now)
{
    const auto place = cache.by_part.find(part);
    const bool is_held = place != cache.by_part.end() && now - place->second->used <= entry_lifetime;
    return is_held ? &*place->second : nullptr;
}

bool prompt_cache_view::has_read(std::string_view upstream, std::span<const prompt_part> parts,
                                 time_point now) const
{
    const auto found = engines_.find(std::string(upstream));
    return found != engines_.end() && std::ranges::all_of(parts, [&](const prompt_part& part) {
               const auto* held = find_held(found->second, part.id, now);
               return held != nullptr && now >= held->read_at;
           });
}

std::vector<std::string> prompt_cache_view::holders(const prompt_info& prompt, time_point now) const
{
    std::vector<std::string> result;
    for (auto parts = prompt.shared_parts(); !parts.empty(); parts = parts.first(parts.size() - 1)) {
        const auto found = holders_.find(parts.back().id);
        if (found == holders_.end()) {
            continue;
        }
        for (const auto& upstream : found->second) {
            if (has_read(upstream, parts, now)) {
                result.push_back(upstream);
            }
        }
        if (!result.empty()) {
            break;
        }
    }
    return result;
}

std::uint32_t prompt_cache_view::missing_tokens(std::string_view upstream, const prompt_info& prompt,
                                                time_point now) const
{
    const auto shared = prompt.shared_parts();
    if (shared.empty()) {
        return 0;
    }
    const auto found = engines_.find(std::string(upstream));
    std::uint32_t missing = 0;
    bool gap = found == engines_.end();
    for (const auto& part : shared) {
        gap = gap || find_held(found->second, part.id, now) == nullptr;
        missing += gap ? part.tokens : 0;
    }
    return missing;
}

void prompt_cache_view::expire(time_point now)
{
    std::vector<std::string> idle;
    for (const auto& [upstream, cache] : engines_) {
        if (cache.recent.empty() || now - cache.recent.front().used > entry_lifetime) {
            idle.push_back(upstream);
        }
    }
    for (const auto& upstream : idle) {
        forget(upstream);
    }
}

} // namespace clementinegap
