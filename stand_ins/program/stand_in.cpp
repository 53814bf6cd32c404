#include "adapters/runtime.h"
#include "stand_ins/engine.h"
#include "stand_ins/platform.h"
#include "stand_ins/service.h"

#include <popt.h>

#include <cstdio>
#include <memory>
#include <string>

namespace {

using namespace clementinegap;

constexpr int exit_usage = 2;
constexpr int exit_cannot_start = 3;

struct arguments {
    std::string kind;
    int port{0};
    engine_stand_in_options engine;
};

std::optional<arguments> parse(int argc, const char** argv)
{
    char* kind = nullptr;
    arguments result;
    int slots = static_cast<int>(result.engine.slots);
    int token_us = static_cast<int>(result.engine.token_interval.count());
    const poptOption options[] = {
        {"kind", 'k', POPT_ARG_STRING, static_cast<void*>(&kind), 0, "platform, engine or service", "KIND"},
        {"port", 'p', POPT_ARG_INT, &result.port, 0, "port on 127.0.0.1", "PORT"},
        {"slots", 's', POPT_ARG_INT, &slots, 0, "slots of an engine", "N"},
        {"token-us", 't', POPT_ARG_INT, &token_us, 0, "time between tokens of an engine", "MICROSECONDS"},
        POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext("clementinegap_stand_in", argc, argv, options, 0), &poptFreeContext);
    if (poptGetNextOpt(context.get()) < -1 || kind == nullptr) {
        std::fprintf(stderr, "usage: clementinegap_stand_in --kind platform|engine|service --port PORT\n");
        return std::nullopt;
    }
    result.kind = kind;
    std::free(kind);
    result.engine.slots = static_cast<std::uint32_t>(slots);
    result.engine.token_interval = microseconds(token_us);
    return result;
}

/// Serves one stand-in until SIGTERM.
template <class StandIn> int serve(StandIn& stand_in, int port)
{
    const auto started = stand_in.start(static_cast<std::uint16_t>(port));
    if (!started) {
        std::fprintf(stderr, "%s\n", started.error().message.c_str());
        return exit_cannot_start;
    }
    runtime* running = nullptr;
    runtime main_loop([&running] { running->finish(0); }, [] {});
    running = &main_loop;
    const int code = main_loop.run();
    stand_in.stop();
    return code;
}

} // namespace

int main(int argc, char** argv)
{
    const auto parsed = parse(argc, const_cast<const char**>(argv));
    if (!parsed) {
        return exit_usage;
    }
    if (parsed->kind == "platform") {
        platform_stand_in stand_in;
        return serve(stand_in, parsed->port);
    }
    if (parsed->kind == "service") {
        service_stand_in stand_in;
        return serve(stand_in, parsed->port);
    }
    if (parsed->kind == "engine") {
        engine_stand_in stand_in(parsed->engine);
        return serve(stand_in, parsed->port);
    }
    std::fprintf(stderr, "unknown kind \"%s\"\n", parsed->kind.c_str());
    return exit_usage;
}
