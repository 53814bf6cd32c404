#pragma once

#include "core/time.h"
#include "duties/usage_report.h"

#include <cstdint>
#include <span>
#include <string>

namespace clementinegap {

/// A call that arrived at the platform's service, at true time.
struct received_call {
    time_point at;
    std::string holder;
    std::uint64_t token{0};
    usage_report report;
};

/// The rule of fencing that calls in order of arrival break; empty when they keep all.
std::string broken_rule(std::span<const received_call> calls, duration lease_term);

} // namespace clementinegap
