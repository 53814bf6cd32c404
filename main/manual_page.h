#pragma once

#include "main/command_line.h"

#include <string>

namespace clementinegap {

/// The manual page of one subcommand in the man macros, made from the table of commands. docs/man holds these
/// pages; misc/generate_docs.sh writes them.
std::string manual_page(const command& about);

/// docs/codes.md: the result codes and the exit codes.
std::string codes_page();

} // namespace clementinegap
