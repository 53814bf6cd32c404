#pragma once

#include <compare>
#include <cstdint>

namespace clementinegap {

/// The order in which requests are served: by the priority of their workspace, and within a workspace or
/// among equal ones by the priority of their route. The smaller one goes first.
struct request_priority {
    std::uint8_t workspace{0}; ///< The route's priority if the workspace has none.
    std::uint8_t route{0};
    auto operator<=>(const request_priority&) const = default;
};

} // namespace clementinegap
