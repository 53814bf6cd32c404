#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace clementinegap {

/// A small row stored next to the configuration, which daemons poll instead of the full text.
struct head_row {
    std::uint64_t version{0};
    std::string hash; ///< SHA-256 of the canonical text.
};

std::string to_row(const head_row& head);

/// Parses a head row; nullopt if it is invalid.
std::optional<head_row> head_from_row(std::string_view value);

} // namespace clementinegap
