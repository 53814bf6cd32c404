#pragma once

#include "core/outcome.h"
#include "routing/prompt_part_quarantine.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// Quarantined prompt parts as rows of the store's table of daemons, which every daemon follows.

namespace clementinegap {

std::string quarantine_row_key(std::uint64_t part);
/// Nothing for the key of another kind of row.
std::optional<std::uint64_t> part_of_quarantine_row(std::string_view key);

/// \param unix_ms the time of day; the ages of quarantines are stored as times of day.
std::string encode_quarantine_row(const quarantined_part& quarantined, std::int64_t unix_ms);
outcome<quarantined_part> decode_quarantine_row(std::uint64_t part, std::string_view text,
                                                std::int64_t unix_ms);

} // namespace clementinegap
