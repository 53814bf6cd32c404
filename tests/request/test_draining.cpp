#include "request/upstream_core.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace clementinegap;

namespace {

/// A draining upstream core and a reservation that arrives after the drain has begun.
struct draining_core {
    draining_core()
    {
        reserve.attempt = {1, 1};
        reserve.time_left = seconds(10);
        reserve.target_left = seconds(1);
        core.on_event(entry_connected{1}, now);
        core.on_event(drain_started{}, now);
    }

    upstream_core core{upstream_settings{}};
    time_point now{seconds(1)};
    reserve_message reserve;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_draining_upstream_core, draining_core)

BOOST_AUTO_TEST_CASE(grants_no_reservation_after_the_drain_began)
{
    const auto actions = core.on_event(entry_message_received{1, reserve}, now);
    const auto says = [&](auto is_it) {
        return std::ranges::any_of(actions, [&](const upstream_action& action) {
            const auto* sent = std::get_if<send_to_entry>(&action);
            return sent != nullptr && is_it(sent->message);
        });
    };
    BOOST_TEST(!says(
        [](const upstream_message& message) { return std::holds_alternative<granted_message>(message); }));
    BOOST_TEST(says([](const upstream_message& message) {
        const auto* refused = std::get_if<refused_message>(&message);
        return refused != nullptr && refused->code == result_code::leaving;
    }));
}

BOOST_AUTO_TEST_CASE(stores_its_refusal_so_that_a_late_dispatch_is_refused_as_not_run)
{
    core.on_event(entry_message_received{1, reserve}, now);
    dispatch_message dispatch;
    dispatch.attempt = reserve.attempt;
    const auto actions = core.on_event(entry_message_received{1, dispatch}, now);
    BOOST_TEST(std::ranges::any_of(actions, [](const upstream_action& action) {
        const auto* sent = std::get_if<send_to_entry>(&action);
        return sent != nullptr && std::holds_alternative<refused_message>(sent->message);
    }));
    BOOST_TEST(std::ranges::none_of(
        actions, [](const upstream_action& action) { return std::holds_alternative<engine_start>(action); }));
}

BOOST_AUTO_TEST_SUITE_END()
