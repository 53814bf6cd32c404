#pragma once

#include "core/outcome.h"
#include "duties/usage_report.h"
#include "leases/lease.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace clementinegap {

/// The most reports that a row holds.
inline constexpr std::size_t reports_in_row = 4;

/// The duty's row in the store.
struct duty_row {
    lease_row lease;
    window_number sent{0};             ///< Newest window known to be accepted when the row was written.
    std::vector<usage_report> reports; ///< Recorded and not known to be accepted then; newest last.
    bool operator==(const duty_row&) const = default;
};

std::string to_row(const duty_row& row);
/// \returns a failure if the value is malformed, never a free lease.
outcome<duty_row> duty_row_from(std::string_view value);

} // namespace clementinegap
