#pragma once

#include "main/command_line.h"

namespace clementinegap {

/// `codes`: the table of result codes.
exit_code codes_command(const parsed_words& words);

/// `version`.
exit_code version_command(const parsed_words& words);

} // namespace clementinegap
