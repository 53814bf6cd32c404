#pragma once

#include "duties/usage_report.h"

#include <cstdint>
#include <string>
#include <vector>

namespace clementinegap {

/// The newest state of the usage duty that a daemon knows. Of two statements, the one with the greater
/// (token, row version) is newer.
struct duty_statement {
    std::string holder;       ///< Empty: none is known.
    std::uint64_t token{0};   ///< Fencing token of the holder.
    std::uint64_t version{0}; ///< Version of the duty's row in the store.
    window_number sent{0}; ///< Newest window whose report was accepted, with all before it; 0: none is known.
    bool operator==(const duty_statement&) const = default;
};

/// The part of a load report that concerns the usage duty.
struct usage_statement {
    std::int64_t unix_ms{0}; ///< Time of day of the sender when it sent the report.
    /// Counts of the sender's process since its start, for the windows that are not known to be sent.
    std::vector<usage_report> windows;
    duty_statement duty;
    bool operator==(const usage_statement&) const = default;
};

} // namespace clementinegap
