#include "router/entry_process.h"
#include "startup/daemon_arguments.h"

#include <cstdio>

int main(int argc, char** argv)
{
    using namespace clementinegap;
    const auto parsed = parse_daemon_arguments("clementinegap_router", argc, const_cast<const char**>(argv));
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
