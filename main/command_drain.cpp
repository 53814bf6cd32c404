#include "main/command_drain.h"

#include "main/admin_client.h"

#include <algorithm>
#include <cstdio>

namespace clementinegap {
namespace {

constexpr std::uint16_t http_accepted = 202;

} // namespace

exit_code drain_command(const parsed_words& words)
{
    if (words.positionals().size() != 1) {
        std::fputs("usage: clementinegap drain VM --platform URL | --admin URL\n", stderr);
        return exit_code::usage;
    }
    const auto& vm = words.positionals().front();
    admin_client client;
    auto targets = client.targets(words);
    if (!targets) {
        std::fprintf(stderr, "%s\n", targets.error().message.c_str());
        return targets.error().code == result_code::invalid_settings ? exit_code::usage
                                                                     : exit_code::unreachable;
    }
    auto& list = targets.value();
    std::erase_if(list, [&](const admin_target& target) { return !target.vm.empty() && target.vm != vm; });
    if (list.size() != 1 || list.front().url.empty()) {
        std::fprintf(stderr, "%s: %zu daemons with an admin address\n", vm.c_str(), list.size());
        return exit_code::refused;
    }
    // The daemon checks the name, so that a wrong address does not stop another VM.
    const auto answer = client.ask(list, "/drain?vm=" + vm, "POST").front();
    if (answer.status == 0) {
        std::fprintf(stderr, "%s cannot be reached at %s\n", vm.c_str(), list.front().url.c_str());
        return exit_code::unreachable;
    }
    if (answer.status != http_accepted) {
        std::fprintf(stderr, "%s refused: %s\n", vm.c_str(), answer.body.c_str());
        return exit_code::refused;
    }
    std::printf(words.has("json") ? "{\"vm\":\"%s\",\"draining\":true}\n" : "%s drains\n", vm.c_str());
    return exit_code::ok;
}

} // namespace clementinegap
