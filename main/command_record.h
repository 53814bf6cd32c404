#pragma once

#include "main/command_line.h"

namespace clementinegap {

/// `record show|resolve WORKSPACE KEY`.
exit_code record_command(const parsed_words& words);

} // namespace clementinegap
