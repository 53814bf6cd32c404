#pragma once

#include "core/outcome.h"
#include "routing/suspicion_record.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// The suspicions of a daemon as a row of the platform's store, under the daemon's name. Daemons read the
/// table once, when they start.

namespace clementinegap {

inline constexpr std::string_view suspicions_table = "suspicions";

/// \param unix_ms the time of day; the ages of suspicions are stored as times of day.
std::string encode_suspicions(std::span<const suspicion> suspicions, std::int64_t unix_ms);
/// \returns `internal` with the reason for a row that cannot be read.
outcome<std::vector<suspicion>> decode_suspicions(std::string_view text, std::int64_t unix_ms);

} // namespace clementinegap
