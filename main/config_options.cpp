#include "main/config_options.h"

#include <popt.h>

#include <cstdio>
#include <cstdlib>
#include <memory>

namespace clementinegap {
namespace {

std::string take_text(char* text)
{
    std::string result = text == nullptr ? "" : text;
    std::free(text);
    return result;
}

} // namespace

std::optional<config_options> parse_config_options(const std::string& command,
                                                   const std::vector<std::string>& words)
{
    std::vector<const char*> raw{command.c_str()};
    for (const auto& word : words) {
        raw.push_back(word.c_str());
    }
    char* platform = nullptr;
    char* submission = nullptr;
    long long based_on = -1;
    long patience_ms = to_milliseconds(config_options{}.patience);
    int explain = 0;
    int as_json = 0;
    const poptOption options[] = {
        {"platform", 'p', POPT_ARG_STRING, static_cast<void*>(&platform), 0, "the platform's address", "URL"},
        {"submission", 0, POPT_ARG_STRING, static_cast<void*>(&submission), 0,
         "show what became of one submission", "ID"},
        {"based-on", 0, POPT_ARG_LONGLONG, &based_on, 0,
         "the version with which the answers were read that these were made from", "VERSION"},
        {"wait-ms", 0, POPT_ARG_LONG, &patience_ms, 0, "how long to wait for the platform", "MS"},
        {"explain", 'e', POPT_ARG_NONE, &explain, 0, "name the answer behind each value", nullptr},
        {"json", 'j', POPT_ARG_NONE, &as_json, 0, "print JSON", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext("clementinegap", static_cast<int>(raw.size()), raw.data(), options, 0),
        &poptFreeContext);
    const int problem = poptGetNextOpt(context.get());
    config_options result;
    result.platform = take_text(platform);
    result.submission = take_text(submission);
    if (problem < -1) {
        std::fprintf(stderr, "clementinegap %s: %s: %s\n", command.c_str(), poptBadOption(context.get(), 0),
                     poptStrerror(problem));
        return std::nullopt;
    }
    if (based_on >= 0) {
        result.based_on = static_cast<std::uint64_t>(based_on);
    }
    result.patience = milliseconds(patience_ms);
    result.explain = explain != 0;
    result.as_json = as_json != 0;
    for (const char** left = poptGetArgs(context.get()); left != nullptr && *left != nullptr; ++left) {
        result.arguments.emplace_back(*left);
    }
    return result;
}

} // namespace clementinegap
