#pragma once

#include "cluster/member.h"

#include <map>
#include <string>
#include <vector>

namespace clementinegap {

/// The members that are not dead as a sorted ring, and this daemon's neighbours at power-of-two distances.
/// Sorted by region and zone first, so that most links stay within a region.
class member_ring {
public:
    member_ring() = default;
    member_ring(const std::map<std::string, member_view>& members, const std::string& self);

    /// The members at ring distances 1, 2, 4, ... from this daemon.
    const std::vector<member_info>& neighbours() const { return neighbours_; }
    std::size_t size() const { return size_; }

    /// A neighbour and the end of the ring section to which it forwards an item.
    struct branch {
        std::string address;
        std::string limit;
    };
    /// \returns the branches for an item that this daemon must propagate up to, but not including, `limit`.
    /// An empty limit means the whole ring.
    std::vector<branch> branches(const std::string& limit) const;
    /// This daemon's ring key, the limit of a propagation that starts here.
    const std::string& ring_key() const { return ring_key_; }

private:
    bool precedes(const std::string& ring_key, const std::string& limit) const;

    std::string ring_key_;
    std::size_t size_{0};
    std::vector<member_info> neighbours_;
    std::vector<std::string> neighbour_ring_keys_;
};

} // namespace clementinegap
