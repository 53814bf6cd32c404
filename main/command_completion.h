#pragma once

#include "main/command_line.h"

namespace clementinegap {

/// The completion script for bash, made from the table of commands.
std::string bash_completion();

/// `completion bash`.
exit_code completion_command(const parsed_words& words);

} // namespace clementinegap
