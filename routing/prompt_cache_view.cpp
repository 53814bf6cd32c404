#include "routing/prompt_cache_view.h"

namespace clementinegap {

void prompt_cache_view::placed(const part_placement& placement, time_point now)
{
    auto& cache = engines_[placement.upstream];
    const auto known = cache.places.find(placement.part);
    if (known != cache.places.end()) {
        known->second->used = now;
        cache.recent.splice(cache.recent.begin(), cache.recent, known->second);
        return;
    }
    cache.recent.push_front({placement.part, placement.tokens, now, now});
    holders_[placement.part].push_back(placement.upstream);
    cache.places[placement.part] = cache.recent.begin();
    cache.tokens += placement.tokens;
    while (cache.tokens > capacity_ && cache.recent.size() > 1) {
        const auto& oldest = cache.recent.back();
        cache.tokens -= oldest.tokens;
        forget_holder(oldest.part, placement.upstream);
        cache.places.erase(oldest.part);
        cache.recent.pop_back();
    }
}

void prompt_cache_view::forget(std::string_view upstream)
{
    const auto found = engines_.find(std::string(upstream));
    if (found == engines_.end()) {
        return;
    }
    for (const auto& held : found->second.recent) {
        forget_holder(held.part, found->first);
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

std::vector<std::string> prompt_cache_view::holders(const prompt_facts& prompt, time_point now) const
{
    const auto* session = prompt.session();
    const auto found = session == nullptr ? holders_.end() : holders_.find(session->id);
    std::vector<std::string> result;
    if (found == holders_.end()) {
        return result;
    }
    for (const auto& upstream : found->second) {
        const auto& held = *engines_.at(upstream).places.at(session->id);
        if (now - held.since >= read_after && missing_tokens(upstream, prompt, now) == 0) {
            result.push_back(upstream);
        }
    }
    return result;
}

std::uint32_t prompt_cache_view::missing_tokens(std::string_view upstream, const prompt_facts& prompt,
                                                time_point now) const
{
    if (prompt.parts.size() < 2) {
        return 0;
    }
    const auto shared = std::span(prompt.parts).first(prompt.parts.size() - 1);
    const auto found = engines_.find(std::string(upstream));
    std::uint32_t missing = 0;
    bool gap = found == engines_.end();
    for (const auto& part : shared) {
        if (!gap) {
            const auto place = found->second.places.find(part.id);
            gap = place == found->second.places.end() || now - place->second->used > believed_for;
        }
        missing += gap ? part.tokens : 0;
    }
    return missing;
}

void prompt_cache_view::expire(time_point now)
{
    std::vector<std::string> idle;
    for (const auto& [upstream, cache] : engines_) {
        if (cache.recent.empty() || now - cache.recent.front().used > believed_for) {
            idle.push_back(upstream);
        }
    }
    for (const auto& upstream : idle) {
        forget(upstream);
    }
}

} // namespace clementinegap
