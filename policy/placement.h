#pragma once

#include "policy/upstream_view.h"

#include <cstdint>
#include <random>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

/// \file
/// Placement: which upstreams an entry daemon asks for a slot.

namespace clementinegap {

using random_engine = std::mt19937_64;

/// What placement may know of a request.
struct placement_request {
    std::string_view zone; ///< Of the entry daemon.
    std::uint8_t tier{0};
    std::span<const std::uint64_t> prefix_hashes;
    std::string_view favourite; ///< Upstream that has the prompt's prefix, as far as is known; empty without.
};

/// Indices into the candidates, the preferred one first.
using placement_choice = std::vector<std::size_t>;

/// One upstream at random; the baseline.
class random_placement {
public:
    placement_choice choose(std::span<const upstream_view* const> candidates,
                            const placement_request& request, random_engine& random) const;
};

/// Asks several upstreams at once, so that the first free slot takes the request whatever the load reports
/// say: the least expected wait, the entry's own zone first among equals, the rest at random. An upstream
/// that has the prompt's prefix and a free slot is asked alone.
class late_bound_placement {
public:
    explicit late_bound_placement(std::size_t width = 3) : width_(width) {}
    placement_choice choose(std::span<const upstream_view* const> candidates,
                            const placement_request& request, random_engine& random) const;

private:
    std::size_t width_;
};

using placement_policy = std::variant<random_placement, late_bound_placement>;

} // namespace clementinegap
