#include "stand_ins/routed_store.h"
#include "stand_ins/routed_upstream.h"
#include "stand_ins/usage_service.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <popt.h>
#include <string>

namespace {

using namespace clementinegap;

constexpr int exit_usage = 2;
constexpr int exit_cannot_listen = 3;
constexpr int exit_crashed = 4;
constexpr duration step = milliseconds(5); ///< Fineness of an upstream's pace.
/// For so long SIGUSR2 makes an upstream refuse and ask for a pause; some answers' time.
constexpr duration refusal_span = milliseconds(1500);

/// For so long SIGHUP makes an upstream name a limit of requests per second; three times the window in which
/// the platform counts them.
constexpr duration limit_span = seconds(12);
constexpr const char* named_limit = "2";

/// Runs an upstream that prints each request it runs or refuses, one a line. SIGUSR1: it says from now on
/// that it is leaving.
int run_upstream(std::uint16_t port, duration pace, const std::string& deadly_part,
                 const std::string& version)
{
    event_loop loop;
    routed_upstream upstream(loop);
    upstream.crash_on(deadly_part, [](const std::string& id) {
        std::printf("crashed %s\n", id.c_str());
        std::fflush(stdout);
        std::_Exit(exit_crashed);
    });
    upstream.set_pace(pace);
    upstream.set_version(version);
    upstream.on_run([](const std::string& id, const std::string& path) {
        std::printf("%s %s\n", id.c_str(), path.c_str());
        std::fflush(stdout);
    });
    upstream.on_refusal([](const std::string& id, duration pause) {
        std::printf("refused %s %lld\n", id.c_str(), static_cast<long long>(to_milliseconds(pause)));
        std::fflush(stdout);
    });
    loop.on_signal(SIGUSR1, [&] {
        upstream.begin_to_leave();
        std::printf("leaving\n");
        std::fflush(stdout);
    });
    loop.on_signal(SIGUSR2, [&] { upstream.refuse_until(event_loop::now() + refusal_span); });
    time_point limited_until = never;
    loop.on_signal(SIGHUP, [&] {
        limited_until = event_loop::now() + limit_span;
        upstream.name_limit(named_limit);
        std::printf("limit %s\n", named_limit);
        std::fflush(stdout);
    });
    if (!upstream.listen(port)) {
        return exit_cannot_listen;
    }
    const std::function<void()> wake = [&] {
        upstream.advance(event_loop::now());
        if (event_loop::now() >= limited_until) {
            limited_until = never;
            upstream.name_limit("");
            std::printf("unlimited\n");
            std::fflush(stdout);
        }
        loop.wake_at(event_loop::now() + step, wake);
    };
    wake();
    loop.on_signal(SIGTERM, [&] { loop.stop(); });
    loop.run();
    return 0;
}

/// Runs a store. SIGUSR1: it keeps a copy of its rows; SIGUSR2: it comes back from the copy; SIGHUP:
/// it never answers the calls that wait for changes.
int run_store(std::uint16_t port)
{
    event_loop loop;
    routed_store store(loop);
    if (!store.listen(port)) {
        return exit_cannot_listen;
    }
    loop.on_signal(SIGUSR1, [&] { store.save_copy(); });
    loop.on_signal(SIGUSR2, [&] { store.restore_copy(); });
    loop.on_signal(SIGHUP, [&] { store.lose_all_waiting(); });
    loop.on_signal(SIGTERM, [&] { loop.stop(); });
    loop.run();
    return 0;
}

/// Runs the platform's service. It prints each report as "usage HOLDER TOKEN WINDOW [WORKSPACE COUNT]..." and
/// each broken rule as "broken HOLDER RULE WINDOW". SIGUSR1: it is busy from now on; SIGUSR2: silent; SIGHUP:
/// neither.
int run_service(std::uint16_t port, duration lease_term)
{
    event_loop loop;
    usage_service service(loop, lease_term);
    service.on_report([](const usage_service::received_report& report) {
        std::printf("usage %s %llu %lld", report.holder.c_str(),
                    static_cast<unsigned long long>(report.token), static_cast<long long>(report.window));
        for (const auto& [workspace, count] : report.counts) {
            std::printf(" %s %llu", workspace.c_str(), static_cast<unsigned long long>(count));
        }
        std::printf("\n");
        std::fflush(stdout);
    });
    service.on_fault([](const usage_service::received_report& report, std::string_view rule) {
        std::printf("broken %s %s %lld\n", report.holder.c_str(), std::string(rule).c_str(),
                    static_cast<long long>(report.window));
        std::fflush(stdout);
    });
    if (!service.listen(port)) {
        return exit_cannot_listen;
    }
    loop.on_signal(SIGUSR1, [&] { service.set_weather(usage_service::weather::busy); });
    loop.on_signal(SIGUSR2, [&] { service.set_weather(usage_service::weather::silent); });
    loop.on_signal(SIGHUP, [&] { service.set_weather(usage_service::weather::fair); });
    loop.on_signal(SIGTERM, [&] { loop.stop(); });
    loop.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    int store = 0;
    int upstream = 0;
    int service = 0;
    int lease_ms = 3000;
    int pace_ms = 20;
    char* deadly_part = nullptr;
    char* version = nullptr;
    const poptOption options[] = {
        {"store", 's', POPT_ARG_INT, &store, 0, "serve a store", "PORT"},
        {"upstream", 'u', POPT_ARG_INT, &upstream, 0, "serve an upstream", "PORT"},
        {"usage-service", 'r', POPT_ARG_INT, &service, 0, "serve the platform's service for usage reports",
         "PORT"},
        {"lease-ms", 'l', POPT_ARG_INT, &lease_ms, 0, "term of the lease of the usage duty", "MILLISECONDS"},
        {"pace-ms", 'p', POPT_ARG_INT, &pace_ms, 0, "time of an answer and of each event of a stream",
         "MILLISECONDS"},
        {"deadly-part", 'd', POPT_ARG_STRING, &deadly_part, 0,
         "crash on requests with this shared prompt part", "ID"},
        {"software-version", 'v', POPT_ARG_STRING, &version, 0, "name this version in each event of a stream",
         "TEXT"},
        POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext("routed_stand_in", argc, const_cast<const char**>(argv), options, 0),
        &poptFreeContext);
    const int result = poptGetNextOpt(context.get());
    const int roles = (store != 0 ? 1 : 0) + (upstream != 0 ? 1 : 0) + (service != 0 ? 1 : 0);
    if (result < -1 || roles != 1) {
        std::fprintf(stderr, "usage: routed_stand_in --store PORT | --upstream PORT [--pace-ms N] | "
                             "--usage-service PORT [--lease-ms N]\n");
        return exit_usage;
    }
    if (service != 0) {
        return run_service(static_cast<std::uint16_t>(service), milliseconds(lease_ms));
    }
    return store != 0
               ? run_store(static_cast<std::uint16_t>(store))
               : run_upstream(static_cast<std::uint16_t>(upstream), milliseconds(pace_ms),
                              deadly_part == nullptr ? "" : deadly_part, version == nullptr ? "" : version);
}
