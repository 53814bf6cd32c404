#include "main/command_line.h"

#include "core/result_code.h"
#include "main/command_config.h"
#include "main/command_load.h"

#include <cstdio>
#include <functional>
#include <map>

namespace clementinegap {
namespace {

using command_function = std::function<exit_code(const std::vector<std::string>&)>;

exit_code show_codes(const std::vector<std::string>& /*words*/)
{
    for (const auto& entry : result_codes()) {
        std::printf("%4d  %3d  %-22s %s\n", static_cast<int>(entry.code), entry.http_status,
                    std::string(entry.name).c_str(), std::string(entry.text).c_str());
    }
    return exit_code::ok;
}

const std::map<std::string, command_function>& commands()
{
    static const std::map<std::string, command_function> table{
        {"codes", show_codes},
        {"config", config_command},
        {"load", load_command},
        {"questionnaire", questionnaire_command},
    };
    return table;
}

void show_usage()
{
    std::fprintf(stderr, "usage: clementinegap COMMAND ...\ncommands:\n");
    for (const auto& [name, run] : commands()) {
        std::fprintf(stderr, "  %s\n", name.c_str());
    }
}

} // namespace

exit_code run_command(const std::vector<std::string>& words)
{
    if (words.empty()) {
        show_usage();
        return exit_code::usage;
    }
    const auto found = commands().find(words.front());
    if (found == commands().end()) {
        std::fprintf(stderr, "clementinegap: unknown command \"%s\"\n", words.front().c_str());
        show_usage();
        return exit_code::usage;
    }
    return found->second({words.begin() + 1, words.end()});
}

} // namespace clementinegap
