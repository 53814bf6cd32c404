#pragma once

#include <string>
#include <string_view>

/// \file
/// Log lines as JSON, one object a line, over spdlog. The schema is in docs/logs.md.

namespace clementinegap {

/// Sends log lines to standard error and names this VM in each of them. `level` is spdlog's word, such as
/// "info".
void open_log(std::string_view vm, std::string_view level);

/// Writes one line; `event` is a dotted name, `detail` free text without secrets or prompts.
void log_info(std::string_view event, std::string_view detail);
void log_warning(std::string_view event, std::string_view detail);
void log_error(std::string_view event, std::string_view detail);

/// `text` as the inside of a JSON string.
std::string json_escaped(std::string_view text);

} // namespace clementinegap
