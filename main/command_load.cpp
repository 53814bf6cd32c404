#include "main/command_load.h"

#include "main/load_experiment_command.h"
#include "main/load_latency.h"

#include <cstdio>
#include <map>

namespace clementinegap {

exit_code load_command(const std::vector<std::string>& words)
{
    using function = exit_code (*)(const std::vector<std::string>&);
    static const std::map<std::string, function> forms{{"latency", load_latency_command},
                                                       {"throughput", load_throughput_command},
                                                       {"run", load_run_command},
                                                       {"shape", load_shape_command},
                                                       {"report", load_report_command}};
    const auto form = words.empty() ? forms.end() : forms.find(words[0]);
    if (form == forms.end()) {
        std::fprintf(stderr, "usage: clementinegap load latency|throughput|run|shape|report ...\n"
                             "misc/experiment.sh runs an experiment with its deployment.\n");
        return exit_code::usage;
    }
    return form->second({words.begin() + 1, words.end()});
}

} // namespace clementinegap
