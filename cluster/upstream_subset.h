#pragma once

#include "cluster/member.h"

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace clementinegap {

/// Who asks for a subset.
struct subset_request {
    std::string vm;
    std::string zone;
    std::string region;
    std::size_t per_model{16};
};

/// The upstreams that an entry daemon keeps connections to: for each model a deterministic subset by
/// rendezvous hashing, so that a member's coming or going moves few connections. Half of it is of the own
/// zone where there are enough, the rest of other zones, the own region's first; members that leave or are
/// dead are taken only while nothing better is there, for the runs that they still hold.
std::vector<const member_view*> choose_upstreams(std::span<const member_view> members,
                                                 const subset_request& request);

} // namespace clementinegap
