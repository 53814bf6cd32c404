#pragma once

#include "routing/router_fixture.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace clementinegap::testing {

/// Simulates several daemons and plain upstreams with a random schedule: upstreams announce that they leave,
/// request backoffs, restart, and hand their addresses to others; daemons restart, lag behind the directory
/// and lose reports. Checks that no daemon sends to an upstream that has announced to it that it leaves or
/// backs off.
class notice_simulation {
public:
    explicit notice_simulation(std::uint32_t seed);

    /// Runs the schedule to its end.
    /// \returns whether every invariant held.
    bool run();
    const std::string& broken() const { return broken_; }
    /// Number of responses with a notice; a schedule without any checks nothing.
    int notices() const { return notices_; }

private:
    static constexpr std::size_t daemon_count = 3;

    /// The actual state of an upstream.
    struct process {
        std::int64_t incarnation{1};
        bool leaving{false};
        time_point full_until{};
        bool gone{false}; ///< Another process has its address.
    };
    /// The notices that an upstream has sent to one daemon.
    struct sent_notices {
        bool leaving{false};
        std::int64_t incarnation{0}; ///< The incarnation that announced it.
        time_point backoff_until{};
    };
    struct open_request {
        std::size_t daemon{0};
        std::string upstream;
        std::int64_t incarnation{0};
    };

    void step();
    void arrive();
    void answer_one();
    void change_a_process();
    void list(std::size_t daemon);
    void exchange_reports();
    void restart_a_daemon();
    void give(std::size_t daemon, const router_event& event);
    void check(std::size_t daemon, const send_request& send);
    std::uint32_t pick(std::uint32_t bound) { return static_cast<std::uint32_t>(random_() % bound); }

    std::minstd_rand random_;
    time_point now_{start};
    std::vector<std::unique_ptr<request_router>> daemons_;
    std::map<std::string, process> processes_;
    std::map<std::pair<std::size_t, std::string>, sent_notices> sent_notices_;
    std::map<request_number, open_request> open_;
    request_number last_{0};
    std::uint64_t incarnation_{1};
    int notices_{0};
    std::string broken_;
};

} // namespace clementinegap::testing
