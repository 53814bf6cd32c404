#include "request/upstream_core.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace clementinegap;

namespace {

constexpr time_point start{seconds(1)};
constexpr session_id entry = 1;
constexpr attempt_id attempt{1, 1};

template <class Action> std::size_t count_of(std::span<const upstream_action> actions)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        actions, [](const upstream_action& action) { return std::holds_alternative<Action>(action); }));
}

upstream_settings with_little_credit()
{
    upstream_settings settings;
    settings.vm = "u1";
    settings.models = {"assistant"};
    settings.initial_credit = 1;
    return settings;
}

} // namespace

BOOST_AUTO_TEST_SUITE(an_upstream_core)

BOOST_AUTO_TEST_CASE(resumes_reading_a_never_repeat_run_when_its_entry_disconnects)
{
    upstream_core core(with_little_credit());
    core.on_event(entry_connected{entry}, start);
    reserve_message reserve;
    reserve.attempt = attempt;
    reserve.model = "assistant";
    reserve.never_repeat = true;
    reserve.time_left = seconds(60);
    core.on_event(entry_message_received{entry, reserve}, start);
    dispatch_message dispatch;
    dispatch.attempt = attempt;
    const auto started = core.on_event(entry_message_received{entry, dispatch}, start);
    BOOST_REQUIRE(count_of<engine_start>(started) == 1U);
    const auto held = core.on_event(engine_bytes{1, "booked", 1}, start);
    BOOST_REQUIRE(count_of<engine_pause_reading>(held) == 1U);
    const auto detached = core.on_event(entry_disconnected{entry}, start);
    BOOST_TEST(count_of<engine_resume_reading>(detached) == 1U);
    BOOST_TEST(count_of<engine_cancel>(detached) == 0U);
    core.on_event(engine_ended{1, engine_end_kind::complete}, start);
    BOOST_TEST(core.busy_slots() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
