#include "routing/limit_simulation.h"
#include "routing/seed_range.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace clementinegap;
using namespace clementinegap::testing;

namespace {

limit_simulation::plan small_site(bool generations = false)
{
    limit_simulation::plan result;
    result.upstreams = generations ? 6 : 4;
    result.generations = generations;
    result.response_time = milliseconds(generations ? 400 : 60);
    return result;
}

limit_simulation::plan large_fleet()
{
    limit_simulation::plan result;
    result.daemons = 200;
    result.upstreams = 12;
    result.requests_per_second = 600;
    result.report_interval = milliseconds(700);
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_rate_limit_named_to_all_daemons)

BOOST_AUTO_TEST_CASE(is_kept_by_their_sum_while_some_upstreams_name_it)
{
    for (const bool generations : {false, true}) {
        for (const double limit : {0.0, 0.3, 1.0, 4.0, 12.0}) {
            BOOST_TEST_CONTEXT("generations " << generations << " limit " << limit)
            {
                limit_simulation fleet(small_site(generations));
                fleet.pass(seconds(4));
                fleet.set_limit(0, limit);
                fleet.set_limit(1, limit);
                fleet.pass(seconds(20));
                BOOST_TEST(fleet.broken() == "");
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(is_kept_by_hundreds_of_daemons)
{
    limit_simulation fleet(large_fleet());
    fleet.pass(seconds(3));
    fleet.set_limit(0, 1);
    fleet.set_limit(1, 9);
    fleet.pass(seconds(12));
    BOOST_TEST(fleet.broken() == "");
}

BOOST_AUTO_TEST_CASE(is_kept_when_all_upstreams_name_it)
{
    limit_simulation fleet(small_site());
    fleet.pass(seconds(4));
    fleet.set_all_limits(2);
    fleet.pass(seconds(20));
    BOOST_TEST(fleet.broken() == "");
}

BOOST_AUTO_TEST_SUITE(that_changes)

BOOST_AUTO_TEST_CASE(is_followed_when_it_falls)
{
    limit_simulation fleet(small_site());
    fleet.pass(seconds(3));
    for (const double limit : {20.0, 8.0, 3.0, 1.0, 0.0}) {
        fleet.set_limit(0, limit);
        fleet.pass(seconds(6));
    }
    BOOST_TEST(fleet.broken() == "");
}

BOOST_AUTO_TEST_CASE(is_used_when_it_rises)
{
    limit_simulation fleet(small_site());
    fleet.pass(seconds(3));
    fleet.set_all_limits(1);
    fleet.pass(seconds(10));
    fleet.set_all_limits(6);
    fleet.pass(seconds(5));
    fleet.take_received(0);
    fleet.pass(seconds(10));
    BOOST_TEST(fleet.broken() == "");
    BOOST_TEST(fleet.take_received(0) > 40U);
}

BOOST_AUTO_TEST_CASE(is_forgotten_when_it_ends)
{
    limit_simulation fleet(small_site());
    fleet.pass(seconds(3));
    fleet.set_all_limits(0.5);
    fleet.pass(seconds(8));
    fleet.set_all_limits(std::nullopt);
    // One response of each upstream tells it, two seconds apart at the latest.
    fleet.pass(seconds(6));
    const auto refused = fleet.refused();
    fleet.pass(seconds(5));
    BOOST_TEST(fleet.refused() == refused);
    fleet.set_all_limits(2);
    fleet.pass(seconds(10));
    BOOST_TEST(fleet.broken() == "");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(beside_trouble)

BOOST_AUTO_TEST_CASE(is_kept_while_daemons_restart)
{
    limit_simulation fleet(small_site());
    fleet.pass(seconds(3));
    fleet.set_all_limits(1);
    fleet.pass(seconds(5));
    for (std::size_t daemon = 0; daemon < 4; ++daemon) {
        fleet.restart(daemon);
        fleet.pass(seconds(2));
    }
    fleet.pass(seconds(8));
    BOOST_TEST(fleet.broken() == "");
}

BOOST_AUTO_TEST_CASE(is_kept_while_a_daemon_is_frozen_and_wakes)
{
    for (const auto span : {seconds(3), seconds(20)}) {
        limit_simulation fleet(small_site());
        fleet.pass(seconds(3));
        fleet.set_all_limits(2);
        fleet.pass(seconds(5));
        fleet.freeze(1, span);
        fleet.pass(span + seconds(10));
        BOOST_TEST(fleet.broken() == "");
    }
}

BOOST_AUTO_TEST_CASE(is_kept_while_daemons_are_disconnected_from_each_other)
{
    for (const auto span : {seconds(5), seconds(25)}) {
        limit_simulation fleet(small_site());
        fleet.pass(seconds(3));
        fleet.set_all_limits(2);
        fleet.pass(seconds(5));
        fleet.disconnect(0, span);
        fleet.disconnect(2, span);
        fleet.pass(span + seconds(10));
        BOOST_TEST(fleet.broken() == "");
    }
}

BOOST_AUTO_TEST_CASE(is_kept_while_reports_are_lost)
{
    auto plan = small_site();
    plan.report_loss = 0.5;
    limit_simulation fleet(plan);
    fleet.pass(seconds(3));
    fleet.set_all_limits(1);
    fleet.pass(seconds(25));
    BOOST_TEST(fleet.broken() == "");
}

BOOST_AUTO_TEST_CASE(is_kept_while_the_fleet_doubles)
{
    limit_simulation fleet(small_site());
    fleet.pass(seconds(3));
    fleet.set_all_limits(3);
    fleet.pass(seconds(5));
    fleet.add_daemons(4);
    fleet.pass(seconds(12));
    BOOST_TEST(fleet.broken() == "");
}

BOOST_AUTO_TEST_CASE(is_used_in_full_after_daemons_have_gone)
{
    limit_simulation fleet(small_site());
    fleet.pass(seconds(3));
    fleet.set_all_limits(3);
    fleet.pass(seconds(5));
    fleet.remove(3);
    fleet.pass(seconds(20));
    fleet.take_received(0);
    fleet.pass(seconds(10));
    BOOST_TEST(fleet.broken() == "");
    BOOST_TEST(fleet.take_received(0) >= 24U);
}

BOOST_AUTO_TEST_CASE(is_used_by_the_few_daemons_that_come_back_from_a_loss_of_power)
{
    limit_simulation fleet(small_site());
    fleet.pass(seconds(3));
    fleet.set_all_limits(4);
    fleet.pass(seconds(5));
    for (std::size_t daemon = 1; daemon < 4; ++daemon) {
        fleet.remove(daemon);
    }
    fleet.restart(0);
    fleet.pass(seconds(7));
    fleet.take_received(0);
    fleet.pass(seconds(10));
    BOOST_TEST(fleet.broken() == "");
    // A quarter of the limit, since it may be cut off from the others.
    BOOST_TEST(fleet.take_received(0) >= 9U);
}

BOOST_AUTO_TEST_CASE(is_kept_by_hundreds_of_daemons_of_which_many_restart_and_join)
{
    limit_simulation fleet(large_fleet());
    fleet.pass(seconds(3));
    fleet.set_all_limits(2);
    fleet.pass(seconds(5));
    for (std::size_t daemon = 0; daemon < 200; daemon += 5) {
        fleet.restart(daemon);
    }
    fleet.add_daemons(30);
    fleet.pass(seconds(6));
    for (std::size_t daemon = 1; daemon < 200; daemon += 7) {
        fleet.freeze(daemon, seconds(3));
    }
    fleet.pass(seconds(6));
    BOOST_TEST(fleet.broken() == "");
}

BOOST_AUTO_TEST_CASE(is_kept_under_random_schedules)
{
    const seed_range seeds(60);
    for (auto seed = seeds.first; seed < seeds.end(); ++seed) {
        std::minstd_rand random(seed);
        const auto pick = [&](std::uint32_t bound) { return static_cast<std::uint32_t>(random() % bound); };
        auto plan = small_site(pick(2) == 0);
        plan.seed = seed;
        plan.daemons = 2 + pick(12);
        plan.upstreams = 1 + pick(5);
        plan.requests_per_second = 10 + pick(60);
        plan.report_loss = pick(3) * 0.1;
        limit_simulation fleet(plan);
        fleet.pass(seconds(4));
        for (int i = 0; i < 20; ++i) {
            const auto daemon = pick(static_cast<std::uint32_t>(fleet.daemons()));
            const auto upstream = pick(static_cast<std::uint32_t>(plan.upstreams));
            const auto change = pick(9);
            BOOST_TEST_MESSAGE("change " << change << " daemon " << daemon << " upstream " << upstream);
            switch (change) {
            case 0:
                fleet.restart(daemon);
                break;
            case 1:
                fleet.freeze(daemon, milliseconds(200 + pick(6000)));
                break;
            case 2:
                fleet.disconnect(daemon, milliseconds(200 + pick(20000)));
                break;
            case 3:
                fleet.add_daemons(1 + pick(3));
                break;
            case 4:
                fleet.set_limit(upstream, std::nullopt);
                break;
            case 5:
                fleet.set_all_limits(pick(60) * 0.1);
                break;
            default:
                fleet.set_limit(upstream, pick(100) * 0.1);
                break;
            }
            fleet.pass(milliseconds(pick(3000)));
        }
        fleet.pass(seconds(5));
        BOOST_REQUIRE_MESSAGE(fleet.broken().empty(), "seed " << seed << ": " << fleet.broken());
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(serves_callers)

BOOST_AUTO_TEST_CASE(with_most_of_what_it_allows)
{
    limit_simulation fleet(small_site());
    fleet.pass(seconds(3));
    fleet.set_all_limits(2);
    fleet.pass(seconds(5));
    for (std::size_t upstream = 0; upstream < 4; ++upstream) {
        fleet.take_received(upstream);
    }
    fleet.pass(seconds(20));
    for (std::size_t upstream = 0; upstream < 4; ++upstream) {
        BOOST_TEST(fleet.take_received(upstream) >= 32U);
    }
}

BOOST_AUTO_TEST_CASE(with_most_of_what_it_allows_in_a_fleet_of_hundreds)
{
    limit_simulation fleet(large_fleet());
    fleet.pass(seconds(3));
    fleet.set_all_limits(3);
    fleet.pass(seconds(5));
    std::uint64_t received = 0;
    for (std::size_t upstream = 0; upstream < 12; ++upstream) {
        fleet.take_received(upstream);
    }
    fleet.pass(seconds(8));
    for (std::size_t upstream = 0; upstream < 12; ++upstream) {
        received += fleet.take_received(upstream);
    }
    BOOST_TEST(received >= 12U * 3 * 8 * 8 / 10);
}

BOOST_AUTO_TEST_CASE(elsewhere_while_other_upstreams_name_none)
{
    auto plan = small_site();
    plan.requests_per_second = 30;
    limit_simulation fleet(plan);
    fleet.pass(seconds(3));
    fleet.set_limit(0, 1);
    fleet.pass(seconds(15));
    BOOST_TEST(fleet.refused() == 0U);
}

BOOST_AUTO_TEST_CASE(that_come_back_after_a_refusal)
{
    // In one run 3 to 21 callers come back, so that a few of them decide; the sum of several runs must hold.
    constexpr std::uint32_t runs = 12;
    std::size_t returned = 0;
    std::size_t served = 0;
    for (std::uint32_t seed = 1; seed <= runs; ++seed) {
        auto plan = small_site(true);
        plan.requests_per_second = 13;
        plan.seed = seed;
        limit_simulation fleet(plan);
        fleet.pass(seconds(3));
        fleet.set_all_limits(2);
        fleet.pass(seconds(30));
        BOOST_TEST(fleet.broken() == "");
        BOOST_TEST_MESSAGE("seed " << seed << " arrived " << fleet.arrived() << " refused " << fleet.refused()
                                   << " returned " << fleet.returned() << " served "
                                   << fleet.returned_served());
        returned += fleet.returned();
        served += fleet.returned_served();
    }
    BOOST_TEST(served * 2 >= returned);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
