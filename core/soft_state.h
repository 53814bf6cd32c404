#pragma once

#include "core/time.h"

#include <cstdint>
#include <string>

namespace clementinegap {

/// An item of soft state that daemons propagate to each other. Of two items with the same origin, kind and
/// key, the one with the greater (incarnation, sequence) is newer. Safety never depends on delivery.
struct soft_state_item {
    std::string origin; ///< The VM that published it.
    std::uint64_t incarnation{0};
    std::uint64_t sequence{0};
    std::string kind; ///< Such as "poison", "demand", "pace".
    std::string key;
    std::string value;    ///< JSON.
    duration lifetime{0}; ///< Counted from publication; expired items are dropped.
    bool operator==(const soft_state_item&) const = default;
};

} // namespace clementinegap
