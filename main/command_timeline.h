#pragma once

#include "main/command_line.h"

namespace clementinegap {

/// `timeline`.
exit_code timeline_command(const parsed_words& words);

} // namespace clementinegap
