#include "routing/plain_simulation.h"

#include <boost/test/unit_test.hpp>

using namespace clementinegap;
using namespace clementinegap::testing;

namespace {

/// The plain requests of a deployment that uses four tenths of its slots.
plain_simulation::plan usual()
{
    plain_simulation::plan plan;
    plan.once_per_second = 128;
    plan.repeatable_per_second = 30;
    return plan;
}

load_reported losses_reported(const std::string& upstream, std::int64_t incarnation)
{
    load_reported event;
    event.report.daemon = "entry-2";
    event.report.sequence = 1;
    event.report.outcomes = {{upstream, incarnation, 4, 10}};
    return event;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_plain_upstream)

BOOST_AUTO_TEST_SUITE(that_loses_requests)

BOOST_AUTO_TEST_CASE(gets_no_request_that_may_run_only_once_after_another_daemon_reported_it)
{
    router_fixture fixture;
    fixture.arrive("/book/x");
    BOOST_TEST(fixture.sent_to() == "p1");
    fixture.give(losses_reported("p1", 1));
    fixture.arrive("/book/x");
    BOOST_TEST(fixture.sent_to() == "p2");
}

BOOST_AUTO_TEST_CASE(is_used_like_any_other_by_its_next_process)
{
    router_fixture fixture;
    fixture.give(losses_reported("p1", 0));
    fixture.arrive("/book/x");
    BOOST_TEST(fixture.sent_to() == "p1");
}

BOOST_AUTO_TEST_CASE(is_used_if_all_fail_alike)
{
    router_fixture fixture;
    fixture.give(losses_reported("p1", 1));
    auto other = losses_reported("p2", 1);
    other.report.daemon = "entry-3";
    fixture.give(other);
    fixture.arrive("/book/x");
    BOOST_TEST(fixture.sent_to() != "");
}

BOOST_AUTO_TEST_CASE(is_used_again_soon_after_the_last_report_of_losses)
{
    router_fixture fixture;
    fixture.give(losses_reported("p1", 1));
    fixture.pass(seconds(10));
    fixture.arrive("/book/x");
    BOOST_TEST(fixture.sent_to() == "p1");
}

BOOST_AUTO_TEST_CASE(is_reported_with_its_incarnation)
{
    router_fixture fixture;
    const auto request = fixture.arrive("/book/x");
    fixture.give(send_failed{request, send_fault::lost});
    const auto report = fixture.router.report(fixture.now);
    BOOST_REQUIRE(report.outcomes.size() == 1U);
    BOOST_TEST(report.outcomes.front().upstream == "p1");
    BOOST_TEST(report.outcomes.front().incarnation == 1);
    BOOST_TEST(report.outcomes.front().lost == 1);
}

// Each of 29 daemons lost 13 to 17 requests before it knew.
BOOST_AUTO_TEST_CASE(costs_a_fleet_few_requests)
{
    plain_simulation fleet(usual());
    fleet.pass(seconds(5));
    fleet.take_results();
    fleet.set_resets(0.4);
    fleet.pass(seconds(6));
    const auto got = fleet.take_results();
    BOOST_TEST_MESSAGE("failed " << got.failed << " of " << got.arrived << ", sends lost " << got.lost);
    BOOST_TEST(got.share(got.failed) < 0.03);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_many_daemons_share)

BOOST_AUTO_TEST_CASE(refuses_few_callers_at_half_of_the_capacity)
{
    plain_simulation fleet(usual());
    fleet.pass(seconds(15));
    const auto got = fleet.take_results();
    BOOST_TEST_MESSAGE("refused " << got.refused << " of " << got.arrived << ", rejections "
                                  << got.rejections);
    BOOST_TEST(got.share(got.refused) < 0.01);
}

// Without shares, all daemons choose the upstream that looked least loaded in the same reports: 73 of 100
// callers were served in time in such a burst.
BOOST_AUTO_TEST_CASE(serves_most_of_a_burst_of_two_seconds_in_time)
{
    plain_simulation fleet(usual());
    fleet.pass(seconds(5));
    fleet.take_results();
    fleet.set_rates(3 * 128, 3 * 30);
    fleet.pass(seconds(2));
    fleet.set_rates(128, 30);
    fleet.pass(seconds(1));
    const auto got = fleet.take_results();
    BOOST_TEST_MESSAGE("in time " << got.share(got.in_time) << " refused " << got.share(got.refused));
    BOOST_TEST(got.share(got.in_time) > 0.8);
    BOOST_TEST(got.budget_used <= 1.0);
}

BOOST_AUTO_TEST_CASE(refuses_some_callers_only_at_nine_tenths_of_the_capacity)
{
    auto plan = usual();
    plan.once_per_second = 288;
    plan.repeatable_per_second = 72;
    plain_simulation fleet(plan);
    fleet.pass(seconds(15));
    const auto got = fleet.take_results();
    BOOST_TEST_MESSAGE("in time " << got.share(got.in_time) << " refused " << got.share(got.refused));
    BOOST_TEST(got.share(got.in_time) > 0.83); // 0.75 without shares.
    BOOST_TEST(got.failed == 0U);
}

BOOST_AUTO_TEST_CASE(sees_no_wait_while_it_has_room)
{
    auto plan = usual();
    plan.once_per_second = 16;
    plan.repeatable_per_second = 4;
    plain_simulation fleet(plan);
    fleet.pass(seconds(15));
    fleet.set_rates(0, 0);
    fleet.pass(seconds(1));
    const auto got = fleet.take_results();
    BOOST_TEST(got.waited == 0U);
    BOOST_TEST(got.in_time == got.arrived);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
