#pragma once

#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace clementinegap {

/// An IPv4 address and port.
struct endpoint {
    std::string ip;
    std::uint16_t port{0};
    bool operator==(const endpoint&) const = default;
};

/// Parses "IP:PORT"; nothing if the text is malformed.
std::optional<endpoint> parse_endpoint(std::string_view text);
/// Formats as "IP:PORT".
std::string to_string(const endpoint& value);

/// An upstream's entry in the platform's directory.
struct upstream_record {
    std::string id;
    std::string service;
    endpoint address;
    std::string zone;
    std::uint32_t slots{1};
    bool leaving{false};
    std::int64_t incarnation{0}; ///< Start time in Unix milliseconds; another value means another process.
    /// Only equal ones can continue each other's streams; no order is known. Empty: not known.
    std::string software_version{};
    bool operator==(const upstream_record&) const = default;
};

} // namespace clementinegap
