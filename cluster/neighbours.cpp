#include "cluster/neighbours.h"

#include <algorithm>

namespace clementinegap {
namespace {

std::string ring_key_of(const member_info& info)
{
    return info.region + '/' + info.zone + '/' + info.vm;
}

} // namespace

member_ring::member_ring(const std::map<std::string, member_view>& members, const std::string& self)
{
    std::vector<std::pair<std::string, const member_info*>> ring;
    for (const auto& [vm, view] : members) {
        const bool alive = view.state != member_state::dead && !view.info.address.empty();
        if (vm == self || alive) {
            ring.emplace_back(ring_key_of(view.info), &view.info);
        }
    }
    std::ranges::sort(ring, {}, [](const auto& item) { return item.first; });
    size_ = ring.size();
    const auto own = std::ranges::find_if(ring, [&](const auto& item) { return item.second->vm == self; });
    if (own == ring.end()) {
        return;
    }
    ring_key_ = own->first;
    const auto position = static_cast<std::size_t>(own - ring.begin());
    for (std::size_t distance = 1; distance < size_; distance *= 2) {
        const auto& [ring_key, info] = ring[(position + distance) % size_];
        neighbours_.push_back(*info);
        neighbour_ring_keys_.push_back(ring_key);
    }
}

std::vector<member_ring::branch> member_ring::branches(const std::string& limit) const
{
    const auto& end = limit.empty() ? ring_key_ : limit;
    std::vector<branch> result;
    for (std::size_t i = 0; i < neighbours_.size(); ++i) {
        if (!precedes(neighbour_ring_keys_[i], end)) {
            break;
        }
        const bool last = i + 1 == neighbours_.size() || !precedes(neighbour_ring_keys_[i + 1], end);
        result.push_back({neighbours_[i].address, last ? end : neighbour_ring_keys_[i + 1]});
    }
    return result;
}

bool member_ring::precedes(const std::string& ring_key, const std::string& limit) const
{
    if (limit == ring_key_) {
        return ring_key != ring_key_;
    }
    const bool wraps = limit < ring_key_;
    return wraps ? ring_key > ring_key_ || ring_key < limit : ring_key > ring_key_ && ring_key < limit;
}

} // namespace clementinegap
