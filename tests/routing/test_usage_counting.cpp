#include "routing/router_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace clementinegap;
using clementinegap::testing::router_fixture;

namespace {

/// Counts what the router reports as begun.
struct counting_fixture : router_fixture {
    void step(const router_event& event)
    {
        give(event);
        for (const auto& each : all<count_usage>()) {
            BOOST_TEST(each.workspace == "workspace-a");
            ++counted;
        }
    }

    int counted{0};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(usage_of_a_workspace, counting_fixture)

BOOST_AUTO_TEST_CASE(begins_at_the_first_event_of_a_stream_and_once_for_all_its_sends)
{
    const auto number = arrive_generation("/ask/x", 7, 100);
    BOOST_TEST(all<count_usage>().empty());
    step(first_event_seen{number});
    BOOST_TEST(counted == 1);
    step(send_failed{number, send_fault::lost, true});
    BOOST_REQUIRE(one<send_request>().has_value());
    step(first_event_seen{number});
    step(request_completed{number});
    BOOST_TEST(counted == 1);
}

BOOST_AUTO_TEST_CASE(is_not_counted_for_a_stream_that_fails_before_its_first_event)
{
    const auto number = arrive_generation("/guide/x", 7, 100);
    step(send_failed{number, send_fault::lost});
    BOOST_TEST(counted == 0);
}

BOOST_AUTO_TEST_CASE(is_not_counted_again_when_a_caller_takes_a_stream_up)
{
    const auto first = arrive_generation("/ask/x", 7, 100);
    step(first_event_seen{first});
    step(send_failed{first, send_fault::lost, true});
    step(caller_left{first});
    const auto again = arrive_generation("/ask/x", 7, 100, 1000, "id-" + std::to_string(first));
    step(first_event_seen{again});
    step(request_completed{again});
    BOOST_TEST(counted == 1);
}

BOOST_AUTO_TEST_CASE(is_counted_for_each_end_of_a_plain_request_that_may_have_run)
{
    step(request_completed{arrive("/book/x")});
    step(request_completed{arrive("/book/x"), true});
    step(send_failed{arrive("/book/x"), send_fault::lost});
    step(caller_left{arrive("/book/x")});
    arrive("/book/x");
    now += seconds(1);
    step(tick{});
    BOOST_TEST(counted == 5);
}

BOOST_AUTO_TEST_CASE(is_counted_once_for_a_plain_request_that_is_sent_twice)
{
    const auto number = arrive("/look/x");
    step(send_failed{number, send_fault::lost});
    BOOST_REQUIRE(one<send_request>().has_value());
    step(request_completed{number});
    BOOST_TEST(counted == 1);
}

BOOST_AUTO_TEST_CASE(is_not_counted_for_requests_that_did_not_run_or_have_no_workspace)
{
    for (const auto fault : {send_fault::not_run, send_fault::unreachable, send_fault::wrong_instance}) {
        step(send_failed{arrive("/book/x"), fault});
    }
    step(request_completed{arrive("/open/x", std::nullopt, "")});
    BOOST_TEST(counted == 0);
}

BOOST_AUTO_TEST_SUITE_END()
