#include "main/command_manual.h"

#include "main/manual_page.h"

#include <algorithm>
#include <cstdio>

namespace clementinegap {

exit_code manual_command(const parsed_words& words)
{
    const auto& given = words.positionals();
    if (given.size() == 1 && given[0] == "codes-page") {
        std::fputs(codes_page().c_str(), stdout);
        return exit_code::ok;
    }
    const auto found =
        given.size() == 1 ? std::ranges::find(commands(), given[0], &command::name) : commands().end();
    if (found == commands().end()) {
        std::fputs("usage: clementinegap manual COMMAND|codes-page\n", stderr);
        return exit_code::usage;
    }
    std::fputs(manual_page(*found).c_str(), stdout);
    return exit_code::ok;
}

} // namespace clementinegap
