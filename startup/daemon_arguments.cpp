#include "startup/daemon_arguments.h"

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <popt.h>

namespace clementinegap {

std::optional<daemon_arguments> parse_daemon_arguments(const char* name, int argc, const char** argv)
{
    char* settings_file = nullptr;
    int check = 0;
    int version = 0;
    const poptOption options[] = {
        {"settings", 's', POPT_ARG_STRING, static_cast<void*>(&settings_file), 0,
         "settings of this daemon, JSON with comments", "FILE"},
        {"check", 'c', POPT_ARG_NONE, &check, 0, "check the settings and exit", nullptr},
        {"version", 'v', POPT_ARG_NONE, &version, 0, "show the version and exit", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext(name, argc, argv, options, 0), &poptFreeContext);
    const int problem = poptGetNextOpt(context.get());
    if (problem < -1) {
        std::fprintf(stderr, "%s: %s: %s\n", name, poptBadOption(context.get(), 0), poptStrerror(problem));
        return std::nullopt;
    }
    daemon_arguments result{settings_file == nullptr ? "" : settings_file, check != 0, version != 0};
    std::free(settings_file);
    if (result.settings_file.empty() && !result.version) {
        std::fprintf(stderr, "%s: --settings FILE is required\n", name);
        return std::nullopt;
    }
    return result;
}

} // namespace clementinegap
