#include "slopes/session_cost.h"

#include "adapters/peer_client.h"
#include "adapters/peer_server.h"

#include <unistd.h>

#include <ctime>
#include <fstream>
#include <future>
#include <thread>

namespace clementinegap {
namespace {

constexpr auto watched = std::chrono::seconds(5);
constexpr auto patience = std::chrono::seconds(20);
constexpr double us_per_second = 1e6;
constexpr double ns_per_us = 1e3;

double process_cpu_us()
{
    std::timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) * us_per_second + static_cast<double>(used.tv_nsec) / ns_per_us;
}

double resident_bytes()
{
    std::ifstream statm("/proc/self/statm");
    double whole = 0;
    double resident = 0;
    statm >> whole >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

} // namespace

session_cost measure_sessions(int sessions)
{
    hybrid_clock clock;
    std::atomic<int> open{0};
    std::promise<void> all_open;
    peer_server server(
        [&](const upstream_event& event) {
            if (std::holds_alternative<entry_connected>(event) && ++open == sessions) {
                all_open.set_value();
            }
            return true;
        },
        {}, clock);
    peer_client client([](const entry_event& /*event*/) { return true; }, {}, clock);
    if (!server.start("127.0.0.1:0")) {
        return {};
    }
    const auto memory_before = resident_bytes();
    std::vector<std::pair<std::string, std::string>> upstreams;
    for (int i = 0; i < sessions; ++i) {
        upstreams.emplace_back("upstream-" + std::to_string(i), "127.0.0.1:" + std::to_string(server.port()));
    }
    client.connect_to(upstreams);
    if (all_open.get_future().wait_for(patience) != std::future_status::ready) {
        return {};
    }
    session_cost result;
    result.memory_bytes = (resident_bytes() - memory_before) / sessions;
    const auto cpu_before = process_cpu_us();
    std::this_thread::sleep_for(watched);
    result.cpu_us_per_second =
        (process_cpu_us() - cpu_before) / sessions / std::chrono::duration<double>(watched).count();
    client.stop();
    server.stop();
    return result;
}

} // namespace clementinegap
