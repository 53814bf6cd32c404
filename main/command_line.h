#pragma once

#include "main/command_options.h"

#include <functional>
#include <span>
#include <string>
#include <string_view>
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

/// One subcommand of `clementinegap`: the row from which help, shell completion and the check of the manual
/// pages are made.
struct command {
    std::string_view name;
    std::string_view arguments; ///< Of the usage line, without options.
    std::string_view summary;
    std::string_view description;
    std::string_view examples; ///< One a line.
    std::vector<option_spec> options;
    std::function<exit_code(const parsed_words&)> run;
};

/// All subcommands, by name.
std::span<const command> commands();

/// The help text of one subcommand.
std::string help_text(const command& about);
/// The list of subcommands.
std::string overview_text();

/// Runs one subcommand of `clementinegap`.
exit_code run_command(const std::vector<std::string>& words);

} // namespace clementinegap
