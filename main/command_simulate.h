#pragma once

#include "main/command_line.h"

namespace clementinegap {

/// `simulate PLAN`: tries placements of generations on modelled engines.
exit_code simulate_command(const parsed_words& words);

} // namespace clementinegap
