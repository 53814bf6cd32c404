#pragma once

#include "core/outcome.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace clementinegap {

/// The properties that a daemon announces about itself; the value of its "member" item.
struct member_info {
    std::string vm;
    std::string role; ///< "entry" or "upstream".
    std::string zone;
    std::string region;
    std::string address; ///< "IP:port" of its peer protocol; empty when it does not accept connections.
    std::vector<std::string> models;
    bool leaving{false};
    bool operator==(const member_info&) const = default;
};

/// The liveness of a member as known by the overlay.
enum class member_state : std::uint8_t {
    listed,    ///< Contained only in the platform's list.
    live,      ///< It has announced itself and is not suspected.
    suspected, ///< It does not respond to a neighbour; it may still refute the suspicion.
    dead       ///< It did not refute a suspicion in time.
};

/// A member as one daemon sees it.
struct member_view {
    member_info info;
    std::uint64_t incarnation{0};
    std::uint64_t sequence{0};
    member_state state{member_state::listed};
    bool leaving{false}; ///< According to its own announcement, a leaving mark or the platform's list.
    bool operator==(const member_view&) const = default;
};

std::string to_item_value(const member_info& info);

/// \returns the member's properties; only the VM name is set when the value is malformed.
member_info member_from_item(std::string_view vm, std::string_view value);

} // namespace clementinegap
