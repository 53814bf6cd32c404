#pragma once

#include "main/command_line.h"

namespace clementinegap {

/// `status`.
exit_code status_command(const parsed_words& words);

} // namespace clementinegap
