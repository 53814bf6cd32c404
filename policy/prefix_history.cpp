#include "policy/prefix_history.h"

namespace clementinegap {

void prefix_history::record(std::span<const std::uint64_t> hashes, const std::string& vm)
{
    for (const auto hash : hashes) {
        if (const auto found = index_.find(hash); found != index_.end()) {
            found->second->vm = vm;
            recent_.splice(recent_.begin(), recent_, found->second);
            continue;
        }
        if (index_.size() >= capacity_) {
            index_.erase(recent_.back().hash);
            recent_.pop_back();
        }
        recent_.push_front({hash, vm});
        index_.emplace(hash, recent_.begin());
    }
}

const std::string* prefix_history::prefix_upstream(std::span<const std::uint64_t> hashes) const
{
    for (auto hash = hashes.rbegin(); hash != hashes.rend(); ++hash) {
        if (const auto found = index_.find(*hash); found != index_.end()) {
            return &found->second->vm;
        }
    }
    return nullptr;
}

} // namespace clementinegap
