#include "policy/prefix_history.h"

namespace clementinegap {

void prefix_history::sent(std::span<const std::uint64_t> hashes, const std::string& vm)
{
    for (const auto hash : hashes) {
        if (const auto found = places_.find(hash); found != places_.end()) {
            found->second->vm = vm;
            recent_.splice(recent_.begin(), recent_, found->second);
            continue;
        }
        if (places_.size() >= bound_) {
            places_.erase(recent_.back().hash);
            recent_.pop_back();
        }
        recent_.push_front({hash, vm});
        places_.emplace(hash, recent_.begin());
    }
}

const std::string* prefix_history::favourite(std::span<const std::uint64_t> hashes) const
{
    for (auto hash = hashes.rbegin(); hash != hashes.rend(); ++hash) {
        if (const auto found = places_.find(*hash); found != places_.end()) {
            return &found->second->vm;
        }
    }
    return nullptr;
}

} // namespace clementinegap
