#include "core/timer_service.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace clementinegap;

BOOST_AUTO_TEST_SUITE(a_timer_service)

BOOST_AUTO_TEST_CASE(runs_due_timers_ordered_by_due_time)
{
    timer_service timers;
    std::vector<int> ran;
    timers.schedule(time_point(seconds(2)), [&](time_point) { ran.push_back(2); });
    timers.schedule(time_point(seconds(1)), [&](time_point) { ran.push_back(1); });
    timers.schedule(time_point(seconds(9)), [&](time_point) { ran.push_back(9); });
    timers.run_due(time_point(seconds(3)));
    BOOST_TEST(ran == (std::vector<int>{1, 2}), boost::test_tools::per_element());
    BOOST_TEST((timers.next_due() == time_point(seconds(9))));
}

BOOST_AUTO_TEST_CASE(does_not_run_a_timer_cancelled_by_a_callback)
{
    timer_service timers;
    bool ran = false;
    const auto second = timers.schedule(time_point(seconds(2)), [&](time_point) { ran = true; });
    timers.schedule(time_point(seconds(1)), [&](time_point) { timers.cancel(second); });
    timers.run_due(time_point(seconds(3)));
    BOOST_TEST(!ran);
    BOOST_TEST(timers.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
