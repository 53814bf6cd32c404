#pragma once

#include "request/run_record.h"

#include <optional>
#include <string>
#include <string_view>

namespace clementinegap {

/// The table that holds run records.
inline constexpr std::string_view run_table = "runs";

/// The row's key; workspace and key are length-prefixed, so two pairs never meet.
std::string run_row_key(std::string_view workspace, std::string_view key);

std::string run_record_to_text(const run_record& record);

/// Nothing for a row that is not a run record.
std::optional<run_record> run_record_from_text(std::string_view text);

} // namespace clementinegap
