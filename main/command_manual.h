#pragma once

#include "main/command_line.h"

namespace clementinegap {

/// `manual COMMAND|codes`.
exit_code manual_command(const parsed_words& words);

} // namespace clementinegap
