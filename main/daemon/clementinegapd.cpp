#include "main/entry_daemon.h"
#include "main/settings.h"
#include "main/upstream_daemon.h"
#include "observability/logger.h"
#include "startup/daemon_arguments.h"

#include <cstdio>

namespace {

int serve(const clementinegap::settings& values)
{
    using namespace clementinegap;
    open_log(values.vm, values.log_level);
    if (values.role == daemon_role::entry) {
        return entry_daemon(values).run();
    }
    return upstream_daemon(values).run();
}

} // namespace

int main(int argc, char** argv)
{
    using namespace clementinegap;
    const auto parsed = parse_daemon_arguments("clementinegapd", argc, const_cast<const char**>(argv));
    if (!parsed) {
        return exit_usage;
    }
    if (parsed->version) {
        std::puts("clementinegapd " CG_VERSION);
        return 0;
    }
    const auto values = clementinegap::settings_from_file(parsed->settings_file);
    if (!values) {
        std::fprintf(stderr, "%s", values.error().message.c_str());
        return exit_usage;
    }
    if (parsed->check) {
        std::puts("the settings are valid");
        return 0;
    }
    return serve(values.value());
}
