#pragma once

#include "cluster/member.h"

#include <map>
#include <string>
#include <vector>

namespace clementinegap {

/// The sorted list of live members as a ring, and the neighbours on it at power-of-two distances. Sorted by
/// region and zone first, so that most links stay inside a region.
class member_ring {
public:
    member_ring() = default;
    member_ring(const std::map<std::string, member_view>& members, const std::string& self);

    /// Positions on the ring relative to this daemon: 1, 2, 4, ...
    const std::vector<member_info>& neighbours() const { return neighbours_; }
    std::size_t size() const { return size_; }

    /// A neighbour with the end of the part of the ring that it passes an item on to.
    struct branch {
        std::string address;
        std::string limit;
    };
    /// The branches below this daemon for an item that it is to spread up to, not including, `limit`. An
    /// empty limit means the whole ring.
    std::vector<branch> branches(const std::string& limit) const;
    /// This daemon's own place, the limit of a spread that starts here.
    const std::string& place() const { return place_; }

private:
    bool lies_before(const std::string& place, const std::string& limit) const;

    std::string place_;
    std::size_t size_{0};
    std::vector<member_info> neighbours_;
    std::vector<std::string> neighbour_places_;
};

} // namespace clementinegap
