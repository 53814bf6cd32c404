#include "main/command_completion.h"

#include <cstdio>

namespace clementinegap {

std::string bash_completion()
{
    std::string names;
    std::string cases;
    for (const auto& item : commands()) {
        names += std::string(item.name) + " ";
        cases += "        " + std::string(item.name) + ") words=\"";
        for (const auto& option : item.options) {
            cases += "--" + std::string(option.name) + " ";
        }
        cases += "--help\" ;;\n";
    }
    return "_clementinegap() {\n"
           "    local words=\"" +
           names +
           "help\"\n"
           "    [ \"$COMP_CWORD\" -gt 1 ] && case \"${COMP_WORDS[1]}\" in\n" +
           cases +
           "        help) ;;\n"
           "        *) words= ;;\n"
           "    esac\n"
           "    COMPREPLY=($(compgen -W \"$words\" -- \"${COMP_WORDS[COMP_CWORD]}\"))\n"
           "}\n"
           "complete -o default -F _clementinegap clementinegap\n";
}

exit_code completion_command(const parsed_words& words)
{
    if (words.positionals() != std::vector<std::string>{"bash"}) {
        std::fputs("usage: clementinegap completion bash\n", stderr);
        return exit_code::usage;
    }
    std::fputs(bash_completion().c_str(), stdout);
    return exit_code::ok;
}

} // namespace clementinegap
