#pragma once

#include "cluster/member.h"

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace clementinegap {

/// The entry daemon that requests a subset.
struct subset_request {
    std::string vm;
    std::string zone;
    std::string region;
    std::size_t per_model{16};
};

/// Selects the upstreams to which an entry daemon keeps connections: for each model a deterministic subset by
/// rendezvous hashing, so that few connections change when a member joins or leaves. Half of it is from the
/// own zone if there are enough, the rest from other zones, the own region's first. Leaving members stay
/// connected for the runs that they still hold; dead members are selected only if nothing else is available.
std::vector<const member_view*> choose_upstreams(std::span<const member_view> members,
                                                 const subset_request& request);

} // namespace clementinegap
