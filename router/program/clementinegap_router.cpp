#include "router/entry_process.h"

#include <cstdio>
#include <memory>
#include <optional>
#include <popt.h>
#include <string>

namespace {

constexpr int exit_usage = 2;

struct arguments {
    std::string settings_file;
    bool check{false};
    bool version{false};
};

/// Reads the command line; a wrong one is told on standard error.
std::optional<arguments> parse(int argc, const char** argv)
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
        poptGetContext("clementinegap_router", argc, argv, options, 0), &poptFreeContext);
    const int problem = poptGetNextOpt(context.get());
    if (problem < -1) {
        std::fprintf(stderr, "clementinegap_router: %s: %s\n", poptBadOption(context.get(), 0),
                     poptStrerror(problem));
        return std::nullopt;
    }
    arguments result{settings_file == nullptr ? "" : settings_file, check != 0, version != 0};
    std::free(settings_file);
    if (result.settings_file.empty() && !result.version) {
        std::fprintf(stderr, "clementinegap_router: --settings FILE is required\n");
        return std::nullopt;
    }
    return result;
}

} // namespace

int main(int argc, char** argv)
{
    using namespace clementinegap;
    const auto parsed = parse(argc, const_cast<const char**>(argv));
    if (!parsed) {
        return exit_usage;
    }
    if (parsed->version) {
        std::puts("clementinegap_router " CG_VERSION);
        return 0;
    }
    const auto settings = entry_settings_from_file(parsed->settings_file);
    if (!settings) {
        std::fprintf(stderr, "%s", settings.error().message.c_str());
        return exit_usage;
    }
    if (parsed->check) {
        std::puts("the settings are valid");
        return 0;
    }
    return entry_process(settings.value(), parsed->settings_file).run();
}
