#include "affinity/prefix_supply.h"

#include <chrono>

namespace clementinegap {
namespace {

duration time_at(double tokens_per_ms, std::uint32_t tokens)
{
    using ms = std::chrono::duration<double, std::milli>;
    return std::chrono::duration_cast<duration>(ms(tokens / tokens_per_ms));
}

} // namespace

prefix_supply cheapest_prefix_supply(const missing_prefix& prefix, const prefix_weights& weights)
{
    const auto reading_cost = [&](std::uint32_t tokens) {
        const double weight = weights.reread_weight + weights.delay_share * prefix.running;
        return time_at(prefix.read_tokens_per_ms / weight, tokens);
    };
    const prefix_supply by_reading{reading_cost(prefix.tokens), prefix.tokens, false};
    if (prefix.copied_tokens_per_ms <= 0 || prefix.tokens <= prefix.lacking_at_source) {
        return by_reading;
    }
    const auto copied = prefix.tokens - prefix.lacking_at_source;
    const auto cost = time_at(prefix.copied_tokens_per_ms, copied) +
                      time_at(prefix.read_tokens_per_ms / weights.copy_weight, copied) +
                      reading_cost(prefix.lacking_at_source);
    return cost < by_reading.cost ? prefix_supply{cost, prefix.lacking_at_source, true} : by_reading;
}

} // namespace clementinegap
