#pragma once

#include "core/time.h"
#include "main/command_options.h"

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
    std::string ca_file; ///< The three files of the operator's keys; empty for plain text.
    std::string certificate_file;
    std::string key_file;
    bool explain{false};
    bool as_json{false};
    std::vector<std::string> arguments; ///< The subcommand and its files.
};

/// Nothing when a number is wrong or the subcommand is missing.
std::optional<config_options> config_options_from(const parsed_words& words);

} // namespace clementinegap
