#pragma once

#include <optional>
#include <string>

namespace clementinegap {

/// The command line that all daemons share.
struct daemon_arguments {
    std::string settings_file;
    bool check{false};   ///< Check the settings and exit.
    bool version{false}; ///< Show the version and exit.
};

inline constexpr int exit_usage = 2;

/// Reads the command line of the daemon `name`; a wrong one is told on standard error.
std::optional<daemon_arguments> parse_daemon_arguments(const char* name, int argc, const char** argv);

} // namespace clementinegap
