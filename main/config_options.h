#pragma once

#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace clementinegap {

/// The options that the `config` and `questionnaire` commands share.
struct config_options {
    std::string platform;
    std::string submission;
    std::optional<std::uint64_t> based_on;
    duration patience{seconds(10)};
    bool explain{false};
    bool as_json{false};
    std::vector<std::string> arguments; ///< What is left: the subcommand and its files.
};

/// Reads the words after the command's name; nothing after a message when they are wrong.
std::optional<config_options> parse_config_options(const std::string& command,
                                                   const std::vector<std::string>& words);

} // namespace clementinegap
