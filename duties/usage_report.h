#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace clementinegap {

/// Number of a usage window: window k begins k window lengths after the Unix epoch.
using window_number = std::int64_t;

/// Requests that began to run in one window, by workspace.
struct usage_report {
    window_number window{0};
    std::map<std::string, std::uint64_t> counts;
    bool operator==(const usage_report&) const = default;
};

} // namespace clementinegap
