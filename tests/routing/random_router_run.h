#pragma once

#include "routing/router_fixture.h"

#include <map>
#include <random>
#include <set>
#include <string>

namespace clementinegap::testing {

/// Runs a router through a random schedule of requests, faults, upstream changes and configurations, and
/// checks the invariants after every event. The first violation is kept in `broken`.
class random_router_run {
public:
    explicit random_router_run(std::uint32_t seed);

    /// Runs the schedule to its end.
    /// \returns whether every invariant held.
    bool run();
    const std::string& broken() const { return broken_; }

private:
    enum class kind : std::uint8_t { lookup, booking, ask, guide };

    /// The state of a request as seen from outside the router.
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
    /// Checks the router's last actions and updates the outside view.
    void process_actions();
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
