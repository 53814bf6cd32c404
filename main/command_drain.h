#pragma once

#include "main/command_line.h"

namespace clementinegap {

/// `drain VM`.
exit_code drain_command(const parsed_words& words);

} // namespace clementinegap
