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
    cache.recent.push_front({placement.part, placement.tokens, now});
    cache.places[placement.part] = cache.recent.begin();
    cache.tokens += placement.tokens;
    while (cache.tokens > capacity_ && cache.recent.size() > 1) {
        const auto& oldest = cache.recent.back();
        cache.tokens -= oldest.tokens;
        cache.places.erase(oldest.part);
        cache.recent.pop_back();
    }
}

void prompt_cache_view::forget(std::string_view upstream)
{
    engines_.erase(std::string(upstream));
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
    std::erase_if(engines_, [&](const auto& each) {
        return each.second.recent.empty() || now - each.second.recent.front().used > believed_for;
    });
}

} // namespace clementinegap
