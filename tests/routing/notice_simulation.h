#pragma once

#include "routing/router_fixture.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace clementinegap::testing {

/// Several daemons and plain upstreams under a random schedule: upstreams begin to leave, ask for pauses,
/// restart, and give their addresses to others; daemons restart, lag behind the directory and lose reports.
/// Checks from the upstreams' side that nobody is sent what it has asked a daemon not to send.
class notice_simulation {
public:
    explicit notice_simulation(std::uint32_t seed);

    /// Runs the schedule to its end; returns whether every promise held.
    bool run();
    const std::string& broken() const { return broken_; }
    /// Answers that said something; a schedule without any proves nothing.
    int notices() const { return notices_; }

private:
    static constexpr std::size_t daemon_count = 3;

    /// One upstream as it really is.
    struct process {
        std::int64_t incarnation{1};
        bool leaving{false};
        time_point full_until{};
        bool gone{false}; ///< Another one has its address.
    };
    /// What an upstream has told one daemon.
    struct told {
        bool leaving{false};
        std::int64_t incarnation{0}; ///< That said so.
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
    std::map<std::pair<std::size_t, std::string>, told> told_;
    std::map<request_number, open_request> open_;
    request_number last_{0};
    std::uint64_t incarnation_{1};
    int notices_{0};
    std::string broken_;
};

} // namespace clementinegap::testing
