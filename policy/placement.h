#pragma once

#include "policy/upstream_view.h"

#include <cstdint>
#include <random>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

/// \file
/// Placement: selects the upstreams that an entry daemon asks for a slot.

namespace clementinegap {

using random_engine = std::mt19937_64;

/// The properties of a request that placement uses.
struct placement_request {
    std::string_view zone; ///< Of the entry daemon.
    std::uint8_t tier{0};
    std::span<const std::uint64_t> prefix_hashes;
    std::string_view
        prefix_upstream; ///< The upstream that probably has the prompt's prefix cached; empty if unknown.
};

/// Indices into the candidates, the preferred one first.
using placement_choice = std::vector<std::size_t>;

/// Selects one upstream at random; the baseline for comparisons.
class random_placement {
public:
    placement_choice choose(std::span<const upstream_view* const> candidates,
                            const placement_request& request, random_engine& random) const;
};

/// Reserves at several upstreams at once, so that the first free slot takes the request even if load reports
/// are out of date. Candidates are ordered by expected wait, then the entry's own zone first, then at random.
/// An upstream that has the prompt's prefix cached and a free slot is asked alone.
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
