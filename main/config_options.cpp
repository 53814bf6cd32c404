#include "main/config_options.h"

#include <charconv>

namespace clementinegap {
namespace {

/// False for a value that is there and is not a whole number.
bool read_number(const parsed_words& words, std::string_view option, std::optional<std::uint64_t>& target)
{
    if (!words.has(option)) {
        return true;
    }
    const auto text = words.value(option);
    std::uint64_t number = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), number);
    target = number;
    return problem == std::errc() && end == text.data() + text.size();
}

/// The platform as the first argument after the subcommand does for `--platform`.
void take_platform_argument(config_options& options)
{
    auto& words = options.arguments;
    if (options.platform.empty() && words.size() > 1 && words[1].starts_with("http")) {
        options.platform = words[1];
        words.erase(words.begin() + 1);
    }
}

} // namespace

std::optional<config_options> config_options_from(const parsed_words& words)
{
    config_options result;
    std::optional<std::uint64_t> wait_ms;
    const bool is_right = read_number(words, "based-on", result.based_on) &&
                          read_number(words, "wait-ms", wait_ms) && !words.positionals().empty();
    if (!is_right) {
        return std::nullopt;
    }
    if (wait_ms) {
        result.patience = milliseconds(*wait_ms);
    }
    result.platform = words.value("platform");
    result.submission = words.value("submission");
    result.ca_file = words.value("ca-file");
    result.certificate_file = words.value("certificate-file");
    result.key_file = words.value("key-file");
    result.explain = words.has("explain");
    result.as_json = words.has("json");
    result.arguments = words.positionals();
    take_platform_argument(result);
    return result;
}

} // namespace clementinegap
