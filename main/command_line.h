#pragma once

#include <string>
#include <vector>

namespace clementinegap {

/// The exit codes of the command line; the table is in docs/codes.md.
enum class exit_code : int {
    ok = 0,
    refused = 1,     ///< The deployment or a check said no.
    usage = 2,       ///< The command line or a file is wrong.
    unreachable = 3, ///< A daemon or the platform could not be reached.
    unknown = 4      ///< Whether a change was accepted is not known.
};

/// Runs one subcommand of `clementinegap`.
exit_code run_command(const std::vector<std::string>& words);

} // namespace clementinegap
