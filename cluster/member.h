#pragma once

#include "core/outcome.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace clementinegap {

/// What a daemon states about itself; the value of its "member" item.
struct member_info {
    std::string vm;
    std::string role; ///< "entry" or "upstream".
    std::string zone;
    std::string region;
    std::string address; ///< "IP:port" of its peer protocol; empty when it only dials out.
    std::vector<std::string> models;
    bool leaving{false};
    bool operator==(const member_info&) const = default;
};

/// What the overlay knows of a member's life.
enum class member_state : std::uint8_t {
    listed,    ///< Only the platform's list names it.
    live,      ///< It has stated itself and nobody doubts it.
    suspected, ///< A neighbour does not hear it; it may still refute.
    dead       ///< It did not refute in time.
};

/// A member as one daemon sees it.
struct member_view {
    member_info info;
    std::uint64_t incarnation{0};
    std::uint64_t sequence{0};
    member_state state{member_state::listed};
    bool leaving{false}; ///< By its own word or by the platform's list.
    bool operator==(const member_view&) const = default;
};

std::string to_item_value(const member_info& info);

/// Nothing but a vm name when the value is not that of a member item.
member_info member_from_item(std::string_view vm, std::string_view value);

} // namespace clementinegap
