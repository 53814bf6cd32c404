#pragma once

#include "routing/router_fixture.h"

#include <map>
#include <random>
#include <set>
#include <string>

namespace clementinegap::testing {

/// Drives a router through a random schedule of requests, faults, upstreams and configurations, and checks
/// the promises after every event. The first broken one is told in `broken`.
class random_router_run {
public:
    explicit random_router_run(std::uint32_t seed);

    /// Runs the schedule to its end; returns whether every promise held.
    bool run();
    const std::string& broken() const { return broken_; }

private:
    enum class kind : std::uint8_t { lookup, booking, ask, guide };

    /// What the outside knows of a request.
    struct outside_view {
        kind what{kind::lookup};
        bool over{false};
        bool response_begun{false};
        bool may_have_run{false};
        bool being_sent{false};
        std::string upstream;
        int reached{0};
        time_point ends_by;
    };

    void step();
    void arrive();
    void end_some_send();
    void caller_leaves();
    void change_upstreams();
    void change_configuration();
    void give(const router_event& event);
    /// Checks what the router has ordered last, and notes what that means outside.
    void look_at_actions();
    void check(const send_request& send);
    void check(const respond_to_caller& answer);
    void end(request_number number, const std::string& how);
    void fail(const std::string& what);
    request_number any_open();
    std::uint32_t pick(std::uint32_t bound) { return static_cast<std::uint32_t>(random_() % bound); }

    std::minstd_rand random_;
    router_fixture at_;
    std::map<request_number, outside_view> requests_;
    std::set<std::string> not_usable_;
    std::uint64_t version_{1};
    std::string broken_;
};

} // namespace clementinegap::testing
