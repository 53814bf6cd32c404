#pragma once

#include "main/command_line.h"

namespace clementinegap {

/// `load EXPERIMENT ...`, `load report ...`, `load latency ...`.
exit_code load_command(const std::vector<std::string>& words);

} // namespace clementinegap
