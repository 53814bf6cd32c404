#include "main/command_load.h"

#include "main/load_latency.h"

#include <cstdio>

namespace clementinegap {

exit_code load_command(const std::vector<std::string>& words)
{
    if (!words.empty() && words[0] == "latency") {
        return load_latency_command({words.begin() + 1, words.end()});
    }
    if (!words.empty() && words[0] == "throughput") {
        return load_throughput_command({words.begin() + 1, words.end()});
    }
    std::fprintf(stderr, "usage: clementinegap load latency|throughput ...\n");
    return exit_code::usage;
}

} // namespace clementinegap
