#include "main/command_options.h"

#include <popt.h>

#include <cstdio>
#include <cstdlib>
#include <memory>

namespace clementinegap {
namespace {

/// Popt's table for the options; the texts must outlive it.
std::vector<poptOption> popt_table(const std::vector<option_spec>& options)
{
    std::vector<poptOption> table;
    int number = 0;
    for (const auto& option : options) {
        ++number;
        const auto kind = option.argument.empty() ? POPT_ARG_NONE : POPT_ARG_STRING;
        table.push_back({option.name.data(), '\0', static_cast<unsigned int>(kind), nullptr, number,
                         option.help.data(), option.argument.empty() ? nullptr : option.argument.data()});
    }
    table.push_back(POPT_TABLEEND);
    return table;
}

} // namespace

std::string parsed_words::value(std::string_view option) const
{
    const auto found = options_.find(option);
    return found == options_.end() ? "" : found->second.back();
}

std::vector<std::string> parsed_words::values(std::string_view option) const
{
    const auto found = options_.find(option);
    return found == options_.end() ? std::vector<std::string>{} : found->second;
}

void parsed_words::add(std::string_view option, std::string value)
{
    options_[std::string(option)].push_back(std::move(value));
}

std::optional<parsed_words> parse_words(std::string_view command, const std::vector<option_spec>& options,
                                        const std::vector<std::string>& words)
{
    std::vector<const char*> arguments{command.data()};
    for (const auto& word : words) {
        arguments.push_back(word.c_str());
    }
    const auto table = popt_table(options);
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext(command.data(), static_cast<int>(arguments.size()), arguments.data(), table.data(), 0),
        &poptFreeContext);
    parsed_words result;
    int number = 0;
    while ((number = poptGetNextOpt(context.get())) > 0) {
        const std::unique_ptr<char, decltype(&std::free)> value(poptGetOptArg(context.get()), &std::free);
        result.add(options[static_cast<std::size_t>(number) - 1].name, value ? value.get() : "");
    }
    if (number < -1) {
        std::fprintf(stderr, "clementinegap %s: %s: %s\n", command.data(),
                     poptBadOption(context.get(), POPT_BADOPTION_NOALIAS), poptStrerror(number));
        return std::nullopt;
    }
    while (const auto* word = poptGetArg(context.get())) {
        result.add_positional(word);
    }
    return result;
}

} // namespace clementinegap
