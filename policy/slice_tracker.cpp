#include "policy/slice_tracker.h"

#include <iterator>

namespace clementinegap {

bool slice_tracker::yields(const state& value) const
{
    return value.run.pausable && (!value.run.protected_ || value.spent());
}

void slice_tracker::begin(const sliced_run& run)
{
    const auto& added = runs_.insert_or_assign(run.id, state{run, 0}).first->second;
    if (run.protected_) {
        protected_.insert(run.id);
    }
    if (yields(added)) {
        yielding_.insert(rank_of(added));
    }
}

void slice_tracker::produced(std::uint64_t id, std::uint32_t tokens)
{
    const auto found = runs_.find(id);
    if (found == runs_.end() || tokens == 0) {
        return;
    }
    auto& value = found->second;
    yielding_.erase(rank_of(value));
    spent_.erase(rank_of(value));
    value.tokens += tokens;
    if (yields(value)) {
        yielding_.insert(rank_of(value));
    }
    if (value.run.pausable && value.spent()) {
        spent_.insert(rank_of(value));
    }
}

void slice_tracker::end(std::uint64_t id)
{
    const auto found = runs_.find(id);
    if (found == runs_.end()) {
        return;
    }
    yielding_.erase(rank_of(found->second));
    spent_.erase(rank_of(found->second));
    protected_.erase(id);
    runs_.erase(found);
}

std::optional<std::uint8_t> slice_tracker::lowest_preemptible_tier() const
{
    return yielding_.empty() ? std::nullopt : std::optional(std::get<0>(*yielding_.rbegin()));
}

std::optional<std::uint64_t> slice_tracker::victim(std::uint8_t tier) const
{
    if (!yielding_.empty() && std::get<0>(*yielding_.rbegin()) > tier) {
        return std::get<2>(*yielding_.rbegin());
    }
    // Within a tier only runs past their quantum are preempted.
    const auto after = spent_.lower_bound({static_cast<std::uint8_t>(tier + 1), 0, 0});
    if (after == spent_.begin()) {
        return std::nullopt;
    }
    const auto& candidate = *std::prev(after);
    return std::get<0>(candidate) == tier ? std::optional(std::get<2>(candidate)) : std::nullopt;
}

} // namespace clementinegap
